//! Buffers of answers, kept until a router has acknowledged them so that it can resume reading.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::ids::{AttemptId, RequestId};
use crate::protocol::{AnswerEvent, AnswerFrame, AnswerHead, RunFailure, RunRefusal, RunState};

/// Time after which a complete answer is dropped even if no router acknowledged it.
const RETENTION: Duration = Duration::from_secs(60);

/// Time without a reader after which an answer is orphaned: its router is lost, or resolves the
/// request through the claim row.
///
/// It is longer than a router takes to give up reconnecting.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(6);

/// Answers by attempt.
#[derive(Clone, Debug)]
pub struct AnswerStore {
    buffers: Arc<Mutex<IndexMap<AttemptId, Arc<AnswerBuffer>>>>,
    /// Changes whenever a buffer is removed.
    removed: watch::Sender<usize>,
    capacity: usize,
}

impl AnswerStore {
    /// Creates a store whose buffers each hold up to `capacity` unacknowledged bytes.
    pub fn new(capacity: usize) -> Self {
        let buffers = Arc::new(Mutex::new(IndexMap::new()));
        Self { buffers, removed: watch::Sender::new(0), capacity }
    }

    /// Creates the buffer of an attempt.
    pub fn open(&self, request: RequestId, attempt: AttemptId) -> Arc<AnswerBuffer> {
        let buffer = Arc::new(AnswerBuffer::new(request, self.capacity));
        self.lock().insert(attempt, Arc::clone(&buffer));
        buffer
    }

    /// Finds the buffer of an attempt.
    pub fn find(&self, attempt: AttemptId) -> Option<Arc<AnswerBuffer>> {
        self.lock().get(&attempt).cloned()
    }

    /// Removes the buffer of an attempt.
    pub fn remove(&self, attempt: AttemptId) {
        self.lock().swap_remove(&attempt);
        self.removed.send_modify(|count| *count += 1);
    }

    /// Removes the buffer once it has had no reader for `ORPHAN_TIMEOUT`, at the latest after
    /// `RETENTION`, unless it is acknowledged before.
    pub fn expire_later(&self, attempt: AttemptId) {
        let Some(buffer) = self.find(attempt) else { return };
        let store = self.clone();
        tokio::spawn(async move {
            let _ = tokio::time::timeout(RETENTION, buffer.wait_orphaned()).await;
            store.remove(attempt);
        });
    }

    /// Waits until all buffers are removed.
    pub async fn wait_empty(&self) {
        let mut removed = self.removed.subscribe();
        while !self.lock().is_empty() {
            if removed.changed().await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<AttemptId, Arc<AnswerBuffer>>> {
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// End of an answer.
#[derive(Clone, Debug)]
enum AnswerEnd {
    Complete,
    Refused(RunRefusal),
    Failed { failure: RunFailure, reason: String, run_state: RunState },
}

#[derive(Debug)]
struct BufferState {
    readers: usize,
    idle_since: Instant,
    /// Set when the run continues without readers: its bytes are counted but not kept.
    discarding: bool,
    head: Option<AnswerHead>,
    chunks: VecDeque<Bytes>,
    /// Body offset of the first kept byte.
    start: u64,
    /// Body offset after the last kept byte.
    end: u64,
    finished: Option<AnswerEnd>,
}

/// Read position of one reader.
#[derive(Clone, Copy, Debug)]
pub struct ReadPosition {
    head_sent: bool,
    offset: u64,
    ended: bool,
}

impl ReadPosition {
    /// Starts at a body offset; the head is always included.
    pub fn from_offset(offset: u64) -> Self {
        Self { head_sent: false, offset, ended: false }
    }
}

/// Registration of a reader, removed on drop.
#[derive(Debug)]
pub struct ReaderGuard {
    buffer: Arc<AnswerBuffer>,
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut state = self.buffer.lock();
        state.readers -= 1;
        state.idle_since = Instant::now();
    }
}

/// Buffer of one answer, written by the run and read by routers.
#[derive(Debug)]
pub struct AnswerBuffer {
    request: RequestId,
    capacity: usize,
    state: Mutex<BufferState>,
    changed: watch::Sender<u64>,
    cancelled: CancellationToken,
}

impl AnswerBuffer {
    fn new(request: RequestId, capacity: usize) -> Self {
        Self {
            request,
            capacity,
            state: Mutex::new(BufferState::new()),
            changed: watch::Sender::new(0),
            cancelled: CancellationToken::new(),
        }
    }

    /// Returns the request that the answer belongs to.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the token that is cancelled when the router cancels the attempt.
    pub fn cancelled(&self) -> &CancellationToken {
        &self.cancelled
    }

    /// Records status and headers.
    pub fn write_head(&self, head: AnswerHead) {
        self.lock().head = Some(head);
        self.notify();
    }

    /// Appends body bytes; waits while the unacknowledged bytes exceed the capacity.
    pub async fn write_data(&self, bytes: Bytes) {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let mut state = self.lock();
                if state.discarding {
                    state.end += bytes.len() as u64;
                    state.start = state.end;
                    return;
                }
                let held = usize::try_from(state.end - state.start).unwrap_or(usize::MAX);
                if held < self.capacity {
                    state.end += bytes.len() as u64;
                    state.chunks.push_back(bytes);
                    break;
                }
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
        self.notify();
    }

    /// Waits until the answer has had no reader for `ORPHAN_TIMEOUT`.
    pub async fn wait_orphaned(&self) {
        loop {
            let idle = {
                let state = self.lock();
                if state.readers > 0 { Duration::ZERO } else { state.idle_since.elapsed() }
            };
            match ORPHAN_TIMEOUT.checked_sub(idle) {
                Some(rest) if !rest.is_zero() => tokio::time::sleep(rest).await,
                _ => return,
            }
        }
    }

    /// Drops the buffered bytes and lets the run continue without keeping further ones.
    pub fn discard(&self) {
        {
            let mut state = self.lock();
            state.discarding = true;
            state.chunks.clear();
            state.start = state.end;
        }
        self.notify();
    }

    /// Registers a reader until the guard is dropped.
    pub fn register_reader(self: &Arc<Self>) -> ReaderGuard {
        self.lock().readers += 1;
        ReaderGuard { buffer: Arc::clone(self) }
    }

    /// Records that the request was not run.
    pub fn refuse(&self, refusal: RunRefusal) {
        self.finish(AnswerEnd::Refused(refusal));
    }

    /// Records the end of a complete answer.
    pub fn complete(&self) {
        self.finish(AnswerEnd::Complete);
    }

    /// Records that the answer cannot be completed.
    pub fn fail(&self, failure: RunFailure, reason: impl Into<String>, run_state: RunState) {
        self.finish(AnswerEnd::Failed { failure, reason: reason.into(), run_state });
    }

    /// Frees bytes below `offset`.
    pub fn acknowledge(&self, offset: u64) {
        {
            let mut state = self.lock();
            while let Some(chunk) = state.chunks.front() {
                let next = state.start + chunk.len() as u64;
                if next > offset {
                    break;
                }
                state.start = next;
                state.chunks.pop_front();
            }
        }
        self.notify();
    }

    /// Returns the next frame for a reader, a heartbeat frame after `heartbeat` without one, or
    /// `None` after the end.
    pub async fn read(
        &self,
        position: &mut ReadPosition,
        heartbeat: Duration,
    ) -> Option<AnswerFrame> {
        if position.ended {
            return None;
        }
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(frame) = self.next_available(position) {
                return Some(frame);
            }
            let waited = tokio::time::timeout(heartbeat, changed.changed()).await;
            if waited.is_err() {
                return Some(self.frame(position.offset, AnswerEvent::Heartbeat));
            }
        }
    }

    fn next_available(&self, position: &mut ReadPosition) -> Option<AnswerFrame> {
        let state = self.lock();
        if !position.head_sent
            && let Some(head) = &state.head
        {
            position.head_sent = true;
            return Some(self.frame(position.offset, AnswerEvent::Head(head.clone())));
        }
        if position.offset < state.start {
            position.ended = true;
            let reason = "the answer's bytes at this offset were freed".to_owned();
            let (failure, run_state) = (RunFailure::Freed, RunState::Unknown);
            let event = AnswerEvent::Failed { failure, reason, run_state };
            return Some(self.frame(position.offset, event));
        }
        if position.head_sent && position.offset < state.end {
            let bytes = state.chunk_at(position.offset)?;
            let offset = position.offset;
            position.offset += bytes.len() as u64;
            return Some(self.frame(offset, AnswerEvent::Data(bytes)));
        }
        let event = match state.finished.as_ref()? {
            AnswerEnd::Complete => AnswerEvent::End,
            AnswerEnd::Refused(refusal) => AnswerEvent::Refused(*refusal),
            AnswerEnd::Failed { failure, reason, run_state } => AnswerEvent::Failed {
                failure: *failure,
                reason: reason.clone(),
                run_state: *run_state,
            },
        };
        position.ended = true;
        Some(self.frame(position.offset, event))
    }

    fn frame(&self, offset: u64, event: AnswerEvent) -> AnswerFrame {
        AnswerFrame { request: self.request, offset, event }
    }

    fn finish(&self, end: AnswerEnd) {
        self.lock().finished.get_or_insert(end);
        self.notify();
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BufferState {
    fn new() -> Self {
        Self {
            readers: 0,
            idle_since: Instant::now(),
            discarding: false,
            head: None,
            chunks: VecDeque::new(),
            start: 0,
            end: 0,
            finished: None,
        }
    }

    fn chunk_at(&self, offset: u64) -> Option<Bytes> {
        let mut start = self.start;
        for chunk in &self.chunks {
            let end = start + chunk.len() as u64;
            if offset < end {
                let skip = usize::try_from(offset - start).unwrap_or(usize::MAX);
                return Some(chunk.slice(skip..));
            }
            start = end;
        }
        None
    }
}
