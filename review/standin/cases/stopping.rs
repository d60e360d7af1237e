//! Two routers are stopped one after the other. The one that is stopped second has handed streams over
//! to the one that is stopped first. A planned stop must not cut them off.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::load::{Press, Routers, STEP_TIME, start_client, start_models};
use super::{configuration, route};
use crate::http::Outcome;
use crate::store::Store;
use crate::world::{Record, send};

/// Clients that ask for guidance, a long stream, while connections are handed over; for how long
/// those that are refused ask again, and the pause before.
const GUIDE_CLIENTS: u64 = 150;
const ASKING: Duration = Duration::from_millis(1500);
const ASK_PAUSE: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 12_000;

/// Time between the last request and the first stop, and between the two stops.
const CALM: Duration = Duration::from_millis(1000);
const STOP_GAP: Duration = Duration::from_millis(2000);

/// Time between the stop signal and the kill of a process; in its last sixth, streams may be cut.
const GRACE: Duration = Duration::from_secs(8);

/// A request, and when it ended.
struct Guide {
    id: String,
    ended: Instant,
    outcome: Outcome,
}

type Guides = Arc<Mutex<Vec<Guide>>>;

pub fn play(trouble: bool) -> i32 {
    let record = Record::create();
    let store = Store::start();
    let routes = [
        route("chat", "streaming", "godwit-llm", 12_000, 400),
        route("guide", "streaming", "godwit-llm", 12_000, 400),
    ];
    store.write("op", "config", Some(&configuration(1, &routes)));
    let engines = start_models(&store, &record);
    let Some(Routers { busy, spare, others: _others }) = Routers::start(&store, &record) else {
        return 2;
    };
    std::thread::sleep(Duration::from_secs(4));
    let press = Press::default();
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    if !press.raise(&busy, &mut clients, &record) {
        press.stop.store(true, Ordering::Relaxed);
        return 2;
    }
    let guides = Guides::default();
    let asking_until = Instant::now() + ASKING;
    for number in 0..GUIDE_CLIENTS {
        let (front, guides, record) = (busy.front, Arc::clone(&guides), record.clone());
        clients.push(start_client(move || ask(number, front, asking_until, &guides, &record)));
    }
    // The press goes on growing meanwhile, so that connections are handed over all the time.
    while Instant::now() + STEP_TIME < asking_until {
        press.grow(&busy, &mut clients);
        std::thread::sleep(STEP_TIME);
    }
    std::thread::sleep(asking_until.saturating_duration_since(Instant::now()));
    press.stop.store(true, Ordering::Relaxed);
    std::thread::sleep(CALM);
    if trouble {
        spare.process.signal("TERM", &record);
        std::thread::sleep(STOP_GAP);
        busy.process.signal("TERM", &record);
    } else {
        record.line("no router is stopped, as TROUBLE is 0");
    }
    let stopped = Instant::now();
    for client in clients {
        let _ = client.join();
    }
    drop(engines);
    judge(trouble, stopped, &guides.lock().expect("no holder panicked"), &record)
}

/// Asks for guidance until an answer begins.
fn ask(number: u64, front: SocketAddr, until: Instant, guides: &Guides, record: &Record) {
    let mut part = number * 1000;
    while Instant::now() < until {
        part += 1;
        let extra = [
            ("x-key", "key-1".to_owned()),
            ("x-model", "m".to_owned()),
            ("x-token-counts", "715,900".to_owned()),
            ("x-prompt-prefix", format!("a1:103,{:x}:69,9{part:x}:543", 0xb0 + part % 20)),
        ];
        let body = format!("{{\"guide\":{part}}}");
        let (id, outcome) = send(front, "POST", "/guide/2f", DEADLINE_MS, &extra, body.as_bytes());
        record.line(&format!("client: {id} POST /guide/2f -> {}", outcome.label()));
        let has_begun = matches!(outcome, Outcome::Cut(Some(200)) | Outcome::Deadline(_))
            || outcome.status() == Some(200);
        let guide = Guide { id, ended: Instant::now(), outcome };
        guides.lock().expect("no holder panicked").push(guide);
        if has_begun {
            return;
        }
        std::thread::sleep(ASK_PAUSE);
    }
}

fn judge(trouble: bool, stopped: Instant, guides: &[Guide], record: &Record) -> i32 {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for guide in guides {
        *ends.entry(guide.outcome.label()).or_default() += 1;
    }
    record.say(&format!("requests for guidance: {ends:?}"));
    let is_cut = |guide: &&Guide| matches!(guide.outcome, Outcome::Cut(Some(200)));
    let excused_from = stopped + GRACE * 5 / 6;
    let lost: Vec<&Guide> = guides
        .iter()
        .filter(is_cut)
        .filter(|guide| guide.ended > stopped && guide.ended < excused_from)
        .collect();
    for guide in &lost {
        let after = guide.ended - stopped;
        record.line(&format!("cut {} ms after the second stop: {}", after.as_millis(), guide.id));
    }
    let late = guides.iter().filter(is_cut).filter(|guide| guide.ended >= excused_from).count();
    record.say(&format!(
        "answers cut between the second router's stop and the last sixth of its grace: {}; in that \
         sixth, which is allowed: {late}",
        lost.len()
    ));
    if trouble && !lost.is_empty() {
        record.say("LOST broken: answers were cut off around planned work");
        return 1;
    }
    record.say("LOST held");
    0
}
