//! HTTP handlers of the platform.

use std::time::{Duration, Instant};

use http::header::RETRY_AFTER;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::{Value, json};
use viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

use super::control::{StoreAction, StoreBehaviour, VmListBehaviour};
use super::counters::StoreOperation;
use super::state::PlatformState;
use super::table::{ScanRequest, TransactRequest};
use crate::hash::stable_hash;
use crate::ids::VmId;
use crate::server::{
    JsonAnswer, StateHandle, close_connection, json_answer, read_json, read_query,
};

type PlatformHandle = StateHandle<PlatformState>;

/// Builds the routes.
pub(super) fn router(state: PlatformHandle) -> Router {
    Router::new()
        .post("/table/transact", transact)
        .get("/table/row", row)
        .get("/table/scan", scan)
        .put("/objects/*", put_object)
        .get("/objects/*", get_object)
        .delete("/objects/*", delete_object)
        .get("/vms", list_vms)
        .put("/vms/:id", put_vm)
        .delete("/vms/:id", delete_vm)
        .put("/views/:viewer", set_view)
        .get("/views/:viewer/vms", list_viewed_vms)
        .get("/weights/:service/:version", weights)
        .put("/control/store", set_store)
        .put("/control/vm-list", set_vm_list)
        .get("/control/counters", counters)
        .with(State::new(state))
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

fn state_handle(request: &Request) -> Result<PlatformHandle> {
    request.state::<PlatformHandle>().ok_or_else(|| crate::error::StateClosed.into())
}

fn too_many_requests(wait: Duration) -> Response {
    let mut answer =
        json_answer(StatusCode::TOO_MANY_REQUESTS, &json!({ "error": "above the rate limit" }));
    let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
    answer.headers_mut().insert(RETRY_AFTER, seconds.into());
    answer
}

/// Runs `job` on the state thread, subject to the rate limit and the injected faults, and returns
/// its answer.
async fn run_in_store(
    state: PlatformHandle,
    operation: StoreOperation,
    keys: Vec<String>,
    job: impl FnOnce(&mut PlatformState) -> Response + Send + 'static,
) -> Result<Response> {
    let admitted = state
        .call(move |state| {
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            let action = state.admit(operation, &keys)?;
            let answer =
                (!matches!(action, StoreAction::Refuse | StoreAction::Hang)).then(|| job(state));
            Ok((action, answer))
        })
        .await?;
    let (action, answer) = match admitted {
        Ok(admitted) => admitted,
        Err(wait) => return Ok(too_many_requests(wait)),
    };
    match action {
        StoreAction::Hang | StoreAction::RunThenHang => std::future::pending().await,
        StoreAction::RunThenClose => return Ok(close_connection()),
        StoreAction::AnswerAfter(delay) => tokio::time::sleep(delay).await,
        StoreAction::Answer | StoreAction::Refuse => {}
    }
    answer
        .ok_or_else(|| JsonAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "the store is down").into())
}

async fn transact(mut request: Request) -> Result<Response> {
    let transaction: TransactRequest = read_json(&mut request).await?;
    let keys = transaction.writes.iter().map(|write| write.key.to_string()).collect();
    run_in_store(state_handle(&request)?, StoreOperation::Write, keys, move |state| {
        match state.table.transact(&transaction) {
            Ok(versions) => json_answer(StatusCode::OK, &json!({ "versions": versions })),
            Err(conflicts) => {
                state.counters.conflicts += 1;
                json_answer(StatusCode::CONFLICT, &json!({ "conflicts": conflicts }))
            }
        }
    })
    .await
}

async fn row(request: Request) -> Result<Response> {
    let query: RowQuery = read_query(&request)?;
    let keys = vec![query.key.clone()];
    run_in_store(state_handle(&request)?, StoreOperation::Read, keys, move |state| {
        match state.table.row(&query.key) {
            Some(content) => json_answer(StatusCode::OK, &content),
            None => json_answer(StatusCode::NOT_FOUND, &json!({ "error": "no such row" })),
        }
    })
    .await
}

async fn scan(request: Request) -> Result<Response> {
    let query: ScanRequest = read_query(&request)?;
    let keys = vec![query.prefix.clone()];
    run_in_store(state_handle(&request)?, StoreOperation::Scan, keys, move |state| {
        json_answer(StatusCode::OK, &json!({ "rows": state.table.scan(&query) }))
    })
    .await
}

fn object_name(request: &Request) -> String {
    request.path().trim_start_matches("/objects/").to_owned()
}

async fn put_object(mut request: Request) -> Result<Response> {
    let content = request
        .bytes()
        .await
        .map_err(|error| JsonAnswer::new(StatusCode::BAD_REQUEST, error.to_string()))?;
    let name = object_name(&request);
    let keys = vec!["objects".to_owned()];
    run_in_store(state_handle(&request)?, StoreOperation::Write, keys, move |state| {
        state.objects.insert(name.into(), content);
        json_answer(StatusCode::OK, &json!({}))
    })
    .await
}

async fn get_object(request: Request) -> Result<Response> {
    let name = object_name(&request);
    let keys = vec!["objects".to_owned()];
    run_in_store(state_handle(&request)?, StoreOperation::Read, keys, move |state| {
        match state.objects.get(name.as_str()) {
            Some(content) => Response::new(Body::from(http_body_util::Full::new(content.clone()))),
            None => json_answer(StatusCode::NOT_FOUND, &json!({ "error": "no such object" })),
        }
    })
    .await
}

async fn delete_object(request: Request) -> Result<Response> {
    let name = object_name(&request);
    let keys = vec!["objects".to_owned()];
    run_in_store(state_handle(&request)?, StoreOperation::Write, keys, move |state| {
        state.objects.shift_remove(name.as_str());
        json_answer(StatusCode::OK, &json!({}))
    })
    .await
}

async fn list_vms(request: Request) -> Result<Response> {
    let visible = state_handle(&request)?.call(|state| state.vms.visible(Instant::now())).await?;
    let vms: Vec<&Value> = visible.values().collect();
    Ok(json_answer(StatusCode::OK, &json!({ "vms": vms })))
}

async fn set_view(mut request: Request) -> Result<Response> {
    let addresses: IndexMap<VmId, Value> = read_json(&mut request).await?;
    let viewer: String = request.param("viewer").map_err(viz::Error::boxed)?;
    state_handle(&request)?
        .call(move |state| {
            state.views.insert(viewer.into(), addresses);
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &json!({})))
}

async fn list_viewed_vms(request: Request) -> Result<Response> {
    let viewer: String = request.param("viewer").map_err(viz::Error::boxed)?;
    let vms = state_handle(&request)?
        .call(move |state| {
            let view = state.views.get(viewer.as_str());
            let visible = state.vms.visible(Instant::now());
            let vms = visible.iter().map(|(id, vm)| {
                let mut vm = vm.clone();
                if let Some(address) = view.and_then(|view| view.get(id)) {
                    vm["address"] = address.clone();
                }
                vm
            });
            vms.collect::<Vec<Value>>()
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &json!({ "vms": vms })))
}

async fn put_vm(mut request: Request) -> Result<Response> {
    let mut vm: Value = read_json(&mut request).await?;
    let id: String = request.param("id").map_err(viz::Error::boxed)?;
    let Some(fields) = vm.as_object_mut() else {
        return Err(JsonAnswer::new(StatusCode::BAD_REQUEST, "expected an object").into());
    };
    fields.insert("id".to_owned(), id.clone().into());
    state_handle(&request)?
        .call(move |state| {
            state.vms.change(Instant::now(), |entries| {
                entries.insert(id.into(), vm);
            });
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &json!({})))
}

async fn delete_vm(request: Request) -> Result<Response> {
    let id: String = request.param("id").map_err(viz::Error::boxed)?;
    state_handle(&request)?
        .call(move |state| {
            state.vms.change(Instant::now(), |entries| {
                entries.shift_remove(id.as_str());
            });
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &json!({})))
}

async fn weights(request: Request) -> Result<Response> {
    let admitted =
        state_handle(&request)?.call(|state| (state.admit_weights(), state.weight_bytes)).await?;
    match admitted {
        (Err(wait), _) => Ok(too_many_requests(wait)),
        (Ok(()), size) => {
            let first = stable_hash(request.path().as_bytes(), 0) as u8;
            let content: Vec<u8> =
                (0..size).map(|offset| first.wrapping_add(offset as u8)).collect();
            Ok(Response::new(Body::from(http_body_util::Full::from(content))))
        }
    }
}

async fn set_store(mut request: Request) -> Result<Response> {
    let behaviour: StoreBehaviour = read_json(&mut request).await?;
    state_handle(&request)?.call(move |state| state.behaviour = behaviour).await?;
    Ok(json_answer(StatusCode::OK, &behaviour))
}

async fn set_vm_list(mut request: Request) -> Result<Response> {
    let behaviour: VmListBehaviour = read_json(&mut request).await?;
    let lag = Duration::from_millis(behaviour.lag_ms);
    state_handle(&request)?.call(move |state| state.vms.set_lag(lag)).await?;
    Ok(json_answer(StatusCode::OK, &json!({})))
}

async fn counters(request: Request) -> Result<Response> {
    let counters = state_handle(&request)?.call(|state| state.counters.clone()).await?;
    Ok(json_answer(StatusCode::OK, &counters))
}
