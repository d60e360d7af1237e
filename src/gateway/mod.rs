//! The gateway: a router that sends calls straight to upstreams.
//!
//! Its supervisor starts, in this order: the control thread, the followers of the source, the
//! membership task, the writer of move records, the duties, the fetcher of views, the report
//! exchange and the server for other routers, the maintenance of the connection pool, the overload
//! detector, the readiness endpoint and the callers' server, which also serves connections that
//! other routers hand over. The `adapter` module is the interface to the platform.

mod accept;
mod adapter;
mod admit;
mod answer_body;
mod body_memory;
mod body_reader;
mod buffer_memory;
mod call_log;
mod call_run;
mod call_start;
mod caller;
mod connection_end;
mod connection_meter;
mod control;
mod decision_log;
mod duties;
mod duty_table;
mod event_frames;
mod events;
mod follow;
mod grant_guard;
mod handoff;
mod load_log;
mod members;
mod metered_stream;
mod moves;
mod observe;
mod overload;
mod peer_server;
mod peers;
mod pool;
mod processor_time;
mod ready_server;
mod received_body;
mod relay;
mod restore_log;
mod settings;
mod tracked_body;
mod usage;
mod view_log;
mod work_log;

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::net::UdpSocket;
use tokio::sync::{Mutex, Semaphore, watch};

use crate::clock::incarnation;
use crate::decision::direct::{DrainSchedule, HandoffOffer};
use crate::ids::Incarnation;
use crate::in_flight::InFlightCounter;
use crate::lifecycle::daemon::{ReadyWatch, StartingDaemon, StartingSlot};
use crate::protocol::NodelayListener;
use crate::routing::ViewPart;
use crate::server::{ListenerSlot, serve_until};
use crate::supervisor::{ChildSpec, ControlInbox, StopSignal, SupervisorTree, run_control_thread};

pub use adapter::{
    AnswerMetadata, CallCodec, CallMetadata, DutyAnswer, DutyStamp, DutyWrite, FleetSource,
    ForwardedCall, GatewayAdapter, GatewayRefusal, HeadError, MemberEntry, MoveRecord, SourceError,
    StoredDuties, StoredLease, StoredMove, WrittenDuties,
};
pub use duties::DUTY_CALL_TIMEOUT;
pub use event_frames::{EventFrames, OversizedEvent};
pub use observe::GatewayMetrics;
pub use settings::{DutySettings, GatewaySettings};

use accept::CallerListeners;
use admit::MEMORY_UNIT;
use caller::CallCounter;
use connection_meter::ConnectionRegistry;
use control::{ControlContext, OutboxReceivers, TableWatch, control_channels, run_control};
use duties::DutyView;
use events::{ControlEvent, ControlSender};
use follow::CheckSignals;
use overload::CallAdmission;
use pool::UpstreamPool;

/// Capacity of the control thread's queue, in events.
const CONTROL_CAPACITY: usize = 16 << 10;

/// Time between two removals of idle connections.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// State that the tasks of a gateway share.
pub struct GatewayContext<A: GatewayAdapter> {
    adapter: A,
    settings: Arc<GatewaySettings>,
    incarnation: Incarnation,
    control: ControlSender,
    checks: Arc<CheckSignals>,
    table: TableWatch,
    offers: watch::Receiver<Vec<HandoffOffer>>,
    pool: UpstreamPool,
    memory: Arc<Semaphore>,
    calls: CallCounter,
    in_flight: InFlightCounter,
    connections: InFlightCounter,
    connection_limit: usize,
    clients: Arc<ConnectionRegistry>,
    /// Time limits of the shutdown, once it has started.
    drain: OnceLock<DrainSchedule>,
    /// Cancelled when every call has to be answered, as the process is about to end.
    answers_due: StopSignal,
    overloaded: watch::Sender<bool>,
    admission: CallAdmission,
    metrics: Arc<GatewayMetrics>,
}

impl<A: GatewayAdapter> GatewayContext<A> {
    /// Sends an event to the control thread; it is dropped when the queue is full.
    fn send_event(&self, event: ControlEvent) {
        events::send_event(&self.control, &self.metrics, event);
    }
}

/// Bound sockets of a gateway.
struct GatewaySockets {
    callers: Arc<CallerListeners>,
    ready: ListenerSlot,
    peer: ListenerSlot,
    reports: Arc<UdpSocket>,
}

/// A gateway with bound sockets, ready to run.
pub struct GatewayDaemon<A: GatewayAdapter> {
    context: Arc<GatewayContext<A>>,
    sockets: GatewaySockets,
    control_context: ControlContext,
    receivers: OutboxReceivers,
    duty_view: watch::Receiver<DutyView>,
    starting: StartingDaemon,
    ready: ReadyWatch,
}

impl<A: GatewayAdapter> GatewayDaemon<A> {
    /// Binds the sockets.
    pub async fn bind(settings: GatewaySettings, adapter: A) -> eyre::Result<Self> {
        let sockets = GatewaySockets::bind(&settings).await?;
        let settings = Arc::new(settings);
        let (control, inbox) = ControlInbox::bounded(CONTROL_CAPACITY);
        let (outbox, receivers) = control_channels();
        let checks = Arc::new(CheckSignals::default());
        let (table_sender, table) = watch::channel(None);
        let (offer_sender, offers) = watch::channel(Vec::new());
        let (duty_sender, duty_view) = watch::channel(DutyView::default());
        let metrics = Arc::new(GatewayMetrics::default());
        let incarnation = incarnation();
        let (starting, ready) = StartingDaemon::new();
        let context = Arc::new(GatewayContext {
            adapter,
            settings: Arc::clone(&settings),
            incarnation,
            control,
            checks: Arc::clone(&checks),
            table,
            offers,
            pool: UpstreamPool::new(Arc::clone(&metrics)),
            memory: Arc::new(Semaphore::new(settings.call_memory() / MEMORY_UNIT)),
            calls: CallCounter::new(1),
            in_flight: InFlightCounter::default(),
            connections: InFlightCounter::default(),
            connection_limit: settings.connection_limit(),
            clients: Arc::default(),
            drain: OnceLock::new(),
            answers_due: StopSignal::new(),
            overloaded: watch::Sender::new(false),
            admission: CallAdmission::new(
                settings.processor_share,
                Arc::clone(&settings.data_centre),
                Instant::now(),
            ),
            metrics: Arc::clone(&metrics),
        });
        let control_context = ControlContext {
            settings,
            incarnation,
            inbox,
            outbox,
            checks,
            table: Arc::new(table_sender),
            offers: Arc::new(offer_sender),
            duties: Arc::new(duty_sender),
            metrics,
        };
        Ok(Self { context, sockets, control_context, receivers, duty_view, starting, ready })
    }

    /// Runs until `stop` is cancelled and all calls have ended.
    pub async fn run(self, stop: StopSignal) -> eyre::Result<()> {
        let settings = Arc::clone(&self.context.settings);
        log::info!(
            node = &*settings.node, data_centre = &*settings.data_centre,
            caller:% = settings.caller, peer:% = settings.peer,
            incarnation = self.context.incarnation; "started"
        );
        self.tree().run(stop).await?;
        Ok(())
    }

    fn tree(self) -> SupervisorTree {
        let Self { context, sockets, control_context, receivers, duty_view, starting, ready } =
            self;
        let OutboxReceivers { reports, fetches, moves } = receivers;
        let reports = Arc::new(Mutex::new(reports));
        let fetches = Arc::new(Mutex::new(fetches));
        let moves = Arc::new(Mutex::new(moves));
        let starting: StartingSlot = Arc::new(Mutex::new(Some(starting)));
        let stop_grace = context.settings.stop_grace;
        let ready_connections = context.settings.ready_connection_limit();
        SupervisorTree::new("gateway")
            .child(ChildSpec::permanent("control", move |stop| {
                let control_context = control_context.clone();
                run_control_thread("control", move || run_control(control_context, stop))
            }))
            .child(follow_child(&context, "follow-operators", ViewPart::Operators))
            .child(follow_child(&context, "follow-upstreams", ViewPart::Upstreams))
            .child(child(&context, "members", members::maintain_membership))
            .child(child(&context, "move-records", move |context, stop| {
                moves::write_moves(context, Arc::clone(&moves), stop)
            }))
            .child(child(&context, "duties", move |context, stop| {
                duties::perform_duties(context, duty_view.clone(), stop)
            }))
            .child(child(&context, "view-fetches", move |context, stop| {
                peer_server::fetch_views(context, Arc::clone(&fetches), stop)
            }))
            .child(child(&context, "reports", move |context, stop| {
                let socket = Arc::clone(&sockets.reports);
                peers::exchange_reports(context, socket, Arc::clone(&reports), stop)
            }))
            .child(child(&context, "peer-server", move |context, stop| {
                serve_until(sockets.peer.clone(), peer_server::peer_router(context), stop)
            }))
            .child(child(&context, "pool-sweep", sweep_connections))
            .child(child(&context, "pressure", overload::monitor_overload))
            .child(ChildSpec::permanent("ready", move |stop| {
                let slot = sockets.ready.clone();
                ready_server::serve_ready(slot, ready.clone(), ready_connections, stop)
            }))
            .child(
                child(&context, "callers", move |context, stop| {
                    caller::serve(
                        context,
                        Arc::clone(&sockets.callers),
                        Arc::clone(&starting),
                        stop,
                    )
                })
                .stop_grace(stop_grace),
            )
    }
}

impl GatewaySockets {
    async fn bind(settings: &GatewaySettings) -> eyre::Result<Self> {
        let listen = async |address| {
            NodelayListener::bind(address)
                .await
                .wrap_err_with(|| format!("cannot listen on {address}"))
        };
        let callers = CallerListeners::bind(settings.caller, settings.handoff)
            .await
            .wrap_err("cannot listen for callers")?;
        let reports = UdpSocket::bind(settings.peer)
            .await
            .wrap_err_with(|| format!("cannot bind {} for reports", settings.peer))?;
        Ok(Self {
            callers: Arc::new(callers),
            ready: ListenerSlot::from(listen(settings.ready).await?),
            peer: ListenerSlot::from(listen(settings.peer).await?),
            reports: Arc::new(reports),
        })
    }
}

/// Creates the specification of a child that needs only the context.
fn child<A, F, S>(context: &Arc<GatewayContext<A>>, name: &'static str, start: S) -> ChildSpec
where
    A: GatewayAdapter,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
    S: Fn(Arc<GatewayContext<A>>, StopSignal) -> F + Send + Sync + 'static,
{
    let context = Arc::clone(context);
    ChildSpec::permanent(name, move |stop| start(Arc::clone(&context), stop))
}

fn follow_child<A: GatewayAdapter>(
    context: &Arc<GatewayContext<A>>,
    name: &'static str,
    part: ViewPart,
) -> ChildSpec {
    let context = Arc::clone(context);
    ChildSpec::transient(name, move |stop| follow::follow(Arc::clone(&context), part, stop))
}

/// Removes expired idle connections from the pool, and closes the connections of callers that do not
/// read, until `stop` is cancelled.
async fn sweep_connections<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut tick = tokio::time::interval(POOL_SWEEP_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = tick.tick() => {}
        }
        context.pool.remove_expired();
        context.clients.close_overdue(context.limits().idle_time, Instant::now());
        log_shed(&context);
    }
}

/// Logs and counts the connections that were closed because their clients held too much.
fn log_shed<A: GatewayAdapter>(context: &GatewayContext<A>) {
    let shed = context.clients.take_shed();
    if shed > 0 {
        context.metrics.shed_connections.inc_by(shed.into());
        log::warn!(
            connections = shed, open = context.connections.count();
            "closed connections of callers that hold most and move least"
        );
    }
}
