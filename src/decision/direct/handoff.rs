//! Choice of the router that takes a caller's connection over.
//!
//! The balancer may send all callers of a team to one router, which may be the smallest of the
//! fleet. When that router is short of processor time, it hands new connections over to routers
//! with time to spare. Relaying the bytes of a call takes a fraction of the time of serving it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::DataCentreId;

/// Fraction of an offer that one router uses, since others may use the same offer.
const OFFER_FRACTION: f64 = 0.5;

/// Longest time for which offers are used before they are updated.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a router that could not be reached gets no more connections.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Calls that a router would serve for the callers of other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoffOffer {
    /// Address that takes connections over.
    pub address: SocketAddr,
    /// Data centre of the router.
    pub data_centre: DataCentreId,
    /// Calls per second that it has time for, besides those that it serves already.
    pub spare_rate: f64,
}

/// Offers of the other routers, and what was used of them.
#[derive(Debug)]
pub struct HandoffTargets {
    data_centre: DataCentreId,
    targets: Vec<HandoffTarget>,
    unreachable: IndexMap<SocketAddr, Instant>,
}

#[derive(Debug)]
struct HandoffTarget {
    address: SocketAddr,
    is_local: bool,
    /// Connections that it still takes before the next update.
    remaining: f64,
}

impl HandoffTargets {
    /// Creates an empty list for a router in a data centre.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self { data_centre, targets: Vec::new(), unreachable: IndexMap::new() }
    }

    /// Replaces the offers; they are updated again after about `interval`.
    pub fn update(&mut self, offers: &[HandoffOffer], interval: Duration, now: Instant) {
        self.unreachable.retain(|_, since| now.duration_since(*since) < UNREACHABLE_TIME);
        let usable_time = interval.min(MAX_UPDATE_INTERVAL).as_secs_f64();
        self.targets = offers
            .iter()
            .filter(|offer| !self.unreachable.contains_key(&offer.address))
            .map(|offer| HandoffTarget {
                address: offer.address,
                is_local: offer.data_centre == self.data_centre,
                remaining: offer.spare_rate * OFFER_FRACTION * usable_time,
            })
            .collect();
    }

    /// Returns whether any router takes a connection over.
    pub fn is_available(&self) -> bool {
        self.targets.iter().any(HandoffTarget::takes_connection)
    }

    /// Uses an offer for one connection: the largest one of the same data centre, else the largest
    /// one of all.
    pub fn take(&mut self) -> Option<SocketAddr> {
        let target = self.targets.iter_mut().filter(|target| target.takes_connection()).max_by(
            |one, other| {
                let by_place = one.is_local.cmp(&other.is_local);
                by_place.then(one.remaining.total_cmp(&other.remaining))
            },
        )?;
        target.remaining -= 1.0;
        Some(target.address)
    }

    /// Records that a router could not be reached.
    pub fn record_unreachable(&mut self, address: SocketAddr, now: Instant) {
        self.unreachable.insert(address, now);
        self.targets.retain(|target| target.address != address);
    }
}

impl HandoffTarget {
    fn takes_connection(&self) -> bool {
        self.remaining >= 1.0
    }
}
