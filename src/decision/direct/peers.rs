//! Load reports of the other routers, and the number of routers that share the fleet's bounds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::handoff::HandoffOffer;
use super::part_evidence::{PartReport, ReceivedPart};
use super::service_demand::ServiceWork;
use super::team_usage::{TeamDemand, TeamUsage};
use super::version_evidence::MoveEvidence;
use super::version_trial::TrialStage;
use crate::decision::duty::{DutyStatus, UsageReport};
use crate::ids::{
    CallFingerprint, Incarnation, NodeId, ServiceId, StoreRevision, TeamId, UpstreamId, VersionId,
};
use crate::routing::ViewPart;

/// Time without reports after which a peer's load no longer counts.
const LOAD_TTL: Duration = Duration::from_millis(1500);

/// Time without reports after which a peer is no longer considered alive by its reports.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Time without reports for which a peer's offer holds; it may stand still. In fleets in which
/// routers report less often, it is a number of mean intervals, as single reports may be lost.
const OFFER_TTL: Duration = Duration::from_millis(500);
const OFFER_INTERVALS: u32 = 4;

/// Number of routers assumed until the store has named the members.
pub const DEFAULT_ROUTER_COUNT: u32 = 32;

/// Load that one router puts on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// Calls in progress.
    pub running: u32,
    /// Prompt tokens of calls without a first event.
    pub waiting_tokens: u64,
    /// Tokens that the calls in progress hold in the upstream's memory.
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
    /// Loads of its previous report.
    pub before: Vec<(UpstreamId, PeerLoad)>,
    /// Loads of its new report.
    pub after: Vec<(UpstreamId, PeerLoad)>,
}

/// State of a version move at one router, and the answers that it received.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrialCount {
    /// The service.
    pub service: ServiceId,
    /// Version that the service moves to.
    pub target: VersionId,
    /// Revision of the order.
    pub order: StoreRevision,
    /// Stage of the move at this router.
    pub stage: TrialStage,
    /// Whether the store's record names this stage, which then is final.
    pub is_recorded: bool,
    /// Time since the router learned of the order.
    pub age: Duration,
    /// Calls in progress at other versions.
    pub other_running: u32,
    /// Answers that this router received.
    pub evidence: MoveEvidence,
}

/// Report that a router sends to its peers several times a second. It is encoded as a sequence, so
/// the order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Sender of the report.
    pub node: NodeId,
    /// Address for reports and requests from other routers.
    pub address: SocketAddr,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Revision of the operators' part of its view.
    pub operators: StoreRevision,
    /// Revision of the upstreams' part of its view.
    pub upstreams: StoreRevision,
    /// Its load at each upstream.
    pub loads: Vec<(UpstreamId, PeerLoad)>,
    /// Recent usage of each team, in tokens.
    pub teams: Vec<(TeamId, f64)>,
    /// Suspect calls and how many connections ended while they ran.
    pub suspects: Vec<(CallFingerprint, u32)>,
    /// Its counts of version moves.
    pub trials: Vec<TrialCount>,
    /// Whether the router is about to stop.
    pub leaving: bool,
    /// Time since each part of its view was last known to be current.
    #[serde(default)]
    pub view_ages: Vec<(ViewPart, Duration)>,
    /// Recent work of each team that was refused for lack of capacity, in tokens.
    #[serde(default)]
    pub refused: Vec<(TeamId, f64)>,
    /// What it knows of suspected parts of prompts.
    #[serde(default)]
    pub parts: Vec<PartReport>,
    /// What it would serve for the callers of other routers.
    #[serde(default)]
    pub offer: Option<HandoffOffer>,
    /// Its time of day relative to the store's clock in milliseconds, if the fleet has duties.
    #[serde(default)]
    pub clock_offset: Option<i64>,
    /// What it holds of the fleet's duties.
    #[serde(default)]
    pub duties: Option<DutyStatus>,
    /// Usage of its teams; only in reports to the routers that collect it.
    #[serde(default)]
    pub usage: Option<UsageReport>,
    /// Recent demand at this router for the services that are scaled.
    #[serde(default)]
    pub work: Vec<ServiceWork>,
}

impl PeerReport {
    /// Creates a report of a router that knows and does nothing yet.
    pub fn new(node: NodeId, address: SocketAddr, incarnation: Incarnation, sequence: u64) -> Self {
        Self {
            node,
            address,
            incarnation,
            sequence,
            operators: StoreRevision::default(),
            upstreams: StoreRevision::default(),
            loads: Vec::new(),
            teams: Vec::new(),
            suspects: Vec::new(),
            trials: Vec::new(),
            leaving: false,
            view_ages: Vec::new(),
            refused: Vec::new(),
            parts: Vec::new(),
            offer: None,
            clock_offset: None,
            duties: None,
            usage: None,
            work: Vec::new(),
        }
    }

    fn revision(&self, part: ViewPart) -> StoreRevision {
        match part {
            ViewPart::Operators => self.operators,
            ViewPart::Upstreams => self.upstreams,
        }
    }

    fn view_age(&self, part: ViewPart) -> Option<Duration> {
        self.view_ages.iter().find(|(aged, _)| *aged == part).map(|(_, age)| *age)
    }
}

/// Last report of one peer.
#[derive(Debug)]
struct KnownPeer {
    report: PeerReport,
    usage: TeamUsage,
    refused: TeamUsage,
    received_at: Instant,
    /// Mean time between its reports; zero after the first one.
    interval: Duration,
}

impl KnownPeer {
    /// Returns the mean time between reports when the next one arrives.
    fn next_interval(&self, now: Instant) -> Duration {
        let last = now.duration_since(self.received_at).min(LOAD_TTL);
        if self.interval.is_zero() { last } else { (self.interval * 3 + last) / 4 }
    }

    fn offer_ttl(&self) -> Duration {
        OFFER_TTL.max(self.interval * OFFER_INTERVALS).min(LOAD_TTL)
    }
}

/// Last reports of all peers, and the number of members.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: IndexMap<NodeId, KnownPeer>,
    members: Option<u32>,
}

impl PeerTable {
    /// Sets the number of routers that the store names, including this one.
    pub fn set_members(&mut self, members: u32) {
        self.members = Some(members);
    }

    /// Records a report and returns how it changes the peer's load; `None` when a newer report of
    /// the same router is known.
    pub fn record(&mut self, report: PeerReport, now: Instant) -> Option<LoadChange> {
        let known = self.peers.get(&report.node);
        let stale = known.is_some_and(|known| {
            (known.report.incarnation, known.report.sequence)
                >= (report.incarnation, report.sequence)
        });
        if stale {
            return None;
        }
        let counted = known.filter(|known| now.duration_since(known.received_at) < LOAD_TTL);
        let change = LoadChange {
            before: counted.map_or_else(Vec::new, |known| known.report.loads.clone()),
            after: report.loads.clone(),
        };
        let usage = TeamUsage::reported(&report.teams, now);
        let refused = TeamUsage::reported(&report.refused, now);
        let interval = known.map_or(Duration::ZERO, |known| known.next_interval(now));
        let node = NodeId::clone(&report.node);
        self.peers.insert(node, KnownPeer { report, usage, refused, received_at: now, interval });
        Some(change)
    }

    /// Returns the number of routers that may be alive, including this one.
    ///
    /// It is the larger of the store's count and the count by reports, so that the routers' shares
    /// of a bound never exceed the bound while either source is out of date.
    pub fn router_count(&self, now: Instant) -> u32 {
        let alive = self.alive(now).count();
        let alive = u32::try_from(alive).unwrap_or(u32::MAX).saturating_add(1);
        self.members.map_or(DEFAULT_ROUTER_COUNT, |members| members.max(alive))
    }

    /// Returns the sum of the peers' load at each upstream.
    pub fn total_loads(&self, now: Instant) -> IndexMap<UpstreamId, PeerLoad> {
        let mut sums: IndexMap<UpstreamId, PeerLoad> = IndexMap::new();
        for peer in self.peers_with_load(now) {
            for (upstream, load) in &peer.report.loads {
                *sums.entry(UpstreamId::clone(upstream)).or_default() += *load;
            }
        }
        sums
    }

    /// Returns the reports of the peers that do not leave, up to this age, and when each came.
    pub(super) fn recent_reports(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&PeerReport, Instant)> {
        self.alive(now)
            .map(|(_, peer)| (&peer.report, peer.received_at))
            .filter(move |(_, received_at)| now.duration_since(*received_at) <= max_age)
    }

    /// Returns the mean time at which the reports of these loads were received; `None` without
    /// such reports.
    pub fn mean_load_time(&self, now: Instant) -> Option<Instant> {
        let ages = self.peers_with_load(now).map(|peer| now.duration_since(peer.received_at));
        let (count, total) =
            ages.fold((0, Duration::ZERO), |(count, total), age| (count + 1, total + age));
        (count > 0).then(|| now.checked_sub(total / count)).flatten()
    }

    fn peers_with_load(&self, now: Instant) -> impl Iterator<Item = &KnownPeer> {
        self.peers.values().filter(move |peer| now.duration_since(peer.received_at) < LOAD_TTL)
    }

    /// Returns the sum of the peers' recent demand of each team.
    pub fn team_demands(&self, now: Instant) -> IndexMap<TeamId, TeamDemand> {
        let mut sums: IndexMap<TeamId, TeamDemand> = IndexMap::new();
        for peer in self.peers.values() {
            for team in peer.usage.names() {
                sums.entry(TeamId::clone(team)).or_default().usage +=
                    peer.usage.usage_of(team, now);
            }
            for team in peer.refused.names() {
                sums.entry(TeamId::clone(team)).or_default().refused +=
                    peer.refused.usage_of(team, now);
            }
        }
        sums
    }

    /// Returns how many connections ended at all peers while they ran calls with this fingerprint.
    pub fn suspect_count(&self, fingerprint: CallFingerprint) -> u32 {
        self.peers
            .values()
            .flat_map(|peer| &peer.report.suspects)
            .filter(|(suspect, _)| *suspect == fingerprint)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns what peers know of suspected parts of prompts, also peers that are gone since.
    pub fn parts(&self) -> impl Iterator<Item = ReceivedPart<'_>> {
        self.peers.values().flat_map(|peer| {
            let at = peer.received_at;
            peer.report.parts.iter().map(move |report| ReceivedPart { at, report })
        })
    }

    /// Returns the counts of version moves of the peers that are alive.
    pub fn trials(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &[TrialCount])> {
        self.alive(now).map(|(node, peer)| (node, peer.report.trials.as_slice()))
    }

    /// Returns the offers of the peers that reported lately and have the operators' part of the
    /// view in this revision or a newer one, so that no call is handled by an older configuration.
    pub fn offers(&self, operators: StoreRevision, now: Instant) -> Vec<HandoffOffer> {
        self.alive(now)
            .filter(|(_, peer)| now.duration_since(peer.received_at) < peer.offer_ttl())
            .filter(|(_, peer)| peer.report.operators >= operators)
            .filter_map(|(_, peer)| peer.report.offer.clone())
            .collect()
    }

    /// Returns the peers that are alive.
    pub fn alive_nodes(&self, now: Instant) -> impl Iterator<Item = &NodeId> {
        self.alive(now).map(|(node, _)| node)
    }

    /// Returns the clock offsets that the peers report.
    pub fn clock_offsets(&self, now: Instant) -> impl Iterator<Item = i64> {
        self.alive(now).filter_map(|(_, peer)| peer.report.clock_offset)
    }

    /// Returns the address of a peer that is alive.
    pub fn address_of(&self, node: &NodeId, now: Instant) -> Option<SocketAddr> {
        self.alive(now).find(|(peer, _)| *peer == node).map(|(_, peer)| peer.report.address)
    }

    /// Returns the address of the first peer in the order of ids that is alive and not `except`.
    pub fn first_address(&self, except: Option<&NodeId>, now: Instant) -> Option<SocketAddr> {
        let others = self.alive(now).filter(|(peer, _)| Some(*peer) != except);
        others.min_by_key(|(peer, _)| *peer).map(|(_, peer)| peer.report.address)
    }

    /// Returns the addresses of the peers that are alive.
    pub fn addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.alive(now).map(|(_, peer)| peer.report.address)
    }

    /// Returns a peer whose view has a newer revision of either part.
    pub fn find_ahead(
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

    /// Returns when a revision of a part was last known to be current to a peer that has it.
    pub fn confirmed_at(
        &self,
        part: ViewPart,
        revision: StoreRevision,
        now: Instant,
    ) -> Option<Instant> {
        self.alive(now)
            .filter(|(_, peer)| peer.report.revision(part) == revision)
            .filter_map(|(_, peer)| peer.received_at.checked_sub(peer.report.view_age(part)?))
            .max()
    }

    /// Returns the number of live peers that come before a router in the order of their ids.
    pub fn count_before(&self, node: &NodeId, now: Instant) -> u32 {
        let count = self.alive(now).filter(|(peer, _)| *peer < node).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &KnownPeer)> {
        self.peers.iter().filter(move |(_, peer)| {
            !peer.report.leaving && now.duration_since(peer.received_at) < REPORT_TTL
        })
    }
}
