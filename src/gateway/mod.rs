//! The gateway: a router that sends calls straight to upstreams.
//!
//! Children of the supervisor, in start order: the control thread, the followers of the source,
//! the keeper of the members, the writer of move records, the exchange between routers, the
//! balancer's probe and the callers' server. `edge` is the seam to the platform.

mod admit;
mod call_log;
mod call_run;
mod caller;
mod control;
mod edge;
mod event_frames;
mod events;
mod follow;
mod grant_hold;
mod members;
mod moves;
mod observe;
mod peer_server;
mod peers;
mod pool;
mod pressure;
mod relay;
mod settings;
mod tracked_body;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Mutex, Semaphore, watch};
use viz::{Request, Router};

use crate::clock::incarnation;
use crate::daemon::ready_response;
use crate::decision::direct::CallLimiter;
use crate::ids::Incarnation;
use crate::in_flight::InFlightCounter;
use crate::lifecycle::daemon::{ReadyWatch, StartingDaemon};
use crate::protocol::NodelayListener;
use crate::routing::ViewPart;
use crate::server::{ListenerSlot, serve_until};
use crate::supervisor::{ChildSpec, ControlInbox, StopSignal, SupervisorTree, run_control_thread};

pub use edge::{
    AnswerFacts, CallDialect, CallHead, FleetSource, ForwardedCall, GatewayEdge, GatewayRefusal,
    HeadError, MemberEntry, MoveRecord, RecordedMove, SourceError,
};
pub use event_frames::{EventFrames, OversizedEvent};
pub use observe::GatewayMetrics;
pub use settings::GatewaySettings;

use admit::SPACE_UNIT;
use caller::{CallCounter, LifeSlot};
use control::{ControlParts, OutboxEnds, TableWatch, control_channels, run_control};
use events::{ControlEvent, ControlSender};
use pool::UpstreamPool;

/// Control events that may be under way.
const CONTROL_CAPACITY: usize = 16 << 10;

/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What the traffic of a gateway shares.
pub struct GatewayContext<E: GatewayEdge> {
    edge: E,
    settings: Arc<GatewaySettings>,
    incarnation: Incarnation,
    control: ControlSender,
    table: TableWatch,
    pool: UpstreamPool,
    space: Arc<Semaphore>,
    calls: CallCounter,
    in_flight: InFlightCounter,
    connections: InFlightCounter,
    connection_limit: usize,
    overloaded: watch::Sender<bool>,
    limiter: std::sync::Mutex<CallLimiter>,
    arrivals: AtomicU64,
    limiting: AtomicBool,
    metrics: Arc<GatewayMetrics>,
}

impl<E: GatewayEdge> GatewayContext<E> {
    /// Sends an event that may be dropped when the control thread is far behind.
    fn tell(&self, event: ControlEvent) {
        events::tell(&self.control, &self.metrics, event);
    }
}

/// Sockets of a gateway.
struct GatewaySockets {
    caller: Arc<TcpListener>,
    ready: ListenerSlot,
    peer: ListenerSlot,
    reports: Arc<UdpSocket>,
}

/// A gateway that is ready to run.
pub struct GatewayDaemon<E: GatewayEdge> {
    context: Arc<GatewayContext<E>>,
    sockets: GatewaySockets,
    parts: ControlParts,
    ends: OutboxEnds,
    life: StartingDaemon,
    ready: ReadyWatch,
}

impl<E: GatewayEdge> GatewayDaemon<E> {
    /// Binds the sockets.
    pub async fn bind(settings: GatewaySettings, edge: E) -> eyre::Result<Self> {
        let sockets = GatewaySockets::bind(&settings).await?;
        let settings = Arc::new(settings);
        let (control, inbox) = ControlInbox::bounded(CONTROL_CAPACITY);
        let (outbox, ends) = control_channels();
        let (table_sender, table) = watch::channel(None);
        let metrics = Arc::new(GatewayMetrics::default());
        let incarnation = incarnation();
        let (life, ready) = StartingDaemon::new();
        let context = Arc::new(GatewayContext {
            edge,
            settings: Arc::clone(&settings),
            incarnation,
            control,
            table,
            pool: UpstreamPool::new(Arc::clone(&metrics)),
            space: Arc::new(Semaphore::new(settings.call_memory() / SPACE_UNIT)),
            calls: CallCounter::new(1),
            in_flight: InFlightCounter::default(),
            connections: InFlightCounter::default(),
            connection_limit: settings.connection_limit(),
            overloaded: watch::Sender::new(false),
            limiter: std::sync::Mutex::new(CallLimiter::new(
                settings.processor_share,
                Instant::now(),
            )),
            arrivals: AtomicU64::new(0),
            limiting: AtomicBool::new(false),
            metrics: Arc::clone(&metrics),
        });
        let parts = ControlParts {
            settings,
            incarnation,
            inbox,
            outbox,
            table: Arc::new(table_sender),
            metrics,
        };
        Ok(Self { context, sockets, parts, ends, life, ready })
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
        let Self { context, sockets, parts, ends, life, ready } = self;
        let OutboxEnds { mail, fetches, moves } = ends;
        let mail = Arc::new(Mutex::new(mail));
        let fetches = Arc::new(Mutex::new(fetches));
        let moves = Arc::new(Mutex::new(moves));
        let life: LifeSlot = Arc::new(Mutex::new(Some(life)));
        let stop_grace = context.settings.stop_grace;
        SupervisorTree::new("gateway")
            .child(ChildSpec::permanent("control", move |stop| {
                let parts = parts.clone();
                run_control_thread("control", move || run_control(parts, stop))
            }))
            .child(follow_child(&context, "follow-operators", ViewPart::Operators))
            .child(follow_child(&context, "follow-upstreams", ViewPart::Upstreams))
            .child(child(&context, "members", members::keep_members))
            .child(child(&context, "move-records", move |context, stop| {
                moves::write_moves(context, Arc::clone(&moves), stop)
            }))
            .child(child(&context, "view-fetches", move |context, stop| {
                peer_server::fetch_views(context, Arc::clone(&fetches), stop)
            }))
            .child(child(&context, "reports", move |context, stop| {
                let socket = Arc::clone(&sockets.reports);
                peers::exchange_reports(context, socket, Arc::clone(&mail), stop)
            }))
            .child(child(&context, "peer-server", move |context, stop| {
                serve_until(sockets.peer.clone(), peer_server::peer_router(context), stop)
            }))
            .child(child(&context, "pool-sweep", sweep_pool))
            .child(child(&context, "pressure", pressure::monitor_overload))
            .child(ChildSpec::permanent("ready", move |stop| {
                serve_until(sockets.ready.clone(), ready_router(ready.clone()), stop)
            }))
            .child(
                child(&context, "callers", move |context, stop| {
                    caller::serve(context, Arc::clone(&sockets.caller), Arc::clone(&life), stop)
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
        let caller = TcpListener::bind(settings.caller)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", settings.caller))?;
        let reports = UdpSocket::bind(settings.peer)
            .await
            .wrap_err_with(|| format!("cannot bind {} for reports", settings.peer))?;
        Ok(Self {
            caller: Arc::new(caller),
            ready: ListenerSlot::from(listen(settings.ready).await?),
            peer: ListenerSlot::from(listen(settings.peer).await?),
            reports: Arc::new(reports),
        })
    }
}

/// Describes a child that needs only the context.
fn child<E, F, S>(context: &Arc<GatewayContext<E>>, name: &'static str, start: S) -> ChildSpec
where
    E: GatewayEdge,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
    S: Fn(Arc<GatewayContext<E>>, StopSignal) -> F + Send + Sync + 'static,
{
    let context = Arc::clone(context);
    ChildSpec::permanent(name, move |stop| start(Arc::clone(&context), stop))
}

fn follow_child<E: GatewayEdge>(
    context: &Arc<GatewayContext<E>>,
    name: &'static str,
    part: ViewPart,
) -> ChildSpec {
    let context = Arc::clone(context);
    ChildSpec::transient(name, move |stop| follow::follow(Arc::clone(&context), part, stop))
}

/// Closes idle connections that must not be used again, until `stop` is cancelled.
async fn sweep_pool<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut tick = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = tick.tick() => context.pool.sweep(),
        }
    }
}

/// Answers the balancer on any path.
fn ready_router(ready: ReadyWatch) -> Router {
    Router::new().any("/*", move |_: Request| {
        let response = ready_response(&ready);
        async move { Ok::<_, viz::Error>(response) }
    })
}
