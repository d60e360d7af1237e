//! Values that tests of the direct path share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{BudgetCharge, FleetBounds, PendingCall, PromptShape};
use godwitcrank::ids::CallId;
use godwitcrank::routing::{
    CallerLimits, RouteConfiguration, ServiceEntry, UpstreamEntry, ViewChange,
};

/// Returns bounds of all routers together.
pub fn fleet_bounds() -> FleetBounds {
    FleetBounds {
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 10.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
    }
}

/// Returns limits on callers.
pub fn caller_limits() -> CallerLimits {
    CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    }
}

/// Returns a configuration with one service of plain upstreams that are never cold.
pub fn plain_configuration(service: &str) -> ViewChange {
    service_configuration(service, None, None)
}

/// Returns a configuration with one service whose upstreams are never cold; `memory_tokens` makes
/// them engines.
pub fn service_configuration(
    service: &str,
    memory_tokens: Option<u64>,
    work_rate: Option<f64>,
) -> ViewChange {
    let service = ServiceEntry {
        name: service.into(),
        connection_limit: 600,
        cold_period: Duration::ZERO,
        cold_rate: 0.0,
        memory_tokens,
        scaling: None,
    };
    ViewChange::Configuration(Arc::new(RouteConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        teams: Vec::new(),
        limits: caller_limits(),
        work_rate,
    }))
}

/// Returns the entry of a ready upstream.
pub fn upstream_entry(service: &str, slots: u32) -> UpstreamEntry {
    UpstreamEntry {
        service: service.into(),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: "caerdydd".into(),
        version: "v1".into(),
        slots,
        leaving: false,
        cold_left: Duration::ZERO,
        started: None,
    }
}

/// Returns a call that has just arrived.
pub fn pending_call(
    id: CallId,
    service: &str,
    prompt: Option<PromptShape>,
    now: Instant,
) -> PendingCall {
    PendingCall {
        id,
        route: "route".into(),
        service: service.into(),
        team: None,
        priority: 1,
        homes: None,
        prompt,
        objective: Duration::from_millis(500),
        arrived: now,
        deadline: now + Duration::from_secs(10),
        fingerprint: id,
        tried: Vec::new(),
        charge: BudgetCharge::First,
    }
}
