//! Partition detection: whether a node is cut off from the fleet and must stop accepting work.

use std::time::{Duration, Instant};

/// Time since the last successful contact after which the store or a peer counts as unreachable.
pub const CONTACT_WINDOW: Duration = Duration::from_secs(2);

/// Time since the last contact after which an isolated node stops accepting new work. A data centre
/// that was taken out of service must receive none after 5 s, which leaves 1 s for the stop.
pub const STOP_AFTER: Duration = Duration::from_secs(4);

/// Reachability of the store and the peers, as observed by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IsolationView {
    /// Whether the node reaches the store.
    pub store_reachable: bool,
    /// Whether it reaches a majority of its peers.
    pub majority_reachable: bool,
    /// Whether a reachable peer reaches the store, or `None` if no peer has reported it.
    pub peer_reaches_store: Option<bool>,
}

/// State of a node that follows from its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum IsolationState {
    /// The store is reachable.
    #[display("serving")]
    Serve,
    /// The store is down for all nodes: serve with the current configuration version.
    #[display("store down")]
    StoreDown,
    /// Only this node cannot reach the store: serve, and get configuration versions from peers.
    #[display("own store link bad")]
    OwnLinkBad,
    /// The node is probably partitioned from the fleet.
    #[display("cut off")]
    CutOff,
}

/// Determines the state of a node from its view. `docs/design.md` has the table of all cases.
pub fn classify_isolation(view: IsolationView) -> IsolationState {
    match (view.store_reachable, view.majority_reachable, view.peer_reaches_store) {
        (true, _, _) => IsolationState::Serve,
        (false, true, Some(true)) => IsolationState::OwnLinkBad,
        (false, true, Some(false) | None) => IsolationState::StoreDown,
        (false, false, _) => IsolationState::CutOff,
    }
}

/// Returns whether more than half of the known peers are reachable. False if no peer is known.
pub fn reaches_majority(reachable: usize, known: usize) -> bool {
    2 * reachable > known
}

/// Timer that stops new work once the node has been isolated for [`STOP_AFTER`].
#[derive(Clone, Copy, Debug)]
pub struct IsolationTimer {
    last_contact: Instant,
}

impl IsolationTimer {
    /// Creates the timer of a node that is connected at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_contact: now }
    }

    /// Applies a state and the time of the last contact with the store or a majority of peers, and
    /// returns whether the node accepts new work.
    pub fn observe(
        &mut self,
        state: IsolationState,
        last_contact: Option<Instant>,
        now: Instant,
    ) -> bool {
        if state != IsolationState::CutOff {
            self.last_contact = now;
            return true;
        }
        // A node is detected as cut off only one contact window after its last contact, so the
        // time is measured from that contact.
        self.last_contact = last_contact.map_or(self.last_contact, |at| at.min(self.last_contact));
        now.saturating_duration_since(self.last_contact) < STOP_AFTER
    }
}
