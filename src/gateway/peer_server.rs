//! HTTP interface between routers: the view, for routers that cannot reach the store, and the
//! metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode, Uri};
use tokio::sync::{Mutex, mpsc, oneshot};
use viz::{Body, Request, Router};

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::events::ControlEvent;
use crate::protocol::{decode_message, encode_message};
use crate::routing::ViewSnapshot;
use crate::store::PlatformClient;
use crate::supervisor::StopSignal;

/// Path of the view.
const VIEW_PATH: &str = "/view";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time limit of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a view in bytes; a fleet of hundreds of upstreams needs a fraction of it.
const VIEW_LIMIT: usize = 4 << 20;

/// Queue of routers to fetch from; it outlives a restart of the fetcher.
pub type FetchQueue = Arc<Mutex<mpsc::Receiver<SocketAddr>>>;

/// Creates the routes of the server for other routers.
pub fn peer_router<A: GatewayAdapter>(context: Arc<GatewayContext<A>>) -> Router {
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

async fn view_response<A: GatewayAdapter>(context: &GatewayContext<A>) -> Response<Body> {
    let (reply, view) = oneshot::channel();
    context.send_event(ControlEvent::Export(reply));
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

/// Fetches views from routers that are ahead until `stop` is cancelled.
pub async fn fetch_views<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
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
            Ok(mut view) => {
                // A router of an earlier release may pass on what this one refuses.
                let removed = view.remove_out_of_bounds();
                if removed > 0 {
                    log::warn!(peer:% = address, removed; "ignored invalid parts of a view");
                }
                context.control.send(ControlEvent::Import(view)).await?;
            }
            Err(error) => log::warn!(peer:% = address; "cannot fetch the view: {error:#}"),
        }
    }
}

async fn fetch_view(address: SocketAddr) -> eyre::Result<ViewSnapshot> {
    let base: Uri = format!("http://{address}").parse()?;
    let client = PlatformClient::new(&base, FETCH_TIMEOUT).with_reply_limit(VIEW_LIMIT);
    let reply = client.send(Method::GET, VIEW_PATH, Bytes::new()).await?;
    if reply.status != StatusCode::OK {
        return Err(reply.into_error().into());
    }
    Ok(decode_message(&reply.body)?)
}
