//! Checks of settings files: findings with file, line and key.

use godwitcrank::settings::{NodeRole, ProcessSettings, RawSettings};
use googletest::prelude::*;

fn check_text(text: &str) -> std::result::Result<ProcessSettings, Vec<String>> {
    let raw =
        RawSettings { file: "agent.toml".to_owned(), text: text.to_owned(), role: NodeRole::Agent };
    ProcessSettings::try_from(raw)
        .map_err(|findings| findings.iter().map(ToString::to_string).collect())
}

const VALID_AGENT: &str = r#"
[node]
id = "agent-1"
data-centre = "caerdydd"

[listen]
peer = "127.0.0.1:0"

[platform]
table = "http://127.0.0.1:7000"
vm-list = "http://127.0.0.1:7000"

[upstream]
id = "engine-1"
service = "bench"
url = "http://127.0.0.1:8000"
"#;

/// Guards against findings about a valid file that has the required settings only.
#[gtest]
fn try_from_minimal_file() {
    let settings = check_text(VALID_AGENT).expect("the file is valid");
    expect_that!(&*settings.node.id, eq("agent-1"));
}

/// Guards against a check that reports only the first mistake, or reports a wrong place.
#[gtest]
fn try_from_five_mistakes() {
    let text = VALID_AGENT
        .replace("id = \"agent-1\"", "id = 7")
        .replace("peer = \"127.0.0.1:0\"", "peer = \"localhost\"")
        .replace("service = \"bench\"\n", "")
        .replace("url = \"http://127.0.0.1:8000\"", "url = \"ftp://x\"\nslot = 3");
    let findings = check_text(&text).expect_err("the file has five mistakes");
    assert_that!(
        findings,
        unordered_elements_are![
            starts_with("agent.toml:3: node.id: expected a string"),
            starts_with("agent.toml:7: listen.peer: expected an IP address"),
            starts_with("agent.toml: upstream.service: missing"),
            starts_with("agent.toml:15: upstream.url: expected a URL"),
            starts_with("agent.toml:16: upstream.slot: unknown setting"),
        ]
    );
}
