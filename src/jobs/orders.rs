//! Orders that the lease holder sends to upstreams through their agents.

use std::net::SocketAddr;
use std::time::SystemTime;

use crate::configuration::FleetConfiguration;
use crate::decision::version_move::{MoveSchedule, choose_upstreams};
use crate::fleet::{FleetMember, MemberList};
use crate::ids::{FencingNumber, UpstreamId};
use crate::protocol::{OrderMessage, OrderReply, PeerClient, UpstreamOrder};

/// Maximum number of upstreams of one move that load weights concurrently; the weight store is
/// rate-limited.
const MAX_CONCURRENT_LOADS: usize = 4;

/// Returns the due orders to load a new version. They cover the upstreams of the current stage and
/// of the next one, so that these are warm when that stage starts. An order is repeated until the
/// agent reports the version as loaded.
pub fn due_orders(
    configuration: &FleetConfiguration,
    members: &MemberList,
    fencing: FencingNumber,
    now: SystemTime,
) -> Vec<(SocketAddr, OrderMessage)> {
    let mut due = Vec::new();
    let running = configuration.moves.iter().filter(|(_, entry)| !entry.progress.has_ended());
    for (id, entry) in running {
        let schedule = MoveSchedule::new(entry.planned, entry.deadline);
        let stage = schedule.due(now).map_or(0, |stage| stage + 1);
        let share = schedule.stages.get(stage).map_or(1.0, |stage| stage.share);
        let service_members: Vec<&FleetMember> = members
            .values()
            .filter(|member| member.card.labels.service.as_ref() == Some(&entry.service))
            .collect();
        let old = service_members
            .iter()
            .filter(|member| member.loaded.as_ref() == Some(&entry.from))
            .count();
        let assigned =
            |member: &&&FleetMember| member.card.labels.version.as_ref() == Some(&entry.to);
        let upstreams: Vec<UpstreamId> = service_members
            .iter()
            .filter(assigned)
            .filter_map(|member| member.card.labels.upstream.clone())
            .collect();
        let chosen = choose_upstreams(id, &upstreams, share, old);
        let missing = service_members.iter().filter(assigned).filter(|member| {
            let upstream = member.card.labels.upstream.as_ref();
            let is_chosen = upstream.is_some_and(|upstream| chosen.contains(upstream));
            is_chosen && member.loaded.as_ref() != Some(&entry.to)
        });
        due.extend(missing.take(MAX_CONCURRENT_LOADS).map(|member| {
            let order = UpstreamOrder::LoadVersion { version: entry.to.clone() };
            (member.card.address, OrderMessage { fencing, order })
        }));
    }
    due
}

/// Sends an order to an agent.
pub async fn send_order(peers: PeerClient, address: SocketAddr, message: OrderMessage) {
    match peers.call(address, &message).await {
        Ok(OrderReply::Done | OrderReply::Loading | OrderReply::NotReady) => {}
        Ok(OrderReply::OldFencing { highest }) => {
            log::warn!(address:% = address, fencing = message.fencing, highest; "order refused: outdated fencing number");
        }
        // The order is sent again in the next round.
        Err(error) => log::debug!(address:% = address; "cannot deliver the order: {error}"),
    }
}
