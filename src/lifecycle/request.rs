//! Life cycles of a request at the router and at the agent.
//!
//! Router: [`QueuedRequest`] → [`ReservedRequest`] → [`RunningRequest`] → [`AnsweredRequest`].
//! Agent: [`OfferedRequest`] → [`ClaimedRequest`] → [`StartedRequest`] → [`FinishedRequest`].

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::decision::claim::HeldClaim;
use crate::decision::quarantine::RequestFingerprint;
use crate::ids::{AttemptId, RequestId, RouteId, ServiceId, TeamId, UpstreamId, VersionId};

/// Properties of a request that the fleet needs to place it.
#[derive(Clone, Debug)]
pub struct RequestTicket {
    /// Id of the request.
    pub id: RequestId,
    /// Team that is charged for it.
    pub team: TeamId,
    /// Service that it calls.
    pub service: ServiceId,
    /// Route of the service, or empty if no route is declared for the path.
    pub route: RouteId,
    /// Version that it is pinned to by a version move.
    pub version: Option<VersionId>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Expected cost in units of service, if the caller gave a hint.
    pub cost_hint: Option<f64>,
    /// Hash of the prompt prefix, for cache affinity.
    pub prefix_hash: Option<u64>,
    /// Whether it must be the only running request on its upstream.
    pub run_alone: bool,
    /// Hash of service, route and body, which identifies requests that crash upstreams.
    pub fingerprint: RequestFingerprint,
}

/// A request that waits at the router and has no reservation.
#[derive(Debug)]
pub struct QueuedRequest {
    ticket: RequestTicket,
    queued_at: Instant,
}

/// A request with reservations at one or more agents.
#[derive(Debug)]
pub struct ReservedRequest {
    ticket: RequestTicket,
    queued_at: Instant,
    first_offered_at: Instant,
    holders: IndexSet<UpstreamId>,
}

/// A request that was granted to an agent.
#[derive(Debug)]
pub struct RunningRequest {
    ticket: RequestTicket,
    queued_at: Instant,
    agent: UpstreamId,
    attempt: AttemptId,
}

/// A request whose response is complete.
#[derive(Debug)]
pub struct AnsweredRequest {
    ticket: RequestTicket,
    total_time: Duration,
}

impl QueuedRequest {
    /// Queues a new request at `now`.
    pub fn new(ticket: RequestTicket, now: Instant) -> Self {
        Self { ticket, queued_at: now }
    }

    /// Ticket of the request.
    pub fn ticket(&self) -> &RequestTicket {
        &self.ticket
    }

    /// Time at which the request was queued.
    pub fn queued_at(&self) -> Instant {
        self.queued_at
    }

    /// Pins the request to a version, or removes the pin.
    pub fn pin(&mut self, version: Option<VersionId>) {
        self.ticket.version = version;
    }

    /// Adds the first reservation.
    pub fn reserve(self, agent: UpstreamId, now: Instant) -> ReservedRequest {
        ReservedRequest {
            ticket: self.ticket,
            queued_at: self.queued_at,
            first_offered_at: now,
            holders: IndexSet::from([agent]),
        }
    }
}

impl ReservedRequest {
    /// Ticket of the request.
    pub fn ticket(&self) -> &RequestTicket {
        &self.ticket
    }

    /// Time at which the request was queued.
    pub fn queued_at(&self) -> Instant {
        self.queued_at
    }

    /// Time of the first offer.
    pub fn first_offered_at(&self) -> Instant {
        self.first_offered_at
    }

    /// Agents with a reservation.
    pub fn holders(&self) -> &IndexSet<UpstreamId> {
        &self.holders
    }

    /// Adds another reservation.
    pub fn add_holder(&mut self, agent: UpstreamId) {
        self.holders.insert(agent);
    }

    /// Removes a reservation that an agent has refused or lost.
    pub fn remove_holder(&mut self, agent: &str) {
        self.holders.shift_remove(agent);
    }

    /// Requires that the request runs alone from now on.
    pub fn set_run_alone(&mut self) {
        self.ticket.run_alone = true;
    }

    /// Grants the request to one agent, and returns the other agents with a reservation, which is
    /// now void.
    pub fn grant(
        mut self,
        agent: UpstreamId,
        attempt: AttemptId,
    ) -> (RunningRequest, IndexSet<UpstreamId>) {
        self.holders.shift_remove(&agent);
        let running =
            RunningRequest { ticket: self.ticket, queued_at: self.queued_at, agent, attempt };
        (running, self.holders)
    }

    /// Returns the request to the queue when no agent has a reservation any more.
    pub fn requeue(self) -> QueuedRequest {
        QueuedRequest { ticket: self.ticket, queued_at: self.queued_at }
    }
}

impl RunningRequest {
    /// Ticket of the request.
    pub fn ticket(&self) -> &RequestTicket {
        &self.ticket
    }

    /// Agent that the request was granted to.
    pub fn agent(&self) -> &UpstreamId {
        &self.agent
    }

    /// Attempt of the agent.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Requires that the request runs alone from now on.
    pub fn set_run_alone(&mut self) {
        self.ticket.run_alone = true;
    }

    /// Returns the request to the queue. Its waiting time starts again, because a request that ran
    /// for a long time has not been waiting since its arrival. Must only be called for a request
    /// that did not run or that may run again.
    pub fn requeue(self, now: Instant) -> QueuedRequest {
        QueuedRequest { ticket: self.ticket, queued_at: now }
    }

    /// Ends the life cycle when the response is complete.
    pub fn answer(self, now: Instant) -> AnsweredRequest {
        AnsweredRequest { ticket: self.ticket, total_time: now.duration_since(self.queued_at) }
    }
}

impl AnsweredRequest {
    /// Ticket of the request.
    pub fn ticket(&self) -> &RequestTicket {
        &self.ticket
    }

    /// Time between queueing and the end of the response.
    pub fn total_time(&self) -> Duration {
        self.total_time
    }
}

/// A request that a router offered to this agent.
#[derive(Clone, Debug)]
pub struct OfferedRequest {
    /// Ticket of the request.
    pub ticket: RequestTicket,
    /// Peer address of the router that holds the body.
    pub router: SocketAddr,
    /// Time at which the agent received the offer.
    pub offered_at: Instant,
}

/// Permission to send a request to an upstream.
#[derive(Debug)]
pub enum RunPermit {
    /// The request may run more than once.
    Repeatable,
    /// The request's claim is held.
    Claimed(HeldClaim),
}

/// A request that this agent has exclusive permission to run.
#[derive(Debug)]
pub struct ClaimedRequest {
    ticket: RequestTicket,
    permit: RunPermit,
}

/// A request that was sent to the upstream.
#[derive(Debug)]
pub struct StartedRequest {
    ticket: RequestTicket,
    permit: RunPermit,
    started_at: Instant,
}

/// A request whose run has ended.
#[derive(Debug)]
pub struct FinishedRequest {
    ticket: RequestTicket,
    ran_for: Duration,
}

impl OfferedRequest {
    /// Records that the router has granted the request and, if it is not repeatable, that its claim
    /// is held.
    pub fn claim(self, permit: RunPermit) -> ClaimedRequest {
        ClaimedRequest { ticket: self.ticket, permit }
    }
}

impl ClaimedRequest {
    /// Ticket of the request.
    pub fn ticket(&self) -> &RequestTicket {
        &self.ticket
    }

    /// Records that the request is sent to the upstream.
    pub fn start(self, now: Instant) -> StartedRequest {
        StartedRequest { ticket: self.ticket, permit: self.permit, started_at: now }
    }
}

impl StartedRequest {
    /// Ticket of the request.
    pub fn ticket(&self) -> &RequestTicket {
        &self.ticket
    }

    /// Ends the life cycle, whatever the outcome. The permit is returned because the outcome must
    /// be stored in its claim row.
    pub fn finish(self, now: Instant) -> (FinishedRequest, RunPermit) {
        let ran_for = now.duration_since(self.started_at);
        (FinishedRequest { ticket: self.ticket, ran_for }, self.permit)
    }
}

impl FinishedRequest {
    /// Ticket of the request.
    pub fn ticket(&self) -> &RequestTicket {
        &self.ticket
    }

    /// Duration of the run.
    pub fn ran_for(&self) -> Duration {
        self.ran_for
    }
}
