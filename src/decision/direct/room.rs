//! Whether an upstream has room for a call, and what the call costs there.

use std::time::{Duration, Instant};

use super::call::{ArrivingCall, PromptShape};
use super::candidates::PREFERRED_UPSTREAMS;
use super::load::UpstreamLoad;
use super::team_usage::FairLevel;
use crate::decision::rendezvous::rendezvous_weight;
use crate::ids::{DataCentreId, NodeId, UpstreamId};
use crate::routing::ServiceEntry;

/// Part of a call's objective within which its first event must be expected when it is sent.
const START_PART: f64 = 0.62;

/// The same for a call that would read shared parts again at an engine that others do not prefer:
/// under load it rather waits for the engine that has kept them.
const SPILL_START_PART: f64 = 0.26;

/// The least of both parts, for a team whose use is far above what it is owed. What lies between
/// is kept free for teams that have had less.
const LEAST_START_PART: f64 = 0.27;
const LEAST_SPILL_START_PART: f64 = 0.05;

/// Part of the deadline that a call larger than the objective allows may take on an idle engine.
const LARGE_CALL_PART: f64 = 0.4;

/// Part of an engine's slots, memory and connections that routers use together.
const USED_SLOTS: f64 = 0.9;
const USED_MEMORY: f64 = 0.85;
const USED_CONNECTIONS: f64 = 0.8;

/// Calls at a plain upstream for each of its slots that routers send by each other's reports: some
/// wait there, so that none of its slots is idle while an answer travels.
const PLAIN_CALLS_PER_SLOT: f64 = 2.0;

/// Calls at a plain upstream for each of its slots that all routers may have there together
/// whatever the reports say: the upstream declines what its short queue cannot hold.
const PLAIN_SHARE_PER_SLOT: f64 = 4.0;

/// Calls at a plain upstream for each of its slots up to which a router may exceed its share.
const PLAIN_BEYOND_SHARE: f64 = 1.0;

/// Weight of reading shared parts again beside the wait that it causes.
const REREAD_WEIGHT: f64 = 8.0;

/// Chance that the first engines in a part's order have kept the part though this router has not
/// sent it there: its peers prefer the same engines.
const CHOICE_KEPT: [f64; PREFERRED_UPSTREAMS] = [0.9, 0.6];

/// Part of the fleet's bound on calls to a cold upstream that is used.
const USED_COLD_PART: f64 = 0.8;

/// Penalty of an upstream whose recent answers were all failures, as a wait.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);

/// Penalty of an upstream whose slots are all taken, as a wait.
const LOAD_PENALTY: Duration = Duration::from_millis(10);

/// Penalty of an upstream in another data centre, as a wait.
const DISTANCE_PENALTY: Duration = Duration::from_millis(2);

/// Bounds that hold for all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Repeats for each call to a service.
    pub retry_ratio: f64,
    /// Window of the budget for retries.
    pub retry_window: Duration,
    /// Repeats that are allowed besides.
    pub retry_slack: f64,
    /// Factor on a cold upstream's calls a second.
    pub cold_factor: f64,
    /// Calls a second that a cold upstream may get besides.
    pub cold_slack: f64,
}

/// Parts of the objective within which a call's first event must be expected.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartParts {
    start: f64,
    spill: f64,
}

/// What a call needs at an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallNeed {
    /// Prompt tokens that the upstream probably has to read.
    pub(super) missing: u64,
    /// Place of the upstream among those that the call prefers.
    pub(super) rank: Option<usize>,
    /// Parts of the objective for the call's team.
    pub(super) parts: StartParts,
}

/// Parts of the objective for calls of a team: full up to the owed level, less with each step of
/// use above it, so that of two teams above it the one that had less gets more.
pub(super) fn start_parts(team_usage: f64, level: FairLevel) -> StartParts {
    let owed = level.fair_fraction(team_usage);
    let between = |least: f64, full: f64| least + (full - least) * owed;
    StartParts {
        start: between(LEAST_START_PART, START_PART),
        spill: between(LEAST_SPILL_START_PART, SPILL_START_PART),
    }
}

/// Connections to one upstream that this router may use.
pub(super) fn connection_share(service: &ServiceEntry, routers: u32) -> u32 {
    let share = f64::from(service.connection_limit) * USED_CONNECTIONS / f64::from(routers.max(1));
    (share as u32).max(1)
}

/// Calls that this router may send to a cold upstream in a second.
///
/// Where there are more routers than calls, a hash of router and upstream picks the routers that
/// may send one.
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
    let bound = (service.cold_rate * bounds.cold_factor + bounds.cold_slack) * USED_COLD_PART;
    let share = bound / f64::from(routers.max(1));
    if share >= 1.0 {
        return share as u32;
    }
    let chance = (rendezvous_weight(upstream, node) >> 11) as f64 / (1_u64 << 53) as f64;
    u32::from(chance < share)
}

/// Prompt tokens that the upstream probably has to read.
pub(super) fn expected_missing(
    load: &UpstreamLoad,
    prompt: &PromptShape,
    rank: Option<usize>,
) -> u64 {
    let missing = load.memory.missing_tokens(prompt);
    let Some(rank) = rank else { return missing };
    let own: u64 = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
    let shared = missing.saturating_sub(own);
    own.min(missing) + (shared as f64 * (1.0 - CHOICE_KEPT[rank])) as u64
}

/// Returns whether the prompt tokens to read include shared ones.
fn lacks_shared(prompt: &PromptShape, missing: u64) -> bool {
    missing > prompt.parts.last().map_or(0, |part| u64::from(part.tokens))
}

/// Returns whether a call may be sent to an upstream now.
pub(super) fn has_room(
    load: &UpstreamLoad,
    call: &ArrivingCall,
    service: &ServiceEntry,
    need: CallNeed,
    routers: u32,
    now: Instant,
) -> bool {
    match (&call.prompt, service.memory_tokens) {
        (Some(prompt), Some(memory)) => {
            let slots = f64::from(load.entry.slots) * USED_SLOTS;
            f64::from(load.running()) < slots
                && fits_memory(load, prompt, memory)
                && starts_in_time(load, call, prompt, need, now)
        }
        _ => plain_has_room(load, routers),
    }
}

fn fits_memory(load: &UpstreamLoad, prompt: &PromptShape, memory: u64) -> bool {
    let held = load.held_tokens() + u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out);
    held as f64 <= memory as f64 * USED_MEMORY || load.running() == 0
}

fn starts_in_time(
    load: &UpstreamLoad,
    call: &ArrivingCall,
    prompt: &PromptShape,
    need: CallNeed,
    now: Instant,
) -> bool {
    let spilled = need.rank != Some(0) && lacks_shared(prompt, need.missing);
    let part = if spilled { need.parts.spill } else { need.parts.start };
    let wait = load.expected_wait(need.missing) + now.duration_since(call.arrived);
    if wait <= call.objective.mul_f64(part) {
        return true;
    }
    let idle = load.own.waiting_tokens + load.peers.waiting_tokens == 0;
    idle && wait <= call.deadline.duration_since(call.arrived).mul_f64(LARGE_CALL_PART)
}

/// A router whose callers want more than those of the others may exceed its share while the
/// reports say that slots are free.
fn plain_has_room(load: &UpstreamLoad, routers: u32) -> bool {
    let slots = f64::from(load.entry.slots);
    let running = f64::from(load.running());
    let share = (slots * PLAIN_SHARE_PER_SLOT / f64::from(routers.max(1))).max(1.0);
    let within_share = f64::from(load.own.running) < share.floor();
    running < slots * PLAIN_BEYOND_SHARE || (within_share && running < slots * PLAIN_CALLS_PER_SLOT)
}

/// Cost of sending a call to an upstream, in seconds; the lowest is chosen.
pub(super) fn send_cost(load: &UpstreamLoad, missing: u64, own_centre: &DataCentreId) -> f64 {
    let cost = load.expected_wait(missing).as_secs_f64()
        + REREAD_WEIGHT * load.read_time(missing).as_secs_f64()
        + FAILURE_PENALTY.as_secs_f64() * load.failure_share()
        + LOAD_PENALTY.as_secs_f64() * f64::from(load.running())
            / f64::from(load.entry.slots.max(1));
    if load.entry.data_centre == *own_centre { cost } else { cost + DISTANCE_PENALTY.as_secs_f64() }
}
