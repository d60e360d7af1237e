//! A router that is short of time hands new connections over to another one, which freezes. Requests
//! on a route with a short timeout must still get a final answer soon after that timeout.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::load::{Press, Routers, STEP_TIME, ZONES, start_client, start_models};
use super::{configuration, route};
use crate::http::Outcome;
use crate::store::Store;
use crate::world::{EngineProcess, Record, send};

/// Timeout of the route of filings, and the time for which their clients wait.
const TIMEOUT: Duration = Duration::from_millis(1000);
const DEADLINE_MS: u64 = 2000;

/// Time after the timeout by which there must be a final answer.
const SLACK: Duration = Duration::from_millis(500);

/// Clients that file fees, each on a new connection, and the pause of each between two.
const FILING_CLIENTS: usize = 60;
const FILING_PAUSE: Duration = Duration::from_millis(100);

/// Steps by which the press of clients goes on growing after the freeze began.
const GROWTH_STEPS: u32 = 5;

/// Time for which the second router stands still.
const FREEZE: Duration = Duration::from_millis(3500);

/// An attempt of a filing, and when it ended.
struct Attempt {
    id: String,
    took: Duration,
    outcome: Outcome,
}

#[derive(Clone, Default)]
struct Seen {
    press: Press,
    filings: Arc<Mutex<Vec<Attempt>>>,
}

pub fn play(trouble: bool) -> i32 {
    let record = Record::create();
    let store = Store::start();
    let routes = [
        route("filing", "unsafe", "renew-app", TIMEOUT.as_millis() as u64, 300),
        route("chat", "streaming", "godwit-llm", 12_000, 400),
    ];
    store.write("op", "config", Some(&configuration(1, &routes)));
    let mut engines = start_models(&store, &record);
    for zone in ZONES {
        let id = format!("i-{zone}");
        let engine = EngineProcess::start(&id, [6, 5, 0], &[], &record);
        store.write("servers", &id, Some(&engine.entry("renew-app", zone, 6)));
        engines.push(engine);
    }
    let Some(Routers { busy, spare, others: _others }) = Routers::start(&store, &record) else {
        return 2;
    };
    std::thread::sleep(Duration::from_secs(4));
    let seen = Seen::default();
    let mut clients: Vec<JoinHandle<()>> = (0..FILING_CLIENTS)
        .map(|_| start_filings(busy.front, seen.clone(), record.clone()))
        .collect();
    if !seen.press.raise(&busy, &mut clients, &record) {
        seen.press.stop.store(true, Ordering::Relaxed);
        return 2;
    }
    let frozen_at = record.now_ms();
    if trouble {
        spare.process.signal("STOP", &record);
    } else {
        record.line("no router is stopped, as TROUBLE is 0");
    }
    // The press of clients goes on growing for a moment.
    for _ in 0..GROWTH_STEPS {
        seen.press.grow(&busy, &mut clients);
        std::thread::sleep(STEP_TIME);
    }
    std::thread::sleep(FREEZE - STEP_TIME * GROWTH_STEPS);
    if trouble {
        spare.process.signal("CONT", &record);
    }
    std::thread::sleep(Duration::from_secs(2));
    record.say(&format!("freeze from {frozen_at} ms for {} ms", FREEZE.as_millis()));
    seen.press.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(engines);
    judge(&record, &seen)
}

fn start_filings(front: SocketAddr, seen: Seen, record: Record) -> JoinHandle<()> {
    start_client(move || {
        while !seen.press.stop.load(Ordering::Relaxed) {
            let sent = Instant::now();
            let (id, outcome) = send(front, "POST", "/filing/2f", DEADLINE_MS, &[], b"{\"fee\":1}");
            let took = sent.elapsed();
            let (label, took_ms) = (outcome.label(), took.as_millis());
            record.line(&format!("client: {id} POST /filing/2f -> {label} after {took_ms} ms"));
            seen.filings.lock().expect("no holder panicked").push(Attempt { id, took, outcome });
            std::thread::sleep(FILING_PAUSE);
        }
    })
}

fn judge(record: &Record, seen: &Seen) -> i32 {
    record.say(&format!("streams: {:?}", seen.press.streams.lock().expect("no holder panicked")));
    let filings = seen.filings.lock().expect("no holder panicked");
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for attempt in filings.iter() {
        *ends.entry(attempt.outcome.label()).or_default() += 1;
    }
    record.say(&format!("filings: {ends:?}"));
    let has_connected = |attempt: &&Attempt| !matches!(attempt.outcome, Outcome::NoConnection);
    let long: Vec<&Attempt> =
        filings.iter().filter(has_connected).filter(|attempt| attempt.took > TIMEOUT).collect();
    let late: Vec<&&Attempt> =
        long.iter().filter(|attempt| attempt.took > TIMEOUT + SLACK).collect();
    let never = late.iter().filter(|attempt| matches!(attempt.outcome, Outcome::Deadline(_)));
    let never = never.count();
    for attempt in &late {
        record.line(&format!("no final answer 0.5 s after the timeout: {}", attempt.id));
    }
    record.say(&format!(
        "filings that lasted longer than the route's timeout: {}; without a final answer 0.5 s \
         later: {}; never answered: {never}",
        long.len(),
        late.len()
    ));
    if late.len() >= 8 && late.len() * 4 > long.len() {
        record.say("CONFIG broken: they have no final answer 0.5 s after the timeout");
        return 1;
    }
    record.say("CONFIG held");
    0
}
