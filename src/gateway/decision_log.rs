//! Log lines of decisions about upstreams, parts of prompts and version moves.

use http::StatusCode;
use indexmap::IndexMap;

use crate::decision::direct::{
    NoticedUpstream, PartVerdict, StageChange, TrialCount, UpstreamNotice, VersionTrial,
};
use crate::ids::{CallId, NodeId};

/// Logs that a version move entered another stage, with the answers that all routers counted.
pub(super) fn log_stage(
    trial: &VersionTrial,
    change: StageChange,
    peers: &IndexMap<NodeId, TrialCount>,
) {
    let StageChange::Entered(stage) = change else { return };
    let order = trial.order();
    log::info!(
        service = &*order.service, target = &*order.target, order = order.revision,
        stage:% = stage, recorded = trial.is_recorded(), routers = peers.len() + 1,
        answers:% = trial.total_answers(peers); "version move entered a stage"
    );
}

/// Logs that calls with a part of prompts are refused from now on, or sent again.
pub(super) fn log_verdict(verdict: PartVerdict) {
    match verdict {
        PartVerdict::Refused { part, crashes } => log::warn!(
            part = format!("{part:x}"), crashes;
            "upstreams crash under a part of prompts; its calls are refused"
        ),
        PartVerdict::Cleared { part } => log::info!(
            part = format!("{part:x}"); "calls with a part of prompts are no longer refused"
        ),
    }
}

/// Logs what an upstream stated about itself in its answer to `call`.
pub(super) fn log_notice(
    noticed: &NoticedUpstream,
    notice: UpstreamNotice,
    call: CallId,
    status: StatusCode,
) {
    let upstream = &*noticed.upstream;
    let status = status.as_u16();
    match noticed.left_out_for {
        Some(pause) => log::info!(
            upstream, notice:% = notice, id = call, status, pause_ms = pause.as_millis() as u64;
            "upstream asked for a pause; it gets no calls"
        ),
        None => log::info!(
            upstream, notice:% = notice, id = call, status;
            "upstream says that it leaves; it gets no more calls"
        ),
    }
}
