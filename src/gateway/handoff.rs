//! Hands callers' connections over to other routers.
//!
//! The head of the call is read for its deadline; all other bytes are relayed unread in both
//! directions. The other router serves one call on the connection and closes it. It may stop or
//! stand still at any moment, so this router gives the final answer soon after the deadline if the
//! other one has not.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, copy_buf};
use tokio::net::TcpStream;

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::call_start::CallStart;
use super::connection_end::break_off;
use super::pool::set_timeouts;
use crate::supervisor::StopSignal;

/// Time limit for opening a connection to another router: several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after a call's deadline until which the other router's own final answer is awaited.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Sizes of the buffers for a call and for its answer, in bytes.
const CALL_BUFFER_BYTES: usize = 16 << 10;
const ANSWER_BUFFER_BYTES: usize = 4 << 10;

/// Outcome of a connection that no router took over, in the metrics.
const NOT_HANDED_OVER: &str = "connection closed: not handed over";

/// Answer to a call that the other router has not begun to answer in time. It may have run.
const TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Answer to a call whose connection the other router ended without one. The call may have run.
const BROKEN_ANSWER: &[u8] =
    b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Returns whether connections may be handed over now. None are during a shutdown, as a call might
/// not end before the process does, nor while a call may be bound to a region.
pub(super) fn may_hand_over<A: GatewayAdapter>(context: &GatewayContext<A>) -> bool {
    context.drain.get().is_none()
        && context.table.borrow().as_ref().is_some_and(|table| !table.has_homes())
        && context.admission.targets().is_available()
}

/// Waits for a call on a caller's connection and relays it to another router until one side ends
/// the connection. It is closed unread if no router can be reached, and when `closing` is cancelled
/// before the call arrives.
pub(super) async fn hand_over<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    caller: TcpStream,
    closing: StopSignal,
) {
    let has_call = tokio::select! {
        has_call = wait_for_call(&caller, context.limits().idle_time) => has_call,
        () = closing.cancelled() => false,
    };
    if !has_call {
        return;
    }
    let target = if may_hand_over(&context) { context.admission.take_target() } else { None };
    let Some(target) = target else {
        context.metrics.count_call(NOT_HANDED_OVER);
        return;
    };
    match connect(target).await {
        Ok(router) => {
            // The caller's connection is counted already.
            let _guard = context.connections.enter();
            context.metrics.count_call("handed over");
            if let Err(error) = relay_call(&context, caller, router).await {
                log::debug!("a connection that was handed over ended: {error}");
            }
        }
        Err(error) => {
            context.admission.targets().record_unreachable(target, Instant::now());
            context.metrics.count_call(NOT_HANDED_OVER);
            log::info!(router:% = target; "connection closed: cannot hand it over: {error}");
        }
    }
}

/// Returns whether the first bytes of a call arrived within the limit.
async fn wait_for_call(caller: &TcpStream, limit: Duration) -> bool {
    matches!(tokio::time::timeout(limit, caller.readable()).await, Ok(Ok(())))
}

async fn connect(target: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await??;
    set_timeouts(&stream)?;
    Ok(stream)
}

/// How the wait for another router's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerStart {
    /// Bytes of an answer have arrived.
    Begun,
    /// The router has ended the connection.
    Broken,
    /// It is time to give up.
    TimedOut,
}

async fn relay_call<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    mut caller: TcpStream,
    mut router: TcpStream,
) -> io::Result<()> {
    set_timeouts(&caller)?;
    let start = CallStart::read(&mut caller, context.limits().head_time).await?;
    let deadline = start.deadline(context) + ANSWER_MARGIN;
    let give_up = async {
        tokio::select! {
            () = tokio::time::sleep_until(deadline.into()) => {}
            () = context.answers_due.cancelled() => {}
        }
    };
    let relayed = relay_bytes(&mut caller, &mut router, &start.bytes, give_up, deadline).await;
    if relayed.is_err() && start.allows_unframed() {
        break_off(&caller);
    }
    relayed
}

/// Sends the start of a call and copies bytes in both directions until the answer ends, the caller
/// leaves or the deadline passes. If no answer has begun when `give_up` completes or the router
/// ends the connection, the caller gets a final answer.
async fn relay_bytes(
    caller: &mut TcpStream,
    router: &mut TcpStream,
    start: &[u8],
    give_up: impl Future<Output = ()>,
    deadline: Instant,
) -> io::Result<()> {
    let (from_caller, mut to_caller) = caller.split();
    let (from_router, mut to_router) = router.split();
    let mut call = BufReader::with_capacity(CALL_BUFFER_BYTES, from_caller);
    let mut answer = BufReader::with_capacity(ANSWER_BUFFER_BYTES, from_router);
    let answering = async {
        let begun = tokio::select! {
            begun = answer.fill_buf() => match begun {
                Ok([]) | Err(_) => AnswerStart::Broken,
                Ok(_) => AnswerStart::Begun,
            },
            () = give_up => AnswerStart::TimedOut,
        };
        match begun {
            AnswerStart::Broken => to_caller.write_all(BROKEN_ANSWER).await,
            AnswerStart::TimedOut => to_caller.write_all(TIMEOUT_ANSWER).await,
            AnswerStart::Begun => {
                let copying = copy_buf(&mut answer, &mut to_caller);
                tokio::time::timeout_at(deadline.into(), copying).await?.map(drop)
            }
        }
    };
    let sending = async {
        to_router.write_all(start).await?;
        copy_buf(&mut call, &mut to_router).await
    };
    tokio::pin!(answering);
    tokio::select! {
        ended = &mut answering => ended,
        sent = sending => match sent {
            // The caller has left.
            Ok(_) => Ok(()),
            // The router may have answered before it closed the connection.
            Err(_) => answering.await,
        },
    }
}
