//! An engine crashes while it runs streams whose prompts have many short parts. Without the
//! disruption, no engine crashes.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client;
use crate::crowd::noted_exchange;
use crate::engine;
use crate::scenario::{Models, Scenario, single_token_parts, stream_request, stream_work};

/// Clients that hold a stream at each gateway.
const STREAMS: usize = 250;

/// Parts of a prompt, of one token each.
const PARTS: u64 = 1750;

/// Engines of the model service; a quarter of them crashes at a time.
const MODELS: usize = 4;
const CRASHED: usize = 1;

/// Crashes, the time from the start of the streams to the crash, and that from one to the next.
const CRASHES: usize = 6;
const CRASH_DELAY: Duration = Duration::from_millis(400);
const CRASH_GAP: Duration = Duration::from_secs(16);

/// Time after which a crashed engine is back.
const DOWN_TIME: Duration = Duration::from_secs(4);

pub fn run(record: &Path, has_trouble: bool) -> Verdict {
    let models = Models {
        count: MODELS,
        work: |head| stream_work(head, 13, Duration::from_millis(230)),
        may_crash: true,
    };
    let Some(mut scenario) = Scenario::start(record, 2, &models) else {
        return Verdict::NotRun;
    };
    let fronts: Vec<_> = scenario.fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let record = scenario.record.clone();
    let numbers = Arc::new(AtomicU64::new(1));
    thread::spawn(move || {
        for crash in 0..CRASHES {
            let began = Instant::now();
            record.say(format!("{STREAMS} clients a gateway begin streams of {PARTS} tokens"));
            for front in fronts.iter().flat_map(|front| vec![*front; STREAMS]) {
                let (numbers, record) = (Arc::clone(&numbers), record.clone());
                thread::spawn(move || {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    let parts = single_token_parts(number, PARTS);
                    let request = stream_request(&format!("p{number}"), PARTS as usize, &parts);
                    if let Ok(mut connection) = client::connect(front, Duration::from_secs(15)) {
                        // How the stream ends is not judged here.
                        let _ = noted_exchange(&record, &mut connection, &request);
                    }
                });
            }
            thread::sleep(CRASH_DELAY);
            if has_trouble {
                let ids: Vec<String> = (0..CRASHED)
                    .map(|number| format!("i-model{}", (crash * CRASHED + number) % MODELS))
                    .collect();
                record.say(format!("{} crash", ids.join(" and ")));
                ids.iter().for_each(|id| engine::crash(id));
                thread::sleep(DOWN_TIME);
                ids.iter().for_each(|id| engine::recover(id));
            }
            thread::sleep(CRASH_GAP.saturating_sub(began.elapsed()));
        }
    });
    scenario.enforce_memory(CRASH_GAP * CRASHES as u32, |_, _| {})
}
