//! Weighted fair queue of an agent: chooses the team whose offer takes the next free slot.
//!
//! Every team has a virtual time: the service that it received from the whole fleet, divided by its
//! share. The waiting team with the lowest virtual time is next. A request is charged an estimate
//! when it is taken; the charge grows with the work done and is corrected to the actual cost at the
//! end. Service by other agents is added through the account exchange. `docs/design.md` derives the
//! bound on the difference between virtual times.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use indexmap::{IndexMap, IndexSet};

use crate::ids::{RequestId, TeamId};

/// Weight of the newest request in the moving average of a team's request cost.
const MEAN_COST_WEIGHT: f64 = 0.2;

/// Weight of the newest sample in the moving average of the fleet's service rate.
const RATE_WEIGHT: f64 = 0.3;

/// Shortest interval over which the service rate is sampled; shorter samples are mostly noise.
const MIN_RATE_SAMPLE: Duration = Duration::from_millis(100);

/// Share of a team that the configuration does not list, or does not list yet.
const DEFAULT_SHARE: f64 = 1.0;

/// Criterion by which the queue orders offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub enum FairnessPolicy {
    /// Service received from the whole fleet, per share.
    #[default]
    #[display("fleet")]
    Fleet,
    /// Service received from this agent only, per share.
    #[display("local")]
    Local,
    /// Order of arrival, as a baseline for comparison.
    #[display("fifo")]
    Fifo,
}

/// Limits of the fair queue.
#[derive(Clone, Copy, Debug)]
pub struct FairLimits {
    /// Maximum number of waiting offers per team and router.
    pub router_offers: usize,
    /// Maximum number of waiting offers in total.
    pub offers: usize,
    /// Charge in units for a request of a team whose mean cost is unknown.
    pub default_cost: u64,
    /// Maximum lead of a team over the backlogged team with the lowest virtual time, as time of the
    /// whole fleet's work. A team with a lead gets no service until the others have caught up, so
    /// this bounds its wait.
    pub max_lead_time: Duration,
}

impl Default for FairLimits {
    fn default() -> Self {
        Self {
            router_offers: 64,
            offers: 16384,
            default_cost: 32,
            // Each backlogged team must get 90% of its portion in any 10 s, which allows a lead of
            // 1 s. Half of that leaves room for requests that are running.
            max_lead_time: Duration::from_millis(500),
        }
    }
}

/// The part of an offer that the fair queue needs.
#[derive(Clone, Debug)]
pub struct TeamOffer {
    /// Offered request.
    pub request: RequestId,
    /// Team that is charged.
    pub team: TeamId,
    /// Router that holds the request.
    pub router: SocketAddr,
    /// Expected cost in units, if the caller gave one.
    pub cost_hint: Option<f64>,
}

/// Reason for not queueing an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum FairRefusal {
    /// The router already has the maximum number of offers of this team in the queue.
    #[display("too many offers of one team and router wait")]
    RouterFull,
    /// The queue is full.
    #[display("too many offers wait")]
    Full,
}

/// Units charged for a running request, and units of work done.
#[derive(Clone, Debug)]
struct RunningCharge {
    team: TeamId,
    charged: u64,
    done: u64,
}

/// Virtual time, charges and waiting offers of one team.
#[derive(Clone, Debug)]
struct TeamQueue {
    share: f64,
    virtual_time: f64,
    /// Units charged by this agent, including the estimates of running requests.
    charged: u64,
    /// Maximum of `charged` so far. The account exchange needs counters that never decrease.
    exported: u64,
    mean_cost: Option<f64>,
    waiting: VecDeque<WaitingOffer>,
    backlogged_elsewhere: bool,
}

#[derive(Clone, Debug)]
struct WaitingOffer {
    order: u64,
    request: RequestId,
    router: SocketAddr,
    cost_hint: Option<f64>,
}

impl TeamQueue {
    fn new(share: f64) -> Self {
        Self {
            share,
            virtual_time: 0.0,
            charged: 0,
            exported: 0,
            mean_cost: None,
            waiting: VecDeque::new(),
            backlogged_elsewhere: false,
        }
    }

    fn is_backlogged(&self) -> bool {
        self.backlogged_elsewhere || !self.waiting.is_empty()
    }

    fn charge(&mut self, units: u64) {
        self.charged += units;
        self.exported = self.exported.max(self.charged);
        self.virtual_time += units as f64 / self.share;
    }

    fn refund(&mut self, units: u64) {
        self.charged -= units;
        self.virtual_time -= units as f64 / self.share;
    }

    fn estimate(&self, hint: Option<f64>, default_cost: u64) -> u64 {
        // Hints are imprecise, so the team's mean cost takes precedence.
        let cost = self.mean_cost.or(hint).unwrap_or(default_cost as f64);
        cost.round().clamp(1.0, u32::MAX.into()) as u64
    }
}

/// Moving average of the fleet's service rate.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceRate {
    since: Option<Instant>,
    units: u64,
    per_second: f64,
}

impl ServiceRate {
    fn count(&mut self, units: u64) {
        self.units += units;
    }

    fn sample(&mut self, now: Instant) {
        let Some(since) = self.since else {
            *self = Self { since: Some(now), units: 0, per_second: 0.0 };
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed < MIN_RATE_SAMPLE {
            return;
        }
        let sample = self.units as f64 / elapsed.as_secs_f64();
        let weight = if self.per_second == 0.0 { 1.0 } else { RATE_WEIGHT };
        let per_second = self.per_second + weight * (sample - self.per_second);
        *self = Self { since: Some(now), units: 0, per_second };
    }
}

/// Waiting offers and running charges of all teams.
#[derive(Debug)]
pub struct FairQueue {
    policy: FairnessPolicy,
    limits: FairLimits,
    teams: IndexMap<TeamId, TeamQueue>,
    waiting: IndexMap<RequestId, TeamId>,
    running: IndexMap<RequestId, RunningCharge>,
    next_order: u64,
    /// Highest virtual time at which an offer was taken; a team that becomes backlogged while no
    /// other is starts here.
    virtual_time_floor: f64,
    rate: ServiceRate,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(policy: FairnessPolicy, limits: FairLimits) -> Self {
        Self {
            policy,
            limits,
            teams: IndexMap::new(),
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            next_order: 0,
            virtual_time_floor: 0.0,
            rate: ServiceRate::default(),
        }
    }

    /// Sets the teams' shares. Virtual times stay as they are, so a changed share only affects
    /// later charges.
    pub fn set_shares<'a>(&mut self, shares: impl IntoIterator<Item = (&'a TeamId, f64)>) {
        for (team, share) in shares {
            self.team(team).share = if share > 0.0 { share } else { DEFAULT_SHARE };
        }
    }

    /// Queues an offer. An offer of a request that is already queued or running is ignored.
    pub fn offer(&mut self, offer: TeamOffer) -> Result<(), FairRefusal> {
        let TeamOffer { request, team, router, cost_hint } = offer;
        if self.waiting.contains_key(&request) || self.running.contains_key(&request) {
            return Ok(());
        }
        if self.waiting.len() >= self.limits.offers {
            return Err(FairRefusal::Full);
        }
        // The FIFO baseline has no limit per router, because that would already be a form of
        // fairness.
        let limit = match self.policy {
            FairnessPolicy::Fifo => usize::MAX,
            FairnessPolicy::Fleet | FairnessPolicy::Local => self.limits.router_offers,
        };
        let queue = self.team(&team);
        if queue.waiting.iter().filter(|waiting| waiting.router == router).count() >= limit {
            return Err(FairRefusal::RouterFull);
        }
        if !queue.is_backlogged() {
            self.raise_to_lowest_backlogged(&team);
        }
        let order = self.next_order;
        self.next_order += 1;
        let waiting = WaitingOffer { order, request, router, cost_hint };
        self.team(&team).waiting.push_back(waiting);
        self.waiting.insert(request, team);
        Ok(())
    }

    /// Removes a waiting offer.
    pub fn withdraw(&mut self, request: RequestId) {
        if let Some(team) = self.waiting.swap_remove(&request) {
            self.team(&team).waiting.retain(|waiting| waiting.request != request);
        }
    }

    /// Takes the next offer and charges its team the estimated cost.
    pub fn take(&mut self) -> Option<RequestId> {
        let team = self.next_team()?;
        let default_cost = self.limits.default_cost;
        let queue = self.team(&team);
        let offer = queue.waiting.pop_front()?;
        let estimate = queue.estimate(offer.cost_hint, default_cost);
        let virtual_time = queue.virtual_time;
        queue.charge(estimate);
        if self.policy != FairnessPolicy::Fifo {
            self.virtual_time_floor = self.virtual_time_floor.max(virtual_time);
        }
        self.rate.count(estimate);
        self.waiting.swap_remove(&offer.request);
        let charge = RunningCharge { team, charged: estimate, done: 0 };
        self.running.insert(offer.request, charge);
        Some(offer.request)
    }

    /// Records the units done so far. Work beyond the estimate is charged immediately.
    pub fn record_progress(&mut self, request: RequestId, done: u64) {
        let Some(charge) = self.running.get_mut(&request) else { return };
        charge.done = charge.done.max(done);
        let excess = charge.done.saturating_sub(charge.charged);
        if excess == 0 {
            return;
        }
        charge.charged += excess;
        let team = charge.team.clone();
        self.team(&team).charge(excess);
        self.rate.count(excess);
    }

    /// Ends a request: corrects its charge to the units done and updates the team's mean cost.
    pub fn finish(&mut self, request: RequestId) {
        let Some(charge) = self.running.swap_remove(&request) else { return };
        let queue = self.team(&charge.team);
        queue.refund(charge.charged - charge.done);
        let cost = charge.done as f64;
        queue.mean_cost =
            Some(queue.mean_cost.map_or(cost, |mean| mean + MEAN_COST_WEIGHT * (cost - mean)));
    }

    /// Ends a request that was not run: refunds its charge and leaves the mean cost unchanged.
    pub fn abandon(&mut self, request: RequestId) {
        if let Some(charge) = self.running.swap_remove(&request) {
            self.team(&charge.team).refund(charge.charged);
        }
    }

    /// Charges a team for service by other agents.
    pub fn charge_remote(&mut self, team: &TeamId, units: u64) {
        if self.policy == FairnessPolicy::Fleet && units > 0 {
            let queue = self.team(team);
            queue.virtual_time += units as f64 / queue.share;
            self.rate.count(units);
        }
    }

    /// Replaces the set of teams with waiting requests at other agents.
    pub fn set_backlogged_elsewhere(&mut self, teams: &IndexSet<TeamId>) {
        if self.policy != FairnessPolicy::Fleet {
            return;
        }
        for team in teams {
            if !self.team(team).is_backlogged() {
                self.raise_to_lowest_backlogged(team);
            }
        }
        for (team, queue) in &mut self.teams {
            queue.backlogged_elsewhere = teams.contains(team);
        }
    }

    /// Caps each team's lead over the lowest virtual time of a backlogged team. Called after
    /// service by other agents was added, because the end of a long partition reports much of it at
    /// once.
    pub fn cap_lead(&mut self, now: Instant) {
        self.rate.sample(now);
        let backlogged = self.teams.values().filter(|queue| queue.is_backlogged());
        let (lowest, shares) = backlogged.fold((f64::INFINITY, 0.0), |(lowest, shares), queue| {
            (queue.virtual_time.min(lowest), shares + queue.share)
        });
        if self.rate.per_second <= 0.0 || !lowest.is_finite() {
            return;
        }
        let lead = self.limits.max_lead_time.as_secs_f64() * self.rate.per_second / shares;
        for queue in self.teams.values_mut() {
            // At low service rates the lead is shorter than one request, so two requests at the
            // estimated cost are added to it.
            let request = queue.estimate(None, self.limits.default_cost) as f64 / queue.share;
            queue.virtual_time = queue.virtual_time.min(lowest + lead + 2.0 * request);
        }
    }

    /// Sets the maximum lead for [`Self::cap_lead`]; it must cover the delay of the exchange.
    pub fn set_max_lead_time(&mut self, max_lead_time: Duration) {
        self.limits.max_lead_time = max_lead_time;
    }

    /// Units charged by this agent per team, as counters that never decrease.
    pub fn exported(&self) -> impl Iterator<Item = (&TeamId, u64)> {
        self.teams.iter().map(|(team, queue)| (team, queue.exported))
    }

    /// Units charged by this agent to a team, after corrections.
    pub fn charged(&self, team: &str) -> u64 {
        self.teams.get(team).map_or(0, |queue| queue.charged)
    }

    /// Virtual time of a team.
    pub fn virtual_time(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |queue| queue.virtual_time)
    }

    /// Teams with waiting offers.
    pub fn backlogged(&self) -> impl Iterator<Item = &TeamId> {
        self.teams.iter().filter(|(_, queue)| !queue.waiting.is_empty()).map(|(team, _)| team)
    }

    /// Number of waiting offers.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn team(&mut self, team: &TeamId) -> &mut TeamQueue {
        self.teams.entry(team.clone()).or_insert_with(|| TeamQueue::new(DEFAULT_SHARE))
    }

    /// Raises the virtual time of a team that becomes backlogged to the lowest of the backlogged
    /// teams, so that idle time earns no credit.
    fn raise_to_lowest_backlogged(&mut self, team: &TeamId) {
        let backlogged =
            self.teams.iter().filter(|(id, queue)| *id != team && queue.is_backlogged());
        let lowest = backlogged.map(|(_, queue)| queue.virtual_time).reduce(f64::min);
        let target = lowest.unwrap_or(self.virtual_time_floor);
        let queue = self.team(team);
        queue.virtual_time = queue.virtual_time.max(target);
    }

    fn next_team(&self) -> Option<TeamId> {
        let waiting = self.teams.iter().filter_map(|(team, queue)| {
            queue.waiting.front().map(|offer| (team, queue.virtual_time, offer.order))
        });
        let first = match self.policy {
            FairnessPolicy::Fifo => waiting.min_by_key(|(_, _, order)| *order),
            FairnessPolicy::Fleet | FairnessPolicy::Local => {
                waiting.min_by(|left, right| left.1.total_cmp(&right.1).then(left.2.cmp(&right.2)))
            }
        };
        first.map(|(team, _, _)| team.clone())
    }
}
