//! Tests of the planners' sheet, the list of changes, the configuration tracker and the check of
//! version moves.

use std::time::SystemTime;

use godwitcrank::configuration::{
    FleetConfiguration, PlannerSheet, RawConfiguration, RawMove, RawSheet, list_changes,
};
use godwitcrank::decision::configuration_tracker::{
    ConfigurationTracker, VersionAction, VersionSource,
};
use googletest::prelude::*;
use proptest::prelude::*;

const HASH: &str = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";

fn base_configuration() -> RawConfiguration {
    let text = format!(
        r#"{{"teams":[{{"id":"parts","key-hash":"{HASH}","share":2}}],
            "services":[{{"id":"bench","kind":"model"}}],
            "data-centres":[{{"id":"caerdydd"}},{{"id":"abertawe"}}]}}"#
    );
    serde_json::from_str(&text).expect("the document is valid")
}

fn parse_time(text: &str) -> SystemTime {
    humantime::parse_rfc3339(text).expect("the time is valid")
}

fn import_sheet(
    text: &str,
    current: &RawConfiguration,
    now: &str,
) -> std::result::Result<RawConfiguration, Vec<String>> {
    let raw = RawSheet { file: "plan.csv".to_owned(), text: text.to_owned() };
    PlannerSheet::try_from(raw)
        .and_then(|sheet| sheet.apply(current, parse_time(now)))
        .map_err(|findings| findings.iter().map(ToString::to_string).collect())
}

const NOON: &str = "2026-12-04T12:00:00Z";

const VALID_SHEET: &str = "kind,name,value,key-hash,deadline
# shares for the afternoon
team,parts,4,,2026-12-04T13:00:00Z
data-centre,caerdydd,out,,2026-12-04T13:00:00Z
version,bench,2,,2026-12-04T16:00:00Z
";

/// Guards against a row that is read but not applied, and against a move with an invalid time.
#[gtest]
fn apply_valid_sheet() {
    let before = base_configuration();
    let after = import_sheet(VALID_SHEET, &before, NOON).expect("the sheet is valid");
    expect_that!(FleetConfiguration::try_from(&after).is_ok(), eq(true));
    expect_that!(
        list_changes(&before, &after),
        elements_are![
            eq("changed data-centres/caerdydd: state \"in\" -> \"out\""),
            starts_with("changed teams/parts: share 2.0 -> 4.0"),
            eq("added moves/bench-2-20261204T160000Z"),
        ]
    );
}

/// Guards against a sheet that cannot be imported again, even after its deadlines.
#[gtest]
fn apply_repeated_sheet() {
    let once = import_sheet(VALID_SHEET, &base_configuration(), NOON).expect("the sheet is valid");
    let twice = import_sheet(VALID_SHEET, &once, "2026-12-05T12:00:00Z").expect("nothing to do");
    expect_that!(twice, eq(&once));
}

/// Guards against reporting only the first finding, or findings without line and column.
#[gtest]
fn try_from_sheet_with_mistakes() {
    let text = "kind,name,value,key-hash,deadline
team,parts,-1,,2026-12-04T13:00:00Z
data-centre,caerdydd,away,,tomorrow
depot,x,1,,2026-12-04T13:00:00Z
team,new team,1,abc,2026-12-04T13:00:00Z
";
    let findings = import_sheet(text, &base_configuration(), NOON).expect_err("six mistakes");
    assert_that!(
        findings,
        elements_are![
            starts_with("plan.csv:2: column value: a share above 0"),
            starts_with("plan.csv:3: column value: must be in or out"),
            starts_with("plan.csv:3: column deadline: expected an RFC 3339"),
            starts_with("plan.csv:4: column kind: must be team"),
            starts_with("plan.csv:5: column name: must be 1 to 64"),
            starts_with("plan.csv:5: column key-hash: expected 64 hex"),
        ]
    );
}

/// Guards against applying a sheet, even in part, when rows name unknown entries or come after
/// their deadline.
#[gtest]
fn apply_inapplicable_sheet() {
    let text = "kind,name,value,key-hash,deadline
team,new,1,,2026-12-04T13:00:00Z
data-centre,bkk-a,out,,2026-12-04T13:00:00Z
data-centre,abertawe,out,,2026-12-04T11:00:00Z
version,renewal,2,,2026-12-04T13:00:00Z
";
    let findings = import_sheet(text, &base_configuration(), NOON).expect_err("no row fits");
    assert_that!(
        findings,
        elements_are![
            starts_with("plan.csv:2: column key-hash: team \"new\" is new"),
            starts_with("plan.csv:3: column name: no data centre"),
            starts_with("plan.csv:4: column deadline: has passed"),
            starts_with("plan.csv:5: column name: no service"),
        ]
    );
}

fn peer(name: &str) -> VersionSource {
    VersionSource::Peer(name.into())
}

/// Guards against a restarted node that serves with the version of a single peer, which may be
/// outdated.
#[gtest]
fn confirm_by_peers_restarted_node() {
    let mut tracker = ConfigurationTracker::default();
    expect_that!(tracker.adopt(7, &peer("a")), eq(true));
    expect_that!(tracker.confirm_by_peers(), eq(false));
    expect_that!(tracker.advertised(), eq(0));
    expect_that!(tracker.observe(9, &peer("b")), eq(VersionAction::Fetch));
    expect_that!(tracker.confirm_by_peers(), eq(false), "a newer version is known");
    expect_that!(tracker.adopt(9, &peer("b")), eq(true));
    expect_that!(tracker.confirm_by_peers(), eq(true));
}

/// Guards against a store answer that does not confirm the version held, and against an outdated
/// answer that replaces a newer version.
#[gtest]
fn adopt_store_version() {
    let mut tracker = ConfigurationTracker::default();
    expect_that!(tracker.adopt(7, &peer("a")), eq(true));
    expect_that!(tracker.observe(6, &VersionSource::Store), eq(VersionAction::Keep));
    expect_that!(tracker.may_serve(), eq(false));
    expect_that!(tracker.observe(7, &VersionSource::Store), eq(VersionAction::Keep));
    expect_that!(tracker.may_serve(), eq(true));
    expect_that!(tracker.adopt(6, &VersionSource::Store), eq(false));
    expect_that!(tracker.version(), eq(7));
}

proptest! {
    /// Guards against an order of reports that lowers the version held.
    #[test]
    fn adopt_any_order(reports in prop::collection::vec((0u64..50, 0u8..4, any::<bool>()), 1..60)) {
        let mut tracker = ConfigurationTracker::default();
        let mut highest = 0;
        for (version, node, fetched) in reports {
            let source = if node == 0 { VersionSource::Store } else { peer(&node.to_string()) };
            let before = tracker.version();
            if fetched {
                tracker.adopt(version, &source);
                highest = highest.max(version);
            } else {
                tracker.observe(version, &source);
            }
            prop_assert!(tracker.version() >= before);
            prop_assert_eq!(tracker.version(), highest);
        }
    }
}

/// Guards against accepting a move with an invalid deadline, state or share, or a second running
/// move of a service.
#[gtest]
fn try_from_move_with_bad_fields() {
    let valid = import_sheet(VALID_SHEET, &base_configuration(), NOON).expect("the sheet is valid");
    let mut raw = valid.clone();
    raw.moves[0].share = 2.0;
    raw.moves.push(RawMove {
        id: "late".to_owned(),
        deadline: "soon".to_owned(),
        ..raw.moves[0].clone()
    });
    raw.moves.push(RawMove {
        id: "odd".to_owned(),
        state: "lost".to_owned(),
        ..raw.moves[0].clone()
    });
    raw.moves.push(RawMove { id: "second".to_owned(), share: 0.0, ..raw.moves[0].clone() });
    let findings = FleetConfiguration::try_from(&raw).expect_err("the moves are wrong");
    assert_that!(
        findings.iter().map(ToString::to_string).collect::<Vec<_>>(),
        elements_are![
            starts_with("/moves/0/share:"),
            starts_with("/moves/1/deadline:"),
            starts_with("/moves/2/state:"),
            starts_with("/moves/3/service: service \"bench\" has another running move"),
        ]
    );
}
