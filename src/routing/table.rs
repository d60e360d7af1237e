//! Lookup of routes by host and longest prefix, and of teams by key.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::entry::{CallerLimits, RouteEntry, RouteSheet, TeamEntry};
use crate::ids::{ConfigurationVersion, RegionId, ServiceId, TeamId};

/// Key by which a caller shows its team.
pub type TeamKey = str;

/// Result of a lookup.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// No route of the host begins the path.
    Unknown,
    /// The call may take the route.
    Allowed {
        /// The route.
        route: Arc<RouteEntry>,
        /// Team of the caller; `None` on anonymous routes and where no teams are configured.
        team: Option<TeamId>,
        /// Rank of the call.
        priority: u32,
        /// Regions whose upstreams may run the call; `None` when all may.
        homes: Option<Vec<RegionId>>,
    },
    /// The route needs a key that no team holds.
    Denied {
        /// The route.
        route: Arc<RouteEntry>,
    },
}

/// Compiled form of one [`RouteSheet`].
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigurationVersion,
    limits: CallerLimits,
    hosts: IndexMap<String, IndexMap<String, Arc<RouteEntry>>>,
    keys: IndexMap<String, Arc<TeamEntry>>,
    has_teams: bool,
}

impl From<&RouteSheet> for RouteTable {
    fn from(sheet: &RouteSheet) -> Self {
        let mut hosts: IndexMap<String, IndexMap<String, Arc<RouteEntry>>> = IndexMap::new();
        for route in &sheet.routes {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let mut keys = IndexMap::new();
        for team in &sheet.teams {
            let shared = Arc::new(team.clone());
            for key in &team.keys {
                keys.insert(key.clone(), Arc::clone(&shared));
            }
        }
        let has_teams = !sheet.teams.is_empty();
        Self { version: sheet.version, limits: sheet.limits, hosts, keys, has_teams }
    }
}

impl RouteTable {
    /// Version of the sheet.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route of a call and the team of its caller.
    pub fn find(&self, host: &str, path: &str, key: Option<&TeamKey>) -> RouteMatch {
        let Some(route) = self.find_route(host, path) else {
            return RouteMatch::Unknown;
        };
        let team = key.and_then(|key| self.keys.get(key));
        if self.has_teams && !route.anonymous && team.is_none() {
            return RouteMatch::Denied { route };
        }
        RouteMatch::Allowed {
            team: team.map(|team| Arc::clone(&team.name)),
            priority: team.and_then(|team| team.priority).unwrap_or(route.priority),
            homes: common_homes(&route.homes, team.map_or(&[], |team| &team.homes)),
            route,
        }
    }

    /// Tries the path's beginnings that end with a slash, longest first.
    fn find_route(&self, host: &str, path: &str) -> Option<Arc<RouteEntry>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut rest = path;
        loop {
            let slash = rest.rfind('/')?;
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(Arc::clone(route));
            }
            rest = &path[..slash];
        }
    }
}

/// Regions that both lists allow; an empty list allows all.
fn common_homes(route: &[RegionId], team: &[RegionId]) -> Option<Vec<RegionId>> {
    match (route, team) {
        ([], []) => None,
        (homes, []) | ([], homes) => Some(homes.to_vec()),
        (route, team) => Some(route.iter().filter(|home| team.contains(home)).cloned().collect()),
    }
}

/// Draws the service of a call by the targets' weights; the same call always gets the same one.
pub fn draw_target(route: &RouteEntry, attempt: &str) -> Option<ServiceId> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut ticket = xxh3_64(attempt.as_bytes()) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if ticket < weight {
            return Some(Arc::clone(&target.service));
        }
        ticket -= weight;
    }
    None
}
