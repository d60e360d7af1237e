//! Calls of the fleet's part of the control thread, run on the traffic runtime.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::FleetContext;
use super::events::FleetEvent;
use crate::configuration::{VersionedConfiguration, read_configuration, read_version};
use crate::decision::configuration_tracker::{NO_VERSION, VersionSource};
use crate::ids::{ConfigurationVersion, NodeId};
use crate::protocol::{ConfigurationRequest, NodeHello};
use crate::store::VmList;

/// Time limit of a hello; shorter than its interval, so that each round has an outcome.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit of a read of the store: within the contact window, also after one failure.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Says hello to another process.
pub async fn greet(
    context: Arc<FleetContext>,
    node: NodeId,
    address: SocketAddr,
    hello: NodeHello,
) {
    let call = context.peers.call(address, &hello);
    let answer = match tokio::time::timeout(HELLO_TIMEOUT, call).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::debug!(node:% = node; "no answer to hello: {error}");
            None
        }
        Err(_) => None,
    };
    // The answer may come from a successor at the same address.
    let node = answer.as_ref().map_or(node, |answer| answer.card.node.clone());
    send(&context, FleetEvent::HelloEnded { node, answer }).await;
}

/// Reads the configuration's version from the store.
pub async fn poll_version(context: Arc<FleetContext>) {
    let read = limit(read_version(&context.table)).await;
    let version = read.and_then(|read| match read {
        Ok(version) => Some(version),
        Err(error) => {
            log::debug!("cannot read the configuration's version: {error}");
            None
        }
    });
    send(&context, FleetEvent::VersionRead(version)).await;
}

/// Fetches a newer configuration from the peer that has it, else from the store.
pub async fn fetch_configuration(
    context: Arc<FleetContext>,
    held: ConfigurationVersion,
    peer: Option<(NodeId, SocketAddr)>,
) {
    let mut fetched = None;
    if let Some((node, address)) = peer {
        fetched = fetch_from_peer(&context, held, node, address).await;
    }
    if fetched.is_none() {
        let read = limit(read_configuration(&context.table, held)).await;
        fetched = read.and_then(|read| match read {
            Ok(configuration) => configuration.map(|newer| (newer, VersionSource::Store)),
            Err(error) => {
                log::warn!("cannot read the configuration: {error}");
                None
            }
        });
    }
    send(&context, FleetEvent::Fetched(fetched)).await;
}

async fn fetch_from_peer(
    context: &FleetContext,
    held: ConfigurationVersion,
    node: NodeId,
    address: SocketAddr,
) -> Option<(Arc<VersionedConfiguration>, VersionSource)> {
    let document = match limit(context.peers.call(address, &ConfigurationRequest {})).await? {
        Ok(document) => document,
        Err(error) => {
            log::warn!(node:% = node; "cannot fetch the configuration: {error}");
            return None;
        }
    };
    if document.version <= held || document.version == NO_VERSION {
        return None;
    }
    match VersionedConfiguration::check(document.version, document.document) {
        Ok(configuration) => Some((configuration, VersionSource::Peer(node))),
        Err(findings) => {
            log::warn!(node:% = node; "the peer's configuration has findings: {findings}");
            None
        }
    }
}

/// Reads the VM list.
pub async fn list_vms(context: Arc<FleetContext>) {
    let vms = match context.vm_list.list().await {
        Ok(vms) => Some(vms),
        Err(error) => {
            log::warn!("cannot read the VM list; keeping the last one: {error}");
            None
        }
    };
    send(&context, FleetEvent::Listed(vms)).await;
}

async fn limit<T>(call: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(STORE_TIMEOUT, call).await.ok()
}

async fn send(context: &FleetContext, event: FleetEvent) {
    // The channel closes only when the process ends.
    let _ = context.events.send(event).await;
}
