//! Fair share across the fleet: the bound on the gap, with queues that exchange accounts late.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use godwitcrank::decision::fair_queue::{FairLimits, FairQueue, FairnessPolicy, TeamOffer};
use godwitcrank::ids::{RequestId, TeamId};
use indexmap::IndexMap;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};

/// Largest request in units; every slot does one unit per step.
const LARGEST: u64 = 24;

/// Steps that the simulated fleet runs for.
const STEPS: u64 = 1500;

/// One agent of the simulated fleet.
struct SimulatedAgent {
    queue: FairQueue,
    slots: usize,
    running: Vec<(RequestId, usize, u64, u64)>,
    exported: Vec<u64>,
}

/// Agents with backlogged teams and an exchange that is late by up to `staleness` steps.
struct SimulatedShare {
    agents: Vec<SimulatedAgent>,
    shares: Vec<f64>,
    done: Vec<u64>,
    /// Step of delivery, receiver, team, units.
    mail: VecDeque<(u64, usize, usize, u64)>,
    next: RequestId,
    noise: u64,
}

fn team(index: usize) -> TeamId {
    format!("team-{index}").into()
}

impl SimulatedShare {
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
            mail: VecDeque::new(),
            next: 0,
            noise: seed | 1,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        // xorshift64 (Marsaglia 2003): repeatable noise without state outside of the test.
        self.noise ^= self.noise << 13;
        self.noise ^= self.noise >> 7;
        self.noise ^= self.noise << 17;
        self.noise % below
    }

    fn fill(&mut self, agent: usize) {
        for index in 0..self.shares.len() {
            self.next += 1;
            let router = SocketAddr::from(([127, 0, 0, 1], (index + 1) as u16));
            let offer =
                TeamOffer { request: self.next, team: team(index), router, cost_hint: None };
            // A full queue is backlogged enough.
            let _ = self.agents[agent].queue.offer(offer);
        }
    }

    fn step(&mut self, step: u64, staleness: u64) {
        while self.mail.front().is_some_and(|(at, ..)| *at <= step) {
            if let Some((_, receiver, index, units)) = self.mail.pop_front() {
                self.agents[receiver].queue.charge_remote(&team(index), units);
            }
        }
        for agent in 0..self.agents.len() {
            self.fill(agent);
            while self.agents[agent].running.len() < self.agents[agent].slots {
                let cost = 1 + self.draw(LARGEST);
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
            if staleness > 0 && self.draw(staleness) == 0 {
                self.export(agent, step, staleness);
            }
        }
    }

    /// Sends the growth of an agent's counters to all others, each at a time of its own.
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
                let at = step + 1 + self.draw(staleness);
                let place = self.mail.partition_point(|(other, ..)| *other <= at);
                self.mail.insert(place, (at, receiver, index, units));
            }
        }
    }

    fn gap(&self) -> f64 {
        let levels = self.done.iter().zip(&self.shares).map(|(done, share)| *done as f64 / share);
        let (least, most) = levels.fold((f64::INFINITY, 0.0f64), |(least, most), level| {
            (least.min(level), most.max(level))
        });
        most - least
    }

    /// The bound of `docs/design.md`: `(2·S·C + R·T) / w_min`.
    fn bound(&self, staleness: u64) -> f64 {
        let slots: usize = self.agents.iter().map(|agent| agent.slots).sum();
        let least = self.shares.iter().copied().fold(f64::INFINITY, f64::min);
        (2.0 * slots as f64 * LARGEST as f64 + slots as f64 * staleness as f64) / least
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a gap that exceeds the bound of the design page, whatever the order and
    /// delay of the exchange's messages, the sizes of requests, the shares and the slots.
    #[test]
    fn take_any_interleaving(
        slots in prop::collection::vec(1usize..6, 2..6),
        shares in prop::collection::vec(1u32..9, 2..6),
        staleness in 1u64..60,
        seed in any::<u64>(),
    ) {
        let shares: Vec<f64> = shares.into_iter().map(f64::from).collect();
        let mut fleet = SimulatedShare::new(FairnessPolicy::Fleet, &slots, &shares, seed);
        // An export waits up to the geometric delay of `draw`; deliveries follow within as much.
        // 20 means of the geometric distribution stand for its end.
        let bound = fleet.bound(21 * staleness);
        let mut largest = 0.0f64;
        for step in 0..STEPS {
            fleet.step(step, staleness);
            largest = largest.max(fleet.gap());
            prop_assert!(largest <= bound, "gap {largest} above {bound} at step {step}");
        }
    }
}

/// Guards against a bound that holds for any order: without fair queues the gap leaves it.
#[googletest::gtest]
fn take_fifo_leaves_bound() {
    use googletest::prelude::*;
    let run = |policy| {
        let mut fleet = SimulatedShare::new(policy, &[4, 4, 4], &[1.0, 1.0, 8.0], 7);
        (0..STEPS).for_each(|step| fleet.step(step, 10));
        (fleet.gap(), fleet.bound(20))
    };
    let (fair, bound) = run(FairnessPolicy::Fleet);
    expect_that!(fair, lt(bound));
    let (unfair, bound) = run(FairnessPolicy::Fifo);
    expect_that!(unfair, gt(bound));
    expect_that!(unfair, gt(10.0 * fair));
}
