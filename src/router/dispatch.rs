//! Sends offers and withdrawals to agents and reports the replies to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use tokio::runtime::Handle;

use super::RouterContext;
use super::events::RouterEvent;
use crate::decision::dispatch::DispatchAction;
use crate::ids::{RequestId, UpstreamId};
use crate::lifecycle::request::RequestTicket;
use crate::metrics::catalogue;
use crate::protocol::{OfferBatch, RequestOffer, WithdrawBatch};

/// Pending messages for one agent.
#[derive(Default)]
struct AgentMessages {
    agent: Option<UpstreamId>,
    offers: Vec<RequestOffer>,
    withdrawals: Vec<RequestId>,
}

/// Groups the actions by agent and spawns tasks on the traffic runtime that send them.
pub fn send_actions(traffic: &Handle, context: &Arc<RouterContext>, actions: Vec<DispatchAction>) {
    let mut batches: IndexMap<SocketAddr, AgentMessages> = IndexMap::new();
    for action in actions {
        match action {
            DispatchAction::Offer { agent, address, ticket } => {
                let messages = batches.entry(address).or_default();
                messages.agent = Some(agent);
                messages.offers.push(RequestOffer::from(&ticket));
            }
            DispatchAction::Withdraw { address, request } => {
                batches.entry(address).or_default().withdrawals.push(request);
            }
            DispatchAction::Refuse { .. } => {}
        }
    }
    for (address, messages) in batches {
        if let Some(agent) = messages.agent {
            traffic.spawn(send_offers(Arc::clone(context), agent, address, messages.offers));
        }
        if !messages.withdrawals.is_empty() {
            traffic.spawn(send_withdrawals(Arc::clone(context), address, messages.withdrawals));
        }
    }
}

async fn send_offers(
    context: Arc<RouterContext>,
    agent: UpstreamId,
    address: SocketAddr,
    offers: Vec<RequestOffer>,
) {
    let requests: Vec<RequestId> = offers.iter().map(|offer| offer.request).collect();
    let batch = OfferBatch { router: context.peer_address, offers };
    let event = match context.peers.call(address, &batch).await {
        Ok(reply) => RouterEvent::OffersAnswered { agent, reply },
        Err(error) => {
            log::warn!(upstream:% = agent; "offers were not delivered: {error}");
            context.metrics.count(&catalogue::ROUTER_OFFERS_FAILED, 1, &[]);
            RouterEvent::OffersFailed { agent, requests }
        }
    };
    // The control channel closes only when the process ends.
    let _ = context.control.send(event).await;
}

async fn send_withdrawals(
    context: Arc<RouterContext>,
    address: SocketAddr,
    requests: Vec<RequestId>,
) {
    // A lost withdrawal costs one unnecessary fetch, which is answered with "withdrawn".
    if let Err(error) = context.peers.call(address, &WithdrawBatch { requests }).await {
        log::debug!(address:% = address; "withdrawal was not delivered: {error}");
    }
}

impl From<&RequestTicket> for RequestOffer {
    fn from(ticket: &RequestTicket) -> Self {
        Self {
            request: ticket.id,
            team: ticket.team.clone(),
            service: ticket.service.clone(),
            route: ticket.route.clone(),
            version: ticket.version.clone(),
            repeatable: ticket.repeatable,
            cost_hint: ticket.cost_hint,
            prefix_hash: ticket.prefix_hash,
            run_alone: ticket.run_alone,
            fingerprint: ticket.fingerprint,
        }
    }
}
