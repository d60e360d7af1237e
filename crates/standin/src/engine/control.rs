//! HTTP handlers for health, orders, fault injection and counters.

use serde::Deserialize;
use serde_json::{Value, json};
use viz::{Request, Response, Result, StatusCode};

use super::behaviour::EngineBehaviour;
use super::counters::AcceptedOrder;
use super::handlers::state_handle;
use super::state::EngineState;
use crate::ids::FencingNumber;
use crate::server::{json_answer, read_json};

/// Body of `POST /orders`.
#[derive(Deserialize)]
struct OrderRequest {
    fencing: FencingNumber,
    order: EngineOrder,
}

/// An order as sent by clients; the counters record it with all its fields.
#[derive(Deserialize)]
struct EngineOrder {
    kind: OrderKind,
    #[serde(flatten)]
    details: serde_json::Map<String, Value>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
enum OrderKind {
    LoadVersion,
    LoadAdapter,
    ChangeRole,
}

pub(super) async fn health(request: Request) -> Result<Response> {
    let health = state_handle(&request)?
        .call(|state| {
            json!({
                "boot-id": format!("{:016x}", state.boot_id),
                "running": state.running(),
                "slots": state.options.slots,
                "version": state.version,
                "cold": state.is_cold(),
            })
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &health))
}

pub(super) async fn order(mut request: Request) -> Result<Response> {
    let order: OrderRequest = read_json(&mut request).await?;
    let state = state_handle(&request)?;
    match state.call(move |state| execute_order(state, order)).await? {
        Ok(()) => Ok(json_answer(StatusCode::OK, &json!({}))),
        Err(highest) => Ok(json_answer(
            StatusCode::CONFLICT,
            &json!({ "error": "old fencing number", "highest": highest }),
        )),
    }
}

/// Executes an order. If its fencing number is lower than the highest one seen, and the engine
/// checks this, the order is refused and the highest one returned.
fn execute_order(
    state: &mut EngineState,
    request: OrderRequest,
) -> std::result::Result<(), FencingNumber> {
    if state.options.checks_orders && request.fencing < state.highest_fencing {
        state.counters.orders_refused += 1;
        return Err(state.highest_fencing);
    }
    state.highest_fencing = state.highest_fencing.max(request.fencing);
    let EngineOrder { kind, mut details } = request.order;
    let version = details.get("version").and_then(Value::as_str).map(Into::into);
    if let (OrderKind::LoadVersion, Some(version)) = (kind, version) {
        state.version = version;
        state.begin_cold_start();
    }
    details.insert("kind".to_owned(), json!(kind));
    let accepted = AcceptedOrder { fencing: request.fencing, order: Value::Object(details) };
    state.counters.orders.push(accepted);
    Ok(())
}

pub(super) async fn set_behaviour(mut request: Request) -> Result<Response> {
    let behaviour: EngineBehaviour = read_json(&mut request).await?;
    let answer = json_answer(StatusCode::OK, &behaviour);
    state_handle(&request)?.call(move |state| state.set_behaviour(behaviour)).await?;
    Ok(answer)
}

pub(super) async fn counters(request: Request) -> Result<Response> {
    let counters = state_handle(&request)?.call(EngineState::counters_now).await?;
    Ok(json_answer(StatusCode::OK, &counters))
}
