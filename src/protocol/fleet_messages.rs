//! Messages for managing the fleet: membership, configuration, version moves and orders.

use std::net::SocketAddr;

use http::Method;
use serde::{Deserialize, Serialize};

use super::messages::PeerCall;
use crate::configuration::RawConfiguration;
use crate::ids::{
    ConfigurationVersion, DataCentreId, FencingNumber, Incarnation, MoveId, NodeId, RouteId,
    VersionId,
};
use crate::store::{VmLabels, VmRole};

/// Identity of a process in the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Node id.
    pub node: NodeId,
    /// Role of the process.
    pub role: VmRole,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address at which other processes reach it.
    pub address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Upstream of an agent, with the version that it has loaded.
    pub labels: VmLabels,
}

/// Exchange of identity and status between two processes. The reply is a message of the same type.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeHello {
    /// Identity of the sender.
    pub card: NodeIdentity,
    /// Whether the sender is stopping and takes no more work.
    pub leaving: bool,
    /// Whether the sender has reached the table service in the last few seconds.
    pub reaches_store: bool,
    /// Configuration version that the sender has confirmed; 0 for none.
    pub version: ConfigurationVersion,
}

impl PeerCall for NodeHello {
    type Reply = Self;

    const PATH: &'static str = "/peer/hello";
}

/// Requests the complete configuration.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ConfigurationRequest {}

/// The complete configuration with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Content of the configuration.
    pub document: RawConfiguration,
}

impl PeerCall for ConfigurationRequest {
    type Reply = ConfigurationDocument;

    const PATH: &'static str = "/peer/configuration";
    const METHOD: Method = Method::GET;
}

/// Request of the lease holder for a router's evidence about the running version moves.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EvidenceRequest {}

/// Counts of one version move on one route since the router first knew of the move.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Version move.
    pub id: MoveId,
    /// Route.
    pub route: RouteId,
    /// Calls and errors of the old version.
    pub old: (u64, u64),
    /// Calls, errors and slow calls of the new version.
    pub new: (u64, u64, u64),
}

/// Fault of a new version, found by one router and sent to the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultNotice {
    /// Version move.
    pub id: MoveId,
    /// Route on which the fault was found.
    pub route: RouteId,
    /// Whether the fault is latency; otherwise it is the error rate.
    pub is_slow: bool,
}

/// Answer to an [`EvidenceRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EvidenceReply {
    /// Incarnation of the router; the counts start from zero with each.
    pub incarnation: Incarnation,
    /// Counts by move and route.
    pub routes: Vec<RouteEvidence>,
    /// Faults because of which the router has stopped sending to the new version.
    pub faults: Vec<FaultNotice>,
}

impl PeerCall for EvidenceRequest {
    type Reply = EvidenceReply;

    const PATH: &'static str = "/peer/evidence";
}

impl PeerCall for FaultNotice {
    type Reply = ();

    const PATH: &'static str = "/peer/fault";
}

/// An order for an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum UpstreamOrder {
    /// Load the weights of a version and serve it.
    LoadVersion {
        /// Version to load.
        version: VersionId,
    },
}

/// Order of the lease holder to an agent, for its upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderMessage {
    /// Fencing number of the sender's lease.
    pub fencing: FencingNumber,
    /// The order.
    pub order: UpstreamOrder,
}

/// Status of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order has been executed, or was already in effect.
    Done,
    /// The order was accepted, and the weights are being loaded.
    Loading,
    /// The order was rejected because a higher fencing number is known.
    OldFencing {
        /// The highest known number.
        highest: FencingNumber,
    },
    /// The agent could not read the highest fencing number from the store yet.
    NotReady,
}

impl PeerCall for OrderMessage {
    type Reply = OrderReply;

    const PATH: &'static str = "/peer/order";
}
