//! A small deployment: the configuration with its routes, and the engines of its two services.

use crate::client::{HOST, KEY};
use crate::engine::{self, EngineRoom};
use crate::store::Store;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["caerdydd", "abertawe", "aberystwyth"];

/// Largest size of a request's head, in bytes.
pub const HEADER_BYTES: usize = 16_384;

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub service: &'static str,
    pub attempts: u32,
}

/// The model service, and the plain one.
pub const MODEL: &str = "huvo11a";
pub const PLAIN: &str = "wuno96b";

/// Writes the configuration.
pub fn configure(store: &Store, routes: &[Route]) {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, timeout_ms, objective_ms, service, attempts } = route;
            let gap = if *kind == "streaming" { ",\"gap-objective-ms\":400" } else { "" };
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"objective-ms\":{objective_ms},\
                 \"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\
                 \"allow-anonymous\":false,\"resume-streams\":false{gap}}}"
            )
        })
        .collect();
    let configuration = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[\
         {{\"name\":\"{MODEL}\",\"health-path\":\"/health\",\"connection-cap\":620,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-s\":0.0,\"cold-per-s\":0.0,\
         \"engine\":{{\"slots\":128,\"cache-tokens\":361202}}}},\
         {{\"name\":\"{PLAIN}\",\"health-path\":\"/health\",\"connection-cap\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-s\":0.0,\"cold-per-s\":0.0}}],\
         \"limits\":{{\"header-bytes\":{HEADER_BYTES},\"body-bytes\":4194304,\"header-ms\":3000,\
         \"idle-ms\":15000,\"tokens-per-s\":920000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    );
    store.put("op", "config", &configuration);
}

/// Starts engines of both services, spread over the zones.
pub fn start_engines(room: &EngineRoom, models: usize, plain: usize) {
    for number in 0..models {
        engine::start(room, &format!("i-model{number}"), MODEL, ZONES[number % 3], 128);
    }
    for number in 0..plain {
        engine::start(room, &format!("i-plain{number}"), PLAIN, ZONES[number % 3], 6);
    }
}
