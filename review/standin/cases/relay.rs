//! A router that is short of time hands new connections over to another one, which freezes. Requests
//! on a route with a short timeout must still get a final answer soon after that timeout.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::{configuration, route};
use crate::http::{Outcome, call};
use crate::store::Store;
use crate::world::{EngineProcess, Gateway, Record, send};

const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];

/// Timeout of the route of filings, and the time for which their clients wait.
const TIMEOUT: Duration = Duration::from_millis(1000);
const DEADLINE_MS: u64 = 2000;

/// Time after the timeout by which there must be a final answer.
const SLACK: Duration = Duration::from_millis(500);

/// Clients that file fees, each on a new connection, and the pause of each between two.
const FILING_CLIENTS: usize = 60;
const FILING_PAUSE: Duration = Duration::from_millis(100);

/// Model engines, their slots, the length of their streams and the events of each.
const MODEL_ENGINES: usize = 12;
const MODEL_SLOTS: u32 = 128;
const STREAM_MS: u32 = 3000;
const EVENTS: u32 = 150;

/// Steps by which clients of streams come, and the most of them. They come until the first router
/// hands over so many connections in a step.
const STREAM_STEP: usize = 40;
const STEP_TIME: Duration = Duration::from_millis(300);
const MAX_STREAM_CLIENTS: usize = 2100;
const MAX_STEPS: usize = 160;
const GROWTH_STEPS: usize = 5;
const HANDED_OVER_PER_STEP: u64 = 45;

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
    stop: Arc<AtomicBool>,
    filings: Arc<Mutex<Vec<Attempt>>>,
    /// Streams by how they ended.
    streams: Arc<Mutex<BTreeMap<String, usize>>>,
}

pub fn play(trouble: bool) -> i32 {
    let record = Record::create();
    let store = Store::start();
    let routes = [
        route("filing", "unsafe", "renew-app", TIMEOUT.as_millis() as u64, 300),
        route("chat", "streaming", "godwit-llm", 12_000, 400),
    ];
    store.write("op", "config", Some(&configuration(1, &routes)));
    let mut engines = Vec::new();
    for number in 0..MODEL_ENGINES {
        let id = format!("i-m{number}");
        let engine = EngineProcess::start(&id, [MODEL_SLOTS, STREAM_MS, EVENTS], &["quiet"], &record);
        let entry = engine.entry("godwit-llm", ZONES[number % 3], MODEL_SLOTS);
        store.write("servers", &id, Some(&entry));
        engines.push(engine);
    }
    for zone in ZONES {
        let id = format!("i-{zone}");
        let engine = EngineProcess::start(&id, [6, 5, 0], &[], &record);
        store.write("servers", &id, Some(&engine.entry("renew-app", zone, 6)));
        engines.push(engine);
    }
    let busy = Gateway::start("front-bkk-a-1", "bkk-a", &store, &record);
    let spare = Gateway::start_sized("front-bkk-a-2", "bkk-a", "0.5", &store, &record);
    let others = ["front-bkk-b-1", "front-bkk-b-2", "front-bkk-c-1"]
        .map(|node| Gateway::start(node, &node[6..11], &store, &record));
    if ![&busy, &spare].into_iter().chain(&others).all(Gateway::wait_ready) {
        record.say("a gateway did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let seen = Seen::default();
    let mut clients: Vec<JoinHandle<()>> = (0..FILING_CLIENTS)
        .map(|_| start_filings(busy.front, seen.clone(), record.clone()))
        .collect();
    if !raise_load(&busy, &seen, &mut clients, &record) {
        record.say("the first router never handed connections over");
        seen.stop.store(true, Ordering::Relaxed);
        return 2;
    }
    let frozen_at = record.now_ms();
    if trouble {
        spare.process.signal("STOP", &record);
    } else {
        record.line("no router is stopped, as TROUBLE is 0");
    }
    // The press of clients goes on growing for a moment.
    for step in 0..GROWTH_STEPS {
        for client in 0..STREAM_STEP {
            let number = (MAX_STREAM_CLIENTS + step * STREAM_STEP + client) as u64;
            clients.push(start_streams(number, busy.front, seen.clone()));
        }
        std::thread::sleep(STEP_TIME);
    }
    std::thread::sleep(FREEZE - STEP_TIME * GROWTH_STEPS as u32);
    if trouble {
        spare.process.signal("CONT", &record);
    }
    std::thread::sleep(Duration::from_secs(2));
    record.say(&format!("freeze from {frozen_at} ms for {} ms", FREEZE.as_millis()));
    seen.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(engines);
    judge(&record, &seen)
}

/// Adds clients of streams until the first router hands over many connections within one step.
fn raise_load(
    busy: &Gateway,
    seen: &Seen,
    clients: &mut Vec<JoinHandle<()>>,
    record: &Record,
) -> bool {
    let mut handed_over = count_handed_over(busy);
    for step in 0..MAX_STEPS {
        for client in 0..STREAM_STEP {
            if step * STREAM_STEP < MAX_STREAM_CLIENTS {
                let number = (step * STREAM_STEP + client) as u64;
                clients.push(start_streams(number, busy.front, seen.clone()));
            }
        }
        std::thread::sleep(STEP_TIME);
        let now = count_handed_over(busy);
        let count = STREAM_STEP * (step + 1);
        record.line(&format!("{count} clients of streams, {now} connections handed over"));
        if now.saturating_sub(handed_over) >= HANDED_OVER_PER_STEP {
            return true;
        }
        handed_over = now;
    }
    false
}

/// Returns the number of connections that a router handed over, by its metrics.
fn count_handed_over(gateway: &Gateway) -> u64 {
    let outcome = call(gateway.inner, "GET", "/metrics", &[], b"", Duration::from_secs(1));
    let Outcome::Answer(answer) = outcome else { return 0 };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let name = "godwitcrank_calls_total{outcome=\"handed over\"} ";
    text.lines().find_map(|line| line.strip_prefix(name)?.parse().ok()).unwrap_or(0)
}

fn start_client(client: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    std::thread::Builder::new().stack_size(256 << 10).spawn(client).expect("the thread starts")
}

fn start_filings(front: SocketAddr, seen: Seen, record: Record) -> JoinHandle<()> {
    start_client(move || {
        while !seen.stop.load(Ordering::Relaxed) {
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

fn start_streams(number: u64, front: SocketAddr, seen: Seen) -> JoinHandle<()> {
    start_client(move || {
        let mut part = number * 1000;
        while !seen.stop.load(Ordering::Relaxed) {
            part += 1;
            let extra = [
                ("x-key", "key-1".to_owned()),
                ("x-model", "m".to_owned()),
                ("x-token-counts", "715,900".to_owned()),
                ("x-prompt-prefix", format!("a1:103,{:x}:69,{:x}:543", 0xb0 + part % 20, part << 8)),
            ];
            let (_, outcome) = send(front, "POST", "/chat/2f", 12_000, &extra, b"{}");
            let mut streams = seen.streams.lock().expect("no holder panicked");
            *streams.entry(outcome.label()).or_default() += 1;
            drop(streams);
            if outcome.status() != Some(200) {
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    })
}

fn judge(record: &Record, seen: &Seen) -> i32 {
    record.say(&format!("streams: {:?}", seen.streams.lock().expect("no holder panicked")));
    let filings = seen.filings.lock().expect("no holder panicked");
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for attempt in filings.iter() {
        *ends.entry(attempt.outcome.label()).or_default() += 1;
    }
    record.say(&format!("filings: {ends:?}"));
    let has_connected = |attempt: &&Attempt| !matches!(attempt.outcome, Outcome::NoConnection);
    let long: Vec<&Attempt> =
        filings.iter().filter(has_connected).filter(|attempt| attempt.took > TIMEOUT).collect();
    let late: Vec<&&Attempt> = long
        .iter()
        .filter(|attempt| attempt.took > TIMEOUT + SLACK)
        .collect();
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
