//! Tests of the membership view.

use std::time::{Duration, Instant};

use godwitcrank::configuration::{FleetConfiguration, RawConfiguration};
use godwitcrank::decision::membership::{
    ListedState, MemberEvent, MemberExclusion, MembershipView, REMOVE_AFTER, SILENCE_TIMEOUT,
};
use godwitcrank::ids::{DataCentreId, NodeId};
use googletest::prelude::*;

/// Builder of a view with one node, `engine-1` in `caerdydd`. Times are in milliseconds.
struct ViewScenario {
    start: Instant,
    view: MembershipView,
    configuration: FleetConfiguration,
}

impl ViewScenario {
    fn new() -> Self {
        let view = MembershipView::default();
        Self { start: Instant::now(), view, configuration: configuration("in") }
    }

    fn list(mut self, millis: u64, state: Option<ListedState>) -> Self {
        let (id, centre): (NodeId, DataCentreId) = ("engine-1".into(), "caerdydd".into());
        let list: Vec<_> =
            state.into_iter().map(|state| (id.clone(), centre.clone(), state)).collect();
        self.view.apply_vm_list(&list, self.start + Duration::from_millis(millis));
        self
    }

    fn observe(mut self, millis: u64, event: MemberEvent) -> Self {
        let now = self.start + Duration::from_millis(millis);
        self.view.observe(&"engine-1".into(), &"caerdydd".into(), event, now);
        self
    }

    fn check(&self, millis: u64) -> std::result::Result<(), MemberExclusion> {
        let now = self.start + Duration::from_millis(millis);
        self.view.check("engine-1", "engine-1", &self.configuration, now)
    }
}

fn configuration(state: &str) -> FleetConfiguration {
    let text = format!(r#"{{"data-centres":[{{"id":"caerdydd","state":"{state}"}}]}}"#);
    let raw: RawConfiguration = serde_json::from_str(&text).expect("valid document");
    FleetConfiguration::try_from(&raw).expect("valid configuration")
}

use ListedState::{Leaving, Live};
use MemberEvent::{AnnouncedLeaving, Answered, Failed};

/// Guards against a VM list that lags and overrides direct observations and announcements.
#[gtest]
fn check_list_against_observation() {
    let silence = SILENCE_TIMEOUT.as_millis() as u64;
    let new = ViewScenario::new;
    let leaving = Err(MemberExclusion::Leaving);
    let cases = [
        ("unknown", new(), Err(MemberExclusion::Unknown)),
        ("listed only", new().list(0, Some(Live)), Ok(())),
        ("listed as leaving", new().list(0, Some(Leaving)), leaving),
        ("answers but unlisted", new().observe(0, Answered(1)), Ok(())),
        ("one failure", new().list(0, Some(Live)).observe(4900, Failed), Ok(())),
        (
            "silent though listed",
            new().list(0, Some(Live)).observe(0, Failed).list(4000, Some(Live)),
            Err(MemberExclusion::Silent),
        ),
        (
            "answers again",
            new().list(0, Some(Live)).observe(0, Failed).observe(9, Answered(1)),
            Ok(()),
        ),
        (
            "announced though listed as live",
            new().observe(0, Answered(1)).observe(5, AnnouncedLeaving(1)).list(9, Some(Live)),
            leaving,
        ),
        (
            "delayed answer of the process that is leaving",
            new().observe(5, AnnouncedLeaving(1)).observe(6, Answered(1)),
            leaving,
        ),
        ("restarted", new().observe(5, AnnouncedLeaving(1)).observe(6, Answered(2)), Ok(())),
        (
            "delayed announcement of the previous process",
            new().observe(5, Answered(2)).observe(6, AnnouncedLeaving(1)),
            Ok(()),
        ),
        (
            "restarted while the list lags",
            new()
                .observe(0, Answered(1))
                .list(1, Some(Leaving))
                .observe(2, Answered(2))
                .list(3, Some(Leaving)),
            Ok(()),
        ),
    ];
    for (name, scenario, expected) in cases {
        expect_that!(scenario.check(3900 + silence), eq(expected), "{name}");
    }
}

/// Guards against giving work to a data centre that was taken out of service.
#[gtest]
fn check_taken_out() {
    let mut scenario = ViewScenario::new().list(0, Some(Live)).observe(0, Answered(1));
    scenario.configuration = configuration("out");
    expect_that!(scenario.check(1), err(eq(MemberExclusion::TakenOut)));
}

/// Guards against a view that keeps every VM that was ever replaced.
#[gtest]
fn apply_vm_list_without_old_node() {
    let remove_after = REMOVE_AFTER.as_millis() as u64;
    let scenario = ViewScenario::new().observe(0, Answered(1)).list(remove_after - 1, None);
    expect_that!(scenario.check(remove_after - 1), ok(anything()));
    let scenario = scenario.list(remove_after, None);
    expect_that!(scenario.check(remove_after), err(eq(MemberExclusion::Unknown)));
}
