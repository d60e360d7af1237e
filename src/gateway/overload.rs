//! Detects overload of the process.
//!
//! A router whose timers are late, or that has nearly used up its connections, reports itself as
//! not ready to the balancer and closes callers' connections after each answer, so that other
//! routers take over.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::adapter::{CallMetadata, GatewayAdapter};
use super::events::ControlEvent;
use super::load_log::{LoadCounts, LoadLog};
use crate::decision::direct::{ConnectionAdmission, HandoffTargets, OverloadControl, ShedCall};
use crate::ids::DataCentreId;
use crate::supervisor::StopSignal;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of the connection limit from which connections that may be closed are told from others.
const COUNTED_CONNECTIONS: f64 = 0.4;

/// Overload control that connections and the monitor share, and the calls that it refused.
#[derive(Debug)]
pub(super) struct CallAdmission {
    control: Mutex<OverloadControl>,
    shed: Mutex<Vec<ShedCall>>,
    targets: Mutex<HandoffTargets>,
    counts: LoadCounts,
}

impl CallAdmission {
    /// Creates the admission of a router with a fraction of a processor core.
    pub(super) fn new(processor_share: f64, data_centre: DataCentreId, now: Instant) -> Self {
        Self {
            control: Mutex::new(OverloadControl::new(processor_share, now)),
            shed: Mutex::default(),
            targets: Mutex::new(HandoffTargets::new(data_centre)),
            counts: LoadCounts::default(),
        }
    }

    /// Returns the overload control.
    pub(super) fn control(&self) -> MutexGuard<'_, OverloadControl> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and returns whether the processor has time for it; `call` is absent when its
    /// head is invalid, `is_charged` says whether it was charged as its connection was accepted.
    pub(super) fn try_admit(
        &self,
        call: Option<&CallMetadata>,
        is_charged: bool,
        now: Instant,
    ) -> bool {
        let mut control = self.control();
        let cost = control.cost_of(call.and_then(|call| call.prompt.as_ref()));
        let is_admitted = if is_charged {
            control.admit_charged(cost);
            true
        } else {
            control.try_admit(cost, now)
        };
        self.counts.count_call(is_admitted);
        is_admitted
    }

    /// Decides about a new connection.
    pub(super) fn try_admit_connection(&self, now: Instant) -> ConnectionAdmission {
        self.control().try_admit_connection(now)
    }

    /// Returns a router that takes a connection over, and counts it as handed over.
    pub(super) fn take_target(&self) -> Option<SocketAddr> {
        let target = self.targets().take()?;
        self.control().record_handoff();
        Some(target)
    }

    /// Returns whether new connections are handed over to other routers.
    pub(super) fn hands_over(&self) -> bool {
        self.control().is_limiting() && self.targets().is_available()
    }

    /// Returns the routers that take connections over.
    pub(super) fn targets(&self) -> MutexGuard<'_, HandoffTargets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts of calls and connections.
    pub(super) fn counts(&self) -> &LoadCounts {
        &self.counts
    }

    /// Records a call that was refused because of overload.
    pub(super) fn record_shed(&self, call: ShedCall) {
        self.shed().push(call);
    }

    fn shed(&self) -> MutexGuard<'_, Vec<ShedCall>> {
        self.shed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Samples timers, connections and calls until `stop` is cancelled.
pub async fn monitor_overload<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut last = Instant::now();
    let mut load_log = LoadLog::new(last);
    loop {
        let due = Instant::now() + SAMPLE_INTERVAL;
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep_until(due.into()) => {}
        }
        let now = Instant::now();
        let lateness = now.duration_since(due);
        let interval = now.duration_since(last);
        let change = record_sample(&context, lateness, interval, now);
        exchange_offers(&context, interval, now);
        load_log.update(&context, lateness, now);
        last = now;
        let shed = std::mem::take(&mut *context.admission.shed());
        if !shed.is_empty() {
            context.send_event(ControlEvent::Shed(shed));
        }
        if let Some(overloaded) = change {
            context.overloaded.send_replace(overloaded);
        }
    }
}

/// Takes the offers of other routers from the control thread, and tells it what this one can offer.
fn exchange_offers<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    interval: Duration,
    now: Instant,
) {
    let offers = context.offers.borrow().clone();
    context.admission.targets().update(&offers, interval, now);
    let spare_rate = context.admission.control().spare_rate();
    context.send_event(ControlEvent::SpareRate(spare_rate));
}

/// Returns the fraction of the connections that cannot be closed to make room. Connections of
/// clients that stand still or are idle do not take the router out of rotation.
fn connections_used<A: GatewayAdapter>(context: &GatewayContext<A>, now: Instant) -> f64 {
    let limit = context.connection_limit.max(1) as f64;
    let used = context.connections.count();
    if used as f64 / limit < COUNTED_CONNECTIONS {
        return used as f64 / limit;
    }
    used.saturating_sub(context.clients.count_sheddable(now)) as f64 / limit
}

/// Records a sample and logs when the overload begins or ends.
fn record_sample<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    lateness: Duration,
    interval: Duration,
    now: Instant,
) -> Option<bool> {
    let connections_used = connections_used(context, now);
    let mut control = context.admission.control();
    let overloaded = control.record(lateness, connections_used, interval, now)?;
    let detector = control.detector();
    log::warn!(
        lateness_ms = detector.lateness().as_millis() as u64,
        connections_used = connections_used, demand = detector.demand(),
        sustainable_rate = control.sustainable_rate().round();
        "{}", if overloaded { "overloaded; shedding callers" } else { "overload ended" }
    );
    Some(overloaded)
}
