//! Lookup of routes by host and longest prefix, and of teams by key.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::entry::{CallerLimits, RouteConfiguration, RouteEntry, TeamEntry};
use crate::ids::{ConfigurationVersion, RegionId, ServiceId, TeamId};

/// Key that identifies a caller's team.
pub type TeamKey = str;

/// Result of a route lookup.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// No route matches host and path.
    Unknown,
    /// The call is allowed on the route.
    Allowed {
        /// The route.
        route: Arc<RouteEntry>,
        /// Team of the caller; `None` on anonymous routes and where no teams are configured.
        team: Option<TeamId>,
        /// Priority of the call.
        priority: u32,
        /// Regions whose upstreams may run the call; `None` when all may.
        homes: Option<Vec<RegionId>>,
    },
    /// The route requires a key, and the call has none that belongs to a team.
    Denied {
        /// The route.
        route: Arc<RouteEntry>,
    },
}

/// Lookup tables of one [`RouteConfiguration`].
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigurationVersion,
    limits: CallerLimits,
    hosts: IndexMap<String, IndexMap<String, Arc<RouteEntry>>>,
    keys: IndexMap<String, Arc<TeamEntry>>,
    has_teams: bool,
    has_homes: bool,
    max_timeout: Duration,
}

impl From<&RouteConfiguration> for RouteTable {
    fn from(configuration: &RouteConfiguration) -> Self {
        let mut hosts: IndexMap<String, IndexMap<String, Arc<RouteEntry>>> = IndexMap::new();
        for route in &configuration.routes {
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let mut keys = IndexMap::new();
        for team in &configuration.teams {
            let shared = Arc::new(team.clone());
            for key in &team.keys {
                keys.insert(key.clone(), Arc::clone(&shared));
            }
        }
        let has_teams = !configuration.teams.is_empty();
        let has_homes = configuration.routes.iter().any(|route| !route.homes.is_empty())
            || configuration.teams.iter().any(|team| !team.homes.is_empty());
        let timeouts = configuration.routes.iter().map(|route| route.timeout);
        Self {
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            keys,
            has_teams,
            has_homes,
            max_timeout: timeouts.max().unwrap_or_default(),
        }
    }
}

impl RouteTable {
    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns whether any route or team is bound to regions.
    pub fn has_homes(&self) -> bool {
        self.has_homes
    }

    /// Returns the longest timeout of a route.
    pub fn max_timeout(&self) -> Duration {
        self.max_timeout
    }

    /// Looks up the route of a call and the team of its caller.
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

    /// Looks up the path's prefixes that end with a slash, longest first.
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

/// Returns the regions that both lists allow; an empty list allows all.
fn common_homes(route: &[RegionId], team: &[RegionId]) -> Option<Vec<RegionId>> {
    match (route, team) {
        ([], []) => None,
        (homes, []) | ([], homes) => Some(homes.to_vec()),
        (route, team) => Some(route.iter().filter(|home| team.contains(home)).cloned().collect()),
    }
}

/// Selects the service of a call in proportion to the targets' weights; the same attempt always
/// gets the same one.
pub fn select_target(route: &RouteEntry, attempt: &str) -> Option<ServiceId> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut point = xxh3_64(attempt.as_bytes()) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(Arc::clone(&target.service));
        }
        point -= weight;
    }
    None
}
