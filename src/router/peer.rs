//! HTTP server for agents and other routers: fetches, notices, evidence and account reports.

use std::sync::Arc;

use tokio::sync::oneshot;
use viz::types::State;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use super::RouterContext;
use super::events::RouterEvent;
use crate::daemon::add_probes;
use crate::exchange::{ExchangeEvent, USAGE_PATH, body_bytes};
use crate::fleet::add_fleet_routes;
use crate::protocol::{
    AccountReply, AccountReport, AgentNotice, EvidenceRequest, FaultNotice, FetchReply,
    FetchRequest, PeerCall, SuspectNotice, read_message, write_reply,
};
use crate::server::{ListenerSlot, serve_until};
use crate::supervisor::StopSignal;

/// Serves peers until `stop` is cancelled.
pub async fn serve(
    context: Arc<RouterContext>,
    listener: ListenerSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    let router = add_probes(Router::new(), context.ready.clone())
        .post(FetchRequest::PATH, fetch)
        .post(AgentNotice::PATH, notice)
        .post(SuspectNotice::PATH, suspects)
        .post(EvidenceRequest::PATH, evidence)
        .post(FaultNotice::PATH, fault)
        .post(AccountReport::PATH, accounts)
        .get(USAGE_PATH, usage)
        .with(State::new(Arc::clone(&context)));
    let router = add_fleet_routes(router, Arc::clone(&context.fleet));
    serve_until(listener, router, stop).await
}

async fn fetch(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let fetch: FetchRequest = match read_message(&mut request, &context.versions).await {
        Ok(fetch) => fetch,
        Err(response) => return Ok(response),
    };
    let (reply, answer) = oneshot::channel();
    // A closed channel or a dropped reply means that the control thread restarts and no longer
    // knows the request.
    let _ = context.control.send(RouterEvent::Fetch { fetch, reply }).await;
    let answer = answer.await.unwrap_or(FetchReply::Withdrawn);
    Ok(write_reply(&answer, &context.versions))
}

async fn notice(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    match read_message::<AgentNotice>(&mut request, &context.versions).await {
        Ok(notice) => {
            let _ = context.control.send(RouterEvent::NoticeReceived(notice)).await;
            Ok(write_reply(&(), &context.versions))
        }
        Err(response) => Ok(response),
    }
}

async fn suspects(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    match read_message::<SuspectNotice>(&mut request, &context.versions).await {
        Ok(notice) => {
            let entries = notice.entries.iter();
            let records = entries.map(|entry| (entry.fingerprint, entry.into())).collect();
            let _ = context.control.send(RouterEvent::SuspectsReported(records)).await;
            Ok(write_reply(&(), &context.versions))
        }
        Err(response) => Ok(response),
    }
}

async fn evidence(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    if let Err(response) = read_message::<EvidenceRequest>(&mut request, &context.versions).await {
        return Ok(response);
    }
    let (reply, answer) = oneshot::channel();
    let _ = context.control.send(RouterEvent::EvidenceRequested(reply)).await;
    // A dropped reply means that the control thread restarts; the lease holder asks again.
    let unavailable = |_| viz::IntoResponse::into_error(StatusCode::SERVICE_UNAVAILABLE);
    Ok(write_reply(&answer.await.map_err(unavailable)?, &context.versions))
}

async fn fault(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    match read_message::<FaultNotice>(&mut request, &context.versions).await {
        Ok(notice) => {
            let _ = context.control.send(RouterEvent::FaultReported(notice)).await;
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
    let _ = context.control.send(RouterEvent::Exchange(event)).await;
    match answer.await {
        Ok(answer) => {
            let reply = AccountReply::from(answer);
            context.exchange_traffic.count(received + body_bytes(&reply));
            Ok(write_reply(&reply, &context.versions))
        }
        // The control thread restarts; the sender reports again.
        Err(_) => Err(viz::IntoResponse::into_error(StatusCode::SERVICE_UNAVAILABLE)),
    }
}

async fn usage(request: Request) -> viz::Result<Response> {
    Ok(viz::IntoResponse::into_response(viz::types::Json(
        context_of(&request)?.exchange_traffic.totals(),
    )))
}

fn context_of(request: &Request) -> viz::Result<Arc<RouterContext>> {
    request
        .state::<Arc<RouterContext>>()
        .ok_or_else(|| viz::IntoResponse::into_error(StatusCode::INTERNAL_SERVER_ERROR))
}
