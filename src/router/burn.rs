//! `GET /admin/burn`: report of this router's service-level objectives and their burn rates.

use std::sync::Arc;

use http::{HeaderMap, header};
use serde::Deserialize;
use tokio::sync::oneshot;
use viz::{
    IntoResponse, Request, RequestExt, Response, ResponseExt, Router, StatusCode, types::Query,
    types::State,
};

use super::RouterContext;
use super::events::RouterEvent;
use crate::configuration::KeyHash;
use crate::report::MAX_ENTRIES;

/// Path of the report.
pub const BURN_PATH: &str = "/admin/burn";

#[derive(Deserialize)]
struct BurnQuery {
    most: Option<usize>,
}

/// Adds the report's route to a server. It takes the same operator keys as the rest of the
/// administration API.
pub fn mount(router: Router, context: Arc<RouterContext>) -> Router {
    router.get(BURN_PATH, burn).with(State::new(context))
}

/// Returns whether the request carries an operator's key of the configuration in force.
fn is_operator(context: &RouterContext, headers: &HeaderMap) -> bool {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let configuration = context.configuration.borrow();
    key.zip(configuration.as_ref()).is_some_and(|(key, configuration)| {
        configuration.checked.operator_keys.contains_key(&KeyHash::of(key.trim()))
    })
}

async fn burn(mut request: Request) -> viz::Result<Response> {
    let internal = || StatusCode::INTERNAL_SERVER_ERROR.into_error();
    let Query(query) = request.extract::<Query<BurnQuery>>().await?;
    let context = request.state::<Arc<RouterContext>>().ok_or_else(internal)?;
    if !is_operator(&context, request.headers()) {
        return Err(StatusCode::UNAUTHORIZED.into_error());
    }
    let (reply, answer) = oneshot::channel();
    let most = query.most.unwrap_or(MAX_ENTRIES);
    let _ = context.control.send(RouterEvent::BurnReportRequested { most, reply }).await;
    // A dropped reply means that the control thread restarts and has lost its counts.
    let report = answer.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE.into_error())?;
    // The report is encoded on the traffic runtime, not on the control thread.
    Ok(Response::json(report)?)
}
