//! Administration API: JSON over HTTP on the router's admin listener.
//!
//! `guide/src/administration.md` describes the endpoints, their bodies and errors. Reads of the
//! configuration return the version in force in this process, so they work while the store is
//! down; changes are applied to the stored version.

mod change;
mod error;
mod read;
mod write;

use std::sync::Arc;

use viz::types::State;
use viz::{BoxHandler, Handler, Next, Request, RequestExt, Response, Router, StatusCode};

use crate::fleet::FleetContext;
use crate::server::{ListenerSlot, serve_until};
use crate::supervisor::StopSignal;

pub use error::AdminError;

/// Serves the API until `stop` is cancelled. Requests to `report_routes` need an operator's key,
/// too.
pub async fn serve(
    context: Arc<FleetContext>,
    report_routes: Router,
    listener: ListenerSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    serve_until(listener, add_routes(report_routes.with_handler(require_operator), context), stop)
        .await
}

/// Passes a request on if it carries the key of an operator.
async fn require_operator((request, next): Next<Request, BoxHandler>) -> viz::Result<Response> {
    let context = context_of(&request)?;
    match read::authorize_read(&context, &request) {
        Ok(_) => next.call(request).await,
        Err(error) => Ok(error.into_response()),
    }
}

fn add_routes(router: Router, context: Arc<FleetContext>) -> Router {
    router
        .get("/admin/configuration", read::configuration)
        .put("/admin/configuration", write::configuration)
        .get("/admin/nodes", read::nodes)
        .get("/admin/audit", read::audit)
        .post("/admin/plan", write::plan)
        .post("/admin/moves/:id/take-back", write::take_back)
        .get("/admin/:list", read::list)
        .get("/admin/:list/:id", read::entry)
        .put("/admin/:list/:id", write::entry)
        .delete("/admin/:list/:id", write::remove_entry)
        .with(State::new(context))
}

fn context_of(request: &Request) -> viz::Result<Arc<FleetContext>> {
    request
        .state::<Arc<FleetContext>>()
        .ok_or_else(|| viz::IntoResponse::into_error(StatusCode::INTERNAL_SERVER_ERROR))
}
