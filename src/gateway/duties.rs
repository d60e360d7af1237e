//! Performs the duties of one router for the whole fleet: acquires their lease, closes windows of
//! usage, writes them down and reports them to the platform, and orders engines.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use tokio::sync::{oneshot, watch};

use super::GatewayContext;
use super::adapter::{DutyAnswer, DutyStamp, DutyWrite, FleetSource, GatewayAdapter, StoredDuties};
use super::duty_table::DutyTable;
use super::events::ControlEvent;
use super::settings::DutySettings;
use crate::decision::direct::{EngineScaler, ScalingOrder, ScalingSubject};
use crate::decision::duty::{ClockContinuity, ClosedWindow, DutyStatus, UsageRecord};
use crate::ids::{FencingNumber, NodeId, RowVersion, StoreEra, UsageWindow};
use crate::lease::JobLease;
use crate::supervisor::StopSignal;

/// Time between two rounds, and so between two attempts of a call that failed.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two reads of the lease by a router that competes for it.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Longest time that a call to the platform may take. The lease must be valid for as long when the
/// call is sent, so that none arrives after another router has taken over.
pub const DUTY_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two decisions about the numbers of engines.
const SCALING_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of orders in one round; the others follow in the next one.
const MAX_ORDERS: usize = 8;

/// Time after which a window that the platform does not accept is given up, in multiples of the
/// time until its report is due.
const GIVE_UP_FACTOR: u32 = 3;

/// What the control thread tells the task that performs the duties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DutyView {
    /// Whether this router should acquire the lease.
    pub competes: bool,
    /// Highest fencing number that another router reported.
    pub highest_fencing: FencingNumber,
    /// Last window that a holder reported as closed.
    pub closed_through: Option<UsageWindow>,
    /// Window of the true time.
    pub current: UsageWindow,
}

/// Performs the duties until `stop` is cancelled.
pub async fn perform_duties<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    view: watch::Receiver<DutyView>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let Some(settings) = context.settings.duties.clone() else {
        stop.cancelled().await;
        return Ok(());
    };
    let mut runner = DutyRunner::new(Arc::clone(&context), settings, view);
    let mut ticker = tokio::time::interval(ROUND_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => {}
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = runner.run_round() => {}
        }
    }
}

/// Record of the closed windows as this holder knows it.
#[derive(Debug, Default)]
struct KnownRecord {
    record: UsageRecord,
    version: RowVersion,
}

/// Work of a router that holds the lease.
#[derive(Debug)]
struct HeldDuties {
    fencing: FencingNumber,
    era: StoreEra,
    known: KnownRecord,
    /// Last window that was closed, or must not be closed by this holder.
    closed_through: UsageWindow,
    /// Closed windows that the platform has not accepted yet.
    unsent: VecDeque<ClosedWindow>,
    /// Decisions about the numbers of engines, since the lease was acquired.
    scalers: IndexMap<ScalingSubject, EngineScaler>,
    /// When they were last made.
    scaled_at: Option<Instant>,
    /// Number of orders sent, so that refused ones do not hold up the others.
    orders_sent: usize,
}

struct DutyRunner<A: GatewayAdapter> {
    context: Arc<GatewayContext<A>>,
    settings: DutySettings,
    view: watch::Receiver<DutyView>,
    lease: Option<JobLease>,
    last_read: Option<Instant>,
    era: Option<StoreEra>,
    held: Option<HeldDuties>,
    continuity: ClockContinuity,
    announced: Option<DutyStatus>,
}

impl<A: GatewayAdapter> DutyRunner<A> {
    fn new(
        context: Arc<GatewayContext<A>>,
        settings: DutySettings,
        view: watch::Receiver<DutyView>,
    ) -> Self {
        Self {
            context,
            settings,
            view,
            lease: None,
            last_read: None,
            era: None,
            held: None,
            continuity: ClockContinuity::new(Instant::now(), SystemTime::now()),
            announced: None,
        }
    }

    async fn run_round(&mut self) {
        let source = self.context.adapter.source();
        let reading = source.store_time().map(|time| (time, Instant::now()));
        if let Some((time, at)) = reading {
            self.context.send_event(ControlEvent::StoreTime { time, at });
        }
        let view = *self.view.borrow();
        self.refresh_lease(view).await;
        if self.held.is_some() {
            if self.settings.reports_usage {
                self.close_windows().await;
            }
            self.announce();
            self.send_windows(view).await;
            if self.settings.orders_engines {
                self.order_engines().await;
            }
        }
        self.announce();
    }

    /// Acquires, renews or verifies the lease, and takes over or gives up the duties with it.
    async fn refresh_lease(&mut self, view: DutyView) {
        let lease = self.take_lease();
        let is_waiting = matches!(lease, JobLease::Waiting(_));
        let now = Instant::now();
        let read_lately = self.last_read.is_some_and(|at| now - at < READ_INTERVAL);
        if is_waiting && (!view.competes || read_lately) {
            // Time in which nobody looked at the row does not count towards its term.
            self.lease = Some(if view.competes { lease } else { self.waiting() });
            return;
        }
        self.last_read = Some(now);
        let context = Arc::clone(&self.context);
        let table =
            DutyTable::new(context.adapter.source(), &context.settings.node, view.highest_fencing);
        let lease = lease.refresh(&table, now).await;
        if let Some(stored) = table.into_stored() {
            self.record_stored(stored, &lease, view);
        }
        let lease = match self.era_change() {
            // Rows of the restored copy must be observed for a full term of their own.
            true => {
                self.held = None;
                self.waiting()
            }
            false => lease,
        };
        if lease.fencing(Instant::now()).is_none() {
            self.held = None;
        }
        self.lease = Some(lease);
    }

    fn take_lease(&mut self) -> JobLease {
        let lease = self.lease.take().unwrap_or_else(|| self.waiting());
        if self.continuity.advanced_alike(Instant::now(), SystemTime::now()) {
            return lease;
        }
        log::info!("the clocks did not advance alike; the lease of the duties is verified");
        lease.into_uncertain()
    }

    fn waiting(&self) -> JobLease {
        JobLease::waiting(self.settings.lease_term)
    }

    /// Returns whether the store has been restored from an older copy since the last call.
    fn era_change(&mut self) -> bool {
        let era = self.context.adapter.source().era();
        let changed = self.era.is_some_and(|known| known != era);
        if changed {
            log::warn!(era; "the store was restored; the duties are acquired anew");
        }
        self.era = Some(era);
        changed
    }

    /// Applies the record that was read with the lease, if this router holds it.
    fn record_stored(&mut self, stored: StoredDuties, lease: &JobLease, view: DutyView) {
        let Some((fencing, _)) = lease.fenced_version() else { return };
        let (record, version) = stored.usage.unzip();
        if let Some(held) = self.held.as_mut().filter(|held| held.fencing == fencing) {
            held.adopt(record.unwrap_or_default(), version.unwrap_or_default());
            return;
        }
        let closed_through = UsageRecord::resume_after(
            record.as_ref(),
            stored.era,
            view.closed_through,
            view.current,
        );
        let record = record.unwrap_or_default();
        log::info!(
            fencing, era = stored.era, closed_through, unsent = record.closed.len();
            "took over the duties of the fleet"
        );
        self.context.metrics.duty_takeovers.inc();
        self.held = Some(HeldDuties {
            fencing,
            era: stored.era,
            closed_through,
            unsent: record.closed.iter().cloned().collect(),
            known: KnownRecord { record, version: version.unwrap_or_default() },
            scalers: IndexMap::new(),
            scaled_at: None,
            orders_sent: 0,
        });
    }

    /// Closes the windows whose counts are complete and writes them down.
    async fn close_windows(&mut self) {
        while let Some(held) = &self.held
            && let Some(closed) = self.next_closed(held.closed_through).await
        {
            if !self.write_down(closed).await {
                return;
            }
        }
    }

    async fn next_closed(&self, after: UsageWindow) -> Option<ClosedWindow> {
        let (reply, closed) = oneshot::channel();
        self.context.send_event(ControlEvent::CloseUsage { after, reply });
        closed.await.ok().flatten()
    }

    /// Writes a closed window down and renews the lease with it; returns whether it is stored. If
    /// that is not known, the next round reads what is.
    async fn write_down(&mut self, closed: ClosedWindow) -> bool {
        let Some(lease) = self.lease.take() else { return false };
        let (Some(held), Some((fencing, expected))) = (&mut self.held, lease.fenced_version())
        else {
            self.lease = Some(lease);
            return false;
        };
        let record = held.known.record.with_closed(closed.clone(), held.era);
        let write = DutyWrite {
            holder: NodeId::clone(&self.context.settings.node),
            fencing,
            expected,
            usage: Some((record.clone(), held.known.version)),
        };
        let sent = Instant::now();
        let source = self.context.adapter.source();
        match source.write_duties(&write).await {
            Ok(Some(written)) if written.era == held.era => {
                self.lease = Some(lease.record_renewal(written.version, sent));
                held.known = KnownRecord { record, version: written.version };
                held.closed_through = closed.window;
                held.unsent.push_back(closed);
                true
            }
            Ok(_) => {
                self.lease = Some(lease.into_uncertain());
                false
            }
            Err(error) => {
                log::info!(window = closed.window; "usage not written down yet: {error}");
                self.lease = Some(lease.into_uncertain());
                false
            }
        }
    }

    /// Sends the windows that are written down, oldest first.
    async fn send_windows(&mut self, view: DutyView) {
        loop {
            let Some(fencing) = self.current_fencing() else { return };
            let Some(held) = &mut self.held else { return };
            let Some(closed) = held.unsent.front() else { return };
            if self.settings.is_given_up(closed.window, view.current) {
                log::warn!(window = closed.window; "usage given up: it was not accepted in time");
                held.unsent.pop_front();
                continue;
            }
            let stamp = DutyStamp { holder: NodeId::clone(&self.context.settings.node), fencing };
            let sending = self.context.adapter.source().report_usage(&stamp, closed);
            let calls: u64 = closed.counts.values().sum();
            match tokio::time::timeout(DUTY_CALL_TIMEOUT, sending).await {
                Ok(Ok(DutyAnswer::Accepted)) => {
                    log::info!(window = closed.window, fencing, calls; "usage reported");
                    self.context.metrics.usage_reports.inc();
                    held.unsent.pop_front();
                }
                Ok(Ok(DutyAnswer::Refused(status))) => {
                    log::info!(
                        window = closed.window, fencing, status:% = status; "usage refused"
                    );
                    return;
                }
                Ok(Err(error)) => {
                    log::info!(window = closed.window, fencing; "usage not accepted yet: {error}");
                    return;
                }
                Err(_) => {
                    log::info!(window = closed.window, fencing; "usage not answered yet");
                    return;
                }
            }
        }
    }

    /// Decides about the numbers of engines and sends the orders that are due.
    async fn order_engines(&mut self) {
        let now = Instant::now();
        let Some(held) = &mut self.held else { return };
        if held.scaled_at.is_some_and(|at| now - at < SCALING_INTERVAL) {
            return;
        }
        held.scaled_at = Some(now);
        let (reply, inputs) = oneshot::channel();
        self.context.send_event(ControlEvent::ScalingInputs(reply));
        let Ok(inputs) = inputs.await else { return };
        let Some(held) = &mut self.held else { return };
        let now = Instant::now();
        let mut orders: Vec<ScalingOrder> = inputs
            .into_iter()
            .filter_map(|(subject, input)| {
                let scaler = held
                    .scalers
                    .entry(subject.clone())
                    .or_insert_with(|| EngineScaler::new(subject));
                scaler.decide(&input, now)
            })
            .collect();
        let first = held.orders_sent % orders.len().max(1);
        orders.rotate_left(first);
        orders.truncate(MAX_ORDERS);
        held.orders_sent = held.orders_sent.wrapping_add(orders.len());
        for order in &orders {
            self.send_order(order).await;
        }
    }

    async fn send_order(&mut self, order: &ScalingOrder) {
        let Some(fencing) = self.current_fencing() else { return };
        let stamp = DutyStamp { holder: NodeId::clone(&self.context.settings.node), fencing };
        let sending = self.context.adapter.source().order_engines(&stamp, order);
        let answer = tokio::time::timeout(DUTY_CALL_TIMEOUT, sending).await;
        let scalers = self.held.as_mut().map(|held| &mut held.scalers);
        let Some(scaler) = scalers.and_then(|scalers| scalers.get_mut(&order.subject)) else {
            return;
        };
        match answer {
            Ok(Ok(DutyAnswer::Accepted)) => {
                log::info!(fencing, order:% = order; "engines ordered");
                self.context.metrics.engine_orders.inc();
                scaler.record_accepted(order, Instant::now());
            }
            Ok(Ok(DutyAnswer::Refused(status))) => {
                log::info!(fencing, order:% = order, status:% = status; "order of engines refused");
            }
            Ok(Err(_)) | Err(_) => {
                log::info!(fencing, order:% = order; "order of engines not answered");
                scaler.record_unconfirmed();
            }
        }
    }

    /// Returns the fencing number for a call that is sent now, if the lease outlasts the call.
    fn current_fencing(&mut self) -> Option<FencingNumber> {
        if !self.continuity.advanced_alike(Instant::now(), SystemTime::now()) {
            self.lease = self.lease.take().map(JobLease::into_uncertain);
        }
        self.lease.as_ref()?.fencing(Instant::now() + DUTY_CALL_TIMEOUT)
    }

    /// Tells the control thread, and with its reports the other routers, what this router holds.
    fn announce(&mut self) {
        let status = self.held.as_ref().map(|held| DutyStatus {
            fencing: held.fencing,
            closed_through: Some(held.closed_through),
        });
        if status != self.announced {
            self.announced = status;
            self.context.send_event(ControlEvent::DutyStatus(status));
        }
    }
}

impl HeldDuties {
    /// Applies the record as the store has it, after a write whose outcome was unknown.
    fn adopt(&mut self, record: UsageRecord, version: RowVersion) {
        for closed in &record.closed {
            if closed.window > self.closed_through {
                self.closed_through = closed.window;
                self.unsent.push_back(closed.clone());
            }
        }
        self.known = KnownRecord { record, version };
    }
}

impl DutySettings {
    /// Returns whether a window is too old to be reported.
    fn is_given_up(&self, window: UsageWindow, current: UsageWindow) -> bool {
        let age = current.saturating_sub(window);
        let length = self.schedule.length.as_secs_f64().max(0.001);
        age as f64 * length > (self.schedule.due_after * GIVE_UP_FACTOR).as_secs_f64()
    }
}
