//! Relays an event stream to the caller, and resumes it at another upstream when it breaks and its
//! route allows that.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

use super::adapter::{GatewayAdapter, GatewayRefusal};
use super::buffer_memory::{BufferMemory, MemoryExhausted};
use super::call_run::{AttemptOutcome, CallRun, RunningStream, StreamPart};
use super::event_frames::{EventFrames, OversizedEvent};
use crate::decision::direct::{BudgetCharge, CallOutcome};
use crate::lifecycle::call::ExecutedCall;

/// Times that a call and its first event wait for their turn among the router's tasks: the send,
/// the read of the connection and the relay.
const QUEUE_TURNS: u32 = 3;

/// Body of a response to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, RelayError>;

/// Why a stream ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RelayError {
    /// The upstream's connection ended.
    #[display("the upstream's stream broke")]
    Broken,
    /// The deadline has passed.
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

/// Creates a body from complete content.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Why the bytes of a stream were not buffered.
#[derive(Debug, Display, Error, From)]
enum BufferError {
    /// An event exceeds the limit.
    #[display("{_0}")]
    Oversized(OversizedEvent),
    /// The memory for calls is used up.
    #[display("{_0}")]
    NoMemory(MemoryExhausted),
}

/// Buffers bytes of a stream until their events are complete.
fn buffer_events(
    frames: &mut EventFrames,
    memory: &mut BufferMemory,
    data: &[u8],
) -> Result<(), BufferError> {
    frames.push(data)?;
    memory.cover(frames.buffered_bytes())?;
    Ok(())
}

/// An event stream that is being relayed.
pub struct RelayStream<A: GatewayAdapter> {
    run: CallRun<A>,
    stream: Option<RunningStream>,
    memory: BufferMemory,
    first_event_seen: bool,
    writes: u32,
}

impl<A: GatewayAdapter> RelayStream<A> {
    /// Starts to relay a stream.
    pub(super) fn new(run: CallRun<A>, stream: RunningStream) -> Self {
        let memory = BufferMemory::new(run.context());
        Self { run, stream: Some(stream), memory, first_event_seen: false, writes: 0 }
    }

    /// Stops the relay and returns the run of the call.
    pub(super) fn into_run(self) -> CallRun<A> {
        self.run
    }

    /// Turns the relay into a body that starts with the events in `first`.
    pub(super) fn into_body(self, first: Bytes) -> AnswerBody {
        let frames = stream::unfold((Some(first), Some(self)), |(first, relay)| async move {
            let mut relay = relay?;
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, Some(relay))));
            }
            match relay.next_events().await? {
                Ok(events) => Some((Ok(Frame::data(events)), (None, Some(relay)))),
                Err(error) => Some((Err(error), (None, None))),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    pub(super) async fn next_events(&mut self) -> Option<Result<Bytes, RelayError>> {
        loop {
            let stream = self.stream.as_mut()?;
            let deadline = self.run.final_deadline();
            let part = match tokio::time::timeout_at(deadline.into(), stream.next_part()).await {
                Ok(part) => part,
                Err(_) => return Some(Err(self.time_out())),
            };
            match part {
                StreamPart::Frame(frame) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if let Err(error) = buffer_events(&mut stream.frames, &mut self.memory, &data) {
                        log::warn!(id = self.run.id(); "stream aborted: {error}");
                        if let Some(ended) = self.resume_or_fail().await {
                            return Some(ended);
                        }
                    } else if let Some(events) = stream.frames.take_complete() {
                        self.memory.release();
                        self.record_events();
                        return Some(Ok(events));
                    }
                }
                StreamPart::End => {
                    self.finish();
                    return None;
                }
                StreamPart::Broken => {
                    if let Some(ended) = self.resume_or_fail().await {
                        return Some(ended);
                    }
                }
            }
        }
    }

    fn record_events(&mut self) {
        self.writes += 1;
        let Some(stream) = &mut self.stream else { return };
        stream.guard.record_write();
        if !stream.guard.first_event_seen() {
            let lateness = self.run.context().admission.control().detector().lateness();
            stream.guard.record_first_event(lateness * QUEUE_TURNS);
        }
        if !self.first_event_seen {
            self.first_event_seen = true;
            let objective = self.run.objective();
            self.run.log.record_first_event(objective);
        }
    }

    fn finish(&mut self) {
        if let Some(stream) = self.stream.take() {
            stream.guard.end(CallOutcome::Completed);
            let pool = &self.run.context().pool;
            pool.release(stream.lease, stream.grant.address, stream.metadata.idle_limit);
            self.run.record_stream_cost(self.writes);
        }
        self.run.log.record_completion();
    }

    fn time_out(&mut self) -> RelayError {
        if let Some(stream) = self.stream.take() {
            stream.guard.end(CallOutcome::Silent);
        }
        self.run.log.record_failure(RelayError::TimedOut);
        RelayError::TimedOut
    }

    /// Resumes the stream at another upstream; returns an error when that fails.
    async fn resume_or_fail(&mut self) -> Option<Result<Bytes, RelayError>> {
        let stream = self.stream.take()?;
        self.memory.release();
        log::warn!(
            id = self.run.id(), upstream = &*stream.grant.upstream,
            last_event = stream.frames.last_id().unwrap_or("none"); "stream broke"
        );
        self.run.resume_after(stream.frames.last_id());
        let RunningStream { guard, lease, body, run, .. } = stream;
        guard.end(CallOutcome::Broken);
        drop((lease, body));
        match self.resume(run).await {
            Some(resumed) => {
                self.stream = Some(resumed);
                None
            }
            None => {
                self.run.log.record_failure(RelayError::Broken);
                Some(Err(RelayError::Broken))
            }
        }
    }

    async fn resume(&mut self, broken: ExecutedCall) -> Option<RunningStream> {
        let mut call = broken.repeat(self.run.route()).ok()?;
        let mut charge = BudgetCharge::Retry;
        loop {
            let grant = self.run.request_grant(charge).await.ok()?;
            match self.run.attempt(call.send(), grant).await {
                AttemptOutcome::Stream(_, stream) => return Some(*stream),
                AttemptOutcome::Declined(unsent, next) => {
                    call = unsent;
                    charge = next;
                }
                AttemptOutcome::Failed(run, _) => {
                    call = run.repeat(self.run.route()).ok()?;
                    charge = BudgetCharge::Retry;
                }
                AttemptOutcome::Complete(..) | AttemptOutcome::TimedOut => return None,
            }
        }
    }
}
