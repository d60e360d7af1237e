//! Clients send prompts of many short parts, each of which the router remembers for each engine.
//! Without the disruption, the same clients send as many tokens in three parts.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::crowd::Crowd;
use crate::scenario::{
    Models, Scenario, single_token_parts, stream_request, stream_work, three_parts,
};

/// Clients of the crowd at each gateway.
const CROWD: usize = 8;

/// Parts of a prompt, of one token each.
const PARTS: u64 = 1750;

/// Longest time for which the crowd stands.
const CROWD_TIME: Duration = Duration::from_secs(80);

/// Engines of the model service, as the sheet says.
const MODELS: usize = 18;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let models = Models {
        count: MODELS,
        work: |head| stream_work(head, 2, Duration::from_millis(20)),
        may_crash: false,
    };
    let Some(mut scenario) = Scenario::start(record, 2, &models) else {
        return Verdict::NotRun;
    };
    scenario.record.say(format!("{CROWD} clients a gateway send prompts of {PARTS} tokens"));
    let crowds: Vec<Crowd> = (0..2)
        .map(|gateway| {
            Crowd::start(
                &scenario.record,
                scenario.fleet.gateways[gateway].front,
                CROWD,
                move |number| {
                    let number = number * 2 + gateway as u64;
                    let parts = if has_trouble {
                        single_token_parts(number, PARTS)
                    } else {
                        three_parts(number, PARTS)
                    };
                    stream_request(&format!("p{number}"), PARTS as usize, &parts)
                },
            )
        })
        .collect();
    let time = if has_trouble { CROWD_TIME } else { CROWD_TIME / 2 };
    let verdict = scenario.enforce_memory(time, |_, _| {});
    for crowd in &crowds {
        crowd.stop();
        scenario.note_crowd(crowd);
    }
    verdict
}
