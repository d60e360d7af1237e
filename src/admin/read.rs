//! Endpoints that read the configuration, the nodes and the audit records.

use std::sync::Arc;

use http::{HeaderValue, StatusCode, header};
use serde::Deserialize;
use serde_json::{Value, json};
use viz::{Request, RequestExt, Response};

use super::context_of;
use super::error::{AdminError, json_response};
use crate::configuration::{AUDIT_PREFIX, AuditRecord, VersionedConfiguration, audit_key};
use crate::fleet::FleetContext;
use crate::ids::{ConfigurationVersion, OperatorId};
use crate::store::TableService;

/// Maximum number of audit records in a response.
const AUDIT_RECORDS_LIMIT: usize = 1000;

#[derive(Deserialize)]
struct AuditQuery {
    /// Changes that replaced this version or a later one are listed.
    #[serde(default)]
    since: ConfigurationVersion,
}

/// Returns the whole configuration.
pub async fn configuration(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    Ok(respond(authorize_read(&context, &request), |configuration| {
        let document = json!(configuration.raw);
        Ok(json!({ "version": configuration.version, "document": document }))
    }))
}

/// Returns one list of the configuration.
pub async fn list(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let name: String = request.param("list")?;
    Ok(respond(authorize_read(&context, &request), |configuration| {
        Ok(json!({ "version": configuration.version, (&*name): find_list(configuration, &name)? }))
    }))
}

/// Returns one entry of a list.
pub async fn entry(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let (name, id): (String, String) = (request.param("list")?, request.param("id")?);
    Ok(respond(authorize_read(&context, &request), |configuration| {
        let list = find_list(configuration, &name)?;
        let entries = list.as_array().into_iter().flatten();
        let found = entries.into_iter().find(|entry| entry["id"] == *id).cloned();
        found.ok_or_else(|| AdminError::NotFound { what: format!("{name}/{id}") })
    }))
}

/// Returns the nodes of the fleet with the configuration version that each holds.
pub async fn nodes(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    Ok(respond(authorize_read(&context, &request), |configuration| {
        let own = context.identity();
        let status = *context.status.borrow();
        let mut nodes = vec![json!({
            "node": own.node, "role": own.role, "data-centre": own.data_centre,
            "address": own.address, "version": configuration.version,
            "takes-work": status.takes_work, "state": status.isolation.to_string(),
        })];
        nodes.extend(context.members.borrow().values().map(|member| {
            let identity = &member.identity;
            let state = member.exclusion.map_or_else(|| "serving".to_owned(), |e| e.to_string());
            json!({
                "node": identity.node, "role": identity.role, "data-centre": identity.data_centre,
                "address": identity.address, "version": member.version,
                "upstream": identity.labels.upstream, "loaded": member.loaded,
                "takes-work": member.exclusion.is_none(), "state": state,
            })
        }));
        Ok(json!({ "version": configuration.version, "nodes": nodes }))
    }))
}

/// Returns the audit records.
pub async fn audit(request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let query: AuditQuery = request.query()?;
    if let Err(error) = authorize_read(&context, &request) {
        return Ok(error.into_response());
    }
    Ok(match read_audit(&context, query.since).await {
        Ok(records) => {
            let records = records.into_iter().map(|(version, record)| {
                let mut record = json!(record);
                record["version"] = json!(version);
                record
            });
            let records: Vec<Value> = records.collect();
            json_response(StatusCode::OK, &json!({ "audit": records }))
        }
        Err(error) => error.into_response(),
    })
}

/// Reads the audit records of changes that replaced `since` or a later version, oldest first.
pub async fn read_audit(
    context: &FleetContext,
    since: ConfigurationVersion,
) -> Result<Vec<(ConfigurationVersion, AuditRecord)>, AdminError> {
    let after = since.checked_sub(1).map(audit_key).unwrap_or_default();
    let rows = context.table.scan(AUDIT_PREFIX, &after, AUDIT_RECORDS_LIMIT).await;
    let rows = rows.map_err(|error| AdminError::StoreDown { cause: error.to_string() })?;
    let records = rows.into_iter().filter_map(|row| {
        let record = serde_json::from_value(row.value).ok()?;
        Some((row.version, record))
    });
    Ok(records.collect())
}

/// Returns the key in the `Authorization` header of a request.
pub fn bearer_key(request: &Request) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// Finds the operator that a key belongs to.
pub fn find_operator<'a>(
    configuration: &'a VersionedConfiguration,
    key: Option<&str>,
) -> Result<&'a OperatorId, AdminError> {
    let hash = key.map(crate::configuration::KeyHash::of).ok_or(AdminError::Unauthorized)?;
    configuration.checked.operator_keys.get(&hash).ok_or(AdminError::Unauthorized)
}

/// Sets the `ETag` header to the version.
pub fn set_etag(response: &mut Response, version: ConfigurationVersion) {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(header::ETAG, tag);
    }
}

/// Returns the configuration in force if the request carries the key of an operator.
pub fn authorize_read(
    context: &FleetContext,
    request: &Request,
) -> Result<Arc<VersionedConfiguration>, AdminError> {
    let configuration = context.configuration.borrow().clone();
    let missing = || AdminError::NotFound { what: "a configuration".to_owned() };
    let configuration = configuration.ok_or_else(missing)?;
    find_operator(&configuration, bearer_key(request))?;
    Ok(configuration)
}

fn respond(
    configuration: Result<Arc<VersionedConfiguration>, AdminError>,
    answer: impl FnOnce(&VersionedConfiguration) -> Result<Value, AdminError>,
) -> Response {
    let outcome = configuration
        .and_then(|configuration| answer(&configuration).map(|body| (configuration.version, body)));
    match outcome {
        Ok((version, body)) => {
            let mut response = json_response(StatusCode::OK, &body);
            set_etag(&mut response, version);
            response
        }
        Err(error) => error.into_response(),
    }
}

/// Finds a list by its name in the JSON form of the configuration.
fn find_list(configuration: &VersionedConfiguration, name: &str) -> Result<Value, AdminError> {
    let document = json!(configuration.raw);
    let found = document.get(name).cloned();
    found.ok_or_else(|| AdminError::NotFound { what: format!("list {name}") })
}
