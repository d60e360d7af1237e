//! Capacity checks for a call at one upstream, and the cost of sending it there.

use std::time::{Duration, Instant};

use super::call::{PendingCall, PromptShape};
use super::candidates::PREFERRED_UPSTREAMS;
use super::load::UpstreamLoad;
use super::team_usage::FairLevel;
use super::waiting::LATEST_START_FRACTION;
use crate::decision::rendezvous::rendezvous_weight;
use crate::ids::{DataCentreId, NodeId, UpstreamId};
use crate::routing::ServiceEntry;

/// Fraction of a call's objective within which its first event must be expected when it is sent,
/// counted from its arrival at the dispatcher.
const START_FRACTION: f64 = 0.62;

/// The same for a call that would make an engine that is not its preferred one read shared parts
/// again. It is lower, so that under load the call waits for the engine that has them cached.
const SPILL_START_FRACTION: f64 = 0.26;

/// Lower bounds of both fractions, for a team whose usage is far above the fair level. The
/// difference is kept free for teams with less usage.
const MIN_START_FRACTION: f64 = 0.27;
const MIN_SPILL_START_FRACTION: f64 = 0.05;

/// Fraction of the usable slots for a team whose usage is far above the fair level.
const MIN_SLOT_FRACTION: f64 = 0.25;

/// Fraction of the deadline that a call too large for its objective may take on an idle engine.
const LARGE_CALL_FRACTION: f64 = 0.4;

/// Fractions of an engine's memory and connections that all routers use together.
const USABLE_MEMORY: f64 = 0.85;
const USABLE_CONNECTIONS: f64 = 0.8;

/// Calls per slot of a plain upstream that all routers may send by each other's reports. The
/// upstream queues those beyond its slots, so that no slot is idle while an answer travels.
const PLAIN_CALLS_PER_SLOT: f64 = 2.0;

/// Calls per slot of a plain upstream that are divided into fixed shares of the routers, which hold
/// whatever the reports say: the upstream declines what its short queue cannot hold.
const PLAIN_SHARED_CALLS_PER_SLOT: f64 = 4.0;

/// Reported calls per slot of a plain upstream below which a router may exceed its share.
const PLAIN_FREE_CALLS_PER_SLOT: f64 = 1.0;

/// Weight of the time to read uncached prompt tokens, relative to the expected wait.
const CACHE_MISS_WEIGHT: f64 = 8.0;

/// Probability that a preferred engine, by rank, has cached a part that this router has not sent
/// there: the other routers prefer the same engines.
const PREFERRED_CACHE_PROBABILITY: [f64; PREFERRED_UPSTREAMS] = [0.9, 0.6];

/// Fraction of the fleet's bound on calls to a cold upstream that routers use.
const COLD_RATE_FRACTION: f64 = 0.8;

/// Cost of an upstream whose recent answers were all failures, as a wait.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);

/// Cost of an upstream whose slots are all taken, as a wait.
const LOAD_PENALTY: Duration = Duration::from_millis(10);

/// Cost of an upstream in another data centre, as a wait.
const REMOTE_PENALTY: Duration = Duration::from_millis(2);

/// Bounds on the traffic of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Retries per call to a service.
    pub retry_ratio: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Retries that are allowed in a window besides.
    pub retry_slack: f64,
    /// Factor on the calls per second that a cold upstream can take.
    pub cold_factor: f64,
    /// Calls per second that a cold upstream may get besides.
    pub cold_slack: f64,
}

/// Parts of an engine's capacity that the calls of a team may use: fractions of the objective within
/// which the first event must be expected, and of the usable slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamFractions {
    start: f64,
    spill: f64,
    slots: f64,
}

/// Requirements of a call at one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallNeeds {
    /// Prompt tokens that the upstream probably has to read, as they are not in its cache.
    pub(super) uncached: u64,
    /// Rank of the upstream among those that the call prefers.
    pub(super) rank: Option<usize>,
    /// Fraction of the engine's slots that the calls of all teams may use.
    pub(super) slot_fraction: f64,
    /// Fractions for the call's team.
    pub(super) fractions: TeamFractions,
    /// When the dispatcher received the call.
    pub(super) queued_at: Instant,
}

/// Returns the fractions for calls of a team: full up to the fair level, and lower the more its
/// usage exceeds the level, so that of two teams above it the one with less usage gets more.
pub(super) fn team_fractions(team_usage: f64, level: FairLevel) -> TeamFractions {
    let fair_fraction = level.fair_fraction(team_usage);
    let between = |low: f64, high: f64| low + (high - low) * fair_fraction;
    TeamFractions {
        start: between(MIN_START_FRACTION, START_FRACTION),
        spill: between(MIN_SPILL_START_FRACTION, SPILL_START_FRACTION),
        slots: between(MIN_SLOT_FRACTION, 1.0),
    }
}

/// Returns this router's share of the connections to one upstream.
pub(super) fn connection_share(service: &ServiceEntry, routers: u32) -> u32 {
    let share =
        f64::from(service.connection_limit) * USABLE_CONNECTIONS / f64::from(routers.max(1));
    (share as u32).max(1)
}

/// Returns the calls that this router may send to a cold upstream in a second.
///
/// When there are more routers than calls, a hash of router and upstream selects the routers that
/// may send one call each.
pub(super) fn cold_share(
    service: &ServiceEntry,
    bounds: FleetBounds,
    routers: u32,
    upstream: &UpstreamId,
    node: &NodeId,
) -> u32 {
    if service.cold_rate <= 0.0 {
        return u32::MAX;
    }
    let bound = (service.cold_rate * bounds.cold_factor + bounds.cold_slack) * COLD_RATE_FRACTION;
    let share = bound / f64::from(routers.max(1));
    if share >= 1.0 {
        return share as u32;
    }
    let chance = (rendezvous_weight(upstream, node) >> 11) as f64 / (1_u64 << 53) as f64;
    u32::from(chance < share)
}

/// Returns the prompt tokens that the upstream probably has to read.
pub(super) fn expected_uncached(
    load: &UpstreamLoad,
    prompt: &PromptShape,
    rank: Option<usize>,
) -> u64 {
    let uncached = load.cache.uncached_tokens(prompt);
    let Some(rank) = rank else { return uncached };
    let last_part: u64 = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
    let shared = uncached.saturating_sub(last_part);
    last_part.min(uncached) + (shared as f64 * (1.0 - PREFERRED_CACHE_PROBABILITY[rank])) as u64
}

/// Returns whether the uncached tokens include shared parts.
fn misses_shared_parts(prompt: &PromptShape, uncached: u64) -> bool {
    uncached > prompt.parts.last().map_or(0, |part| u64::from(part.tokens))
}

/// Returns whether a call may be sent to an upstream now.
pub(super) fn has_capacity(
    load: &UpstreamLoad,
    call: &PendingCall,
    service: &ServiceEntry,
    needs: CallNeeds,
    routers: u32,
    now: Instant,
) -> bool {
    match (&call.prompt, service.memory_tokens) {
        (Some(prompt), Some(memory)) => {
            let slots = f64::from(load.entry.slots) * needs.slot_fraction * needs.fractions.slots;
            f64::from(load.running(now)) < slots
                && fits_memory(load, prompt, memory, now)
                && starts_in_time(load, call, prompt, needs, now)
        }
        _ => plain_has_capacity(load, routers, now),
    }
}

fn fits_memory(load: &UpstreamLoad, prompt: &PromptShape, memory: u64, now: Instant) -> bool {
    let held = load.held_tokens() + u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out);
    held as f64 <= memory as f64 * USABLE_MEMORY || load.running(now) == 0
}

fn starts_in_time(
    load: &UpstreamLoad,
    call: &PendingCall,
    prompt: &PromptShape,
    needs: CallNeeds,
    now: Instant,
) -> bool {
    let spilled = needs.rank != Some(0) && misses_shared_parts(prompt, needs.uncached);
    let fraction = if spilled { needs.fractions.spill } else { needs.fractions.start };
    let expected_wait = load.expected_wait(needs.uncached, now);
    let wait = expected_wait + now.duration_since(call.arrived);
    let upstream_wait = expected_wait + now.duration_since(needs.queued_at);
    if upstream_wait <= call.objective.mul_f64(fraction)
        && wait <= call.objective.mul_f64(LATEST_START_FRACTION)
    {
        return true;
    }
    let idle = load.waiting_tokens() == 0;
    idle && wait <= call.deadline.duration_since(call.arrived).mul_f64(LARGE_CALL_FRACTION)
}

/// Applies the router's fixed share, which it may exceed while the reports show free slots, since
/// load is uneven between routers.
fn plain_has_capacity(load: &UpstreamLoad, routers: u32, now: Instant) -> bool {
    let slots = f64::from(load.entry.slots);
    let running = f64::from(load.running(now));
    let share = (slots * PLAIN_SHARED_CALLS_PER_SLOT / f64::from(routers.max(1))).max(1.0);
    let within_share = f64::from(load.own.running) < share.floor();
    running < slots * PLAIN_FREE_CALLS_PER_SLOT
        || (within_share && running < slots * PLAIN_CALLS_PER_SLOT)
}

/// Returns the cost of sending a call to an upstream, in seconds; the lowest is chosen.
pub(super) fn send_cost(
    load: &UpstreamLoad,
    uncached: u64,
    own_data_centre: &DataCentreId,
    now: Instant,
) -> f64 {
    let cost = load.expected_wait(uncached, now).as_secs_f64()
        + CACHE_MISS_WEIGHT * load.read_time(uncached, now).as_secs_f64()
        + FAILURE_PENALTY.as_secs_f64() * load.failure_share()
        + LOAD_PENALTY.as_secs_f64() * f64::from(load.running(now))
            / f64::from(load.entry.slots.max(1));
    if load.entry.data_centre == *own_data_centre {
        cost
    } else {
        cost + REMOTE_PENALTY.as_secs_f64()
    }
}
