//! Checks that the guide covers the settings that the code reads and the lines that it logs.

use std::fs;
use std::path::{Path, PathBuf};

use godwitcrank_standin::fleet::FleetCall;
use googletest::prelude::*;
use indexmap::IndexSet;
use serde_json::json;

use super::support::{fetch, plan, start_fleet};

fn repository_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn read_text(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns all Rust files below a folder, sorted by path.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files.sort();
    files
}

/// Returns the string literals of a source text; escapes are left as they are.
fn string_literals(text: &str) -> Vec<&str> {
    let mut literals = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.find('"') {
        let body = &rest[start + 1..];
        let mut escaped = false;
        let end = body.find(|letter| {
            let closes = letter == '"' && !escaped;
            escaped = letter == '\\' && !escaped;
            closes
        });
        let Some(end) = end else { break };
        literals.push(&body[..end]);
        rest = &body[end + 1..];
    }
    literals
}

/// Returns whether a text has the form of a settings key: `section.name` in kebab case.
fn is_setting_key(text: &str) -> bool {
    let part = |text: &str| {
        text.starts_with(|letter: char| letter.is_ascii_lowercase())
            && text.chars().all(|letter| letter.is_ascii_lowercase() || letter == '-')
    };
    text.split_once('.').is_some_and(|(section, name)| part(section) && part(name))
}

/// Guards against a settings key that the code reads but the settings reference does not list.
#[gtest]
fn settings_reference_lists_every_key() {
    let mut keys: IndexSet<String> = IndexSet::new();
    for file in source_files(&repository_root().join("src/settings")) {
        let text = read_text(&file);
        let literals = string_literals(&text).into_iter().filter(|text| is_setting_key(text));
        keys.extend(literals.map(str::to_owned));
    }
    assert_that!(keys.len(), ge(20), "the search for keys no longer finds them: {keys:?}");
    let page = read_text(&repository_root().join("guide/src/settings.md"));
    for key in keys {
        let row = format!("| `{key}` |");
        expect_true!(
            page.contains(&row),
            "guide/src/settings.md has no row for {key}; add `| `{key}` | type | unit | default | meaning |`"
        );
    }
}

/// Returns the fixed start of a log message, up to its first placeholder.
fn message_start(literal: &str) -> &str {
    let end = literal.find('{').unwrap_or(literal.len());
    literal[..end].trim_end_matches([':', ' '])
}

/// Returns the level and the arguments of each log call in a source text.
fn log_calls(text: &str) -> Vec<(&str, &str)> {
    let calls = text.match_indices("log::").filter_map(|(start, _)| {
        let rest = &text[start + "log::".len()..];
        let (level, arguments) = rest.split_once("!(")?;
        let known = ["error", "warn", "info", "debug", "trace"].contains(&level);
        let mut depth = 1;
        let mut quoted = false;
        let end = arguments.find(|letter: char| {
            match letter {
                '"' => quoted = !quoted,
                '(' if !quoted => depth += 1,
                ')' if !quoted => depth -= 1,
                _ => {}
            }
            depth == 0
        })?;
        known.then_some((level, &arguments[..end]))
    });
    calls.collect()
}

/// Guards against a log message that the guide does not explain.
#[gtest]
fn log_page_explains_every_line() {
    let page = read_text(&repository_root().join("guide/src/logs.md"));
    let mut call_count = 0;
    for file in source_files(&repository_root().join("src")) {
        let text = read_text(&file);
        for (level, arguments) in log_calls(&text) {
            // The message is the last literal; those before it are values of keys.
            let literals = string_literals(arguments);
            let message = message_start(literals.last().copied().unwrap_or_default());
            call_count += 1;
            expect_true!(
                page.contains(&format!("`{message}`")),
                "{}: guide/src/logs.md does not explain the {level} line `{message}`",
                file.display()
            );
        }
    }
    assert_that!(call_count, ge(20), "the search for log lines no longer finds them");
}

/// Guards against ids that are formatted into the message, where they cannot be searched by key.
#[gtest]
fn log_lines_carry_ids_as_keys() {
    for file in source_files(&repository_root().join("src")) {
        let text = read_text(&file);
        for (level, arguments) in log_calls(&text) {
            let literals = string_literals(arguments);
            let message = literals.last().copied().unwrap_or_default();
            for id in ["{request", "{team", "{upstream", "{service", "{agent", "{router", "{node"] {
                expect_false!(
                    message.contains(id),
                    "{}: the {level} line {message:?} must carry {id}}} as a key",
                    file.display()
                );
            }
        }
    }
}

/// Guards against pages that are missing, and pages that the summary does not link.
#[gtest]
fn summary_matches_pages() {
    let folder = repository_root().join("guide/src");
    let summary = read_text(&folder.join("SUMMARY.md"));
    let linked: IndexSet<String> = summary
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')'))
        .map(|(page, _)| page.trim_start_matches("./").to_owned())
        .collect();
    for entry in fs::read_dir(&folder).expect("the folder can be read") {
        let name = entry.expect("the entry can be read").file_name();
        let name = name.to_string_lossy().into_owned();
        if name != "SUMMARY.md" {
            expect_true!(linked.contains(&name), "SUMMARY.md does not link {name}");
        }
    }
    for page in linked {
        expect_true!(folder.join(&page).is_file(), "SUMMARY.md links {page}, which is missing");
    }
}

/// Guards against a log record that spans several lines, which separates its ids from its message.
#[gtest]
fn format_record_multi_line() {
    let pairs = [("request", "00ff"), ("cause", "no answer\nwithin 2s")];
    let line = godwitcrank::logging::format_record(
        &log::Record::builder()
            .level(log::Level::Warn)
            .target("godwitcrank::router")
            .args(format_args!("findings:\n  a.toml:1: x\n  a.toml:2: y"))
            .key_values(&pairs)
            .build(),
    );
    let expected = "WARN godwitcrank::router findings: | a.toml:1: x | a.toml:2: y request=00ff \
                    cause=\"no answer | within 2s\"";
    expect_that!(line, eq(expected));
}

/// Guards against log lines of one request that do not share the key `request` at the router and at
/// the agent, or that lack team and upstream.
#[gtest]
#[tokio::test]
async fn follow_request_from_router_to_agent() {
    let fleet = start_fleet(plan("follow_request_from_router_to_agent")).await;
    let crash = json!({ "crash-marker": "crash" });
    fleet.set_behaviour("engine-1", &crash).await.expect("the engine takes the behaviour");
    let answer = fetch(&fleet, "router-1", &FleetCall::completion("team-1", "crash", 8)).await;
    expect_that!(answer.status.is_server_error(), eq(true));
    let router = fleet.read_log("router-1").expect("a log");
    let agent = fleet.read_log("agent-engine-1").expect("a log");
    let find = |log: &str, message: &str| {
        let line = log.lines().find(|line| line.contains(message)).map(str::to_owned);
        line.unwrap_or_else(|| panic!("no line {message:?} in:\n{log}"))
    };
    let pair = |line: &str, key: &str| {
        let mut pairs = line.split(' ').filter_map(|word| word.split_once('='));
        pairs.find(|(name, _)| *name == key).map(|(_, value)| value.to_owned())
    };
    let at_agent = find(&agent, "run failed");
    let request = pair(&at_agent, "request").expect("the line has a request id");
    let at_router = find(&router, &format!("request={request}"));
    for line in [&at_agent, &at_router] {
        expect_that!(pair(line, "team"), some(eq("team-1")), "{line}");
        expect_that!(pair(line, "upstream"), some(eq("engine-1")), "{line}");
    }
    fleet.close().await.expect("the fleet ends");
}
