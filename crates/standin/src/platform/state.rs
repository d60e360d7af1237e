//! State of the platform, owned by its state thread.

use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use serde_json::Value;

use super::control::{StoreAction, StoreBehaviour};
use super::counters::{StoreCounters, StoreOperation};
use super::options::PlatformOptions;
use super::rate_limit::RateLimit;
use super::table::RowTable;
use super::vm_list::VmList;
use crate::hash::UniformSequence;
use crate::ids::{NodeName, ObjectName, VmId};

/// Mutable state of the platform.
pub(super) struct PlatformState {
    pub(super) table: RowTable,
    pub(super) objects: IndexMap<ObjectName, Bytes>,
    pub(super) vms: VmList,
    /// Addresses that replace those of the VM list for one viewer, so that its connection to each
    /// other process can go through a link of the fault proxy.
    pub(super) views: IndexMap<NodeName, IndexMap<VmId, Value>>,
    pub(super) behaviour: StoreBehaviour,
    pub(super) counters: StoreCounters,
    pub(super) weight_bytes: usize,
    writes: RateLimit,
    reads: RateLimit,
    weights: RateLimit,
    samples: UniformSequence,
}

impl PlatformState {
    pub(super) fn new(options: &PlatformOptions) -> Self {
        let now = Instant::now();
        Self {
            table: RowTable::default(),
            objects: IndexMap::new(),
            vms: VmList::new(options.vm_list_lag, now),
            views: IndexMap::new(),
            behaviour: StoreBehaviour::default(),
            counters: StoreCounters::default(),
            weight_bytes: options.weight_bytes,
            writes: RateLimit::new(options.writes_per_second, now),
            reads: RateLimit::new(options.reads_per_second, now),
            weights: RateLimit::new(options.weights_per_second, now),
            samples: UniformSequence::new(options.seed),
        }
    }

    /// Counts an operation on the store and decides how to execute and answer it.
    ///
    /// The error is the time to wait if the operation exceeds the rate limit.
    pub(super) fn admit(
        &mut self,
        operation: StoreOperation,
        keys: &[&str],
    ) -> Result<StoreAction, Duration> {
        let limit = match operation {
            StoreOperation::Write => &mut self.writes,
            StoreOperation::Read | StoreOperation::Scan => &mut self.reads,
        };
        let action = self.behaviour.action(self.samples.draw());
        if matches!(action, StoreAction::Refuse | StoreAction::Hang) {
            self.counters.failed += 1;
            return Ok(action);
        }
        if let Err(wait) = limit.take(Instant::now()) {
            self.counters.rejected += 1;
            return Err(wait);
        }
        self.counters.count(operation, keys.iter().copied());
        if matches!(action, StoreAction::RunThenClose | StoreAction::RunThenHang) {
            self.counters.failed += 1;
        }
        Ok(action)
    }

    /// Admits one read of a weight file; the error is the time to wait.
    pub(super) fn admit_weights(&mut self) -> Result<(), Duration> {
        self.weights.take(Instant::now())
    }
}
