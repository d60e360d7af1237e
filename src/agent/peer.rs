//! HTTP server for routers and other agents: offers, withdrawals, answers, orders and account
//! reports.

use std::sync::Arc;
use std::time::Duration;

use futures::{StreamExt, stream};
use http_body_util::Full;
use tokio::sync::oneshot;
use viz::types::State;
use viz::{Body, Request, RequestExt, Response, Router, StatusCode};

use super::AgentContext;
use super::answers::{AnswerBuffer, ReadPosition};
use super::events::AgentEvent;
use super::orders::handle_order;
use crate::daemon::add_probes;
use crate::exchange::{ExchangeEvent, USAGE_PATH, body_bytes};
use crate::fleet::add_fleet_routes;
use crate::protocol::{
    AccountReply, AccountReport, AnswerAcknowledgement, AnswerRequest, CancelRequest, OfferBatch,
    OrderMessage, PeerCall, WithdrawBatch, encode_frame, read_message, write_reply,
};
use crate::server::{ListenerSlot, serve_until};
use crate::supervisor::StopSignal;

/// Serves peers until `stop` is cancelled.
pub async fn serve(
    context: Arc<AgentContext>,
    listener: ListenerSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    let router = add_probes(Router::new(), context.ready.clone())
        .post(OfferBatch::PATH, offer)
        .post(WithdrawBatch::PATH, withdraw)
        .post(AnswerRequest::PATH, answer)
        .post(AnswerAcknowledgement::PATH, acknowledge)
        .post(CancelRequest::PATH, cancel)
        .post(OrderMessage::PATH, order)
        .post(AccountReport::PATH, accounts)
        .get(USAGE_PATH, usage)
        .with(State::new(Arc::clone(&context)));
    let router = add_fleet_routes(router, Arc::clone(&context.fleet));
    serve_until(listener, router, stop).await
}

async fn offer(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let batch: OfferBatch = match read_message(&mut request, &context.versions).await {
        Ok(batch) => batch,
        Err(response) => return Ok(response),
    };
    let (reply, answer) = oneshot::channel();
    let _ = context.control.send(AgentEvent::OffersReceived { batch, reply }).await;
    match answer.await {
        Ok(answer) => Ok(write_reply(&answer, &context.versions)),
        // The control thread restarts and no longer knows the offers.
        Err(_) => Ok(status_response(StatusCode::SERVICE_UNAVAILABLE)),
    }
}

async fn order(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let message: OrderMessage = match read_message(&mut request, &context.versions).await {
        Ok(message) => message,
        Err(response) => return Ok(response),
    };
    let answer = handle_order(&context, message).await;
    Ok(write_reply(&answer, &context.versions))
}

async fn withdraw(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    match read_message::<WithdrawBatch>(&mut request, &context.versions).await {
        Ok(batch) => {
            let _ = context.control.send(AgentEvent::OffersWithdrawn(batch.requests)).await;
            Ok(write_reply(&(), &context.versions))
        }
        Err(response) => Ok(response),
    }
}

async fn answer(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let attach: AnswerRequest = match read_message(&mut request, &context.versions).await {
        Ok(attach) => attach,
        Err(response) => return Ok(response),
    };
    let Some(buffer) = context.answers.find(attach.attempt) else {
        return Ok(status_response(StatusCode::NOT_FOUND));
    };
    // Three heartbeats fit into the time after which a router considers the connection silent.
    let heartbeat = context.settings.limits.progress_timeout / 3;
    Ok(Response::new(stream_answer(buffer, attach.offset, heartbeat)))
}

fn stream_answer(buffer: Arc<AnswerBuffer>, offset: u64, heartbeat: Duration) -> Body {
    let guard = buffer.register_reader();
    let state = (buffer, ReadPosition::from_offset(offset), guard);
    let frames = stream::unfold(state, move |(buffer, mut position, guard)| async move {
        let frame = buffer.read(&mut position, heartbeat).await?;
        let bytes = encode_frame(&frame).map_err(std::io::Error::other);
        Some((bytes, (buffer, position, guard)))
    });
    Body::from_stream(frames.boxed())
}

async fn acknowledge(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    match read_message::<AnswerAcknowledgement>(&mut request, &context.versions).await {
        Ok(acknowledgement) => {
            if acknowledgement.complete {
                context.answers.remove(acknowledgement.attempt);
            } else if let Some(buffer) = context.answers.find(acknowledgement.attempt) {
                buffer.acknowledge(acknowledgement.offset);
            }
            Ok(write_reply(&(), &context.versions))
        }
        Err(response) => Ok(response),
    }
}

async fn accounts(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let report: AccountReport = match read_message(&mut request, &context.versions).await {
        Ok(report) => report,
        Err(response) => return Ok(response),
    };
    let received = body_bytes(&report);
    let (reply, answer) = oneshot::channel();
    let event = ExchangeEvent::ReportReceived { call: report.into(), reply };
    let _ = context.control.send(AgentEvent::Exchange(event)).await;
    match answer.await {
        Ok(answer) => {
            let reply = AccountReply::from(answer);
            context.exchange_traffic.count(received + body_bytes(&reply));
            Ok(write_reply(&reply, &context.versions))
        }
        // The control thread restarts; the sender reports again.
        Err(_) => Ok(status_response(StatusCode::SERVICE_UNAVAILABLE)),
    }
}

async fn usage(request: Request) -> viz::Result<Response> {
    Ok(viz::IntoResponse::into_response(viz::types::Json(
        context_of(&request)?.exchange_traffic.totals(),
    )))
}

async fn cancel(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    match read_message::<CancelRequest>(&mut request, &context.versions).await {
        Ok(cancel) => {
            if let Some(buffer) = context.answers.find(cancel.attempt) {
                buffer.cancelled().cancel();
                context.answers.remove(cancel.attempt);
            }
            Ok(write_reply(&(), &context.versions))
        }
        Err(response) => Ok(response),
    }
}

fn status_response(status: StatusCode) -> Response {
    let mut response = Response::new(Body::from(Full::default()));
    *response.status_mut() = status;
    response
}

fn context_of(request: &Request) -> viz::Result<Arc<AgentContext>> {
    request
        .state::<Arc<AgentContext>>()
        .ok_or_else(|| viz::IntoResponse::into_error(StatusCode::INTERNAL_SERVER_ERROR))
}
