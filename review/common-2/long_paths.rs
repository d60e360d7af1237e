//! Clients send requests whose paths are long and have many segments, but whose heads are within
//! the limit. Without the disruption, as many clients send requests with short paths.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::HOST;
use crate::crowd::Crowd;
use crate::scenario::{Models, Scenario, plain_work};

/// Clients of the crowd.
const CROWD: usize = 100;

/// Empty segments of a long path, and segments of a short one.
const LONG_PATH: usize = 16_000;
const SHORT_PATH: usize = 2;

/// Time for which the crowd stands.
const CROWD_TIME: Duration = Duration::from_secs(25);

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let models = Models { count: 0, work: |_| plain_work(), may_crash: false };
    let Some(scenario) = Scenario::start(record, 1, &models) else {
        return Verdict::NotRun;
    };
    let callers = scenario.start_callers(0);
    thread::sleep(Duration::from_secs(3));
    let front = scenario.fleet.gateways[0].front;
    let segments = if has_trouble { LONG_PATH } else { SHORT_PATH };
    scenario.record.say(format!("{CROWD} clients begin to send paths of {segments} segments"));
    let crowd = Crowd::start(&scenario.record, front, CROWD, move |number| {
        let path = format!("/nowhere{}", "/".repeat(segments));
        format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Identifier: x{number}\r\n\r\n")
    });
    let began = Instant::now();
    thread::sleep(CROWD_TIME);
    crowd.stop();
    let calls = callers.finish();
    scenario.note_crowd(&crowd);
    let verdict = scenario.judge_timeouts(&calls, began);
    scenario.fleet.note_logs(15);
    verdict
}
