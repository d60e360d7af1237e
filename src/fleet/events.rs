//! Events that the fleet loop on the control thread handles.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::configuration::VersionedConfiguration;
use crate::decision::configuration_tracker::VersionSource;
use crate::ids::{ConfigurationVersion, NodeId};
use crate::protocol::NodeHello;
use crate::store::VmEntry;

/// An incoming message or the result of a call.
#[derive(Debug)]
pub enum FleetEvent {
    /// Another process sent a hello.
    HelloReceived {
        /// Message of the other process.
        hello: NodeHello,
        /// Receives the answer to send.
        reply: oneshot::Sender<NodeHello>,
    },
    /// A hello of this process was answered, or failed.
    HelloCompleted {
        /// Process that the hello was sent to.
        node: NodeId,
        /// Answer; `None` when there was none.
        answer: Option<NodeHello>,
    },
    /// The version of the configuration was read from the store; `None` when that failed.
    VersionRead(Option<ConfigurationVersion>),
    /// A configuration was fetched; `None` when that failed or there was no newer one.
    ConfigurationFetched(Option<(Arc<VersionedConfiguration>, VersionSource)>),
    /// The store accepted a configuration change that this process wrote.
    ChangeAccepted(Arc<VersionedConfiguration>),
    /// The VM list was read; `None` when that failed.
    VmListRead(Option<Vec<VmEntry>>),
}
