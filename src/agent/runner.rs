//! Runs one request: fetches it from its router, claims it if it is non-repeatable, sends it to
//! the upstream and buffers the answer.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::sync::oneshot;

use super::AgentContext;
use super::answers::AnswerBuffer;
use super::claims::{
    ClaimDenial, ClaimPermit, claim_request, release_claim, store_outcome, write_denial,
};
use super::crash::upstream_crashed;
use super::events::{AgentEvent, RunOutcome, RunReport, UpstreamHealth};
use super::meter::ServiceMeter;
use super::upstream::attempt_name;
use super::upstream_run::{RunEnd, UpstreamRun};
use crate::configuration::ServiceKind;
use crate::decision::quarantine::RequestFingerprint;
use crate::ids::{AttemptId, RequestId, ServiceId, TeamId, format_request_id};
use crate::lifecycle::request::{ClaimedRequest, OfferedRequest, RunPermit};
use crate::metrics::{MetricLabel, catalogue};
use crate::protocol::{FetchReply, FetchRequest, RequestContent, RunFailure, RunRefusal, RunState};
use crate::store::{ClaimKey, TrialVerdict};

/// Attempts to fetch a request when the reply is lost.
const MAX_FETCH_ATTEMPTS: u32 = 3;

/// Pause between two attempts to fetch.
const FETCH_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which the service of a running request is reported to the control thread.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of a run and the service that it used.
struct RunUsage {
    outcome: RunOutcome,
    done: u64,
    ran_for: Duration,
}

impl RunUsage {
    const NONE: Self = Self { outcome: RunOutcome::NotGranted, done: 0, ran_for: Duration::ZERO };
}

/// One attempt to run a request.
struct RequestAttempt {
    context: Arc<AgentContext>,
    attempt: AttemptId,
    buffer: Arc<AnswerBuffer>,
}

/// Fetches and runs an offered request and reports the outcome to the control thread.
pub async fn run_offer(context: Arc<AgentContext>, offer: OfferedRequest) {
    let _in_flight = context.in_flight.enter();
    let request = offer.ticket.id;
    let (team, service) = (offer.ticket.team.clone(), offer.ticket.service.clone());
    let started = Instant::now();
    let attempt: AttemptId = rand::random();
    // The router requests the answer as soon as it has granted the request, so the buffer must
    // exist before the fetch.
    let buffer = context.answers.open(request, attempt);
    let attempt = RequestAttempt { context: Arc::clone(&context), attempt, buffer };
    let RunUsage { outcome, done, ran_for } = attempt.fetch_and_run(offer).await;
    count_run(&context, &team, &service, outcome, started.elapsed());
    let report = RunReport { request, done, ran_for, outcome };
    // The control channel closes only when the process ends.
    let _ = context.control.send(AgentEvent::RunEnded(report)).await;
}

fn count_run(
    context: &AgentContext,
    team: &TeamId,
    service: &ServiceId,
    outcome: RunOutcome,
    time: Duration,
) {
    let outcome = match outcome {
        RunOutcome::NotGranted => {
            context.metrics.count(&catalogue::AGENT_FETCHES_WITHDRAWN, 1, &[]);
            return;
        }
        RunOutcome::Answered(status) if status >= 500 => "upstream-error",
        RunOutcome::Answered(_) => "answered",
        RunOutcome::Failed => "failed",
        RunOutcome::Cancelled => "cancelled",
    };
    let service = (MetricLabel::Service, &**service);
    let labels = [(MetricLabel::Team, &**team), service, (MetricLabel::Outcome, outcome)];
    context.metrics.count(&catalogue::AGENT_RUNS, 1, &labels);
    context.metrics.time(&catalogue::AGENT_RUN_TIME, time, &[service]);
}

/// Waits until the control thread admits the request to the upstream; `false` means that it must
/// not run here.
async fn wait_for_admission(
    context: &AgentContext,
    request: RequestId,
    health: UpstreamHealth,
) -> bool {
    let (admit, admitted) = oneshot::channel();
    let _ = context.control.send(AgentEvent::RequestPrepared { request, health, admit }).await;
    // A restarted control thread does not know the request, which must not run then.
    admitted.await.unwrap_or(false)
}

fn service_kind(context: &AgentContext) -> ServiceKind {
    let configuration = context.configuration.borrow();
    let services = configuration.as_ref().map(|configuration| &configuration.checked.services);
    services
        .and_then(|services| services.get(&context.upstream.service))
        .map_or(ServiceKind::Plain, |service| service.kind)
}

/// Reports the service of a running request until the future is dropped.
async fn report_progress(context: &AgentContext, request: RequestId, meter: &ServiceMeter) {
    let mut reported = 0;
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let done = meter.units(Instant::now());
        if done != reported {
            reported = done;
            let _ = context.control.send(AgentEvent::ProgressReported { request, done }).await;
        }
    }
}

impl RequestAttempt {
    async fn fetch_and_run(self, offer: OfferedRequest) -> RunUsage {
        let Some(content) = self.fetch(&offer).await else {
            self.context.answers.remove(self.attempt);
            return RunUsage::NONE;
        };
        // The health check comes last before the request is sent. A state change of the upstream
        // between the two goes unnoticed, and a model engine that has turned cold in that time may
        // crash.
        let health = match service_kind(&self.context) {
            ServiceKind::Model => self.context.upstream_client.health().await,
            ServiceKind::Plain => UpstreamHealth::Unknown,
        };
        if !wait_for_admission(&self.context, offer.ticket.id, health).await {
            let reason = "the upstream cannot take more load now";
            self.buffer.fail(RunFailure::Unreachable, reason, RunState::No);
            self.context.answers.expire_later(self.attempt);
            return RunUsage::NONE;
        }
        let usage = match self.acquire_permit(&offer, &content).await {
            Ok((key, permit)) => self.run(offer.claim(permit), key, content).await,
            Err(denial) => {
                if offer.ticket.run_alone {
                    self.end_trial(offer.ticket.fingerprint, false).await;
                }
                write_denial(&self.buffer, denial).await;
                RunUsage::NONE
            }
        };
        self.context.answers.expire_later(self.attempt);
        usage
    }

    async fn fetch(&self, offer: &OfferedRequest) -> Option<RequestContent> {
        let fetch = FetchRequest {
            request: offer.ticket.id,
            attempt: self.attempt,
            agent: self.context.upstream.id.clone(),
            incarnation: self.context.incarnation,
        };
        for attempt in 1..=MAX_FETCH_ATTEMPTS {
            match self.context.peers.call(offer.router, &fetch).await {
                Ok(FetchReply::Granted(content)) => return Some(content),
                Ok(FetchReply::Withdrawn) => return None,
                Err(error) => {
                    let request = format_request_id(fetch.request);
                    let (team, upstream) = (&offer.ticket.team, &self.context.upstream.id);
                    log::warn!(
                        request, team:% = team, upstream:% = upstream, router:% = offer.router,
                        attempt; "cannot fetch the request: {error}"
                    );
                    tokio::time::sleep(FETCH_PAUSE).await;
                }
            }
        }
        None
    }

    async fn acquire_permit(
        &self,
        offer: &OfferedRequest,
        content: &RequestContent,
    ) -> Result<(Option<ClaimKey>, RunPermit), ClaimDenial> {
        if offer.ticket.run_alone {
            let trial = self.context.quarantine.begin_trial(offer.ticket.fingerprint, self.attempt);
            match trial.await {
                TrialVerdict::Granted => {}
                TrialVerdict::Unavailable => {
                    return Err(ClaimDenial::Refused(RunRefusal::TrialElsewhere));
                }
                TrialVerdict::Quarantined => {
                    return Err(ClaimDenial::Refused(RunRefusal::Quarantined));
                }
            }
        }
        if offer.ticket.repeatable {
            return Ok((None, RunPermit::Repeatable));
        }
        let ClaimPermit { key, claim } =
            claim_request(&self.context, &offer.ticket, self.attempt, content).await?;
        Ok((Some(key), RunPermit::Claimed(claim)))
    }

    async fn run(
        &self,
        claimed: ClaimedRequest,
        key: Option<ClaimKey>,
        content: RequestContent,
    ) -> RunUsage {
        let repeatable = claimed.ticket().repeatable;
        let started = claimed.start(Instant::now());
        let (context, attempt, buffer) = (&self.context, self.attempt, &*self.buffer);
        let meter = ServiceMeter::new(service_kind(context), Instant::now());
        let request = started.ticket().id;
        let name = attempt_name(request, attempt);
        let upstream = UpstreamRun { context, request, name, buffer, meter: &meter };
        let run = async {
            tokio::select! {
                end = upstream.run(started.ticket(), content) => end,
                () = report_progress(context, request, &meter) => {
                    RunEnd::cancelled("the progress report ended")
                }
            }
        };
        let end = if repeatable {
            let end = tokio::select! {
                end = run => Some(end),
                () = self.buffer.cancelled().cancelled() => None,
                () = self.buffer.wait_orphaned() => None,
            };
            match end {
                Some(end) => end,
                None => {
                    upstream.cancel().await;
                    RunEnd::cancelled("no router reads the answer")
                }
            }
        } else {
            // A non-repeatable run continues without its caller, because its outcome must be
            // recorded.
            self.run_to_completion(run).await
        };
        let done = meter.units(Instant::now());
        let (finished, permit) = started.finish(Instant::now());
        let ticket = finished.ticket();
        log::debug!(
            request = format_request_id(ticket.id), team:% = ticket.team,
            upstream:% = self.context.upstream.id, ran_for:? = finished.ran_for(); "run ended"
        );
        let end = self.classify_failure(end, ticket.fingerprint).await;
        if ticket.run_alone {
            let cleared = matches!(end, RunEnd::Answered { .. });
            self.end_trial(ticket.fingerprint, cleared).await;
        }
        let outcome = self.record_outcome(end, permit, key, &ticket.team).await;
        RunUsage { outcome, done, ran_for: finished.ran_for() }
    }

    /// Changes a lost connection to a crash if the upstream crashed.
    async fn classify_failure(&self, end: RunEnd, fingerprint: RequestFingerprint) -> RunEnd {
        match end {
            RunEnd::Failed { failure: RunFailure::Broke, reason, run_state }
                if upstream_crashed(&self.context, fingerprint).await =>
            {
                RunEnd::Failed { failure: RunFailure::Crashed, reason, run_state }
            }
            other => other,
        }
    }

    /// Records the end of a suspect's trial run; a suspect that did not crash is cleared.
    async fn end_trial(&self, fingerprint: RequestFingerprint, cleared: bool) {
        match self.context.quarantine.end_trial(fingerprint, self.attempt, cleared).await {
            Ok(record) if cleared => {
                let event = AgentEvent::SuspectCleared { fingerprint, record };
                let _ = self.context.control.send(event).await;
            }
            Ok(_) => {}
            // The trial then ends by its time limit.
            Err(error) => log::warn!("cannot record the end of a trial: {error}"),
        }
    }

    /// Waits for the end of a run. If no router wants the answer any more, the run continues and
    /// its bytes are discarded.
    async fn run_to_completion(&self, run: impl Future<Output = RunEnd>) -> RunEnd {
        tokio::pin!(run);
        let abandoned = async {
            tokio::select! {
                () = self.buffer.cancelled().cancelled() => {}
                () = self.buffer.wait_orphaned() => {}
            }
        };
        tokio::select! {
            end = &mut run => return end,
            () = abandoned => self.buffer.discard(),
        }
        run.await
    }

    /// Records the outcome first in the claim row and then in the answer buffer.
    async fn record_outcome(
        &self,
        end: RunEnd,
        permit: RunPermit,
        key: Option<ClaimKey>,
        team: &TeamId,
    ) -> RunOutcome {
        let now = SystemTime::now();
        match end {
            RunEnd::Answered { status, capture } => {
                if let (RunPermit::Claimed(claim), Some(key)) = (permit, key) {
                    let storing = claim.finish(capture.into_outcome(), now);
                    store_outcome(&self.context, key, storing).await;
                }
                self.buffer.complete();
                RunOutcome::Answered(status)
            }
            RunEnd::Failed { failure, reason, run_state } => {
                let (request, upstream) =
                    (format_request_id(self.buffer.request()), &self.context.upstream.id);
                log::warn!(
                    request, team:% = team, upstream:% = upstream, run_state:% = run_state;
                    "run failed: {failure}: {reason}"
                );
                if let (RunPermit::Claimed(claim), Some(key)) = (permit, key) {
                    match run_state {
                        RunState::No => release_claim(&self.context, key, claim.release()).await,
                        RunState::Unknown | RunState::Yes => {
                            store_outcome(&self.context, key, claim.mark_outcome_unknown(now))
                                .await;
                        }
                    }
                }
                self.buffer.fail(failure, reason, run_state);
                match failure {
                    RunFailure::Cancelled => RunOutcome::Cancelled,
                    _ => RunOutcome::Failed,
                }
            }
        }
    }
}
