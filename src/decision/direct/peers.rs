//! What other routers report, and how many routers there may be.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::team_usage::TeamUsage;
use crate::ids::{
    CallFingerprint, Incarnation, NodeId, ServiceId, StoreRevision, TeamId, UpstreamId, VersionId,
};

/// Silence after which a peer's load no longer counts.
const LOAD_LIFETIME: Duration = Duration::from_millis(1500);

/// Silence after which a peer no longer counts as alive by its reports.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Routers that are assumed while the store has not yet named the members.
pub const ASSUMED_ROUTERS: u32 = 32;

/// Calls that one router runs at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Calls under way.
    pub running: u32,
    /// Prompt tokens of calls whose first event has not come.
    pub waiting_tokens: u64,
    /// Tokens that the calls under way hold in memory.
    pub held_tokens: u64,
}

impl std::ops::AddAssign for PeerLoad {
    fn add_assign(&mut self, other: Self) {
        self.running += other.running;
        self.waiting_tokens += other.waiting_tokens;
        self.held_tokens += other.held_tokens;
    }
}

impl std::ops::SubAssign for PeerLoad {
    fn sub_assign(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(other.waiting_tokens);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
    }
}

/// Change of one peer's load at the upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadChange {
    /// Loads that the peer reported before.
    pub before: Vec<(UpstreamId, PeerLoad)>,
    /// Loads that it reports now.
    pub after: Vec<(UpstreamId, PeerLoad)>,
}

/// Answers that one router saw during a version move.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrialCount {
    /// The service.
    pub service: ServiceId,
    /// Version that takes the traffic.
    pub target: VersionId,
    /// Good answers of the target.
    pub target_good: u32,
    /// Bad answers of the target.
    pub target_bad: u32,
    /// Good answers of the other versions.
    pub other_good: u32,
    /// Bad answers of the other versions.
    pub other_bad: u32,
    /// Calls under way at other versions.
    pub other_running: u32,
    /// Whether this router no longer sends to other versions.
    pub moved: bool,
}

impl TrialCount {
    /// Creates an empty count.
    pub fn new(service: &ServiceId, target: &VersionId) -> Self {
        Self { service: service.clone(), target: target.clone(), ..Self::default() }
    }
}

/// What a router tells its peers several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The router.
    pub node: NodeId,
    /// Where it takes reports and calls of other routers.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// Number of the report within the life.
    pub sequence: u64,
    /// Revision of its operators' part.
    pub operators: StoreRevision,
    /// Revision of its upstreams' part.
    pub upstreams: StoreRevision,
    /// Its load by upstream.
    pub loads: Vec<(UpstreamId, PeerLoad)>,
    /// Recent use by team.
    pub teams: Vec<(TeamId, f64)>,
    /// Calls that ended connections.
    pub suspects: Vec<(CallFingerprint, u32)>,
    /// Counts of version moves.
    pub trials: Vec<TrialCount>,
    /// Whether the router is about to stop.
    pub leaving: bool,
}

/// One peer as last heard.
#[derive(Debug)]
struct HeardPeer {
    report: PeerReport,
    teams: TeamUsage,
    heard: Instant,
}

/// Reports of all peers.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: IndexMap<NodeId, HeardPeer>,
    members: Option<u32>,
}

impl PeerTable {
    /// Sets the number of routers that the store names, this one included.
    pub fn set_members(&mut self, members: u32) {
        self.members = Some(members);
    }

    /// Takes a report in unless a newer one of the same router is held; returns what it changes.
    pub fn record(&mut self, report: PeerReport, now: Instant) -> Option<LoadChange> {
        let held = self.peers.get(&report.node);
        let stale = held.is_some_and(|held| {
            (held.report.incarnation, held.report.sequence) >= (report.incarnation, report.sequence)
        });
        if stale {
            return None;
        }
        let counted = held.filter(|held| now.duration_since(held.heard) < LOAD_LIFETIME);
        let change = LoadChange {
            before: counted.map_or_else(Vec::new, |held| held.report.loads.clone()),
            after: report.loads.clone(),
        };
        let mut teams = TeamUsage::default();
        teams.replace_all(&report.teams, now);
        self.peers.insert(NodeId::clone(&report.node), HeardPeer { report, teams, heard: now });
        Some(change)
    }

    /// Number of routers that may be alive, this one included.
    ///
    /// The larger of what the store and the reports say, so that shares of a bound never add up
    /// to more than the bound while either source lags.
    pub fn routers(&self, now: Instant) -> u32 {
        let heard = self.alive(now).count();
        let heard = u32::try_from(heard).unwrap_or(u32::MAX).saturating_add(1);
        self.members.map_or(ASSUMED_ROUTERS, |members| members.max(heard))
    }

    /// Sum of the peers' load at every upstream.
    pub fn loads(&self, now: Instant) -> IndexMap<UpstreamId, PeerLoad> {
        let mut sums: IndexMap<UpstreamId, PeerLoad> = IndexMap::new();
        for peer in self.peers.values() {
            if now.duration_since(peer.heard) < LOAD_LIFETIME {
                for (upstream, load) in &peer.report.loads {
                    *sums.entry(UpstreamId::clone(upstream)).or_default() += *load;
                }
            }
        }
        sums
    }

    /// Recent use of every team at all peers.
    pub fn team_usages(&self, now: Instant) -> IndexMap<TeamId, f64> {
        let mut sums: IndexMap<TeamId, f64> = IndexMap::new();
        for peer in self.peers.values() {
            for team in peer.teams.names() {
                *sums.entry(TeamId::clone(team)).or_default() += peer.teams.usage_of(team, now);
            }
        }
        sums
    }

    /// Connections that ended under calls like this one at all peers.
    pub fn suspect_count(&self, fingerprint: CallFingerprint) -> u32 {
        self.peers
            .values()
            .flat_map(|peer| &peer.report.suspects)
            .filter(|(suspect, _)| *suspect == fingerprint)
            .map(|(_, count)| count)
            .sum()
    }

    /// Counts of the peers that are alive for one version move.
    pub fn trials(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &[TrialCount])> {
        self.alive(now).map(|(node, peer)| (node, peer.report.trials.as_slice()))
    }

    /// Addresses of the peers that are alive, by their reports.
    pub fn addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.alive(now).map(|(_, peer)| peer.report.address)
    }

    /// A peer that knows more of either part than the given revisions.
    pub fn better_informed(
        &self,
        operators: StoreRevision,
        upstreams: StoreRevision,
        now: Instant,
    ) -> Option<(&NodeId, SocketAddr)> {
        self.alive(now)
            .find(|(_, peer)| {
                peer.report.operators > operators || peer.report.upstreams > upstreams
            })
            .map(|(node, peer)| (node, peer.report.address))
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &HeardPeer)> {
        self.peers.iter().filter(move |(_, peer)| {
            !peer.report.leaving && now.duration_since(peer.heard) < REPORT_LIFETIME
        })
    }
}
