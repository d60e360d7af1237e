//! Faults that a fairness scenario injects, scheduled by the time since the measurement began.

use std::time::Duration;

use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::FairnessKind;
use super::setup::FairnessSetup;
use crate::fleet::RunningFleet;
use crate::proxy::{LinkBehaviour, LinkMode};

/// Duration of the partition.
const PARTITION_DURATION: Duration = Duration::from_secs(20);

/// Time after the end of a fault within which the gap must return below its bound.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Interval between two engines that are made cold.
const COLD_INTERVAL: Duration = Duration::from_secs(2);

/// The faults of a scenario, with the number of those that were injected.
pub(super) struct FaultSchedule {
    kind: FairnessKind,
    start: Duration,
    injected: u64,
}

impl FaultSchedule {
    pub(super) fn new(kind: FairnessKind, duration: Duration) -> Self {
        // The first fault comes after a fifth of the time, so that most of it is left to observe
        // the recovery.
        Self { kind, start: duration / 5, injected: 0 }
    }

    /// Returns the time from the fault to the end of its recovery, in which the gap may exceed its
    /// bound.
    pub(super) fn disturbed(&self) -> Option<(Duration, Duration)> {
        match self.kind {
            FairnessKind::Partition => {
                Some((self.start, self.start + PARTITION_DURATION + RECOVERY_TIME))
            }
            FairnessKind::Restart => Some((self.start, self.start + RECOVERY_TIME)),
            FairnessKind::Flood | FairnessKind::Uneven | FairnessKind::Cold => None,
        }
    }

    /// Injects the next fault if it is due; returns whether a router has been restarted and thus
    /// has a new address.
    pub(super) async fn inject_due(
        &mut self,
        fleet: &mut RunningFleet,
        setup: &FairnessSetup,
        now: Duration,
    ) -> eyre::Result<bool> {
        let due = match self.kind {
            FairnessKind::Flood | FairnessKind::Uneven => false,
            FairnessKind::Cold => now >= COLD_INTERVAL * (self.injected + 1) as u32,
            FairnessKind::Partition => match self.injected {
                0 => now >= self.start,
                1 => now >= self.start + PARTITION_DURATION,
                _ => false,
            },
            FairnessKind::Restart => self.injected == 0 && now >= self.start,
        };
        if !due {
            return Ok(false);
        }
        self.injected += 1;
        match self.kind {
            FairnessKind::Flood | FairnessKind::Uneven => {}
            FairnessKind::Cold => {
                // 7 is coprime to the default number of engines, 20, so that all of them are
                // reached.
                let engine = 1 + (self.injected * 7) % setup.scenario.engines as u64;
                fleet.set_behaviour(&format!("engine-{engine}"), &json!({ "cold": true })).await?;
            }
            FairnessKind::Partition => {
                let mode = if self.injected == 1 { LinkMode::Cut } else { LinkMode::Pass };
                set_partition(fleet, mode).await?;
            }
            FairnessKind::Restart => {
                fleet.restart("router-1").await?;
                let parent = account_root(fleet, FairnessSetup::partitioned_centre());
                fleet.restart(&parent).await?;
            }
        }
        Ok(self.kind == FairnessKind::Restart)
    }
}

/// Sets the mode of all links between one data centre and the others. Links to the platform are
/// left alone, so that only the system's own processes are partitioned.
async fn set_partition(fleet: &RunningFleet, mode: LinkMode) -> eyre::Result<()> {
    let in_partition = |name: &str| {
        FairnessSetup::data_centre_of(fleet, name)
            .map(|centre| centre == FairnessSetup::partitioned_centre())
    };
    let behaviour = LinkBehaviour { mode, ..LinkBehaviour::default() };
    let crosses = |source: &str, target: &str| match (in_partition(source), in_partition(target)) {
        (Some(source), Some(target)) => source != target,
        // A link that several processes share, or a link to the platform.
        _ => false,
    };
    fleet.set_links(behaviour, crosses).await.map(|_| ())
}

/// Returns the name of the root of a data centre's account tree, the node with the lowest hash.
fn account_root(fleet: &RunningFleet, centre: &str) -> String {
    let members = fleet.nodes().filter(|node| node.data_centre == centre);
    let first = members.min_by_key(|node| xxh3_64(format!("{centre}/{}", node.name).as_bytes()));
    first.map_or_else(String::new, |node| node.name.clone())
}
