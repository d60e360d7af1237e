//! Route lookup, team keys and the view of the fleet.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitcrank::ids::StoreRevision;
use godwitcrank::lifecycle::call::UnsentCall;
use godwitcrank::routing::{
    CallKind, CallerLimits, FleetView, RouteConfiguration, RouteEntry, RouteMatch, RouteTable,
    RouteTarget, TeamEntry, UpstreamEntry, ViewBatch, ViewChange, ViewPart, select_target,
};
use googletest::prelude::*;
use indexmap::IndexMap;

fn route(name: &str, prefix: &str, kind: CallKind) -> RouteEntry {
    RouteEntry {
        name: name.into(),
        host: "bench.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(500),
        attempts: 2,
        priority: 1,
        targets: vec![RouteTarget { service: "model".into(), weight: 1 }],
        anonymous: false,
        resumable: false,
        homes: Vec::new(),
    }
}

fn team(name: &str, key: &str) -> TeamEntry {
    TeamEntry { name: name.into(), keys: vec![key.into()], priority: None, homes: Vec::new() }
}

fn configuration(version: u64) -> RouteConfiguration {
    let open = RouteEntry { anonymous: true, ..route("open", "/open/", CallKind::Repeatable) };
    RouteConfiguration {
        version,
        routes: vec![
            route("short", "/a/", CallKind::Stream),
            route("long", "/a/b/", CallKind::AtMostOnce),
            open,
        ],
        services: Vec::new(),
        teams: vec![team("clocks", "k1")],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        work_rate: None,
    }
}

fn route_name(found: &RouteMatch) -> Option<&str> {
    match found {
        RouteMatch::Allowed { route, .. } | RouteMatch::Denied { route } => Some(&route.name),
        RouteMatch::Unknown => None,
    }
}

fn upstream(leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        service: "model".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: "caerdydd".into(),
        version: "v1".into(),
        slots: 8,
        leaving,
        cold_left: Duration::ZERO,
        started: None,
    }
}

fn batch(part: ViewPart, revision: u64, complete: bool, changes: Vec<ViewChange>) -> ViewBatch {
    let revision = StoreRevision::new(0, revision);
    ViewBatch { part, revision, complete, changes, row_versions: IndexMap::new() }
}

/// Guards against a shorter prefix being preferred to a longer one that matches too.
#[gtest]
fn find_longest_prefix() {
    let table = RouteTable::from(&configuration(1));
    for (path, expected) in [
        ("/a/b/c", Some("long")),
        ("/a/b/", Some("long")),
        ("/a/b", Some("short")),
        ("/a/bc/d", Some("short")),
        ("/b/a/", None),
        ("/", None),
    ] {
        let found = table.find("bench.example", path, Some("k1"));
        expect_that!(route_name(&found), eq(expected), "path {path}");
    }
}

/// Guards against a lookup that depends on the case or the port of the host.
#[gtest]
fn find_host_without_port_and_case() {
    let table = RouteTable::from(&configuration(1));
    let found = table.find("Bench.Example:8080", "/a/", Some("k1"));
    expect_that!(route_name(&found), some(eq("short")));
    expect_that!(route_name(&table.find("other.example", "/a/", Some("k1"))), none());
}

/// Guards against a team's own priority being ignored.
#[gtest]
fn find_team_priority_overrides_route() {
    let urgent = TeamEntry { priority: Some(0), ..team("urgent", "k2") };
    let configuration =
        RouteConfiguration { teams: vec![team("clocks", "k1"), urgent], ..configuration(1) };
    let table = RouteTable::from(&configuration);
    for (key, expected) in [("k1", 1), ("k2", 0)] {
        let found = table.find("bench.example", "/a/", Some(key));
        let RouteMatch::Allowed { priority, .. } = found else { panic!("{key} was refused") };
        expect_that!(priority, eq(expected), "key {key}");
    }
}

/// Guards against running a call in a region that only its route or only its team allows.
#[gtest]
fn find_homes_both_bind() {
    let regions = |names: &[&str]| names.iter().map(|name| (*name).into()).collect::<Vec<_>>();
    for (of_route, of_team, common) in [
        (&[][..], &[][..], None),
        (&["cymru"][..], &[][..], Some(&["cymru"][..])),
        (&[][..], &["bkk"][..], Some(&["bkk"][..])),
        (&["cymru", "bkk"][..], &["bkk"][..], Some(&["bkk"][..])),
        (&["cymru"][..], &["bkk"][..], Some(&[][..])),
    ] {
        let homed = RouteEntry { homes: regions(of_route), ..route("a", "/a/", CallKind::Stream) };
        let team = TeamEntry { homes: regions(of_team), ..team("clocks", "k1") };
        let configuration =
            RouteConfiguration { routes: vec![homed], teams: vec![team], ..configuration(1) };
        let found = RouteTable::from(&configuration).find("bench.example", "/a/", Some("k1"));
        let RouteMatch::Allowed { homes, .. } = found else { panic!("the call was refused") };
        expect_that!(homes, eq(&common.map(regions)), "{of_route:?} and {of_team:?}");
    }
}

/// Guards against accepting unknown keys, and against requiring keys on anonymous routes.
#[gtest]
fn find_key_decides_team() {
    let table = RouteTable::from(&configuration(1));
    let known = table.find("bench.example", "/a/", Some("k1"));
    let RouteMatch::Allowed { team, .. } = known else { panic!("the known key was refused") };
    expect_that!(team.as_deref(), some(eq("clocks")));
    for key in [None, Some("k2"), Some("")] {
        let found = table.find("bench.example", "/a/", key);
        expect_that!(matches!(found, RouteMatch::Denied { .. }), eq(true), "key {key:?}");
    }
    let open = table.find("bench.example", "/open/x", None);
    expect_that!(matches!(open, RouteMatch::Allowed { team: None, .. }), eq(true));
}

/// Guards against a split that ignores its weights or assigns one call to different services.
#[gtest]
fn select_target_follows_weights() {
    let mut split = route("split", "/s/", CallKind::Repeatable);
    split.targets = vec![
        RouteTarget { service: "old".into(), weight: 90 },
        RouteTarget { service: "new".into(), weight: 10 },
    ];
    let drawn = |attempt: u32| select_target(&split, &format!("attempt-{attempt}"));
    let new = (0..2_000).filter(|id| drawn(*id).as_deref() == Some("new")).count();
    expect_that!(new, all!(ge(140), le(260)));
    expect_that!(drawn(3), eq(&drawn(3)));
}

/// Guards against an older configuration that arrives late replacing a newer one.
#[gtest]
fn apply_older_configuration_never_reverts() {
    let now = Instant::now();
    let mut view = FleetView::default();
    let newer = ViewChange::Configuration(Arc::new(configuration(9)));
    view.apply(batch(ViewPart::Operators, 20, true, vec![newer]), now);
    let older = ViewChange::Configuration(Arc::new(configuration(8)));
    view.apply(batch(ViewPart::Operators, 19, true, vec![older.clone()]), now);
    view.apply(batch(ViewPart::Operators, 21, false, vec![older]), now);
    assert_that!(view.configuration().map(|configuration| configuration.version), some(eq(9)));
}

/// Guards against keeping upstreams that a complete list no longer contains.
#[gtest]
fn apply_complete_list_removes_missing() {
    let now = Instant::now();
    let mut view = FleetView::default();
    let entry = |id: &str| ViewChange::Upstream(id.into(), upstream(false));
    view.apply(batch(ViewPart::Upstreams, 5, true, vec![entry("a"), entry("b")]), now);
    let changes = view.apply(batch(ViewPart::Upstreams, 6, true, vec![entry("b")]), now);
    expect_that!(changes, elements_are![eq(&ViewChange::UpstreamGone("a".into()))]);
    expect_that!(view.entries().len(), eq(1));
}

/// Guards against a data centre staying out of service when its order was removed while changes
/// were missed.
#[gtest]
fn apply_complete_list_takes_data_centre_back() {
    let now = Instant::now();
    let mut view = FleetView::default();
    let out = ViewChange::TakenOut("caerdydd".into());
    view.apply(batch(ViewPart::Operators, 5, false, vec![out]), now);
    expect_that!(view.taken_out().len(), eq(1));
    let changes = view.apply(batch(ViewPart::Operators, 9, true, Vec::new()), now);
    expect_that!(changes, elements_are![eq(&ViewChange::TakenBack("caerdydd".into()))]);
}

/// Guards against a peer's older view replacing what a router read itself.
#[gtest]
fn import_only_newer_parts() {
    let now = Instant::now();
    let mut informed = FleetView::default();
    let entry = |leaving| ViewChange::Upstream("a".into(), upstream(leaving));
    informed.apply(
        batch(
            ViewPart::Operators,
            30,
            true,
            vec![ViewChange::Configuration(Arc::new(configuration(3)))],
        ),
        now,
    );
    informed.apply(batch(ViewPart::Upstreams, 4, true, vec![entry(false)]), now);
    let mut view = FleetView::default();
    view.apply(batch(ViewPart::Upstreams, 7, true, vec![entry(true)]), now);
    view.import(informed.export(), now);
    expect_that!(view.configuration().map(|configuration| configuration.version), some(eq(3)));
    expect_that!(view.entries()["a"].leaving, eq(true));
    expect_that!(view.revision(ViewPart::Upstreams), eq(StoreRevision::new(0, 7)));
}

/// Guards against refusing a call as not run after an upstream may have run it, and against a
/// second run that the route does not allow.
#[gtest]
fn repeat_only_where_route_allows() {
    let once = route("once", "/o/", CallKind::AtMostOnce);
    let run = UnsentCall::default().send().executed();
    expect_that!(run.repeat(&once).is_err(), eq(true));
    let safe = route("safe", "/s/", CallKind::Repeatable);
    let again =
        UnsentCall::default().send().executed().repeat(&safe).expect("one more run is allowed");
    expect_that!(again.refuse().is_err(), eq(true));
    let declined = UnsentCall::default().send().declined();
    expect_that!(declined.refuse().is_ok(), eq(true));
}

/// Guards against more runs than the route allows.
#[gtest]
fn repeat_within_attempts() {
    let safe = route("safe", "/s/", CallKind::Repeatable);
    let second =
        UnsentCall::default().send().executed().repeat(&safe).expect("two runs are allowed");
    assert_that!(second.send().executed().repeat(&safe).is_err(), eq(true));
}
