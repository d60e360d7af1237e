//! Checked configuration, which all decisions are based on.

use std::sync::Arc;
use std::time::SystemTime;

use indexmap::IndexMap;

use super::key_hash::KeyHash;
use super::objectives::ObjectiveSet;
use super::raw::{RawConfiguration, RawRoute, ServiceKind};
use crate::findings::FindingList;
use crate::ids::{
    ConfigurationVersion, DataCentreId, MoveId, OperatorId, RouteId, ServiceId, TeamId, UpstreamId,
    VersionId,
};

/// A configuration with the version that the table service assigned to it.
#[derive(Clone, Debug)]
pub struct VersionedConfiguration {
    /// Version of the row. Every process keeps the highest version that it knows.
    pub version: ConfigurationVersion,
    /// The document as stored, to be sent to peers.
    pub raw: RawConfiguration,
    /// The checked document, for decisions.
    pub checked: FleetConfiguration,
}

impl VersionedConfiguration {
    /// Checks a stored document.
    pub fn check(
        version: ConfigurationVersion,
        raw: RawConfiguration,
    ) -> Result<Arc<Self>, FindingList> {
        let checked = FleetConfiguration::try_from(&raw)?;
        Ok(Arc::new(Self { version, raw, checked }))
    }
}

/// Whether a data centre or upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AvailabilityState {
    /// Takes new work.
    #[display("in")]
    In,
    /// Takes no new work.
    #[display("out")]
    Out,
}

/// A checked team.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// Weight by which capacity is divided among teams.
    pub share: f64,
}

/// A checked service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Kind of its upstreams.
    pub kind: ServiceKind,
    /// Version that gets the traffic while no move is running.
    pub version: VersionId,
    /// Routes, sorted from the longest to the shortest prefix.
    pub routes: Vec<RouteEntry>,
}

/// A checked route of a service.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Path prefix, which is also the route's id.
    pub id: RouteId,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
}

/// A checked upstream.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// Service that it serves.
    pub service: ServiceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether it takes new work.
    pub state: AvailabilityState,
    /// Whether the upstream itself refuses orders with an outdated fencing number.
    pub checks_orders: bool,
}

/// Progress of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum MoveProgress {
    /// Not started.
    #[display("planned")]
    Planned,
    /// A small share of the traffic goes to the new version.
    #[display("canary")]
    Canary,
    /// A growing share of the traffic goes to the new version.
    #[display("ramping")]
    Ramping,
    /// All traffic goes to the new version.
    #[display("done")]
    Done,
    /// All traffic goes to the old version again.
    #[display("taken back")]
    TakenBack,
}

impl MoveProgress {
    /// All states, in order.
    pub const ALL: [Self; 5] =
        [Self::Planned, Self::Canary, Self::Ramping, Self::Done, Self::TakenBack];

    /// Returns whether the move is over and its state final.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}

/// A checked version move with its progress.
#[derive(Clone, Debug)]
pub struct MoveEntry {
    /// Service whose traffic is moved.
    pub service: ServiceId,
    /// Version that the traffic is moved away from.
    pub from: VersionId,
    /// Version that the traffic is moved to.
    pub to: VersionId,
    /// Time by which all traffic must be moved.
    pub deadline: SystemTime,
    /// Time at which it was planned; the Unix epoch if the document does not contain it.
    pub planned: SystemTime,
    /// State that the move has reached.
    pub progress: MoveProgress,
    /// Share of the traffic that goes to the new version.
    pub share: f64,
}

/// The checked configuration of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetConfiguration {
    /// Teams by id.
    pub teams: IndexMap<TeamId, TeamEntry>,
    /// Team ids by the hash of their key.
    pub team_keys: IndexMap<KeyHash, TeamId>,
    /// Services by id.
    pub services: IndexMap<ServiceId, ServiceEntry>,
    /// Data centres by id.
    pub data_centres: IndexMap<DataCentreId, AvailabilityState>,
    /// Upstreams by id.
    pub upstreams: IndexMap<UpstreamId, UpstreamEntry>,
    /// Version moves by id.
    pub moves: IndexMap<MoveId, MoveEntry>,
    /// Operator ids by the hash of their key.
    pub operator_keys: IndexMap<KeyHash, OperatorId>,
    /// Service-level objectives.
    pub objectives: ObjectiveSet,
}

impl ServiceEntry {
    /// Finds the route with the longest prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&RouteEntry> {
        self.routes.iter().find(|route| path.starts_with(route.id.as_ref()))
    }
}

impl FleetConfiguration {
    /// Finds the team that a bearer key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&TeamId> {
        self.team_keys.get(&KeyHash::of(key))
    }

    /// Returns the move of a service that has not ended.
    pub fn running_move(&self, service: &str) -> Option<(&MoveId, &MoveEntry)> {
        self.moves
            .iter()
            .find(|(_, entry)| *entry.service == *service && !entry.progress.has_ended())
    }

    /// Returns whether an upstream of a data centre may take new work.
    ///
    /// For an upstream that is not listed, only the data centre counts. A data centre that is not
    /// listed takes no work.
    pub fn takes_work(&self, upstream: &str, data_centre: &str) -> bool {
        let centre_in = self.data_centres.get(data_centre) == Some(&AvailabilityState::In);
        let upstream_in =
            self.upstreams.get(upstream).is_none_or(|entry| entry.state == AvailabilityState::In);
        centre_in && upstream_in
    }
}

/// Checks the lists of a document and collects findings with the JSON pointer (RFC 6901) of each.
#[derive(Default)]
struct ConfigurationChecker {
    findings: FindingList,
    configuration: FleetConfiguration,
}

impl TryFrom<&RawConfiguration> for FleetConfiguration {
    type Error = FindingList;

    fn try_from(raw: &RawConfiguration) -> Result<Self, FindingList> {
        let mut checker = ConfigurationChecker::default();
        checker.check_teams(raw);
        checker.check_services(raw);
        checker.check_data_centres(raw);
        checker.check_upstreams(raw);
        checker.check_moves(raw);
        checker.check_operators(raw);
        checker.check_objectives(raw);
        checker.findings.into_result(checker.configuration)
    }
}

impl ConfigurationChecker {
    fn check_id(&mut self, place: &str, id: &str, duplicate: bool) {
        let valid = !id.is_empty()
            && id.len() <= 64
            && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if !valid {
            let expected = "must be 1 to 64 letters, digits, '-', '_' or '.'";
            self.findings.push(format!("{place}/id"), expected);
        }
        if duplicate {
            self.findings.push(format!("{place}/id"), format!("{id:?} is listed twice"));
        }
    }

    fn check_key_hash(&mut self, place: &str, text: &str) -> Option<KeyHash> {
        match text.parse() {
            Ok(hash) => Some(hash),
            Err(expected) => {
                self.findings.push(format!("{place}/key-hash"), expected);
                None
            }
        }
    }

    fn check_state(&mut self, place: &str, text: &str) -> AvailabilityState {
        match text {
            "in" => AvailabilityState::In,
            "out" => AvailabilityState::Out,
            _ => {
                let message = format!("must be \"in\" or \"out\", found {text:?}");
                self.findings.push(format!("{place}/state"), message);
                AvailabilityState::Out
            }
        }
    }

    fn check_teams(&mut self, raw: &RawConfiguration) {
        for (index, team) in raw.teams.iter().enumerate() {
            let place = format!("/teams/{index}");
            let duplicate = self.configuration.teams.contains_key(team.id.as_str());
            self.check_id(&place, &team.id, duplicate);
            if !(team.share.is_finite() && team.share > 0.0) {
                self.findings.push(format!("{place}/share"), "must be a number above 0");
            }
            let id: TeamId = team.id.as_str().into();
            if let Some(hash) = self.check_key_hash(&place, &team.key_hash) {
                let other = self.configuration.team_keys.insert(hash, id.clone());
                if let Some(other) = other {
                    let message = format!("the same key as team {other:?}");
                    self.findings.push(format!("{place}/key-hash"), message);
                }
            }
            self.configuration.teams.insert(id, TeamEntry { share: team.share });
        }
    }

    fn check_services(&mut self, raw: &RawConfiguration) {
        for (index, service) in raw.services.iter().enumerate() {
            let place = format!("/services/{index}");
            let duplicate = self.configuration.services.contains_key(service.id.as_str());
            self.check_id(&place, &service.id, duplicate);
            let routes = self.check_routes(&place, &service.routes);
            let version = service.version.as_str().into();
            let entry = ServiceEntry { kind: service.kind, version, routes };
            self.configuration.services.insert(service.id.as_str().into(), entry);
        }
    }

    fn check_routes(&mut self, place: &str, raw: &[RawRoute]) -> Vec<RouteEntry> {
        let mut routes: Vec<RouteEntry> = Vec::with_capacity(raw.len());
        for (index, route) in raw.iter().enumerate() {
            let place = format!("{place}/routes/{index}/prefix");
            if !route.prefix.starts_with('/') {
                self.findings.push(&place, "must start with '/'");
            }
            if routes.iter().any(|known| *known.id == *route.prefix) {
                self.findings.push(&place, format!("{:?} is listed twice", route.prefix));
            }
            let id = route.prefix.as_str().into();
            routes.push(RouteEntry { id, repeatable: route.repeatable });
        }
        routes.sort_by_key(|route| std::cmp::Reverse(route.id.len()));
        routes
    }

    fn check_data_centres(&mut self, raw: &RawConfiguration) {
        for (index, centre) in raw.data_centres.iter().enumerate() {
            let place = format!("/data-centres/{index}");
            let duplicate = self.configuration.data_centres.contains_key(centre.id.as_str());
            self.check_id(&place, &centre.id, duplicate);
            let state = self.check_state(&place, &centre.state);
            self.configuration.data_centres.insert(centre.id.as_str().into(), state);
        }
    }

    fn check_upstreams(&mut self, raw: &RawConfiguration) {
        for (index, upstream) in raw.upstreams.iter().enumerate() {
            let place = format!("/upstreams/{index}");
            let duplicate = self.configuration.upstreams.contains_key(upstream.id.as_str());
            self.check_id(&place, &upstream.id, duplicate);
            self.check_service_reference(&place, &upstream.service);
            if !self.configuration.data_centres.contains_key(upstream.data_centre.as_str()) {
                let message = format!("no data centre {:?} is listed", upstream.data_centre);
                self.findings.push(format!("{place}/data-centre"), message);
            }
            let state = self.check_state(&place, &upstream.state);
            let entry = UpstreamEntry {
                service: upstream.service.as_str().into(),
                data_centre: upstream.data_centre.as_str().into(),
                state,
                checks_orders: upstream.checks_orders,
            };
            self.configuration.upstreams.insert(upstream.id.as_str().into(), entry);
        }
    }

    fn check_service_reference(&mut self, place: &str, service: &str) {
        if !self.configuration.services.contains_key(service) {
            let message = format!("no service {service:?} is listed");
            self.findings.push(format!("{place}/service"), message);
        }
    }

    fn check_moves(&mut self, raw: &RawConfiguration) {
        for (index, planned) in raw.moves.iter().enumerate() {
            let place = format!("/moves/{index}");
            let duplicate = self.configuration.moves.contains_key(planned.id.as_str());
            self.check_id(&place, &planned.id, duplicate);
            self.check_service_reference(&place, &planned.service);
            if planned.from == planned.to {
                self.findings.push(format!("{place}/to"), "must differ from \"from\"");
            }
            let Ok(deadline) = humantime::parse_rfc3339(&planned.deadline) else {
                let expected = "expected an RFC 3339 time in UTC such as \"2026-12-04T06:00:00Z\"";
                self.findings.push(format!("{place}/deadline"), expected);
                continue;
            };
            let progress = MoveProgress::ALL.into_iter().find(|p| p.to_string() == planned.state);
            let Some(progress) = progress else {
                let message = format!("{:?} is not a state of a move", planned.state);
                self.findings.push(format!("{place}/state"), message);
                continue;
            };
            if !(0.0..=1.0).contains(&planned.share) {
                self.findings.push(format!("{place}/share"), "must be between 0 and 1");
            }
            let running = !progress.has_ended();
            if running && self.has_running_move(&planned.service) {
                let message = format!("service {:?} has another running move", planned.service);
                self.findings.push(format!("{place}/service"), message);
            }
            let planned_at = planned.planned.as_deref().map(humantime::parse_rfc3339);
            let Ok(planned_at) = planned_at.unwrap_or(Ok(SystemTime::UNIX_EPOCH)) else {
                self.findings.push(format!("{place}/planned"), "expected an RFC 3339 time in UTC");
                continue;
            };
            let entry = MoveEntry {
                planned: planned_at,
                progress,
                share: planned.share,
                service: planned.service.as_str().into(),
                from: planned.from.as_str().into(),
                to: planned.to.as_str().into(),
                deadline,
            };
            self.configuration.moves.insert(planned.id.as_str().into(), entry);
        }
    }

    fn has_running_move(&self, service: &str) -> bool {
        let mut moves = self.configuration.moves.values();
        moves.any(|entry| *entry.service == *service && !entry.progress.has_ended())
    }

    fn check_objectives(&mut self, raw: &RawConfiguration) {
        for (index, objective) in raw.objectives.iter().enumerate() {
            let earlier = &raw.objectives[..index];
            let duplicate = earlier.iter().any(|other| other.id == objective.id);
            self.check_id(&format!("/objectives/{index}"), &objective.id, duplicate);
        }
        let configuration = &self.configuration;
        let objectives = ObjectiveSet::check(
            &raw.objectives,
            |service| configuration.services.get(service).map(|entry| entry.kind),
            |team| configuration.teams.contains_key(team),
            &mut self.findings,
        );
        self.configuration.objectives = objectives;
    }

    fn check_operators(&mut self, raw: &RawConfiguration) {
        for (index, operator) in raw.operators.iter().enumerate() {
            let place = format!("/operators/{index}");
            let duplicate =
                self.configuration.operator_keys.values().any(|id| **id == *operator.id.as_str());
            self.check_id(&place, &operator.id, duplicate);
            if let Some(hash) = self.check_key_hash(&place, &operator.key_hash) {
                self.configuration.operator_keys.insert(hash, operator.id.as_str().into());
            }
        }
    }
}
