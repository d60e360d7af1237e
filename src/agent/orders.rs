//! Orders for the upstream. The agent checks the fencing number unless the upstream does, loads
//! weights from the rate-limited weight store and tracks the loaded version.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::AgentContext;
use super::events::AgentEvent;
use crate::decision::lease::OrderFence;
use crate::ids::{FencingNumber, VersionId};
use crate::jobs::read_fencing;
use crate::protocol::{OrderMessage, OrderReply, UpstreamOrder};
use crate::store::PlatformClient;
use crate::supervisor::StopSignal;

/// Interval at which the upstream's version is polled.
const VERSION_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after the weight store refused a read or failed, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Attempts to load the weights for one order. The lease holder repeats the order while it is due.
const MAX_LOAD_ATTEMPTS: u32 = 20;

/// Timeout of one read from the weight store and of one order to the upstream.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// State of orders, owned by the control thread.
pub struct OrderHandler {
    context: Arc<AgentContext>,
    traffic: Handle,
    fence: OrderFence,
    loading: Option<VersionId>,
}

impl OrderHandler {
    /// Creates a handler without a fence; the stored number is read before each order.
    pub fn new(context: Arc<AgentContext>, traffic: Handle) -> Self {
        Self { context, traffic, fence: OrderFence::default(), loading: None }
    }

    /// Raises the fence to the number in the store.
    pub fn update_fence(&mut self, highest: FencingNumber) {
        self.fence.accept(highest);
    }

    /// Checks the fencing number of an order and starts to execute it.
    pub fn accept(&mut self, message: OrderMessage) -> OrderReply {
        if !self.context.upstream_checks_orders() && !self.fence.accept(message.fencing) {
            return OrderReply::OldFencing { highest: self.fence.highest() };
        }
        let UpstreamOrder::LoadVersion { version } = message.order;
        if self.context.fleet.labels.borrow().version.as_ref() == Some(&version) {
            return OrderReply::Done;
        }
        if self.loading.is_none() {
            self.loading = Some(version.clone());
            self.traffic.spawn(load_weights(Arc::clone(&self.context), message.fencing, version));
        }
        OrderReply::Loading
    }

    /// Sends the order to the upstream after its weights were loaded, unless a newer order arrived.
    pub fn handle_loaded(&mut self, fencing: FencingNumber, version: VersionId) {
        let is_current = self.context.upstream_checks_orders() || fencing >= self.fence.highest();
        if is_current {
            self.traffic.spawn(send_order(Arc::clone(&self.context), fencing, version));
        } else {
            self.loading = None;
        }
    }

    /// Records the end of an order.
    pub fn handle_end(&mut self, version: &VersionId, done: bool) {
        self.loading = None;
        if done {
            log::info!(upstream:% = self.context.upstream.id, version:% = version; "the upstream has loaded a version");
            let version = version.clone();
            self.context.fleet.labels.send_modify(|labels| labels.version = Some(version));
        }
    }
}

impl AgentContext {
    /// Returns whether the upstream checks fencing numbers itself.
    fn upstream_checks_orders(&self) -> bool {
        let configuration = self.configuration.borrow();
        configuration.as_ref().is_some_and(|configuration| {
            let entry = configuration.checked.upstreams.get(&self.upstream.id);
            entry.is_some_and(|entry| entry.checks_orders)
        })
    }
}

/// Polls the version that the upstream reports until `stop` is cancelled.
pub async fn poll_version(context: Arc<AgentContext>, stop: StopSignal) -> eyre::Result<()> {
    let client = PlatformClient::new(&context.upstream.url, VERSION_POLL_INTERVAL);
    let mut ticker = tokio::time::interval(VERSION_POLL_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => {}
        }
        // An upstream that reports no version keeps the one from the settings.
        let Ok(reply) = client.send(Method::GET, "/health", Bytes::new()).await else { continue };
        let health: Value = reply.decode().unwrap_or_default();
        let Some(version) = health["version"].as_str().map(VersionId::from) else { continue };
        context.fleet.labels.send_if_modified(|labels| {
            let changed = labels.version.as_ref() != Some(&version);
            labels.version = Some(version);
            changed
        });
    }
}

/// Handles an order from the lease holder. The fencing number is read from the store first, because
/// a new lease holder may not have sent an order to this upstream yet.
pub async fn handle_order(context: &AgentContext, message: OrderMessage) -> OrderReply {
    if !refresh_fence(context).await {
        return OrderReply::NotReady;
    }
    let (reply, answer) = oneshot::channel();
    let _ = context.control.send(AgentEvent::OrderReceived { message, reply }).await;
    // A dropped reply means that the control thread restarts; the holder repeats the order.
    answer.await.unwrap_or(OrderReply::NotReady)
}

/// Reads the highest fencing number from the store and passes it to the control thread.
async fn refresh_fence(context: &AgentContext) -> bool {
    match read_fencing(&context.table).await {
        Ok(highest) => {
            let _ = context.control.send(AgentEvent::FencingRead(highest)).await;
            true
        }
        Err(error) => {
            log::warn!("cannot read the highest fencing number; refusing orders: {error}");
            false
        }
    }
}

async fn load_weights(context: Arc<AgentContext>, fencing: FencingNumber, version: VersionId) {
    let platform = &context.settings.platform;
    let client = PlatformClient::new(&platform.weights, ORDER_TIMEOUT);
    let path = format!("/weights/{}/{version}", context.upstream.service);
    for _ in 0..MAX_LOAD_ATTEMPTS {
        match client.send(Method::GET, &path, Bytes::new()).await {
            // The lease may have changed hands while the weights were loading.
            Ok(reply) if reply.status == StatusCode::OK && refresh_fence(&context).await => {
                let event = AgentEvent::WeightsLoaded { fencing, version };
                let _ = context.control.send(event).await;
                return;
            }
            // The store refuses reads above its rate with 429; all agents share the rate.
            Ok(reply) => log::debug!("the weight store answered {}", reply.status),
            Err(error) => log::warn!("cannot read the weight store: {error}"),
        }
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
    }
    let _ = context.control.send(AgentEvent::OrderEnded { version, done: false }).await;
}

async fn send_order(context: Arc<AgentContext>, fencing: FencingNumber, version: VersionId) {
    let client = PlatformClient::new(&context.upstream.url, ORDER_TIMEOUT);
    let order = UpstreamOrder::LoadVersion { version: version.clone() };
    let body = json!({ "fencing": fencing, "order": order }).to_string();
    let done = match client.send(Method::POST, "/orders", body.into()).await {
        Ok(reply) if reply.status.is_success() => true,
        Ok(reply) => {
            log::warn!(upstream:% = context.upstream.id; "the upstream refused an order: {}", reply.status);
            false
        }
        Err(error) => {
            log::warn!(upstream:% = context.upstream.id; "cannot send an order to the upstream: {error}");
            false
        }
    };
    let _ = context.control.send(AgentEvent::OrderEnded { version, done }).await;
}
