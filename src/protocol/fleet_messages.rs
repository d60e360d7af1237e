//! Messages about the fleet itself: membership, configuration, version moves and orders.

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

/// What a process says about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Name.
    pub node: NodeId,
    /// Role.
    pub role: VmRole,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Address at which others reach it.
    pub address: SocketAddr,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Upstream beside an agent, with the version that it has loaded.
    pub labels: VmLabels,
}

/// Two processes exchange what they are and what they know; the reply has the same shape.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeHello {
    /// The sender.
    pub card: NodeIdentity,
    /// Whether it takes no more work because it stops.
    pub leaving: bool,
    /// Whether it has reached the table service in the last seconds.
    pub reaches_store: bool,
    /// Configuration version that it has confirmed; 0 for none.
    pub version: ConfigurationVersion,
}

impl PeerCall for NodeHello {
    type Reply = Self;

    const PATH: &'static str = "/peer/hello";
}

/// Asks for the whole configuration.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ConfigurationRequest {}

/// The whole configuration with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Version.
    pub version: ConfigurationVersion,
    /// Document.
    pub document: RawConfiguration,
}

impl PeerCall for ConfigurationRequest {
    type Reply = ConfigurationDocument;

    const PATH: &'static str = "/peer/configuration";
    const METHOD: Method = Method::GET;
}

/// The lease holder asks a router for what it saw of the running version moves.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EvidenceRequest {}

/// Counts of one move on one route since the router first saw the move.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Move.
    pub id: MoveId,
    /// Route.
    pub route: RouteId,
    /// Calls and errors of the old version.
    pub old: (u64, u64),
    /// Calls, errors and slow calls of the new version.
    pub new: (u64, u64, u64),
}

/// A fault that a router found by itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultNotice {
    /// Move.
    pub id: MoveId,
    /// Route on which it showed.
    pub route: RouteId,
    /// Whether the new version is slow; else it fails.
    pub is_slow: bool,
}

/// Answer to an [`EvidenceRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EvidenceReply {
    /// Life of the router; counts start again with it.
    pub incarnation: Incarnation,
    /// Counts by move and route.
    pub routes: Vec<RouteEvidence>,
    /// Faults that made the router stop sending to the new version.
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

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum UpstreamOrder {
    /// Load a version's weights and serve it.
    LoadVersion {
        /// Version.
        version: VersionId,
    },
}

/// The lease holder orders something of an upstream, through its agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderMessage {
    /// Fencing number of the sender's lease.
    pub fencing: FencingNumber,
    /// Order.
    pub order: UpstreamOrder,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// Carried out, or in force already.
    Done,
    /// Taken; the weights are being loaded.
    Loading,
    /// A higher fencing number was seen.
    OldFencing {
        /// That number.
        highest: FencingNumber,
    },
    /// The agent has not yet read the highest fencing number from the store.
    NotReady,
}

impl PeerCall for OrderMessage {
    type Reply = OrderReply;

    const PATH: &'static str = "/peer/order";
}
