//! Passes an event stream on as it arrives, and lets it go on at another upstream when it breaks
//! on a route that allows that.

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

use super::call_run::{AttemptEnd, CallRun, RunningStream};
use super::edge::{GatewayEdge, GatewayRefusal};
use crate::decision::direct::{BudgetCharge, CallOutcome};
use crate::lifecycle::call::RunCall;

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, RelayError>;

/// Why a stream ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RelayError {
    /// The upstream's connection ended.
    #[display("the upstream's stream broke")]
    Broken,
    /// The time for the answer is over.
    #[display("the time for the answer is over")]
    TimedOut,
}

impl From<RelayError> for GatewayRefusal {
    fn from(error: RelayError) -> Self {
        match error {
            RelayError::Broken => Self::UpstreamFailed,
            RelayError::TimedOut => Self::TimedOut,
        }
    }
}

/// Makes a body of bytes that are all there.
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// An event stream under way.
pub struct RelayStream<E: GatewayEdge> {
    run: CallRun<E>,
    stream: Option<RunningStream>,
    began: bool,
}

impl<E: GatewayEdge> RelayStream<E> {
    /// Starts to pass a stream on.
    pub(super) fn new(run: CallRun<E>, stream: RunningStream) -> Self {
        Self { run, stream: Some(stream), began: false }
    }

    /// Ends the relay and returns the call.
    pub(super) fn into_run(self) -> CallRun<E> {
        self.run
    }

    /// Body that begins with a piece that is already there.
    pub(super) fn into_body(self, first: Bytes) -> AnswerBody {
        let pieces = stream::unfold((Some(first), Some(self)), |(first, relay)| async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, Some(relay))));
            }
            match relay.next_piece().await? {
                Ok(piece) => Some((Ok(Frame::data(piece)), (None, Some(relay)))),
                Err(error) => Some((Err(error), (None, None))),
            }
        });
        StreamBody::new(pieces).boxed_unsync()
    }

    /// Returns the next whole events, or `None` at the end of the stream.
    pub(super) async fn next_piece(&mut self) -> Option<Result<Bytes, RelayError>> {
        loop {
            let stream = self.stream.as_mut()?;
            let due = self.run.cut_at();
            let frame = match tokio::time::timeout_at(due.into(), stream.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Some(Err(self.time_out())),
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if let Err(error) = stream.frames.push(&data) {
                        log::warn!(id = self.run.id(); "stream given up: {error}");
                        return self.recover_or_break().await;
                    }
                    if let Some(events) = stream.frames.take_whole() {
                        self.note_events();
                        return Some(Ok(events));
                    }
                }
                None if !stream.frames.has_partial() => {
                    self.finish();
                    return None;
                }
                None | Some(Err(_)) => {
                    if let Some(ended) = self.recover_or_break().await {
                        return Some(ended);
                    }
                }
            }
        }
    }

    fn note_events(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.hold.begin();
        }
        if !self.began {
            self.began = true;
            let objective = self.run.objective();
            self.run.log.began(objective);
        }
    }

    fn finish(&mut self) {
        if let Some(stream) = self.stream.take() {
            stream.hold.end(CallOutcome::Completed);
            let pool = &self.run.context().pool;
            pool.release(stream.lease, stream.grant.address, stream.facts.idle_limit);
        }
        self.run.log.completed();
    }

    fn time_out(&mut self) -> RelayError {
        if let Some(stream) = self.stream.take() {
            stream.hold.end(CallOutcome::Silent);
        }
        self.run.log.broken(RelayError::TimedOut);
        RelayError::TimedOut
    }

    /// Goes on at another upstream; returns an error when that is not possible.
    async fn recover_or_break(&mut self) -> Option<Result<Bytes, RelayError>> {
        let stream = self.stream.take()?;
        log::warn!(
            id = self.run.id(), upstream = &*stream.grant.upstream,
            last_event = stream.frames.last_id().unwrap_or("none"); "stream broke"
        );
        self.run.resume_after(stream.frames.last_id());
        let RunningStream { hold, lease, body, run, .. } = stream;
        hold.end(CallOutcome::Broken);
        drop((lease, body));
        match self.resume(run).await {
            Some(resumed) => {
                self.stream = Some(resumed);
                None
            }
            None => {
                self.run.log.broken(RelayError::Broken);
                Some(Err(RelayError::Broken))
            }
        }
    }

    async fn resume(&mut self, broken: RunCall) -> Option<RunningStream> {
        let mut call = broken.repeat(self.run.route()).ok()?;
        let mut charge = BudgetCharge::Retry;
        loop {
            let grant = self.run.place(charge).await.ok()?;
            match self.run.attempt(call.send(), grant).await {
                AttemptEnd::Stream(_, stream) => return Some(*stream),
                AttemptEnd::Declined(unsent, next) => {
                    call = unsent;
                    charge = next;
                }
                AttemptEnd::Failed(run, _) => {
                    call = run.repeat(self.run.route()).ok()?;
                    charge = BudgetCharge::Retry;
                }
                AttemptEnd::Whole(..) | AttemptEnd::TimedOut => return None,
            }
        }
    }
}
