//! The cases.

mod load;
mod notice;
mod relay;
mod rollout;
mod stopping;

/// Plays a case; returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
pub fn play(name: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match name {
        "notice" => notice::play(trouble),
        "relay" => relay::play(trouble),
        "rollout-load" => rollout::play(rollout::Plan::UNDER_LOAD, trouble),
        "rollout-route" => rollout::play(rollout::Plan::ONE_ROUTE, trouble),
        "rollout-split" => rollout::play(rollout::Plan::TWO_ROUTERS, trouble),
        "stopping" => stopping::play(trouble),
        _ => 2,
    }
}

/// A route of the configuration.
fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, objective_ms: u64) -> String {
    let attempts = if kind == "safe" { 2 } else { 1 };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"bench.example\",\"prefix\":\"/{name}/\",\
         \"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"objective-ms\":{objective_ms},\
         \"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\
         \"allow-anonymous\":{},\"resume-streams\":false,\"gap-objective-ms\":400}}",
        kind != "streaming"
    )
}

/// A configuration with these routes to model engines and to the application.
fn configuration(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"renew-app\",\
         \"health-path\":\"/health\",\"connection-cap\":110,\"cold-s\":0.0,\"cold-per-s\":0.0}},\
         {{\"name\":\"godwit-llm\",\
         \"health-path\":\"/health\",\"connection-cap\":630,\"cold-s\":0.0,\"cold-per-s\":0.0,\
         \"engine\":{{\"slots\":128,\"cache-tokens\":600887,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-ms\":3000,\
         \"idle-ms\":15000,\"tokens-per-s\":610000}},\"tenants\":[{{\"name\":\"clerks\",\"api-keys\":[\"key-1\"]}}]}}",
        routes.join(",")
    )
}
