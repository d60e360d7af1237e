//! Bounds on the values of the fleet's view. Beyond them, arithmetic on times overflows or an
//! upstream draws all calls.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::entry::{RouteConfiguration, UpstreamEntry};
use super::snapshot::ViewSnapshot;

/// Most calls that one upstream may state to run at the same time.
pub const MAX_SLOTS: u32 = 4096;

/// Longest time for which an upstream may state to be cold.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Longest time in a configuration.
pub const MAX_PERIOD: Duration = Duration::from_secs(365 * 24 * 3600);

/// Largest limit on the size of a head or a body, in bytes.
pub const MAX_SIZE_LIMIT: usize = 1 << 30;

/// Returns whether an address has a port and is that of a single machine.
pub fn is_dialable(address: SocketAddr) -> bool {
    let machine = address.ip().to_canonical();
    let is_single = !machine.is_unspecified()
        && !machine.is_multicast()
        && machine != IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && is_single
}

impl UpstreamEntry {
    /// Returns whether all values are within their bounds.
    pub fn is_within_bounds(&self) -> bool {
        (1..=MAX_SLOTS).contains(&self.slots)
            && self.cold_left <= MAX_COLD_TIME
            && is_dialable(self.address)
    }
}

impl RouteConfiguration {
    /// Returns whether all values are within their bounds.
    pub fn is_within_bounds(&self) -> bool {
        let limits = &self.limits;
        let route_times = self.routes.iter().flat_map(|route| [route.timeout, route.objective]);
        let cold_times = self.services.iter().map(|service| service.cold_period);
        let mut times = route_times.chain(cold_times).chain([limits.head_time, limits.idle_time]);
        times.all(|time| time <= MAX_PERIOD)
            && limits.head_bytes.max(limits.body_bytes) <= MAX_SIZE_LIMIT
            && self.work_rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0)
    }
}

impl ViewSnapshot {
    /// Removes the configuration and the upstreams that are not within their bounds; returns how
    /// many there were.
    pub fn remove_out_of_bounds(&mut self) -> usize {
        let entries = self.entries.len();
        self.entries.retain(|(_, entry)| entry.is_within_bounds());
        let removed = self.configuration.take_if(|configuration| !configuration.is_within_bounds());
        entries - self.entries.len() + usize::from(removed.is_some())
    }
}
