//! HTTP handlers of the proxy's control interface.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::{Value, json};
use viz::{Request, RequestExt, Response, Result, Router, StatusCode, types::State};

use super::link::ProxyLink;
use super::rules::LinkBehaviour;
use super::state::ProxyState;
use crate::error::StateClosed;
use crate::ids::LinkName;
use crate::server::{JsonAnswer, StateHandle, json_answer, read_json};

type ProxyHandle = StateHandle<ProxyState>;

/// Builds the routes.
pub(super) fn router(state: ProxyHandle) -> Router {
    Router::new()
        .post("/control/links", add_link)
        .get("/control/links", list_links)
        .put("/control/links/:name", set_link)
        .put("/control/links/:name/target", retarget_link)
        .with(State::new(state))
}

/// Body of `POST /control/links`; a link of the same name is replaced.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewLink {
    name: LinkName,
    target: SocketAddr,
}

fn state_handle(request: &Request) -> Result<ProxyHandle> {
    request.state::<ProxyHandle>().ok_or_else(|| StateClosed.into())
}

async fn add_link(mut request: Request) -> Result<Response> {
    let new: NewLink = read_json(&mut request).await?;
    let link = ProxyLink::start(new.target)
        .await
        .map_err(|error| JsonAnswer::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()))?;
    let answer = json!({ "name": new.name, "address": link.address() });
    state_handle(&request)?
        .call(move |state| {
            state.links.insert(new.name, link);
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &answer))
}

async fn list_links(request: Request) -> Result<Response> {
    let links = state_handle(&request)?
        .call(|state| {
            let described = state.links.iter().map(|(name, link)| {
                let mut description = link.describe();
                description["name"] = json!(name);
                description
            });
            described.collect::<Vec<Value>>()
        })
        .await?;
    Ok(json_answer(StatusCode::OK, &json!({ "links": links })))
}

async fn set_link(mut request: Request) -> Result<Response> {
    let behaviour: LinkBehaviour = read_json(&mut request).await?;
    let name: String = request.param("name").map_err(viz::Error::boxed)?;
    let known = state_handle(&request)?
        .call(move |state| state.links.get(name.as_str()).map(|link| link.set(behaviour)))
        .await?;
    match known {
        Some(()) => Ok(json_answer(StatusCode::OK, &behaviour)),
        None => Err(JsonAnswer::new(StatusCode::NOT_FOUND, "no such link").into()),
    }
}

/// Body of `PUT /control/links/<name>/target`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewTarget {
    target: SocketAddr,
}

async fn retarget_link(mut request: Request) -> Result<Response> {
    let NewTarget { target } = read_json(&mut request).await?;
    let name: String = request.param("name").map_err(viz::Error::boxed)?;
    let known = state_handle(&request)?
        .call(move |state| state.links.get(name.as_str()).map(|link| link.retarget(target)))
        .await?;
    match known {
        Some(()) => Ok(json_answer(StatusCode::OK, &json!({}))),
        None => Err(JsonAnswer::new(StatusCode::NOT_FOUND, "no such link").into()),
    }
}
