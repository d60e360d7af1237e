//! Many clients at once hold streams whose prompts have very many short parts. Without the
//! disruption, as many clients hold streams whose prompts have as many tokens in three parts.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::crowd::Crowd;
use crate::scenario::{Models, Scenario, stream_request, stream_work, three_parts};

/// Clients of the crowd at each gateway.
const CROWD: usize = 800;

/// Parts of a prompt, of one token each.
const PARTS: usize = 3900;

/// Longest time for which the crowd stands.
const CROWD_TIME: Duration = Duration::from_secs(80);

/// Engines of the model service, as the sheet says.
const MODELS: usize = 18;

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let models = Models {
        count: MODELS,
        work: |head| stream_work(head, 47, Duration::from_millis(230)),
        may_crash: false,
    };
    let Some(mut scenario) = Scenario::start(record, 2, &models) else {
        return Verdict::NotRun;
    };
    scenario.record.say(format!("{CROWD} clients a gateway hold streams of {PARTS} tokens"));
    let crowds: Vec<Crowd> = (0..2)
        .map(|gateway| {
            Crowd::start(
                &scenario.record,
                scenario.fleet.gateways[gateway].front,
                CROWD,
                move |number| {
                    let number = number * 2 + gateway as u64;
                    let parts = if has_trouble {
                        vec!["1:1"; PARTS].join(",")
                    } else {
                        three_parts(number, PARTS as u64)
                    };
                    stream_request(&format!("p{number}"), PARTS, &parts)
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
