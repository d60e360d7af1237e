//! Configuration document of a fleet plan.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::node::NodeKind;
use super::plan::FleetPlan;

/// Bearer key of the operator `operator-1`.
pub const OPERATOR_KEY: &str = "key-operator-1";

/// Returns the bearer key of a team.
pub fn team_key(team: &str) -> String {
    format!("key-{team}")
}

/// Returns the hexadecimal SHA-256 hash that the configuration stores for a key.
pub fn key_hash(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Builds the configuration document: every data centre and upstream is in service.
pub(super) fn document(plan: &FleetPlan) -> Value {
    let teams: Vec<Value> = plan
        .teams
        .iter()
        .map(|(team, share)| {
            json!({ "id": team, "key-hash": key_hash(&team_key(team)), "share": share })
        })
        .collect();
    let service = |id: &str, kind: &str| {
        let routes = plan.routes.iter().filter(|route| route.service == id);
        let routes: Vec<Value> = routes
            .map(|route| json!({ "prefix": route.prefix, "repeatable": route.repeatable }))
            .collect();
        json!({ "id": id, "kind": kind, "routes": routes })
    };
    let centres: Vec<Value> =
        plan.data_centres.iter().map(|id| json!({ "id": id, "state": "in" })).collect();
    let upstreams: Vec<Value> = plan
        .nodes()
        .iter()
        .filter_map(|node| match &node.kind {
            NodeKind::Agent { upstream } => Some(json!({
                "id": upstream,
                "service": FleetPlan::service_of(upstream),
                "data-centre": node.data_centre,
                "state": "in",
            })),
            NodeKind::Router => None,
        })
        .collect();
    json!({
        "teams": teams,
        "services": [service("bench", "model"), service("booking", "plain")],
        "data-centres": centres,
        "upstreams": upstreams,
        "moves": [],
        "operators": [{ "id": "operator-1", "key-hash": key_hash(OPERATOR_KEY) }],
    })
}
