//! Checked settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::decision::direct::FleetBounds;
use crate::ids::{DataCentreId, NodeId, RegionId};

/// Memory that the process takes without calls, in bytes.
const BASE_MEMORY: usize = 22 << 20;

/// Part of the remaining memory that calls may take.
const CALL_MEMORY_PART: f64 = 0.35;

/// Part of the remaining memory that callers' connections may take; the rest covers connections
/// to upstreams and copies in buffers.
const CONNECTION_MEMORY_PART: f64 = 0.4;

/// Memory of one connection of a caller, in bytes: hyper's read and write buffers and the task.
const CONNECTION_BYTES: usize = 20 << 10;

/// Part of the descriptors that callers' connections may take.
const CONNECTION_DESCRIPTOR_PART: f64 = 0.6;

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the process, unique in the fleet.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: IndexMap<DataCentreId, RegionId>,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address that the balancer asks whether the router is ready.
    pub ready: SocketAddr,
    /// Address for reports (UDP), calls between routers and metrics (TCP).
    pub peer: SocketAddr,
    /// Part of a processor core that the process may use.
    pub processor_share: f64,
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Descriptors of the process.
    pub descriptors: usize,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Bounds that hold for all routers together.
    pub bounds: FleetBounds,
}

impl GatewaySettings {
    /// Memory that calls may take, in bytes.
    pub fn call_memory(&self) -> usize {
        self.spare_memory(CALL_MEMORY_PART)
    }

    /// Connections of callers that are kept open at most.
    pub fn connection_limit(&self) -> usize {
        let by_memory = self.spare_memory(CONNECTION_MEMORY_PART) / CONNECTION_BYTES;
        by_memory.min((self.descriptors as f64 * CONNECTION_DESCRIPTOR_PART) as usize)
    }

    fn spare_memory(&self, part: f64) -> usize {
        (self.memory_bytes.saturating_sub(BASE_MEMORY) as f64 * part) as usize
    }
}
