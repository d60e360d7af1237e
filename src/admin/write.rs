//! Endpoints that change the configuration.

use std::time::SystemTime;

use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use serde_json::{Value, json};
use viz::{Request, RequestExt, Response};

use super::change::{ChangeOptions, apply_change};
use super::context_of;
use super::error::{AdminError, json_response};
use super::read::set_etag;
use crate::configuration::{AcceptedChange, PlannerSheet, RawConfiguration, RawSheet};

/// Maximum size of a request body in bytes; a document for 810 teams and 600 upstreams has about
/// 300 kB.
const BODY_BYTES_LIMIT: usize = 8 << 20;

/// Replaces the whole configuration.
pub async fn configuration(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let outcome = async {
        let options = ChangeOptions::read(&request)?;
        if options.base.is_none() {
            return Err(AdminError::PreconditionMissing);
        }
        let document: RawConfiguration = parse_json(&read_body(&mut request).await?)?;
        apply_change(&context, &options, |_| Ok(document.clone())).await
    };
    Ok(respond(outcome.await))
}

/// Adds one entry to a list, or replaces the given fields of an existing one.
pub async fn entry(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let (list, id): (String, String) = (request.param("list")?, request.param("id")?);
    let outcome = async {
        let options = ChangeOptions::read(&request)?;
        let mut entry: Value = parse_json(&read_body(&mut request).await?)?;
        let Some(fields) = entry.as_object_mut() else {
            return Err(AdminError::Malformed { cause: "expected a JSON object".to_owned() });
        };
        fields.insert("id".to_owned(), json!(id));
        let edit = |current: &RawConfiguration| {
            edit_list(current, &list, |entries| {
                match entries.iter_mut().find(|existing| existing["id"] == *id) {
                    Some(existing) => merge_fields(existing, &entry),
                    None => entries.push(entry.clone()),
                }
                Ok(())
            })
        };
        apply_change(&context, &options, edit).await
    };
    Ok(respond(outcome.await))
}

/// Removes one entry of a list.
pub async fn remove_entry(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let (list, id): (String, String) = (request.param("list")?, request.param("id")?);
    let outcome = async {
        let options = ChangeOptions::read(&request)?;
        let edit = |current: &RawConfiguration| {
            edit_list(current, &list, |entries| {
                let before = entries.len();
                entries.retain(|existing| existing["id"] != *id);
                let missing = || AdminError::NotFound { what: format!("{list}/{id}") };
                if entries.len() < before { Ok(()) } else { Err(missing()) }
            })
        };
        apply_change(&context, &options, edit).await
    };
    Ok(respond(outcome.await))
}

/// Takes a version move back.
pub async fn take_back(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let id: String = request.param("id")?;
    let outcome = async {
        let options = ChangeOptions::read(&request)?;
        let edit = |current: &RawConfiguration| {
            let mut document = current.clone();
            let found = document.moves.iter_mut().find(|entry| entry.id == id);
            let missing = || AdminError::NotFound { what: format!("moves/{id}") };
            let entry = found.ok_or_else(missing)?;
            if entry.state == "done" {
                let cause = format!("move {id} is done");
                return Err(AdminError::Malformed { cause });
            }
            if entry.state != "taken back" {
                entry.state = "taken back".to_owned();
                entry.share = 0.0;
                entry.reason = Some("operator".to_owned());
                let now = humantime::format_rfc3339_seconds(SystemTime::now());
                entry.changed = Some(now.to_string());
            }
            Ok(document)
        };
        apply_change(&context, &options, edit).await
    };
    Ok(respond(outcome.await))
}

/// Imports a planners' sheet in one transaction.
pub async fn plan(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let outcome = async {
        let options = ChangeOptions::read(&request)?;
        let text = String::from_utf8(read_body(&mut request).await?);
        let malformed = || AdminError::Malformed { cause: "the sheet is not UTF-8".to_owned() };
        let text = text.map_err(|_| malformed())?;
        let raw = RawSheet { file: "sheet".to_owned(), text };
        let sheet = PlannerSheet::try_from(raw).map_err(AdminError::Findings)?;
        let now = SystemTime::now();
        let edit =
            |current: &RawConfiguration| sheet.apply(current, now).map_err(AdminError::Findings);
        apply_change(&context, &options, edit).await
    };
    Ok(respond(outcome.await))
}

fn respond(outcome: Result<AcceptedChange, AdminError>) -> Response {
    match outcome {
        Ok(accepted) => {
            let version = accepted.configuration.version;
            let body = json!({ "version": version, "changes": accepted.changes });
            let mut response = json_response(StatusCode::OK, &body);
            set_etag(&mut response, version);
            response
        }
        Err(error) => error.into_response(),
    }
}

async fn read_body(request: &mut Request) -> Result<Vec<u8>, AdminError> {
    let malformed = |cause: String| AdminError::Malformed { cause };
    let body = request.incoming().map_err(|error| malformed(error.to_string()))?;
    let body = Limited::new(body, BODY_BYTES_LIMIT).collect().await;
    body.map(|body| body.to_bytes().to_vec()).map_err(|error| malformed(error.to_string()))
}

fn parse_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, AdminError> {
    serde_json::from_slice(bytes)
        .map_err(|error| AdminError::Malformed { cause: error.to_string() })
}

/// Edits a list of a document in the document's JSON form, in which all lists are edited alike.
fn edit_list(
    current: &RawConfiguration,
    list: &str,
    edit: impl Fn(&mut Vec<Value>) -> Result<(), AdminError>,
) -> Result<RawConfiguration, AdminError> {
    let mut document = json!(current);
    let missing = || AdminError::NotFound { what: format!("list {list}") };
    let entries = document.get_mut(list).and_then(Value::as_array_mut).ok_or_else(missing)?;
    edit(entries)?;
    serde_json::from_value(document)
        .map_err(|error| AdminError::Malformed { cause: error.to_string() })
}

/// Replaces the given fields of an entry and keeps the others.
fn merge_fields(existing: &mut Value, given: &Value) {
    let (Some(existing), Some(given)) = (existing.as_object_mut(), given.as_object()) else {
        return;
    };
    for (name, value) in given {
        existing.insert(name.clone(), value.clone());
    }
}
