//! HTTP between routers: the view for a router that the store does not reach, and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode, Uri};
use tokio::sync::{Mutex, mpsc, oneshot};
use viz::{Body, Request, Router};

use super::GatewayContext;
use super::edge::GatewayEdge;
use super::events::ControlEvent;
use crate::protocol::{decode_message, encode_message};
use crate::routing::ViewExport;
use crate::store::PlatformClient;
use crate::supervisor::StopSignal;

/// Path of the view.
const VIEW_PATH: &str = "/view";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Longest time to fetch a view.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Queue of routers to fetch from that outlives a restart of the fetcher.
pub type FetchQueue = Arc<Mutex<mpsc::Receiver<SocketAddr>>>;

/// Routes of the server between routers.
pub fn peer_router<E: GatewayEdge>(context: Arc<GatewayContext<E>>) -> Router {
    let view_context = Arc::clone(&context);
    Router::new()
        .get(VIEW_PATH, move |_: Request| {
            let context = Arc::clone(&view_context);
            async move { Ok::<_, viz::Error>(view_response(&context).await) }
        })
        .get(METRICS_PATH, move |_: Request| {
            let response = match context.metrics.render() {
                Ok(text) => bytes_response(Bytes::from(text)),
                Err(error) => error_response(&error.to_string()),
            };
            async move { Ok::<_, viz::Error>(response) }
        })
}

async fn view_response<E: GatewayEdge>(context: &GatewayContext<E>) -> Response<Body> {
    let (reply, view) = oneshot::channel();
    context.tell(ControlEvent::Export(reply));
    match view.await {
        Ok(view) => match encode_message(&view) {
            Ok(bytes) => bytes_response(bytes),
            Err(error) => error_response(&error.to_string()),
        },
        Err(_) => error_response("the control thread is restarting"),
    }
}

fn bytes_response(bytes: Bytes) -> Response<Body> {
    Response::new(Body::from(http_body_util::Full::new(bytes)))
}

fn error_response(cause: &str) -> Response<Body> {
    let mut response = bytes_response(Bytes::copy_from_slice(cause.as_bytes()));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// Fetches views from better informed routers until `stop` is cancelled.
pub async fn fetch_views<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    queue: FetchQueue,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut queue = queue.lock().await;
    loop {
        let address = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            address = queue.recv() => address,
        };
        let Some(address) = address else { return Ok(()) };
        match fetch_view(address).await {
            Ok(view) => context.control.send(ControlEvent::Import(view)).await?,
            Err(error) => log::warn!(peer:% = address; "view not fetched: {error:#}"),
        }
    }
}

async fn fetch_view(address: SocketAddr) -> eyre::Result<ViewExport> {
    let base: Uri = format!("http://{address}").parse()?;
    let client = PlatformClient::new(&base, FETCH_TIMEOUT);
    let reply = client.send(Method::GET, VIEW_PATH, Bytes::new()).await?;
    if reply.status != StatusCode::OK {
        return Err(reply.into_error().into());
    }
    Ok(decode_message(&reply.body)?)
}
