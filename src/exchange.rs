//! Account exchange: its state in the control thread, and the child that sends the reports.
//!
//! The control thread owns the state and decides which calls are due. The child makes the calls on
//! the traffic runtime and returns the results as events.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::decision::account_exchange::{AccountExchange, DueCall};
use crate::decision::account_links::{ExchangeCall, ExchangeReply};
use crate::decision::account_tree::ExchangeMember;
use crate::ids::Incarnation;
use crate::protocol::{AccountReport, PeerClient, encode_message};
use crate::store::{VmEntry, VmState};
use crate::supervisor::{ControlInbox, StopSignal};

/// Timeout of a report. After two lost reports another node takes over.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Capacity of the call channel to the child. Each link has at most two calls in progress, so the
/// channel fills only while the child restarts; a call that finds it full counts as failed.
pub const CALL_CAPACITY: usize = 64;

/// Path at which a process serves the traffic totals of its exchange as JSON.
pub const USAGE_PATH: &str = "/peer/usage";

/// Estimated overhead of a message beyond its body: HTTP/2 frames and headers, and TCP and IP
/// headers with acknowledgements.
const TRANSPORT_BYTES: u64 = 200;

/// Event of the exchange, handled by the control thread.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// A report of another process arrived.
    ReportReceived {
        /// The report.
        call: ExchangeCall,
        /// Channel to the sender's call.
        reply: oneshot::Sender<ExchangeReply>,
    },
    /// A report of this process was answered.
    ReportAnswered {
        /// The report.
        sent: DueCall,
        /// The reply.
        reply: ExchangeReply,
    },
    /// A report of this process was not answered.
    ReportFailed(DueCall),
    /// The platform's VM list was read.
    MembersListed(Vec<ExchangeMember>),
}

/// Traffic counters of the exchange in both directions.
#[derive(Debug, Default)]
pub struct ExchangeTraffic {
    bytes: AtomicU64,
    reports: AtomicU64,
}

/// Totals of [`ExchangeTraffic`] since the start of the process.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TrafficTotals {
    /// Bytes sent and received, including an estimate of the transport overhead.
    pub exchange_bytes: u64,
    /// Reports sent and received.
    pub exchange_reports: u64,
}

impl ExchangeTraffic {
    /// Counts a report and its reply, whose bodies have `bodies` bytes in total.
    pub fn count(&self, bodies: usize) {
        self.bytes.fetch_add(bodies as u64 + 2 * TRANSPORT_BYTES, Ordering::Relaxed);
        self.reports.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the totals so far.
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            exchange_bytes: self.bytes.load(Ordering::Relaxed),
            exchange_reports: self.reports.load(Ordering::Relaxed),
        }
    }
}

/// State of the exchange in the control thread, with the channel to the child.
#[derive(Debug)]
pub struct ExchangeControl {
    exchange: AccountExchange,
    calls: mpsc::Sender<DueCall>,
}

impl ExchangeControl {
    /// Creates the state of a process that does not know any other yet.
    pub fn new(
        own: ExchangeMember,
        incarnation: Incarnation,
        calls: mpsc::Sender<DueCall>,
    ) -> Self {
        Self { exchange: AccountExchange::new(own, incarnation), calls }
    }

    /// Returns the state.
    pub fn state(&mut self) -> &mut AccountExchange {
        &mut self.exchange
    }

    /// Handles an event.
    pub fn handle(&mut self, event: ExchangeEvent, now: Instant) {
        match event {
            ExchangeEvent::ReportReceived { call, reply } => {
                // Fails only if the sender's call has ended; it then reports again.
                let _ = reply.send(self.exchange.handle_call(&call, now));
            }
            ExchangeEvent::ReportAnswered { sent, reply } => {
                self.exchange.handle_reply(&sent, &reply, now);
            }
            ExchangeEvent::ReportFailed(sent) => self.exchange.handle_failure(&sent, now),
            ExchangeEvent::MembersListed(members) => self.exchange.set_members(members),
        }
    }

    /// Passes the calls that are due to the child.
    pub fn send_due(&mut self, now: Instant) {
        for due in self.exchange.due_calls(now) {
            if let Err(refused) = self.calls.try_send(due) {
                log::warn!("the account exchange is behind; a report counts as failed");
                self.exchange.handle_failure(&refused.into_inner(), now);
            }
        }
    }

    /// Returns the time of the next due call.
    pub fn next_due(&self, now: Instant) -> Instant {
        self.exchange.next_due(now)
    }
}

/// Sends the due reports until `stop` is cancelled and passes the results to the control thread.
pub async fn send_reports<E: From<ExchangeEvent> + Send + 'static>(
    peers: PeerClient,
    inbox: ControlInbox<DueCall>,
    traffic: Arc<ExchangeTraffic>,
    control: mpsc::Sender<E>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut calls = inbox.acquire().await;
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            Some(due) = calls.recv() => {
                let (peers, traffic) = (peers.clone(), Arc::clone(&traffic));
                let control = control.clone();
                running.spawn(async move {
                    let event = send_report(&peers, &traffic, due).await;
                    // The control channel closes only when the process ends.
                    let _ = control.send(event.into()).await;
                });
            }
            Some(_) = running.join_next() => {}
        }
    }
}

async fn send_report(peers: &PeerClient, traffic: &ExchangeTraffic, due: DueCall) -> ExchangeEvent {
    let report = AccountReport::from(due.call.clone());
    match peers.call(due.to.address, &report).await {
        Ok(reply) => {
            traffic.count(body_bytes(&report) + body_bytes(&reply));
            ExchangeEvent::ReportAnswered { sent: due, reply: reply.into() }
        }
        Err(error) => {
            log::debug!(node:% = due.to.node; "account report was not answered: {error}");
            ExchangeEvent::ReportFailed(due)
        }
    }
}

/// Returns the size of a message's encoded body.
pub fn body_bytes(message: &impl Serialize) -> usize {
    encode_message(message).map_or(0, |bytes| bytes.len())
}

/// Returns the live VMs of the platform's list as members of the exchange.
pub fn exchange_members(vms: &[VmEntry]) -> Vec<ExchangeMember> {
    vms.iter()
        .filter(|vm| vm.state == VmState::Live)
        .map(|vm| ExchangeMember {
            node: vm.node.clone(),
            data_centre: vm.data_centre.clone(),
            address: vm.address,
        })
        .collect()
}
