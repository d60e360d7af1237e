//! Accepts connections of callers, and those that other routers hand over.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::caller::{CallerConnection, serve_connection};
use super::handoff::{hand_over, may_hand_over};
use crate::decision::direct::ConnectionAdmission;
use crate::supervisor::StopSignal;

/// Time after which accepting is tried again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Part of the connection limit that is freed at once when the limit is reached, so that the
/// connections are not compared for each new one.
const SHED_PARTS: usize = 32;

/// Who opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionOrigin {
    /// A caller.
    Caller,
    /// Another router, for one of its callers.
    Router,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionTreatment {
    /// This router serves it; `is_charged` says whether its first call is charged already.
    Serve { is_charged: bool },
    /// Another router serves it.
    HandOver,
    /// It is closed unread, for this reason.
    Close(&'static str),
}

/// Listeners for callers and for connections that other routers hand over.
#[derive(Debug)]
pub(super) struct CallerListeners {
    callers: TcpListener,
    handoffs: Option<TcpListener>,
}

impl CallerListeners {
    /// Binds the listeners.
    pub(super) async fn bind(
        callers: SocketAddr,
        handoffs: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let callers = TcpListener::bind(callers).await?;
        let handoffs = match handoffs {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        Ok(Self { callers, handoffs })
    }

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr, ConnectionOrigin)> {
        let (accepted, origin) = tokio::select! {
            accepted = self.callers.accept() => (accepted, ConnectionOrigin::Caller),
            accepted = self.accept_handoff() => (accepted, ConnectionOrigin::Router),
        };
        accepted.map(|(stream, address)| (stream, address, origin))
    }

    async fn accept_handoff(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match &self.handoffs {
            Some(handoffs) => handoffs.accept().await,
            None => std::future::pending().await,
        }
    }

    /// Stops listening, so that connections are refused and do not wait unread until the process
    /// ends.
    pub(super) fn stop_listening(&self) {
        for listener in std::iter::once(&self.callers).chain(&self.handoffs) {
            if let Err(error) = SockRef::from(listener).shutdown(Shutdown::Both) {
                log::warn!("cannot close the listener: {error}");
            }
        }
    }
}

/// Accepts connections and starts to serve them; idle ones end when `closing` is cancelled.
pub(super) async fn accept_callers<A: GatewayAdapter>(
    context: &Arc<GatewayContext<A>>,
    listeners: &CallerListeners,
    closing: &StopSignal,
) -> eyre::Result<()> {
    loop {
        match listeners.accept().await {
            Ok((stream, address, origin)) => match choose_treatment(context, origin).await {
                ConnectionTreatment::Serve { is_charged } => {
                    spawn_serving(context, stream, origin, is_charged, closing);
                }
                ConnectionTreatment::HandOver => spawn_handoff(context, stream, closing),
                ConnectionTreatment::Close(reason) => close_unread(context, address, reason),
            },
            Err(error) => {
                // File descriptors may be used up for a moment; they are released as connections
                // end.
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn choose_treatment<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    origin: ConnectionOrigin,
) -> ConnectionTreatment {
    if !has_room(context).await {
        return ConnectionTreatment::Close("too many are open");
    }
    // The other router has read the call, so its caller could not try elsewhere.
    if origin == ConnectionOrigin::Router {
        return ConnectionTreatment::Serve { is_charged: false };
    }
    match context.admission.try_admit_connection(Instant::now()) {
        ConnectionAdmission::Unlimited => ConnectionTreatment::Serve { is_charged: false },
        ConnectionAdmission::Charged => ConnectionTreatment::Serve { is_charged: true },
        ConnectionAdmission::Refused if may_hand_over(context) => ConnectionTreatment::HandOver,
        ConnectionAdmission::Refused => ConnectionTreatment::Close("overloaded"),
    }
}

/// Returns whether there is room for another connection. Those that hold most and move least are
/// closed for it.
async fn has_room<A: GatewayAdapter>(context: &GatewayContext<A>) -> bool {
    if context.connections.count() < context.connection_limit {
        return true;
    }
    let count = (context.connection_limit / SHED_PARTS).max(1);
    let is_shed = context.clients.shed_for_room(count, Instant::now());
    if is_shed {
        // The descriptor is free once the task has been dropped.
        tokio::task::yield_now().await;
    }
    is_shed
}

fn spawn_serving<A: GatewayAdapter>(
    context: &Arc<GatewayContext<A>>,
    stream: TcpStream,
    origin: ConnectionOrigin,
    is_charged: bool,
    closing: &StopSignal,
) {
    context.admission.counts().count_connection(true);
    context.metrics.caller_connections.inc();
    let guard = context.connections.enter();
    let registered = context.clients.enter(Instant::now());
    let meter = registered.meter();
    let connection = CallerConnection { stream, origin, is_charged, meter: Arc::clone(&meter) };
    let serving = serve_connection(Arc::clone(context), connection, closing.clone());
    let task = tokio::spawn(async move {
        serving.await;
        drop((registered, guard));
    });
    meter.set_task(task.abort_handle());
}

fn spawn_handoff<A: GatewayAdapter>(
    context: &Arc<GatewayContext<A>>,
    stream: TcpStream,
    closing: &StopSignal,
) {
    context.admission.counts().count_handoff();
    let guard = context.connections.enter();
    let relaying = hand_over(Arc::clone(context), stream, closing.clone());
    tokio::spawn(async move {
        relaying.await;
        drop(guard);
    });
}

/// Closes a connection without a response, which allows the caller to try another router.
fn close_unread<A: GatewayAdapter>(context: &GatewayContext<A>, caller: SocketAddr, reason: &str) {
    context.admission.counts().count_connection(false);
    log::info!(caller:% = caller; "connection closed: {reason}");
    context.metrics.count_call(format!("connection closed: {reason}"));
    context.metrics.closed_connections.inc();
}
