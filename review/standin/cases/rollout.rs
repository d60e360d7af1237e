//! A bad version is moved to. It must get no more than a small share of the service's requests before
//! the deadline of the move.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::{configuration, route};
use crate::store::Store;
use crate::world::{EngineProcess, Gateway, Record, send};

const SERVICE: &str = "godwit-llm";
const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];
/// Routers of the sheet with their zones.
const ROUTERS: [(&str, &str); 5] = [
    ("front-bkk-a-1", "bkk-a"),
    ("front-bkk-b-1", "bkk-b"),
    ("front-bkk-c-1", "bkk-c"),
    ("front-bkk-a-2", "bkk-a"),
    ("front-bkk-b-2", "bkk-b"),
];
const SLOTS: u32 = 128;
const EVENTS: u32 = 9;

/// What runs, and when answers of the new version are failures.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Number of routers; the requests grow with it.
    routers: usize,
    /// Engines of each version.
    engines: usize,
    /// Length of a stream.
    stream_ms: u32,
    /// Options of the new version's engines.
    badness: &'static [&'static str],
}

impl Plan {
    /// The sheet's deployment. A fifth of the answers are failures while an engine runs more than two
    /// requests.
    pub const UNDER_LOAD: Self = Self {
        routers: 5,
        engines: 12,
        stream_ms: 200,
        badness: &["fails=/", "each=5", "bears=2"],
    };

    /// The sheet's deployment. A fifth of the answers on one route are failures.
    pub const ONE_ROUTE: Self = Self { badness: &["fails=/chat/", "each=5"], ..Self::UNDER_LOAD };

    /// Two routers. A quarter of the answers are failures while an engine runs more than two requests.
    pub const TWO_ROUTERS: Self =
        Self { routers: 2, engines: 6, stream_ms: 300, badness: &["fails=/", "each=4", "bears=2"] };
}

/// Requests a second on each route and at each router: a fifth of the sheet's, which has five.
const RATES: [(&str, f64, u64); 3] =
    [("dossier", 27.2, 4000), ("check", 32.0, 3000), ("chat", 11.5, 12_000)];

/// Time within which the move is to end, and the bounds on what a bad version gets.
const DURATION: Duration = Duration::from_secs(30);
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;

/// Time for which the requests are sent after the deadline of the move.
const AFTERWARDS: Duration = Duration::from_secs(8);

#[derive(Clone, Default)]
struct Seen {
    stop: Arc<AtomicBool>,
    /// Requests by when they were sent, router and how they ended.
    ends: Arc<Mutex<BTreeMap<(&'static str, &'static str, String), usize>>>,
    phase: Arc<Mutex<&'static str>>,
}

pub fn play(plan: Plan, trouble: bool) -> i32 {
    let record = Record::create();
    let store = Store::start();
    let routes: Vec<String> = RATES
        .iter()
        .map(|(name, _, deadline_ms)| route(name, "streaming", SERVICE, *deadline_ms, 400))
        .collect();
    store.write("op", "config", Some(&configuration(1, &routes)));
    let old = start_engines(plan, "v1", &[], &store, &record);
    let gateways: Vec<Gateway> = ROUTERS[..plan.routers]
        .iter()
        .map(|(node, zone)| Gateway::start(node, zone, &store, &record))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.say("a gateway did not become ready");
        return 2;
    }
    let seen = Seen::default();
    *seen.phase.lock().expect("no holder panicked") = "before the order";
    let clients: Vec<JoinHandle<()>> = gateways
        .iter()
        .zip(ROUTERS)
        .flat_map(|(gateway, (node, _))| RATES.map(|route| (node, gateway.front, route)))
        .map(|(node, front, route)| start_clients(route, node, front, &seen, &record))
        .collect();
    std::thread::sleep(Duration::from_secs(5));
    let fault: &[&str] = if trouble { plan.badness } else { &[] };
    let new = start_engines(plan, "v2", fault, &store, &record);
    let count = |engines: &[EngineProcess]| -> u64 {
        engines.iter().map(|engine| engine.begun.load(Ordering::Relaxed)).sum()
    };
    let before = count(&old);
    let order = format!(
        "{{\"service\":\"{SERVICE}\",\"to\":\"v2\",\"duration-s\":{}}}",
        DURATION.as_secs()
    );
    let ordered = store.write("op", &format!("rollout/{SERVICE}"), Some(&order));
    record.say(&format!("the move to v2 is ordered at {} ms", record.now_ms()));
    *seen.phase.lock().expect("no holder panicked") = "during the move";
    let state = watch_move(&store, ordered, &old, &record);
    std::thread::sleep(DURATION.saturating_sub(ordered.elapsed()));
    let (at_old, at_new) = (count(&old) - before, count(&new));
    record.say(&format!("deadline of the move; its state is {state:?}"));
    *seen.phase.lock().expect("no holder panicked") = "after the move";
    std::thread::sleep(AFTERWARDS);
    seen.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for ((phase, node, end), number) in seen.ends.lock().expect("no holder panicked").iter() {
        record.say(&format!("{phase}: {number} x {end} of {node}"));
    }
    let ends = seen.ends.lock().expect("no holder panicked");
    for (node, _) in &ROUTERS[..plan.routers] {
        let afterwards: Vec<_> = ends
            .iter()
            .filter(|((phase, router, _), _)| *phase == "after the move" && router == node)
            .collect();
        if afterwards.iter().all(|((_, _, end), _)| end == "503") {
            record.say(&format!("{node} refuses every request after the move, which is {state:?}"));
        }
    }
    judge(trouble, at_old, at_new, &record)
}

fn start_engines(
    plan: Plan,
    version: &str,
    options: &[&str],
    store: &Store,
    record: &Record,
) -> Vec<EngineProcess> {
    (0..plan.engines)
        .map(|number| {
            let id = format!("i-{version}-{number}");
            let engine =
                EngineProcess::start(&id, [SLOTS, plan.stream_ms, EVENTS], options, record);
            let zone = ZONES[number % 3];
            let entry = engine.versioned_entry(SERVICE, zone, SLOTS, version);
            store.write("servers", &id, Some(&entry));
            engine
        })
        .collect()
}

/// Waits for the end of the move, at most until its deadline; at `completed` the old engines stop.
/// Returns the last state.
fn watch_move(
    store: &Store,
    ordered: Instant,
    old: &[EngineProcess],
    record: &Record,
) -> Option<&'static str> {
    let key = format!("rollout/{SERVICE}");
    let mut last = None;
    while ordered.elapsed() < DURATION {
        let row = store.read("status", &key).unwrap_or_default();
        let state = ["running", "completed", "rolled_back"].into_iter().find(|state| {
            let with_state = |text: &str| crate::store::encode_base64(text.as_bytes()) == row;
            with_state(&format!("{{\"state\":\"{state}\",\"to\":\"v2\"}}"))
        });
        if state != last {
            record.say(&format!("state of the move after {:?}: {state:?}", ordered.elapsed()));
            last = state;
        }
        match state {
            Some("completed") => {
                for engine in old {
                    engine.process.signal("KILL", record);
                    store.write("servers", &engine.id, None);
                }
                return state;
            }
            Some("rolled_back") => return state,
            _ => std::thread::sleep(Duration::from_millis(20)),
        }
    }
    last
}

fn start_clients(
    (name, rate, deadline_ms): (&'static str, f64, u64),
    node: &'static str,
    front: SocketAddr,
    seen: &Seen,
    record: &Record,
) -> JoinHandle<()> {
    static PARTS: AtomicU64 = AtomicU64::new(1);
    let (seen, record) = (seen.clone(), record.clone());
    std::thread::spawn(move || {
        let mut due = Instant::now();
        while !seen.stop.load(Ordering::Relaxed) {
            due += Duration::from_secs_f64(1.0 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let (seen, record) = (seen.clone(), record.clone());
            std::thread::spawn(move || {
                let part = PARTS.fetch_add(1, Ordering::Relaxed);
                let parts = format!("a1:103,{:x}:69,{:x}:543", 0xb0 + part % 20, part << 12);
                let extra = [
                    ("x-key", "key-1".to_owned()),
                    ("x-model", "m".to_owned()),
                    ("x-token-counts", "715,60".to_owned()),
                    ("x-prompt-prefix", parts),
                ];
                let phase = *seen.phase.lock().expect("no holder panicked");
                let target = format!("/{name}/2f");
                let body = format!("{{\"number\":{part}}}");
                let (attempt, outcome) =
                    send(front, "POST", &target, deadline_ms, &extra, body.as_bytes());
                record.line(&format!(
                    "client of {node}: {attempt} POST {target} -> {}",
                    outcome.label()
                ));
                let mut ends = seen.ends.lock().expect("no holder panicked");
                *ends.entry((phase, node, outcome.label())).or_default() += 1;
            });
        }
    })
}

fn judge(trouble: bool, at_old: u64, at_new: u64, record: &Record) -> i32 {
    let bound = EXPOSE_SHARE * (at_old + at_new) as f64 + EXPOSE_SLACK;
    record.say(&format!(
        "requests from the order to its deadline: {at_old} at v1, {at_new} at v2; a bad version may \
         get {bound:.0}"
    ));
    if trouble && at_new as f64 > bound {
        record.say("EXPOSURE broken: the bad version got more");
        return 1;
    }
    record.say("EXPOSURE held");
    0
}
