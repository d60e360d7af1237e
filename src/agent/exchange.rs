//! The agent's part in the account exchange: its accounts and the child that sends reports.

use std::sync::Arc;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::AgentContext;
use super::events::AgentEvent;
use crate::configuration::FleetConfiguration;
use crate::decision::account_exchange::DueCall;
use crate::decision::accounts::account_key;
use crate::decision::agent_queue::AgentQueue;
use crate::exchange::{ExchangeControl, ExchangeEvent, exchange_members, send_reports};
use crate::ids::{AccountKey, TeamId};
use crate::store::VmList;
use crate::supervisor::{ControlInbox, StopSignal};

/// Sends the due reports until `stop` is cancelled.
pub async fn send(
    context: Arc<AgentContext>,
    inbox: ControlInbox<DueCall>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let (peers, control) = (context.report_peers.clone(), context.control.clone());
    send_reports(peers, inbox, Arc::clone(&context.exchange_traffic), control, stop).await
}

/// Polls the platform's VM list for the members of the exchange until `stop` is cancelled.
pub async fn poll_members(context: Arc<AgentContext>, stop: StopSignal) -> eyre::Result<()> {
    let mut ticker = tokio::time::interval(context.settings.platform.poll_interval);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => {}
        }
        match context.vm_list.list().await {
            Ok(vms) => {
                let event = ExchangeEvent::MembersListed(exchange_members(&vms));
                let _ = context.control.send(AgentEvent::Exchange(event)).await;
            }
            Err(error) => log::warn!("cannot read the VM list; keeping the last one: {error}"),
        }
    }
}

/// Maps the accounts of the agent's service to teams.
#[derive(Debug, Default)]
pub struct AgentAccounts {
    teams: IndexMap<AccountKey, TeamId>,
}

impl AgentAccounts {
    /// Creates the accounts of all teams of a configuration.
    pub fn new(service: &str, configuration: &FleetConfiguration) -> Self {
        let teams = configuration.teams.keys();
        Self { teams: teams.map(|team| (account_key(service, team), team.clone())).collect() }
    }

    /// Publishes the charges and backlogged teams of the local queue to the exchange.
    pub fn publish(&self, service: &str, queue: &AgentQueue, exchange: &mut ExchangeControl) {
        let state = exchange.state();
        for (team, units) in queue.fair_queue().exported().filter(|(_, units)| *units > 0) {
            state.set_units(account_key(service, team), units);
        }
        let backlogged = queue.fair_queue().backlogged();
        state.set_backlogged(backlogged.map(|team| account_key(service, team)).collect());
    }

    /// Applies the charges and backlogged teams of other agents to the local queue.
    pub fn apply_remote(
        &self,
        exchange: &mut ExchangeControl,
        queue: &mut AgentQueue,
        now: Instant,
    ) {
        let state = exchange.state();
        let staleness = state.staleness();
        let remote: Vec<(TeamId, u64)> = state
            .take_remote()
            .into_iter()
            .filter_map(|(account, units)| Some((self.teams.get(&account)?.clone(), units)))
            .collect();
        let backlogged: IndexSet<TeamId> = state
            .backlogged_elsewhere(now)
            .into_iter()
            .filter_map(|account| self.teams.get(&account).cloned())
            .collect();
        queue.apply_exchange(&remote, &backlogged, staleness, now);
    }
}
