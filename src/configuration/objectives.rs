//! Service-level objectives per service, with overrides per team.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::raw::ServiceKind;
use crate::findings::FindingList;
use crate::ids::{ServiceId, TeamId};

/// Unchecked objectives of a service, or of one team at a service. Absent values are inherited: a
/// team's from the service, and a service's from the defaults of its kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawObjective {
    /// Name of the entry.
    pub id: String,
    /// Service that the entry applies to.
    pub service: String,
    /// Team that the entry applies to; all teams when absent.
    #[serde(default)]
    pub team: Option<String>,
    /// Share of requests that must be answered.
    #[serde(default)]
    pub answered_share: Option<f64>,
    /// Share of events that must be within the times below.
    #[serde(default)]
    pub in_time_share: Option<f64>,
    /// Time to the first token, such as `570ms`.
    #[serde(default)]
    pub first_token: Option<String>,
    /// Time between two tokens, such as `58ms`.
    #[serde(default)]
    pub between_tokens: Option<String>,
}

/// Checked objectives of one team at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceObjectives {
    /// Share of requests that must be answered.
    pub answered_share: f64,
    /// Share of events that must be within the times below.
    pub in_time_share: f64,
    /// Time to the first token; `None` when it is not an objective.
    pub first_token: Option<Duration>,
    /// Time between two tokens; `None` when it is not an objective.
    pub between_tokens: Option<Duration>,
}

impl ServiceObjectives {
    /// Returns the objectives of a service that has no entry. The times are those under "Targets"
    /// in the design page; plain services differ too much for a common time.
    pub fn default_for(kind: ServiceKind) -> Self {
        let model = kind == ServiceKind::Model;
        Self {
            answered_share: 0.999,
            in_time_share: 0.95,
            first_token: model.then_some(Duration::from_millis(570)),
            between_tokens: model.then_some(Duration::from_millis(58)),
        }
    }
}

/// Objectives of all entries, by service and by team at a service.
#[derive(Clone, Debug, Default)]
pub struct ObjectiveSet {
    services: IndexMap<ServiceId, ServiceObjectives>,
    teams: IndexMap<(ServiceId, TeamId), ServiceObjectives>,
}

impl ObjectiveSet {
    /// Checks the entries. `kind_of` returns the kind of a listed service, `has_team` whether a
    /// team is listed. Entries of services are processed before those of teams, which inherit from
    /// them, regardless of the order in the document.
    pub fn check(
        raw: &[RawObjective],
        kind_of: impl Fn(&str) -> Option<ServiceKind>,
        has_team: impl Fn(&str) -> bool,
        findings: &mut FindingList,
    ) -> Self {
        let mut set = Self::default();
        let numbered = || raw.iter().enumerate();
        let of_services = numbered().filter(|(_, objective)| objective.team.is_none());
        let of_teams = numbered().filter(|(_, objective)| objective.team.is_some());
        for (index, objective) in of_services.chain(of_teams) {
            let place = format!("/objectives/{index}");
            let service: ServiceId = objective.service.as_str().into();
            let Some(kind) = kind_of(&service) else {
                findings
                    .push(format!("{place}/service"), format!("no service {service:?} is listed"));
                continue;
            };
            let inherited = set.of_service(&service, kind);
            let checked = check_values(&place, objective, inherited, findings);
            let previous = match &objective.team {
                None => set.services.insert(service, checked),
                Some(team) if !has_team(team) => {
                    findings.push(format!("{place}/team"), format!("no team {team:?} is listed"));
                    None
                }
                Some(team) => set.teams.insert((service, team.as_str().into()), checked),
            };
            if previous.is_some() {
                findings.push(place, "the service and team are listed twice");
            }
        }
        set
    }

    /// Returns the objectives of a team at a service, with all inherited values.
    pub fn find(&self, service: &ServiceId, team: &TeamId, kind: ServiceKind) -> ServiceObjectives {
        let key = (service.clone(), team.clone());
        self.teams.get(&key).copied().unwrap_or_else(|| self.of_service(service, kind))
    }

    fn of_service(&self, service: &ServiceId, kind: ServiceKind) -> ServiceObjectives {
        self.services.get(service).copied().unwrap_or(ServiceObjectives::default_for(kind))
    }
}

fn check_values(
    place: &str,
    raw: &RawObjective,
    inherited: ServiceObjectives,
    findings: &mut FindingList,
) -> ServiceObjectives {
    let mut share = |key: &str, value: Option<f64>, inherited: f64| {
        let value = value.unwrap_or(inherited);
        // A share of 1 leaves no error budget, so the burn rate would be undefined.
        if !(0.5..1.0).contains(&value) {
            findings.push(format!("{place}/{key}"), "must be at least 0.5 and below 1");
        }
        value
    };
    let answered_share = share("answered-share", raw.answered_share, inherited.answered_share);
    let in_time_share = share("in-time-share", raw.in_time_share, inherited.in_time_share);
    let mut time = |key: &str, value: &Option<String>, inherited: Option<Duration>| match value {
        None => inherited,
        Some(text) => match humantime::parse_duration(text) {
            Ok(time) if !time.is_zero() => Some(time),
            _ => {
                let expected = "expected a duration above 0 such as \"570ms\"";
                findings.push(format!("{place}/{key}"), expected);
                None
            }
        },
    };
    let first_token = time("first-token", &raw.first_token, inherited.first_token);
    let between_tokens = time("between-tokens", &raw.between_tokens, inherited.between_tokens);
    ServiceObjectives { answered_share, in_time_share, first_token, between_tokens }
}
