//! What each connection of a caller holds, and the registry from which connections are closed when
//! room or memory is short.

use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::task::AbortHandle;

use crate::decision::direct::{ClientPhase, ClientState, choose_for_memory, choose_for_room};

/// Rate at which an answer has to be read on average, in bytes per second. An answer of the largest
/// size that is buffered then takes over two hours.
const MIN_READ_RATE: f64 = 1024.0;

/// Time after a search without a result until the next one. Short of memory or connections through
/// calls alone, a router would otherwise compare all connections for each call that it refuses.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Number of a connection, unique in the process.
type ConnectionNumber = u64;

/// What one connection holds.
#[derive(Debug)]
pub(super) struct ConnectionMeter {
    state: Mutex<ClientState>,
    /// Whether it has carried a call that has a route.
    has_carried: AtomicBool,
    /// Whether bytes of an answer wait for the caller to read.
    is_unread: AtomicBool,
    unread: Mutex<Option<UnreadAnswer>>,
    /// Body that a call waits for.
    awaited: Mutex<Option<AwaitedBody>>,
    task: OnceLock<AbortHandle>,
}

/// The body of a call did not arrive in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BodyOverdue;

/// Part of a body that has arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedPart {
    /// Bytes that have arrived.
    pub(super) received_bytes: usize,
    /// Memory that is reserved for the call and its body, in bytes.
    pub(super) held_bytes: usize,
}

/// Body that a call waits for.
#[derive(Debug)]
struct AwaitedBody {
    received_bytes: usize,
    deadline: Instant,
    is_overdue: bool,
    waker: Waker,
}

/// Bytes of answers that wait for the caller to read.
#[derive(Clone, Copy, Debug)]
struct UnreadAnswer {
    since: Instant,
    written_bytes: usize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionMeter {
    /// Creates the meter of a connection that has just been accepted.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(ClientState::new(ClientPhase::Unused, now)),
            has_carried: AtomicBool::new(false),
            is_unread: AtomicBool::new(false),
            unread: Mutex::default(),
            awaited: Mutex::default(),
            task: OnceLock::new(),
        }
    }

    /// Records that a head has arrived, or that its body is complete.
    pub(super) fn record_running(&self, now: Instant) {
        *lock(&self.state) = ClientState::new(ClientPhase::Running, now);
        *lock(&self.awaited) = None;
    }

    /// Records that a part of a body has arrived and the rest is awaited until the deadline. The
    /// sweep of all connections wakes the task after it, so that no call needs a timer for its
    /// body.
    pub(super) fn poll_receiving(
        &self,
        context: &mut Context<'_>,
        part: ReceivedPart,
        deadline: Instant,
        now: Instant,
    ) -> Poll<BodyOverdue> {
        let mut state = lock(&self.state);
        if state.phase != ClientPhase::Receiving {
            *state = ClientState::new(ClientPhase::Receiving, now);
        }
        state.held_bytes = part.held_bytes;
        drop(state);
        let received_bytes = part.received_bytes;
        let mut awaited = lock(&self.awaited);
        match &mut *awaited {
            Some(body) if body.is_overdue => {
                *awaited = None;
                return Poll::Ready(BodyOverdue);
            }
            Some(body) if body.received_bytes == received_bytes => {
                body.waker.clone_from(context.waker())
            }
            _ => {
                let waker = context.waker().clone();
                let is_overdue = false;
                *awaited = Some(AwaitedBody { received_bytes, deadline, is_overdue, waker });
            }
        }
        Poll::Pending
    }

    /// Wakes the call if the body that it waits for is overdue.
    fn check_body(&self, now: Instant) {
        if let Some(body) = &mut *lock(&self.awaited)
            && now >= body.deadline
        {
            body.is_overdue = true;
            body.waker.wake_by_ref();
        }
    }

    /// Records the memory that is reserved for an answer until it is written.
    pub(super) fn record_answer(&self, held_bytes: usize) {
        lock(&self.state).held_bytes = held_bytes;
    }

    /// Records that the call has a route and its caller the right to use it.
    pub(super) fn record_routed(&self) {
        self.has_carried.store(true, Ordering::Relaxed);
    }

    /// Records that a call has ended.
    fn record_idle(&self, now: Instant) {
        let has_carried = self.has_carried.load(Ordering::Relaxed);
        let mut state = lock(&self.state);
        state.phase = if has_carried { ClientPhase::Idle } else { ClientPhase::Unused };
        state.since = now;
    }

    /// Records that the caller's socket takes no more bytes.
    pub(super) fn record_blocked(&self) {
        if !self.is_unread.swap(true, Ordering::Relaxed) {
            *lock(&self.unread) = Some(UnreadAnswer { since: Instant::now(), written_bytes: 0 });
        }
    }

    /// Records bytes that the caller's socket took.
    pub(super) fn record_written(&self, bytes: usize) {
        if self.is_unread.load(Ordering::Relaxed)
            && let Some(unread) = &mut *lock(&self.unread)
        {
            unread.written_bytes += bytes;
        }
    }

    /// Records that all bytes are written; returns whether some had to wait.
    pub(super) fn record_flushed(&self) -> bool {
        let was_unread =
            self.is_unread.load(Ordering::Relaxed) && self.is_unread.swap(false, Ordering::Relaxed);
        if was_unread {
            *lock(&self.unread) = None;
        }
        was_unread
    }

    /// Waits until the caller has read the answers before. The task of the connection polls this
    /// again after each flush, so no waker is kept.
    pub(super) async fn wait_read(&self) {
        poll_fn(|_| {
            if self.is_unread.load(Ordering::Relaxed) { Poll::Pending } else { Poll::Ready(()) }
        })
        .await;
    }

    fn state(&self) -> ClientState {
        let state = *lock(&self.state);
        match *lock(&self.unread) {
            Some(UnreadAnswer { since, .. }) if state.phase != ClientPhase::Receiving => {
                ClientState { phase: ClientPhase::Unread, since, ..state }
            }
            _ => state,
        }
    }

    /// Returns whether answers have been read too slowly for longer than the limit.
    fn is_overdue(&self, limit: Duration, now: Instant) -> bool {
        lock(&self.unread).is_some_and(|unread| {
            let time = now.saturating_duration_since(unread.since);
            time > limit && (unread.written_bytes as f64) < MIN_READ_RATE * time.as_secs_f64()
        })
    }

    /// Sets the task that serves the connection, which is aborted to close it.
    pub(super) fn set_task(&self, task: AbortHandle) {
        // A connection has one task, so there is nothing to replace.
        let _ = self.task.set(task);
    }

    fn close(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }
}

/// Records the end of a call when dropped.
#[derive(Debug)]
pub(super) struct MeteredCall(Arc<ConnectionMeter>);

impl MeteredCall {
    /// Records the start of a call.
    pub(super) fn new(meter: Arc<ConnectionMeter>, now: Instant) -> Self {
        meter.record_running(now);
        Self(meter)
    }

    /// Returns the meter of the call's connection.
    pub(super) fn meter(&self) -> &ConnectionMeter {
        &self.0
    }
}

impl Drop for MeteredCall {
    fn drop(&mut self) {
        self.0.record_idle(Instant::now());
    }
}

/// Connections of callers that are open.
#[derive(Debug, Default)]
pub(super) struct ConnectionRegistry {
    meters: Mutex<IndexMap<ConnectionNumber, Arc<ConnectionMeter>>>,
    next: AtomicU64,
    shed: AtomicU32,
    /// When connections that can be closed for room and for memory are searched for again.
    room_search: Mutex<Option<Instant>>,
    memory_search: Mutex<Option<Instant>>,
}

impl ConnectionRegistry {
    /// Adds a connection.
    pub(super) fn enter(self: &Arc<Self>, now: Instant) -> RegisteredConnection {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let meter = Arc::new(ConnectionMeter::new(now));
        lock(&self.meters).insert(number, Arc::clone(&meter));
        RegisteredConnection { registry: Arc::clone(self), number, meter }
    }

    /// Closes up to `count` connections to make room for others; returns whether there was one to
    /// close.
    pub(super) fn shed_for_room(&self, count: usize, now: Instant) -> bool {
        self.shed(&self.room_search, now, |clients| choose_for_room(clients, count, now))
    }

    /// Closes a connection to free the memory that it holds; returns whether there was one to
    /// close.
    pub(super) fn shed_for_memory(&self, now: Instant) -> bool {
        self.shed(&self.memory_search, now, |clients| {
            choose_for_memory(clients, now).into_iter().collect()
        })
    }

    fn shed(
        &self,
        search: &Mutex<Option<Instant>>,
        now: Instant,
        choose: impl FnOnce(&[(ConnectionNumber, ClientState)]) -> Vec<ConnectionNumber>,
    ) -> bool {
        if lock(search).is_some_and(|next| now < next) {
            return false;
        }
        let mut meters = lock(&self.meters);
        let clients: Vec<_> =
            meters.iter().map(|(number, meter)| (*number, meter.state())).collect();
        let chosen = choose(&clients);
        for number in &chosen {
            if let Some(meter) = meters.swap_remove(number) {
                meter.close();
                self.shed.fetch_add(1, Ordering::Relaxed);
            }
        }
        *lock(search) = chosen.is_empty().then(|| now + SEARCH_INTERVAL);
        !chosen.is_empty()
    }

    /// Returns how many connections may be closed to make room.
    pub(super) fn count_sheddable(&self, now: Instant) -> usize {
        lock(&self.meters).values().filter(|meter| meter.state().is_sheddable(now)).count()
    }

    /// Wakes the calls whose bodies are overdue, and closes the connections whose callers have read
    /// too slowly for longer than the limit.
    pub(super) fn close_overdue(&self, limit: Duration, now: Instant) {
        lock(&self.meters).retain(|_, meter| {
            meter.check_body(now);
            let is_overdue = meter.is_overdue(limit, now);
            if is_overdue {
                self.shed.fetch_add(1, Ordering::Relaxed);
                meter.close();
            }
            !is_overdue
        });
    }

    /// Returns the number of connections that were closed since the last time.
    pub(super) fn take_shed(&self) -> u32 {
        self.shed.swap(0, Ordering::Relaxed)
    }
}

/// Entry of a connection in the registry, removed when it is dropped.
#[derive(Debug)]
pub(super) struct RegisteredConnection {
    registry: Arc<ConnectionRegistry>,
    number: ConnectionNumber,
    meter: Arc<ConnectionMeter>,
}

impl RegisteredConnection {
    /// Returns the meter of the connection.
    pub(super) fn meter(&self) -> Arc<ConnectionMeter> {
        Arc::clone(&self.meter)
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        lock(&self.registry.meters).swap_remove(&self.number);
    }
}
