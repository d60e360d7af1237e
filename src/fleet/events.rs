//! Events to the fleet's part of the control thread.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::configuration::VersionedConfiguration;
use crate::decision::configuration_tracker::VersionSource;
use crate::ids::{ConfigurationVersion, NodeId};
use crate::protocol::NodeHello;
use crate::store::VmEntry;

/// Something that the fleet's part of the control thread must know.
#[derive(Debug)]
pub enum FleetEvent {
    /// Another process said hello.
    Greeted {
        /// Its message.
        hello: NodeHello,
        /// Where its call waits.
        reply: oneshot::Sender<NodeHello>,
    },
    /// A process answered this one's hello; `None` when it did not.
    HelloEnded {
        /// The called process.
        node: NodeId,
        /// Its answer.
        answer: Option<NodeHello>,
    },
    /// The version of the configuration was read from the store; `None` when that failed.
    VersionRead(Option<ConfigurationVersion>),
    /// A configuration was fetched; `None` when that failed.
    Fetched(Option<(Arc<VersionedConfiguration>, VersionSource)>),
    /// The store accepted a change that this process wrote.
    Accepted(Arc<VersionedConfiguration>),
    /// The VM list was read; `None` when that failed.
    Listed(Option<Vec<VmEntry>>),
}
