//! Faults of the scenarios, by time since the start of the comparison.

use std::time::Duration;

use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::FairnessKind;
use super::layout::FleetLayout;
use crate::fleet::RunningFleet;
use crate::proxy::{LinkBehaviour, LinkMode};

/// Length of the partition.
const PARTITION: Duration = Duration::from_secs(20);

/// Time after a fault within which the gap must be back under its bound.
const RECOVERY: Duration = Duration::from_secs(5);

/// Interval at which an engine turns cold.
const COLD_INTERVAL: Duration = Duration::from_secs(2);

/// Carries out the faults of a scenario.
pub(super) struct FaultSchedule {
    kind: FairnessKind,
    start: Duration,
    done: u64,
}

impl FaultSchedule {
    pub(super) fn new(kind: FairnessKind, length: Duration) -> Self {
        // Faults begin after a fifth of the time, so that the time after them is the longer one.
        Self { kind, start: length / 5, done: 0 }
    }

    /// Time in which the bound does not apply: the partition or restart with its recovery.
    pub(super) fn disturbed(&self) -> Option<(Duration, Duration)> {
        match self.kind {
            FairnessKind::Partition => Some((self.start, self.start + PARTITION + RECOVERY)),
            FairnessKind::Restart => Some((self.start, self.start + RECOVERY)),
            FairnessKind::Flood | FairnessKind::Uneven | FairnessKind::Cold => None,
        }
    }

    /// Carries out what is due; returns whether a router has a new address.
    pub(super) async fn step(
        &mut self,
        fleet: &mut RunningFleet,
        layout: &FleetLayout,
        now: Duration,
    ) -> eyre::Result<bool> {
        let due = match self.kind {
            FairnessKind::Flood | FairnessKind::Uneven => false,
            FairnessKind::Cold => now >= COLD_INTERVAL * (self.done + 1) as u32,
            FairnessKind::Partition => match self.done {
                0 => now >= self.start,
                1 => now >= self.start + PARTITION,
                _ => false,
            },
            FairnessKind::Restart => self.done == 0 && now >= self.start,
        };
        if !due {
            return Ok(false);
        }
        self.done += 1;
        match self.kind {
            FairnessKind::Flood | FairnessKind::Uneven => {}
            FairnessKind::Cold => {
                // 7 is coprime to the number of engines, so that each has its turn.
                let engine = 1 + (self.done * 7) % layout.scenario.engines as u64;
                fleet.set_behaviour(&format!("engine-{engine}"), &json!({ "cold": true })).await?;
            }
            FairnessKind::Partition => {
                let mode = if self.done == 1 { LinkMode::Cut } else { LinkMode::Pass };
                partition(fleet, mode).await?;
            }
            FairnessKind::Restart => {
                fleet.restart("router-1").await?;
                let parent = account_root(fleet, FleetLayout::partitioned_centre());
                fleet.restart(&parent).await?;
            }
        }
        Ok(self.kind == FairnessKind::Restart)
    }
}

/// Sets all links between one data centre and the others. The platform stays in reach, so this is
/// a partition between the system's own processes.
async fn partition(fleet: &RunningFleet, mode: LinkMode) -> eyre::Result<()> {
    let is_cut = |name: &str| {
        FleetLayout::data_centre_of(fleet, name)
            .map(|centre| centre == FleetLayout::partitioned_centre())
    };
    let order = LinkBehaviour { mode, ..LinkBehaviour::default() };
    let crosses = |viewer: &str, target: &str| match (is_cut(viewer), is_cut(target)) {
        (Some(viewer), Some(target)) => viewer != target,
        // Links that several processes share, and those to the platform.
        _ => false,
    };
    fleet.set_links(order, crosses).await.map(|_| ())
}

/// Name of the node that is first in a data centre's account tree.
fn account_root(fleet: &RunningFleet, centre: &str) -> String {
    let members = fleet.nodes().filter(|node| node.data_centre == centre);
    let first = members.min_by_key(|node| xxh3_64(format!("{centre}/{}", node.name).as_bytes()));
    first.map_or_else(String::new, |node| node.name.clone())
}
