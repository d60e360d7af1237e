//! A press of clients of streams that makes one router short of time, so that it hands new
//! connections over to other routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::{Outcome, call};
use crate::store::Store;
use crate::world::{EngineProcess, Gateway, Record, send};

pub const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];

/// Model engines, their slots, the length of their streams and the events of each.
const MODEL_ENGINES: usize = 12;
const MODEL_SLOTS: u32 = 128;
const STREAM_MS: u32 = 3000;
const EVENTS: u32 = 150;

/// Steps by which clients of streams come, and the most of them. They come until the first router
/// hands over so many connections in a step.
const STREAM_STEP: usize = 40;
pub const STEP_TIME: Duration = Duration::from_millis(300);
const MAX_STREAM_CLIENTS: usize = 2100;
const MAX_STEPS: usize = 160;
const HANDED_OVER_PER_STEP: u64 = 45;

/// Ends of the streams, and the signal to send no more.
#[derive(Clone, Default)]
pub struct Press {
    pub stop: Arc<AtomicBool>,
    /// Streams by how they ended.
    pub streams: Arc<Mutex<BTreeMap<String, usize>>>,
    next: Arc<Mutex<u64>>,
}

/// The five routers of the sheet: the one that all clients talk to, one with time to spare in its
/// zone, and the others.
pub struct Routers {
    pub busy: Gateway,
    pub spare: Gateway,
    pub others: [Gateway; 3],
}

impl Routers {
    /// Starts the routers; `None` if one of them does not become ready.
    pub fn start(store: &Store, record: &Record) -> Option<Self> {
        let busy = Gateway::start("front-bkk-a-1", "bkk-a", store, record);
        let spare = Gateway::start_sized("front-bkk-a-2", "bkk-a", "0.5", store, record);
        let others = ["front-bkk-b-1", "front-bkk-b-2", "front-bkk-c-1"]
            .map(|node| Gateway::start(node, &node[6..11], store, record));
        let are_ready = [&busy, &spare].into_iter().chain(&others).all(Gateway::wait_ready);
        if !are_ready {
            record.say("a gateway did not become ready");
        }
        are_ready.then_some(Self { busy, spare, others })
    }
}

/// Starts the engines of the streams.
pub fn start_models(store: &Store, record: &Record) -> Vec<EngineProcess> {
    (0..MODEL_ENGINES)
        .map(|number| {
            let id = format!("i-m{number}");
            let engine = EngineProcess::start(
                &id,
                [MODEL_SLOTS, STREAM_MS, EVENTS],
                &["quiet", "long=/guide/"],
                record,
            );
            let entry = engine.entry("godwit-llm", ZONES[number % 3], MODEL_SLOTS);
            store.write("servers", &id, Some(&entry));
            engine
        })
        .collect()
}

impl Press {
    /// Adds a step of clients.
    pub fn grow(&self, busy: &Gateway, clients: &mut Vec<JoinHandle<()>>) {
        for _ in 0..STREAM_STEP {
            let mut next = self.next.lock().expect("no holder panicked");
            *next += 1;
            clients.push(start_streams(*next, busy.front, self.clone()));
        }
    }

    /// Adds clients until the router hands over many connections within one step.
    pub fn raise(
        &self,
        busy: &Gateway,
        clients: &mut Vec<JoinHandle<()>>,
        record: &Record,
    ) -> bool {
        let mut handed_over = count_handed_over(busy);
        for step in 0..MAX_STEPS {
            if step * STREAM_STEP < MAX_STREAM_CLIENTS {
                self.grow(busy, clients);
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
        record.say("the first router never handed connections over");
        false
    }
}

/// Returns the number of connections that a router handed over, by its metrics.
pub fn count_handed_over(gateway: &Gateway) -> u64 {
    let outcome = call(gateway.inner, "GET", "/metrics", &[], b"", Duration::from_secs(1));
    let Outcome::Answer(answer) = outcome else { return 0 };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let name = "godwitcrank_calls_total{outcome=\"handed over\"} ";
    text.lines().find_map(|line| line.strip_prefix(name)?.parse().ok()).unwrap_or(0)
}

pub fn start_client(client: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    std::thread::Builder::new().stack_size(256 << 10).spawn(client).expect("the thread starts")
}

fn start_streams(number: u64, front: SocketAddr, press: Press) -> JoinHandle<()> {
    start_client(move || {
        let mut part = number * 1000;
        while !press.stop.load(Ordering::Relaxed) {
            part += 1;
            let extra = [
                ("x-key", "key-1".to_owned()),
                ("x-model", "m".to_owned()),
                ("x-token-counts", "715,900".to_owned()),
                (
                    "x-prompt-prefix",
                    format!("a1:103,{:x}:69,{:x}:543", 0xb0 + part % 20, part << 8),
                ),
            ];
            let (_, outcome) = send(front, "POST", "/chat/2f", 12_000, &extra, b"{}");
            let mut streams = press.streams.lock().expect("no holder panicked");
            *streams.entry(outcome.label()).or_default() += 1;
            drop(streams);
            if outcome.status() != Some(200) {
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    })
}
