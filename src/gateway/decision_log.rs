//! Log lines of decisions about upstreams, parts of prompts and version moves.

use http::StatusCode;

use crate::decision::direct::{
    MoveStep, NoticedUpstream, PartVerdict, StageChange, UpstreamNotice,
};
use crate::ids::CallId;

/// Logs that a version move entered another stage, with the answers that all routers counted.
pub(super) fn log_stage(step: &MoveStep) {
    let StageChange::Entered(stage) = step.change else { return };
    let order = &step.order;
    log::info!(
        service = &*order.service, target = &*order.target, order:% = order.revision,
        stage:% = stage, recorded = step.is_recorded, routers = step.routers,
        answers:% = step.evidence.total, recent_answers = step.evidence.recent.answers,
        recent_failures = step.evidence.recent.failures,
        faulty_route = step.evidence.faulty_route().unwrap_or("none"); "version move entered a stage"
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
