//! Validated settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::decision::direct::FleetBounds;
use crate::decision::duty::WindowSchedule;
use crate::ids::{DataCentreId, NodeId, RegionId};

/// Memory that the process uses without calls, in bytes.
const BASE_MEMORY: usize = 22 << 20;

/// Fraction of the remaining memory for calls.
const CALL_MEMORY_FRACTION: f64 = 0.35;

/// Fraction of the remaining memory for callers' connections; the rest covers connections to
/// upstreams and copies in buffers.
const CONNECTION_MEMORY_FRACTION: f64 = 0.4;

/// Memory of one caller's connection, in bytes: hyper's read and write buffers and the task.
const CONNECTION_BYTES: usize = 20 << 10;

/// Fraction of the file descriptors for callers' connections.
const CONNECTION_DESCRIPTOR_FRACTION: f64 = 0.6;

/// Fraction of the file descriptors for connections to the readiness address, and the most that
/// are of use: the probes of a few balancers.
const READY_DESCRIPTOR_FRACTION: f64 = 0.125;
const MAX_READY_CONNECTIONS: usize = 64;

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the process; unique in the fleet.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: IndexMap<DataCentreId, RegionId>,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for the balancer's health checks.
    pub ready: SocketAddr,
    /// Address for reports (UDP), and for requests between routers and metrics (TCP).
    pub peer: SocketAddr,
    /// Address that takes over connections of other routers' callers; `None` when it takes none.
    pub handoff: Option<SocketAddr>,
    /// Fraction of a processor core that the process may use.
    pub processor_share: f64,
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// File descriptors of the process.
    pub descriptors: usize,
    /// Time between the stop signal and the kill of the process.
    pub stop_grace: Duration,
    /// Bounds that hold for all routers together.
    pub bounds: FleetBounds,
    /// Duties that one router performs for the fleet; `None` when the platform asks for none.
    pub duties: Option<DutySettings>,
}

/// Settings of the duties that one router performs for the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Whether the usage of the teams is reported.
    pub reports_usage: bool,
    /// Whether the numbers of engines are ordered.
    pub orders_engines: bool,
    /// Windows of the usage.
    pub schedule: WindowSchedule,
    /// Term of the holder's lease.
    pub lease_term: Duration,
}

impl GatewaySettings {
    /// Returns the memory for calls, in bytes.
    pub fn call_memory(&self) -> usize {
        self.spare_memory(CALL_MEMORY_FRACTION)
    }

    /// Returns the maximum number of callers' connections.
    pub fn connection_limit(&self) -> usize {
        let by_memory = self.spare_memory(CONNECTION_MEMORY_FRACTION) / CONNECTION_BYTES;
        by_memory.min((self.descriptors as f64 * CONNECTION_DESCRIPTOR_FRACTION) as usize)
    }

    /// Returns the maximum number of connections to the readiness address.
    pub fn ready_connection_limit(&self) -> usize {
        let by_descriptors = (self.descriptors as f64 * READY_DESCRIPTOR_FRACTION) as usize;
        by_descriptors.clamp(1, MAX_READY_CONNECTIONS)
    }

    fn spare_memory(&self, fraction: f64) -> usize {
        (self.memory_bytes.saturating_sub(BASE_MEMORY) as f64 * fraction) as usize
    }
}
