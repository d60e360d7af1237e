//! Fleet-wide jobs, run by the router that holds the lease row. The only job drives version moves.
//!
//! Their state is owned by the control thread; calls run on the traffic runtime. Each write of the
//! holder is one transaction that is conditional on the version of the lease row, so a holder that
//! was paused past its term cannot change anything after it resumes.

mod lease;
mod moves;
mod orders;

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::runtime::Handle;

use crate::configuration::{CommitError, ConfigurationChange, read_stored};
use crate::fleet::{FleetContext, FleetEvent};
use crate::ids::FencingNumber;
use crate::lease::JobLease;
use crate::supervisor::StopSignal;

pub use lease::{MOVES_LEASE, read_fencing};

use lease::{LEASE_TERM, MovesLeaseTable, lease_condition, lease_write};
use moves::{MoveDriver, MoveUpdate};

/// Interval between two rounds of the job; a reported fault is recorded within about one interval.
const JOB_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the jobs until `stop` is cancelled.
pub async fn run_job_loop(context: Arc<FleetContext>, traffic: Handle, stop: StopSignal) {
    let mut job = FleetJob::new(context, traffic);
    let mut ticker = tokio::time::interval(JOB_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticker.tick() => job.run_round().await,
        }
    }
}

/// State of the jobs on the control thread.
struct FleetJob {
    context: Arc<FleetContext>,
    traffic: Handle,
    lease: Option<JobLease>,
    driver: MoveDriver,
}

impl FleetJob {
    fn new(context: Arc<FleetContext>, traffic: Handle) -> Self {
        let lease = Some(JobLease::waiting(LEASE_TERM));
        Self { context, traffic, lease, driver: MoveDriver::default() }
    }

    /// Runs a call on the traffic runtime; returns `None` if it panicked.
    async fn run_on_traffic<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        self.traffic.spawn(call).await.ok()
    }

    /// Refreshes the lease and, if this process holds it, drives the version moves.
    async fn run_round(&mut self) {
        if !self.context.takes_work() {
            return;
        }
        let lease = self.lease.take().unwrap_or_else(|| JobLease::waiting(LEASE_TERM));
        let context = Arc::clone(&self.context);
        let refreshed = self.run_on_traffic(async move {
            lease.refresh(&MovesLeaseTable::new(&context), Instant::now()).await
        });
        let lease = refreshed.await.unwrap_or_else(|| JobLease::waiting(LEASE_TERM));
        let Some(fencing) = lease.fencing(Instant::now()) else {
            // Evidence is collected by the holder only and starts anew with each lease.
            self.driver = MoveDriver::default();
            self.lease = Some(lease);
            return;
        };
        self.collect_evidence().await;
        self.send_orders(fencing);
        let updates = self.due_updates();
        self.lease = Some(if updates.is_empty() {
            lease
        } else {
            self.commit_updates(lease, updates).await
        });
    }

    async fn collect_evidence(&mut self) {
        let context = Arc::clone(&self.context);
        let replies =
            self.run_on_traffic(async move { moves::fetch_evidence(&context).await }).await;
        let configuration = self.context.configuration.borrow().clone();
        if let (Some(replies), Some(configuration)) = (replies, configuration) {
            self.driver.add_evidence(&configuration.checked, replies);
        }
    }

    fn due_updates(&self) -> Vec<MoveUpdate> {
        let Some(configuration) = self.context.configuration.borrow().clone() else {
            return Vec::new();
        };
        let members = self.context.members.borrow().clone();
        self.driver.due_updates(&configuration.checked, &members, SystemTime::now())
    }

    fn send_orders(&self, fencing: FencingNumber) {
        let Some(configuration) = self.context.configuration.borrow().clone() else { return };
        let members = self.context.members.borrow().clone();
        let now = SystemTime::now();
        for (address, message) in orders::due_orders(&configuration.checked, &members, fencing, now)
        {
            let peers = self.context.peers.clone();
            self.traffic.spawn(orders::send_order(peers, address, message));
        }
    }

    /// Commits the updates to the configuration and renews the lease, in one transaction that is
    /// conditional on the lease.
    async fn commit_updates(&self, lease: JobLease, updates: Vec<MoveUpdate>) -> JobLease {
        let context = Arc::clone(&self.context);
        let sent = Instant::now();
        let Some((holder, version)) = lease.fenced_version() else { return lease };
        let condition = lease_condition(version);
        let renewal = lease_write(&context.identity().node, holder);
        let outcome = self.run_on_traffic(async move {
            let base = read_stored(&context.table).await?;
            let mut document = base.document.clone();
            for update in &updates {
                update.apply(&mut document);
            }
            let name = format!("{MOVES_LEASE} {} fencing {holder}", context.identity().node);
            let mut change = ConfigurationChange::new(base, document, name);
            change.conditions.push(condition);
            change.writes.push(renewal);
            let accepted = change.commit(&context.table).await?;
            let event = FleetEvent::ChangeAccepted(Arc::clone(&accepted.configuration));
            // The channel closes only when the process ends.
            let _ = context.events.send(event).await;
            for update in updates {
                update.log();
            }
            Ok::<_, CommitError>((accepted.configuration.version, accepted.changes.is_empty()))
        });
        match outcome.await {
            Some(Ok((_, true))) => lease,
            Some(Ok((version, false))) => lease.record_renewal(version, sent),
            Some(Err(error)) => {
                log::warn!("cannot record the state of version moves: {error}");
                lease.into_uncertain()
            }
            None => lease.into_uncertain(),
        }
    }
}
