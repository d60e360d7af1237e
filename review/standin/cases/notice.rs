//! One engine crashes while it streams a few equal answers on a route that was added later. Once the
//! engine is back, such requests must be served again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::{configuration, route};
use crate::http::Outcome;
use crate::store::Store;
use crate::world::{EngineProcess, Gateway, Record, send};

const SERVICE: &str = "godwit-llm";
const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];
const ENGINES: usize = 6;
const SLOTS: u32 = 128;

/// Length of a stream, its events, and the time for which its client waits.
const STREAM_MS: u32 = 1500;
const EVENTS: u32 = 15;
const DEADLINE_MS: u64 = 12_000;

/// Callers that ask for the notice of the day, and the time between two requests of each.
const READERS: u64 = 6;
const READ_INTERVAL: Duration = Duration::from_millis(2000);

/// Time between two requests on the first route, each with a prompt of its own.
const CHAT_INTERVAL: Duration = Duration::from_millis(400);

/// Heartbeat interval times three, after which the entry of a silent engine is removed.
const LAPSE: Duration = Duration::from_millis(3600);

/// Time from the crash until the engine is back.
const DOWN: Duration = Duration::from_millis(3500);

/// Time after the engine's return from which the state counts as steady, and for how long.
const SETTLED: Duration = Duration::from_secs(6);
const WATCHED: Duration = Duration::from_secs(16);

/// Attempts on a route: sent at, and whether they were served.
type Attempts = Arc<Mutex<Vec<(Instant, bool)>>>;

/// A prompt: tokens in and out, its parts, and the body.
#[derive(Clone)]
struct Prompt {
    counts: String,
    parts: String,
    body: String,
}

impl Prompt {
    /// A prompt of a chat, whose last part is its own.
    fn chat(number: u64) -> Self {
        Self {
            counts: "715,280".to_owned(),
            parts: format!("a1:103,{:x}:69,{:x}:543", 0xb00 + number % 20, 0xc0000 + number),
            body: format!("{{\"question\":\"renewal {number}\"}}"),
        }
    }

    /// The prompt for the notice of the day, the same for all readers.
    fn notice() -> Self {
        Self {
            counts: "715,280".to_owned(),
            parts: "a1:103,b7:69,dada:543".to_owned(),
            body: "{\"question\":\"notice of the day\"}".to_owned(),
        }
    }
}

pub fn play(trouble: bool) -> i32 {
    let record = Record::create();
    let store = Store::start();
    let chat = route("chat", "streaming", SERVICE, DEADLINE_MS, 400);
    store.write("op", "config", Some(&configuration(1, &[chat.clone()])));
    let mut engines: Vec<EngineProcess> = (0..ENGINES)
        .map(|number| start_engine(&format!("i-{number}"), ZONES[number % 3], &store, &record))
        .collect();
    let gateway = Gateway::start("front-bkk-a-1", "bkk-a", &store, &record);
    if !gateway.wait_ready() {
        record.say("the gateway did not become ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (chats, notices): (Attempts, Attempts) = (Arc::default(), Arc::default());
    let mut callers = vec![start_chats(&gateway, &chats, &stop, &record)];
    std::thread::sleep(Duration::from_secs(3));
    let notice = route("notice", "streaming", SERVICE, DEADLINE_MS, 400);
    store.write("op", "config", Some(&configuration(2, &[chat, notice])));
    record.line("configuration 2 adds the route of the notices");
    std::thread::sleep(Duration::from_secs(3));
    for reader in 0..READERS {
        let start = Instant::now() + READ_INTERVAL / 3 * reader as u32 / 2;
        callers.push(start_reader(&gateway, &notices, &stop, &record, start));
    }
    std::thread::sleep(Duration::from_secs(6));
    let Some(crashed) = wait_for_copies(&engines) else {
        record.say("no three equal requests ran at one engine alone");
        return 2;
    };
    if trouble {
        engines[crashed].process.kill(&record);
    } else {
        record.line("no engine is killed, as TROUBLE is 0");
    }
    std::thread::sleep(DOWN);
    if trouble {
        let back = start_engine("i-back", ZONES[crashed % 3], &store, &record);
        let gone = std::mem::replace(&mut engines[crashed], back);
        std::thread::sleep(LAPSE.saturating_sub(DOWN));
        store.write("servers", &gone.id, None);
        record.line(&format!("the entry of engine {} lapsed", gone.id));
    }
    std::thread::sleep(SETTLED);
    let from = Instant::now();
    record.line("the state counts as steady from here");
    std::thread::sleep(WATCHED);
    let to = Instant::now();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    judge(&record, &count(&chats, from, to), &count(&notices, from, to))
}

fn start_engine(id: &str, zone: &str, store: &Store, record: &Record) -> EngineProcess {
    let engine = EngineProcess::start(id, [SLOTS, STREAM_MS, EVENTS], &[], record);
    store.write("servers", id, Some(&engine.entry(SERVICE, zone, SLOTS)));
    engine
}

/// Sends a request and, after the promise that it has not run, once more.
fn ask(front: SocketAddr, path: &str, prompt: &Prompt, attempts: &Attempts, record: &Record) {
    let end = Instant::now() + Duration::from_millis(DEADLINE_MS);
    for _ in 0..2 {
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        let extra = [
            ("x-key", "key-1".to_owned()),
            ("x-model", "m".to_owned()),
            ("x-token-counts", prompt.counts.clone()),
            ("x-prompt-prefix", prompt.parts.clone()),
        ];
        let sent = Instant::now();
        let (attempt, outcome) = send(front, "POST", path, left, &extra, prompt.body.as_bytes());
        record.line(&format!("client: {attempt} POST {path} -> {}", outcome.label()));
        let is_served = outcome.status() == Some(200);
        attempts.lock().expect("no holder panicked").push((sent, is_served));
        let Outcome::Answer(answer) = &outcome else { return };
        if !matches!(outcome.status(), Some(408 | 421 | 429 | 503)) {
            return;
        }
        record.line(&format!("client: {attempt} {}", String::from_utf8_lossy(&answer.body)));
        let seconds = answer.header("retry-after").and_then(|text| text.parse().ok());
        std::thread::sleep(Duration::from_secs_f64(seconds.unwrap_or(0.0)));
    }
}

fn start_chats(
    gateway: &Gateway,
    attempts: &Attempts,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<()> {
    let (front, attempts) = (gateway.front, Arc::clone(attempts));
    let (stop, record) = (Arc::clone(stop), record.clone());
    std::thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let (attempts, record) = (Arc::clone(&attempts), record.clone());
            std::thread::spawn(move || {
                ask(front, "/chat/2f", &Prompt::chat(number), &attempts, &record);
            });
            std::thread::sleep(CHAT_INTERVAL);
        }
    })
}

fn start_reader(
    gateway: &Gateway,
    attempts: &Attempts,
    stop: &Arc<AtomicBool>,
    record: &Record,
    start: Instant,
) -> JoinHandle<()> {
    let (front, attempts) = (gateway.front, Arc::clone(attempts));
    let (stop, record) = (Arc::clone(stop), record.clone());
    std::thread::spawn(move || {
        let mut due = start;
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            ask(front, "/notice/2f", &Prompt::notice(), &attempts, &record);
            due += READ_INTERVAL;
        }
    })
}

/// Waits until three or more equal requests run, all at one engine; returns which.
fn wait_for_copies(engines: &[EngineProcess]) -> Option<usize> {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let copies = |engine: &EngineProcess| {
            let running = engine.running.lock().expect("no holder panicked");
            running.values().filter(|target| target.contains("/notice/")).count()
        };
        let total: usize = engines.iter().map(copies).sum();
        let index = engines.iter().position(|engine| copies(engine) == total);
        if total >= 3 && index.is_some() {
            return index;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Returns the attempts sent in a time, and how many of them were served.
fn count(attempts: &Attempts, from: Instant, to: Instant) -> (usize, usize) {
    let attempts = attempts.lock().expect("no holder panicked");
    let steady = attempts.iter().filter(|(sent, _)| *sent >= from && *sent < to);
    let served = steady.clone().filter(|(_, served)| *served).count();
    (steady.count(), served)
}

fn judge(record: &Record, chats: &(usize, usize), notices: &(usize, usize)) -> i32 {
    let share = |(sent, served): &(usize, usize)| *served as f64 / (*sent).max(1) as f64;
    record.say(&format!("first route: {} of {} attempts served", chats.1, chats.0));
    record.say(&format!("route added later: {} of {} attempts served", notices.1, notices.0));
    if notices.0 < 20 || chats.0 < 20 {
        record.say("too few attempts");
        return 2;
    }
    if share(notices) < share(chats) / 4.0 {
        record.say("CONFIG broken: the added route is served less than a quarter as often");
        return 1;
    }
    record.say("CONFIG held");
    0
}
