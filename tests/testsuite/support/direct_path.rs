//! Values that tests of the direct path share.

use std::sync::Arc;
use std::time::Duration;

use godwitcrank::decision::direct::FleetBounds;
use godwitcrank::routing::{CallerLimits, RouteConfiguration, ServiceEntry, ViewChange};

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
    let service = ServiceEntry {
        name: service.into(),
        connection_limit: 600,
        cold_period: Duration::ZERO,
        cold_rate: 0.0,
        memory_tokens: None,
    };
    ViewChange::Configuration(Arc::new(RouteConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        teams: Vec::new(),
        limits: caller_limits(),
        work_rate: None,
    }))
}
