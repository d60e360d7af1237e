//! Chooses the callers' connections that are closed when connections or memory run short: those
//! that hold most and move least.

use std::time::{Duration, Instant};

/// Time without a call after which a connection that never carried one with a route may be closed.
const MIN_UNUSED_TIME: Duration = Duration::from_millis(100);

/// Time after which a body that is not complete, or an answer that is not read, counts as stalled.
const MIN_STALLED_TIME: Duration = Duration::from_millis(500);

/// Time without a call after which a connection that carried calls may be closed.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// Memory of a connection besides the bodies that it carries, in bytes.
const BASE_BYTES: usize = 20 << 10;

/// What a caller's connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPhase {
    /// It has not carried a call with a route yet; the head of one may be incomplete.
    Unused,
    /// It has carried calls and carries none now.
    Idle,
    /// The body of a call is incomplete.
    Receiving,
    /// A call is in progress.
    Running,
    /// The caller does not read an answer.
    Unread,
}

/// State of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientState {
    /// What it does.
    pub phase: ClientPhase,
    /// When the phase began.
    pub since: Instant,
    /// Memory of the body or the answer that it carries, in bytes.
    pub held_bytes: usize,
}

impl ClientState {
    /// Creates the state of a phase that begins now and holds nothing yet.
    pub fn new(phase: ClientPhase, since: Instant) -> Self {
        Self { phase, since, held_bytes: 0 }
    }

    /// Returns whether the connection takes up room without a complete call.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let min_time = match self.phase {
            ClientPhase::Unused => MIN_UNUSED_TIME,
            ClientPhase::Receiving | ClientPhase::Unread => MIN_STALLED_TIME,
            ClientPhase::Idle | ClientPhase::Running => return false,
        };
        self.time(now) >= min_time
    }

    /// Returns whether the connection may be closed to make room for another one.
    pub fn is_sheddable(&self, now: Instant) -> bool {
        self.is_stalled(now) || self.is_idle(now)
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.phase == ClientPhase::Idle && self.time(now) >= MIN_IDLE_TIME
    }

    fn time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns the memory that it holds, weighted by the time for which it holds it.
    fn weight(&self, now: Instant) -> f64 {
        (BASE_BYTES + self.held_bytes) as f64 * self.time(now).as_secs_f64()
    }
}

/// Chooses the connections to close when there are too many: up to `count` stalled ones, those of
/// the most weight first, or without any the one that has been idle longest.
pub fn choose_for_room<K: Copy>(
    clients: &[(K, ClientState)],
    count: usize,
    now: Instant,
) -> Vec<K> {
    let mut stalled: Vec<&(K, ClientState)> =
        clients.iter().filter(|(_, state)| state.is_stalled(now)).collect();
    if stalled.is_empty() {
        let idle = clients.iter().filter(|(_, state)| state.is_idle(now));
        return idle
            .min_by_key(|(_, state)| state.since)
            .map(|(key, _)| *key)
            .into_iter()
            .collect();
    }
    stalled.sort_by(|(_, one), (_, other)| other.weight(now).total_cmp(&one.weight(now)));
    stalled.into_iter().take(count).map(|(key, _)| *key).collect()
}

/// Chooses the connection to close when memory is short: the stalled one of the most weight among
/// those that hold memory for bodies or answers.
pub fn choose_for_memory<K: Copy>(clients: &[(K, ClientState)], now: Instant) -> Option<K> {
    clients
        .iter()
        .filter(|(_, state)| state.held_bytes > 0 && state.is_stalled(now))
        .max_by(|(_, one), (_, other)| one.weight(now).total_cmp(&other.weight(now)))
        .map(|(key, _)| *key)
}
