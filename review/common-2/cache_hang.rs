//! Clients send prompts of many short parts until the router's estimates of the engines' caches are
//! full. Without the disruption, the same clients send as many tokens in three parts.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::crowd::Crowd;
use crate::scenario::{
    Models, Scenario, single_token_parts, stream_request, stream_work, three_parts,
};

/// Clients of the crowd.
const CROWD: usize = 8;

/// Parts of a prompt, of one token each.
const PARTS: u64 = 1750;

/// Time for which the crowd stands, and its first part, which is not judged.
const CROWD_TIME: Duration = Duration::from_secs(30);
const FILL_TIME: Duration = Duration::from_secs(8);

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let models = Models {
        count: 3,
        work: |head| stream_work(head, 2, Duration::from_millis(20)),
        may_crash: false,
    };
    let Some(scenario) = Scenario::start(record, 1, &models) else {
        return Verdict::NotRun;
    };
    let callers = scenario.start_callers(0);
    thread::sleep(Duration::from_secs(3));
    let front = scenario.fleet.gateways[0].front;
    scenario.record.say(format!("{CROWD} clients begin to send prompts of {PARTS} tokens"));
    let crowd = Crowd::start(&scenario.record, front, CROWD, move |number| {
        let parts = if has_trouble {
            single_token_parts(number, PARTS)
        } else {
            three_parts(number, PARTS)
        };
        stream_request(&format!("p{number}"), PARTS as usize, &parts)
    });
    thread::sleep(FILL_TIME);
    scenario.note_crowd(&crowd);
    let began = Instant::now();
    thread::sleep(CROWD_TIME - FILL_TIME);
    let resident = scenario.fleet.gateways[0].resident_mb();
    scenario.record.say(format!("resident memory {resident:.1} MB"));
    crowd.stop();
    let calls = callers.finish();
    scenario.note_crowd(&crowd);
    let verdict = scenario.judge_timeouts(&calls, began);
    scenario.fleet.note_logs(15);
    verdict
}
