//! What the cases share: a small deployment with two gateways, ordinary callers, and the checks of
//! the rules.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client;
use crate::crowd::{Call, CallEnd, Callers, Crowd};
use crate::deployment::{self, MODEL, PLAIN, Route};
use crate::engine::{EngineRoom, Runs, Work};
use crate::fleet::{Fleet, Machine};
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

/// Memory of a `front` machine in MB, as the sheet of cwcw-rhannol says.
const MEMORY_MB: u64 = 110;

/// Timeout of the route of ordinary requests; the sheet's deadline of reserve-part.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the timeout at which the rule asks for an answer.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Time for which an ordinary caller waits, as its request says.
const CALLER_DEADLINE: Duration = Duration::from_millis(1500);

/// Fewest requests without an answer at their timeout from which their share is judged.
const MIN_LATE_CALLS: usize = 20;

/// Ends of a process by itself, on each of two machines, that break the rule.
const ALLOWED_ENDS: u32 = 2;

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Interval in which the platform looks at the memory of the processes.
const MEMORY_CHECK: Duration = Duration::from_millis(20);

/// Prefix of the streaming route, and of the unsafe one.
pub const STREAM_PATH: &str = "/lohu930/2f";
const UNSAFE_PATH: &str = "/puxa403/2f";

/// Routes of the cases: a stream as apprentice-guide, and an unsafe request as reserve-part.
const ROUTES: [Route; 2] = [
    Route {
        name: "r-guide",
        prefix: "/lohu930/",
        kind: "streaming",
        timeout_ms: 12_000,
        objective_ms: 400,
        service: MODEL,
        attempts: 1,
    },
    Route {
        name: "r-reserve",
        prefix: "/puxa403/",
        kind: "unsafe",
        timeout_ms: 600,
        objective_ms: 100,
        service: PLAIN,
        attempts: 1,
    },
];

/// A deployment with ready gateways.
pub struct Scenario {
    pub record: Record,
    pub fleet: Fleet,
    pub runs: Runs,
}

/// Engines of the model service, and how they work on a stream.
pub struct Models {
    pub count: usize,
    pub work: fn(&Head) -> Work,
    /// Whether an engine may crash.
    pub may_crash: bool,
}

impl Scenario {
    /// Starts store, engines and gateways; `None` if the gateways do not become ready.
    pub fn start(record: &Path, gateways: usize, models: &Models) -> Option<Self> {
        let record = Record::create(record);
        let store = Store::start();
        deployment::configure(&store, &ROUTES);
        let runs = Runs::default();
        let room = EngineRoom {
            store: store.clone(),
            runs: runs.clone(),
            record: record.clone(),
            work: models.work,
            may_crash: models.may_crash,
        };
        deployment::start_engines(&room, models.count, 3);
        let machines = (0..gateways)
            .map(|number| Machine {
                name: format!("front-{}-1", deployment::ZONES[number]),
                zone: deployment::ZONES[number].to_owned(),
                ip: format!("127.0.0.{}", 11 + number),
                memory_mb: MEMORY_MB,
            })
            .collect();
        let fleet = Fleet::start(&record, &store, machines);
        if !fleet.wait_ready(Duration::from_secs(20)) {
            fleet.note_logs(20);
            return None;
        }
        record.say(format!("{gateways} gateways are ready"));
        // The routers learn of each other.
        thread::sleep(Duration::from_secs(3));
        Some(Self { record, fleet, runs })
    }

    /// Starts ordinary callers of the unsafe route at a gateway.
    pub fn start_callers(&self, gateway: usize) -> Callers {
        let front = self.fleet.gateways[gateway].front;
        let interval = Duration::from_millis(500);
        Callers::start(&self.record, front, 8, interval, CALLER_DEADLINE, |attempt| {
            let deadline_ms = CALLER_DEADLINE.as_millis() as u64;
            let head = client::head("POST", UNSAFE_PATH, attempt, deadline_ms);
            format!("{head}Content-Length: 0\r\n\r\n")
        })
    }

    /// Judges ordinary requests that were sent from `since` on by the rule on timeouts.
    pub fn judge_timeouts(&self, calls: &[Call], since: Instant) -> Verdict {
        let mut ends: BTreeMap<String, u32> = BTreeMap::new();
        let judged: Vec<&Call> = calls.iter().filter(|call| call.sent >= since).collect();
        for call in &judged {
            *ends.entry(format!("{:?}", call.end)).or_default() += 1;
        }
        self.record.say(format!("ordinary requests: {ends:?}"));
        let late: Vec<&&Call> = judged.iter().filter(|call| call.waited >= TIMEOUT).collect();
        let limit = TIMEOUT + TIMEOUT_SLACK;
        let is_missing = |call: &&&&Call| call.end == CallEnd::Unanswered || call.waited > limit;
        let missing = late.iter().filter(is_missing).count();
        let in_engine = self.runs.by_attempt();
        let run = late.iter().filter(|call| in_engine.contains_key(&call.attempt)).count();
        self.record.say(format!(
            "CONFIG: {} of {} requests had no answer at the timeout of {} ms; {missing} of these had \
             none {} ms later; {run} of them had reached an engine",
            late.len(),
            judged.len(),
            TIMEOUT.as_millis(),
            TIMEOUT_SLACK.as_millis(),
        ));
        if late.len() >= MIN_LATE_CALLS && missing * 2 > late.len() {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    /// Acts as the platform for `time`, or until each gateway has ended as often as the rule allows
    /// and once more: kills a process that exceeds the memory of its machine, and starts it again.
    /// `each_start` is called with the number of the gateway when it is ready again.
    pub fn enforce_memory(
        &mut self,
        time: Duration,
        mut each_start: impl FnMut(&Fleet, usize),
    ) -> Verdict {
        let deadline = Instant::now() + time;
        let count = self.fleet.gateways.len();
        let mut ends = vec![0_u32; count];
        let mut peaks = vec![0.0_f64; count];
        let mut down: Vec<Option<Instant>> = vec![None; count];
        let mut noted = Instant::now();
        while Instant::now() < deadline && ends.iter().any(|ends| *ends <= ALLOWED_ENDS) {
            thread::sleep(MEMORY_CHECK);
            for number in 0..count {
                let gateway = &mut self.fleet.gateways[number];
                if let Some(since) = down[number] {
                    if since.elapsed() >= RESTART_DELAY && gateway.is_ready() {
                        down[number] = None;
                        each_start(&self.fleet, number);
                    }
                    continue;
                }
                let resident = gateway.resident_mb();
                peaks[number] = peaks[number].max(resident);
                let is_over = resident > gateway.machine.memory_mb as f64;
                if is_over || !gateway.is_running() {
                    ends[number] += 1;
                    self.record.say(format!(
                        "{} at {resident:.1} MB of {} MB: ended, number {}",
                        gateway.machine.name, gateway.machine.memory_mb, ends[number]
                    ));
                    gateway.kill();
                    thread::sleep(RESTART_DELAY);
                    gateway.restart();
                    down[number] = Some(Instant::now() - RESTART_DELAY);
                }
            }
            if noted.elapsed() > Duration::from_secs(1) {
                noted = Instant::now();
                let resident: Vec<String> = self
                    .fleet
                    .gateways
                    .iter()
                    .map(|gateway| format!("{:.1}", gateway.resident_mb()))
                    .collect();
                self.record.note(format!("resident memory in MB: {}", resident.join(", ")));
            }
        }
        let peaks: Vec<String> = peaks.iter().map(|peak| format!("{peak:.1}")).collect();
        self.record.say(format!(
            "Fault: ends by machine {ends:?}, largest resident memory seen in MB {}",
            peaks.join(", ")
        ));
        let over = ends.iter().filter(|ends| **ends > ALLOWED_ENDS).count();
        if over >= 2 { Verdict::Broken } else { Verdict::Held }
    }

    /// Notes what a crowd has sent.
    pub fn note_crowd(&self, crowd: &Crowd) {
        self.record.say(format!(
            "crowd: {} requests sent, {} answered",
            crowd.sent.load(Ordering::Relaxed),
            crowd.answered.load(Ordering::Relaxed)
        ));
    }
}

/// Work on a plain request: that of reserve-part.
pub fn plain_work() -> Work {
    Work {
        prompt_tokens: 0,
        before_answer: Duration::from_millis(15),
        events: 0,
        gap: Duration::ZERO,
    }
}

/// Work on a stream of so many events, or on a plain request.
pub fn stream_work(head: &Head, events: u32, gap: Duration) -> Work {
    if !head.target().starts_with("/lohu930/") {
        return plain_work();
    }
    let counts = head.field("x-token-counts").unwrap_or_default();
    let prompt_tokens =
        counts.split(',').next().and_then(|tokens| tokens.parse().ok()).unwrap_or(0);
    Work { prompt_tokens, before_answer: Duration::from_millis(20), events, gap }
}

/// Returns a streaming request with these parts of its prompt.
pub fn stream_request(attempt: &str, tokens_in: usize, parts: &str) -> String {
    let head = client::head("POST", STREAM_PATH, attempt, 12_000);
    let request = format!(
        "{head}X-Model: m\r\nX-Token-Counts: {tokens_in},80\r\nX-Prompt-Prefix: {parts}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    assert!(request.len() <= deployment::HEADER_BYTES, "the head keeps to the limit");
    request
}

/// First id of a part, and the first one that has a digit more.
const FIRST_PART: u64 = 0x10_0000;
const LAST_PART: u64 = 0x100_0000;

/// Returns a prompt of `count` parts of one token each, which no other one of the last thousands of
/// numbers shares.
pub fn single_token_parts(number: u64, count: u64) -> String {
    let prompts = (LAST_PART - FIRST_PART) / count;
    let first = FIRST_PART + number % prompts * count;
    let parts: Vec<String> = (first..first + count).map(|id| format!("{id:x}:1")).collect();
    parts.join(",")
}

/// Returns a prompt of three parts with as many tokens, which no other number shares.
pub fn three_parts(number: u64, tokens: u64) -> String {
    let first = FIRST_PART + number * 3;
    let last = tokens - 2 * (tokens / 3);
    format!("{first:x}:{0},{1:x}:{0},{2:x}:{last}", tokens / 3, first + 1, first + 2)
}
