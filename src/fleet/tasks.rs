//! Calls of the fleet loop to peers and to the platform. They run on the traffic runtime and report
//! their results as events.

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

/// Time limit of a hello. It is shorter than the interval between rounds, so that the results of a
/// round are known before the next one starts.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit of a call that reads or fetches the configuration. Two calls in sequence fit into
/// the contact window of 2 s, so that one failure does not make the store count as unreachable.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Sends a hello to another process.
pub async fn send_hello(
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
    // Another process may have started at the same address.
    let node = answer.as_ref().map_or(node, |answer| answer.card.node.clone());
    send_event(&context, FleetEvent::HelloCompleted { node, answer }).await;
}

/// Reads the configuration's version from the store.
pub async fn poll_version(context: Arc<FleetContext>) {
    let read = with_timeout(read_version(&context.table)).await;
    let version = read.and_then(|read| match read {
        Ok(version) => Some(version),
        Err(error) => {
            log::debug!("cannot read the configuration's version: {error}");
            None
        }
    });
    send_event(&context, FleetEvent::VersionRead(version)).await;
}

/// Fetches a newer configuration from a peer that has it, or from the store if there is no such
/// peer or the peer does not return a newer one.
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
        let read = with_timeout(read_configuration(&context.table, held)).await;
        fetched = read.and_then(|read| match read {
            Ok(configuration) => configuration.map(|newer| (newer, VersionSource::Store)),
            Err(error) => {
                log::warn!("cannot read the configuration: {error}");
                None
            }
        });
    }
    send_event(&context, FleetEvent::ConfigurationFetched(fetched)).await;
}

async fn fetch_from_peer(
    context: &FleetContext,
    held: ConfigurationVersion,
    node: NodeId,
    address: SocketAddr,
) -> Option<(Arc<VersionedConfiguration>, VersionSource)> {
    let document = match with_timeout(context.peers.call(address, &ConfigurationRequest {})).await?
    {
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
pub async fn read_vm_list(context: Arc<FleetContext>) {
    let vms = match context.vm_list.list().await {
        Ok(vms) => Some(vms),
        Err(error) => {
            log::warn!("cannot read the VM list; keeping the last one: {error}");
            None
        }
    };
    send_event(&context, FleetEvent::VmListRead(vms)).await;
}

async fn with_timeout<T>(call: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(CALL_TIMEOUT, call).await.ok()
}

async fn send_event(context: &FleetContext, event: FleetEvent) {
    // The channel closes only when the process ends.
    let _ = context.events.send(event).await;
}
