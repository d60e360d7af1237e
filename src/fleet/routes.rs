//! HTTP handlers that routers and agents alike serve to their peers.

use std::sync::Arc;

use tokio::sync::oneshot;
use viz::types::State;
use viz::{Request, RequestExt, Response, Router, StatusCode};

use super::FleetContext;
use super::events::FleetEvent;
use crate::protocol::{
    ConfigurationDocument, ConfigurationRequest, NodeHello, PeerCall, read_message, write_reply,
};

/// Adds the routes that every process serves to its peers.
pub fn add_fleet_routes(router: Router, context: Arc<FleetContext>) -> Router {
    router
        .post(NodeHello::PATH, hello)
        .get(ConfigurationRequest::PATH, configuration)
        .with(State::new(context))
}

async fn hello(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let hello: NodeHello = match read_message(&mut request, &context.versions).await {
        Ok(hello) => hello,
        Err(response) => return Ok(response),
    };
    let (reply, answer) = oneshot::channel();
    let _ = context.events.send(FleetEvent::HelloReceived { hello, reply }).await;
    match answer.await {
        Ok(answer) => Ok(write_reply(&answer, &context.versions)),
        // The control thread failed and is being restarted.
        Err(_) => Ok(status_response(StatusCode::SERVICE_UNAVAILABLE)),
    }
}

async fn configuration(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let current = context.configuration.borrow().clone();
    let Some(current) = current else { return Ok(status_response(StatusCode::NOT_FOUND)) };
    let document =
        ConfigurationDocument { version: current.version, document: current.raw.clone() };
    Ok(write_reply(&document, &context.versions))
}

fn status_response(status: StatusCode) -> Response {
    let mut response = Response::default();
    *response.status_mut() = status;
    response
}

fn context_of(request: &Request) -> viz::Result<Arc<FleetContext>> {
    request
        .state::<Arc<FleetContext>>()
        .ok_or_else(|| viz::IntoResponse::into_error(StatusCode::INTERNAL_SERVER_ERROR))
}
