//! HTTP handlers of the plain service.

use std::sync::Arc;
use std::time::Instant;

use futures::stream;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use serde_json::json;
use tokio::sync::Semaphore;
use viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

use super::behaviour::PlainBehaviour;
use super::blob::{CHUNK_BYTES, blob_chunk};
use super::options::PlainOptions;
use super::state::{LedgerEntry, PlainState, StartedExecution};
use crate::error::StateClosed;
use crate::hash::body_hash;
use crate::ids::TeamName;
use crate::server::{JsonAnswer, StateHandle, json_answer, read_json, request_team};

type PlainHandle = StateHandle<PlainState>;

/// Largest size that `GET /blob/<size>` accepts.
const MAX_BLOB_BYTES: usize = 1 << 30;

/// Limit on concurrently running requests; further ones wait.
#[derive(Clone)]
pub(super) struct ServiceSlots {
    permits: Arc<Semaphore>,
}

impl ServiceSlots {
    pub(super) fn new(options: &PlainOptions) -> Self {
        Self { permits: Arc::new(Semaphore::new(options.slots)) }
    }
}

/// Builds the routes.
pub(super) fn router(state: PlainHandle, slots: ServiceSlots) -> Router {
    Router::new()
        .get("/control/ledger", ledger)
        .get("/control/counters", counters)
        .put("/control/behaviour", set_behaviour)
        .get("/health", health)
        .get("/blob/:size", blob)
        .any("/", execute)
        .any("/*", execute)
        .with(State::new(slots))
        .with(State::new(state))
}

fn state_handle(request: &Request) -> Result<PlainHandle> {
    request.state::<PlainHandle>().ok_or_else(|| StateClosed.into())
}

/// A request with what is needed to execute it.
struct ServiceCall {
    state: PlainHandle,
    slots: ServiceSlots,
    team: TeamName,
    entry: LedgerEntry,
}

impl ServiceCall {
    async fn read(request: &mut Request) -> Result<Self> {
        let body = request.bytes().await.or_else(|error| match error {
            viz::types::PayloadError::Empty => Ok(bytes::Bytes::new()),
            other => Err(JsonAnswer::new(StatusCode::BAD_REQUEST, other.to_string())),
        })?;
        let header = |name| request.header::<_, String>(name);
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let entry = LedgerEntry {
            key: header("idempotency-key").map(Into::into),
            execution: 0,
            time_ms: 0,
            method: request.method().to_string(),
            path: path.to_owned(),
            body_hash: body_hash(&body),
            ended: false,
        };
        let team = request_team(request.headers());
        let slots = request.state::<ServiceSlots>().ok_or(StateClosed)?;
        Ok(Self { state: state_handle(request)?, slots, team, entry })
    }

    /// Executes the call in a task of its own, so that it runs to its end even if the client
    /// disconnects.
    async fn run(self) -> Result<StartedExecution> {
        let execution = tokio::spawn(async move {
            let _permit = self.slots.permits.acquire_owned().await.map_err(|_| StateClosed)?;
            let started = Instant::now();
            let (entry, team) = (self.entry, self.team.clone());
            let execution =
                self.state.call(move |state| state.start_execution(entry, team)).await?;
            if !execution.run_time.is_zero() {
                tokio::time::sleep(execution.run_time).await;
            }
            let (team, elapsed) = (self.team, started.elapsed());
            self.state
                .call(move |state| state.end_execution(execution.number, team, elapsed))
                .await?;
            Ok::<_, StateClosed>(execution)
        });
        let execution = execution.await.map_err(|_| StateClosed)??;
        if execution.fails {
            let message = format!("execution {} failed", execution.number);
            return Err(JsonAnswer::new(StatusCode::INTERNAL_SERVER_ERROR, message).into());
        }
        Ok(execution)
    }
}

async fn execute(mut request: Request) -> Result<Response> {
    let call = ServiceCall::read(&mut request).await?;
    let mut echo = json!({
        "method": call.entry.method,
        "path": call.entry.path,
        "body-hash": call.entry.body_hash,
        "key": call.entry.key,
    });
    let execution = call.run().await?;
    echo["execution"] = execution.number.into();
    Ok(json_answer(StatusCode::OK, &echo))
}

async fn blob(mut request: Request) -> Result<Response> {
    let size: usize = request
        .param("size")
        .map_err(|_| JsonAnswer::new(StatusCode::BAD_REQUEST, "expected a number of bytes"))?;
    if size > MAX_BLOB_BYTES {
        return Err(JsonAnswer::new(StatusCode::BAD_REQUEST, "at most 1 GiB").into());
    }
    ServiceCall::read(&mut request).await?.run().await?;
    let chunks = (0..size).step_by(CHUNK_BYTES);
    let chunks = chunks.map(move |offset| Ok::<_, std::io::Error>(blob_chunk(size, offset)));
    let mut answer = Response::new(Body::from_stream(stream::iter(chunks)));
    let kind = HeaderValue::from_static("application/octet-stream");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer.headers_mut().insert(CONTENT_LENGTH, size.into());
    Ok(answer)
}

async fn health(request: Request) -> Result<Response> {
    let health = state_handle(&request)?
        .call(|state| {
            json!({
                "boot-id": format!("{:016x}", state.boot_id),
                "running": state.running(),
                "slots": state.options.slots,
                "version": state.options.version,
                "cold": false,
            })
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &health))
}

async fn ledger(request: Request) -> Result<Response> {
    let ledger = state_handle(&request)?.call(|state| state.ledger.clone()).await?;
    Ok(json_answer(StatusCode::OK, &ledger))
}

async fn counters(request: Request) -> Result<Response> {
    let counters = state_handle(&request)?.call(|state| state.counters.clone()).await?;
    Ok(json_answer(StatusCode::OK, &counters))
}

async fn set_behaviour(mut request: Request) -> Result<Response> {
    let behaviour: PlainBehaviour = read_json(&mut request).await?;
    let answer = json_answer(StatusCode::OK, &behaviour);
    state_handle(&request)?.call(move |state| state.behaviour = behaviour).await?;
    Ok(answer)
}
