//! Checked settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::direct::FleetBounds;
use crate::ids::{DataCentreId, NodeId};

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the process, unique in the fleet.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address that the balancer asks whether the router is ready.
    pub ready: SocketAddr,
    /// Address for reports (UDP), calls between routers and metrics (TCP).
    pub peer: SocketAddr,
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Bounds that hold for all routers together.
    pub bounds: FleetBounds,
}
