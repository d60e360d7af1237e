//! Fair share across the fleet: the bound on the fairness gap when queues exchange their accounts
//! with a delay.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use godwitcrank::decision::fair_queue::{FairLimits, FairQueue, FairnessPolicy, TeamOffer};
use godwitcrank::ids::{RequestId, TeamId};
use indexmap::IndexMap;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};

/// Maximum cost of a request in units; every slot serves one unit per step.
const MAX_COST: u64 = 24;

/// Number of simulated steps.
const STEPS: u64 = 1500;

/// One agent of the simulated fleet.
struct SimulatedAgent {
    queue: FairQueue,
    slots: usize,
    running: Vec<(RequestId, usize, u64, u64)>,
    exported: Vec<u64>,
}

/// Agents whose teams are all backlogged, and an account exchange with random delays.
struct SimulatedFleet {
    agents: Vec<SimulatedAgent>,
    shares: Vec<f64>,
    done: Vec<u64>,
    /// Messages in transit: step of delivery, receiver, team, units.
    in_transit: VecDeque<(u64, usize, usize, u64)>,
    next: RequestId,
    random_state: u64,
}

fn team(index: usize) -> TeamId {
    format!("team-{index}").into()
}

impl SimulatedFleet {
    fn new(policy: FairnessPolicy, slots: &[usize], shares: &[f64], seed: u64) -> Self {
        let agents = slots.iter().map(|slots| {
            let limits =
                FairLimits { max_lead_time: Duration::from_secs(3600), ..FairLimits::default() };
            let mut queue = FairQueue::new(policy, limits);
            let entries: Vec<(TeamId, f64)> =
                shares.iter().enumerate().map(|(index, share)| (team(index), *share)).collect();
            queue.set_shares(entries.iter().map(|(team, share)| (team, *share)));
            let exported = vec![0; shares.len()];
            SimulatedAgent { queue, slots: *slots, running: Vec::new(), exported }
        });
        Self {
            agents: agents.collect(),
            shares: shares.to_vec(),
            done: vec![0; shares.len()],
            in_transit: VecDeque::new(),
            next: 0,
            random_state: seed | 1,
        }
    }

    fn random_below(&mut self, below: u64) -> u64 {
        // xorshift64 (Marsaglia 2003): reproducible random numbers without external state.
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % below
    }

    fn fill(&mut self, agent: usize) {
        for index in 0..self.shares.len() {
            self.next += 1;
            let router = SocketAddr::from(([127, 0, 0, 1], (index + 1) as u16));
            let offer =
                TeamOffer { request: self.next, team: team(index), router, cost_hint: None };
            // An offer to a full queue is refused, which leaves the team backlogged.
            let _ = self.agents[agent].queue.offer(offer);
        }
    }

    fn step(&mut self, step: u64, staleness: u64) {
        while self.in_transit.front().is_some_and(|(at, ..)| *at <= step) {
            if let Some((_, receiver, index, units)) = self.in_transit.pop_front() {
                self.agents[receiver].queue.charge_remote(&team(index), units);
            }
        }
        for agent in 0..self.agents.len() {
            self.fill(agent);
            while self.agents[agent].running.len() < self.agents[agent].slots {
                let cost = 1 + self.random_below(MAX_COST);
                let Some(request) = self.agents[agent].queue.take() else { break };
                let teams = self.shares.len() as u128;
                let index = ((request - 1) % teams) as usize;
                self.agents[agent].running.push((request, index, 0, cost));
            }
            let mut running = std::mem::take(&mut self.agents[agent].running);
            running.retain_mut(|(request, index, done, cost)| {
                *done += 1;
                self.done[*index] += 1;
                self.agents[agent].queue.record_progress(*request, *done);
                if done < cost {
                    return true;
                }
                self.agents[agent].queue.finish(*request);
                false
            });
            self.agents[agent].running = running;
            if staleness > 0 && self.random_below(staleness) == 0 {
                self.export(agent, step, staleness);
            }
        }
    }

    /// Sends the increase of an agent's counters to all others, with independent random delays.
    fn export(&mut self, agent: usize, step: u64, staleness: u64) {
        let counters: IndexMap<TeamId, u64> = self.agents[agent]
            .queue
            .exported()
            .map(|(team, units)| (team.clone(), units))
            .collect();
        for index in 0..self.shares.len() {
            let total = counters.get(&team(index)).copied().unwrap_or(0);
            let units = total - self.agents[agent].exported[index];
            self.agents[agent].exported[index] = total;
            for receiver in (0..self.agents.len()).filter(|receiver| *receiver != agent) {
                let at = step + 1 + self.random_below(staleness);
                let place = self.in_transit.partition_point(|(other, ..)| *other <= at);
                self.in_transit.insert(place, (at, receiver, index, units));
            }
        }
    }

    fn gap(&self) -> f64 {
        let levels = self.done.iter().zip(&self.shares).map(|(done, share)| *done as f64 / share);
        let (smallest, largest) = levels
            .fold((f64::INFINITY, 0.0f64), |(smallest, largest), level| {
                (smallest.min(level), largest.max(level))
            });
        largest - smallest
    }

    /// The bound of `docs/design.md`: `(2·S·C + R·T) / w_min`.
    fn bound(&self, staleness: u64) -> f64 {
        let slots: usize = self.agents.iter().map(|agent| agent.slots).sum();
        let smallest = self.shares.iter().copied().fold(f64::INFINITY, f64::min);
        (2.0 * slots as f64 * MAX_COST as f64 + slots as f64 * staleness as f64) / smallest
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a gap that exceeds the bound of the design page, for any order and delay of
    /// the exchange's messages and any costs of requests, shares and slots.
    #[test]
    fn take_any_interleaving(
        slots in prop::collection::vec(1usize..6, 2..6),
        shares in prop::collection::vec(1u32..9, 2..6),
        staleness in 1u64..60,
        seed in any::<u64>(),
    ) {
        let shares: Vec<f64> = shares.into_iter().map(f64::from).collect();
        let mut fleet = SimulatedFleet::new(FairnessPolicy::Fleet, &slots, &shares, seed);
        // The time between two exports is geometrically distributed with mean `staleness`, and is
        // taken to be at most 20 means; each delivery takes up to another `staleness` steps.
        let bound = fleet.bound(21 * staleness);
        let mut largest = 0.0f64;
        for step in 0..STEPS {
            fleet.step(step, staleness);
            largest = largest.max(fleet.gap());
            prop_assert!(largest <= bound, "gap {largest} above {bound} at step {step}");
        }
    }
}

/// Guards against a bound that holds for any scheduling: with first-in-first-out queues the gap must
/// exceed it.
#[googletest::gtest]
fn take_fifo_leaves_bound() {
    use googletest::prelude::*;
    let run = |policy| {
        let mut fleet = SimulatedFleet::new(policy, &[4, 4, 4], &[1.0, 1.0, 8.0], 7);
        (0..STEPS).for_each(|step| fleet.step(step, 10));
        (fleet.gap(), fleet.bound(20))
    };
    let (fair, bound) = run(FairnessPolicy::Fleet);
    expect_that!(fair, lt(bound));
    let (unfair, bound) = run(FairnessPolicy::Fifo);
    expect_that!(unfair, gt(bound));
    expect_that!(unfair, gt(10.0 * fair));
}
