//! Starts and ends processes, and keeps the record of a case.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Outcome, call};
use crate::store::Store;

/// What was sent, answered and run, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("CASE_RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no holder panicked");
        let _ = writeln!(file, "{:>6} {text}", self.now_ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A process that the case started; dropping it kills the process.
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    pub fn signal(&self, signal: &str, record: &Record) {
        record.line(&format!("signal {signal} to {}", self.name));
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    pub fn kill(&mut self, record: &Record) {
        record.line(&format!("kill {}", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Requests that an engine has begun and not ended: attempt and target.
pub type Running = Arc<Mutex<BTreeMap<String, String>>>;

/// Number of requests that an engine has begun.
pub type BegunCount = Arc<AtomicU64>;

pub struct EngineProcess {
    pub process: Process,
    pub id: String,
    pub address: SocketAddr,
    pub running: Running,
    pub begun: BegunCount,
}

impl EngineProcess {
    /// Starts an engine; `options` are further arguments of `standin engine`.
    pub fn start(
        id: &str,
        [slots, work_ms, events]: [u32; 3],
        options: &[&str],
        record: &Record,
    ) -> Self {
        let mut command = Command::new(std::env::current_exe().expect("the program has a path"));
        command.args(["engine", id, &slots.to_string(), &work_ms.to_string(), &events.to_string()]);
        command.args(options);
        let mut child =
            command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().expect("the engine starts");
        let mut lines = BufReader::new(child.stdout.take().expect("it is piped")).lines();
        let first = lines.next().expect("the engine listens").expect("it is text");
        let address = first.trim_start_matches("LISTEN ").parse().expect("it is an address");
        record.line(&format!("engine {id} listens on {address}"));
        let running: Running = Arc::default();
        let begun: BegunCount = Arc::default();
        let (shown, known, name) = (record.clone(), Arc::clone(&running), id.to_owned());
        let count = Arc::clone(&begun);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let mut words = line.splitn(3, ' ');
                let (word, attempt) = (words.next(), words.next().unwrap_or_default().to_owned());
                let mut running = known.lock().expect("no holder panicked");
                if word == Some("BEGIN") {
                    count.fetch_add(1, Ordering::Relaxed);
                    running.insert(attempt, words.next().unwrap_or_default().to_owned());
                } else {
                    running.remove(&attempt);
                }
                drop(running);
                shown.line(&format!("engine {name}: {line}"));
            }
        });
        let process = Process { child, name: format!("engine {id}") };
        Self { process, id: id.to_owned(), address, running, begun }
    }

    /// Entry of the engine in the store.
    pub fn entry(&self, service: &str, zone: &str, slots: u32) -> String {
        self.versioned_entry(service, zone, slots, "v1")
    }

    /// Entry of an engine whose software has this version.
    pub fn versioned_entry(&self, service: &str, zone: &str, slots: u32, version: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold-ms\":0,\"sequence\":1}}",
            self.address
        )
    }
}

pub struct Gateway {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub inner: SocketAddr,
}

/// Returns a port, below those that the kernel gives to connections, with a free one after it.
fn free_pair() -> u16 {
    static NEXT: Mutex<u16> = Mutex::new(0);
    let mut next = NEXT.lock().expect("no holder panicked");
    loop {
        let start = 10_300 + (std::process::id().wrapping_mul(137) % 9_000) as u16 * 2;
        let port = start.wrapping_add(*next);
        *next += 2;
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free(port) && is_free(port + 1) {
            return port;
        }
    }
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file.
    pub fn start(node: &str, zone: &str, store: &Store, record: &Record) -> Self {
        Self::start_sized(node, zone, "0.19", store, record)
    }

    /// Starts a gateway on a machine with this share of a core.
    pub fn start_sized(
        node: &str,
        zone: &str,
        share: &str,
        store: &Store,
        record: &Record,
    ) -> Self {
        let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("the folder is set"));
        let (front, inner) = (free_pair(), free_pair());
        let ready = front + 1;
        let settings = SETTINGS
            .replace("{node}", node)
            .replace("{zone}", zone)
            .replace("{front}", &front.to_string())
            .replace("{ready}", &ready.to_string())
            .replace("{inner}", &inner.to_string())
            .replace("{last}", &(inner + 1).to_string())
            .replace("{share}", share)
            .replace("{store}", &store.address.to_string());
        let path = folder.join(format!("{node}.toml"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let output =
            File::create(folder.join(format!("{node}.log"))).expect("the log can be written");
        let child = Command::new("target/release/godwitcrank-platform")
            .arg("gateway")
            .env("GODWITCRANK_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("the log can be shared"))
            .stderr(output)
            .spawn()
            .expect("the gateway starts");
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        record.line(&format!("gateway {node} started, front {front}"));
        let process = Process { child, name: format!("gateway {node}") };
        Self { process, front: address(front), ready: address(ready), inner: address(inner) }
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let answer = call(self.ready, "GET", "/ready", &[], b"", Duration::from_secs(1));
            if answer.status() == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Identifier of the next attempt of a client.
pub fn next_attempt() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9c41_0000_0000_0000_u64 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends a client's request with a new attempt identifier; returns it and how it ended.
pub fn send(
    front: SocketAddr,
    method: &str,
    target: &str,
    deadline_ms: u64,
    extra: &[(&'static str, String)],
    body: &[u8],
) -> (String, Outcome) {
    let attempt = next_attempt();
    let mut headers = vec![
        ("x-attempt-identifier", attempt.clone()),
        ("x-deadline-milliseconds", deadline_ms.to_string()),
    ];
    headers.extend_from_slice(extra);
    let wait = Duration::from_millis(deadline_ms);
    (attempt, call(front, method, target, &headers, body, wait))
}

/// Settings of a `front` machine of a small deployment, as the platform writes them.
const SETTINGS: &str = r#"node = "{node}"
role = "gateway"
machine-class = "front"
serves = ["front"]
ip-address = "127.0.0.1"
zone = "{zone}"
region = "bkk"
inner-ports = [{inner},{last}]
seeds = []
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","rollout","platform"]
[zones]
bkk-a = "bkk"
bkk-b = "bkk"
bkk-c = "bkk"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = {share}
cores = 1
memory-mb = 260
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerated-losses]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 3000
acknowledge-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
configuration-ms = 2000
rollback-slack-ms = 250
stretch-ms = 5000
strict-revocation = false
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 58
expose-share = 0.1
expose-slack = 50
rollback-ms = 5000
cold-over = 1.5
cold-slack = 5
evacuate-ms = 5000
recover-s = 12
pass-ms = 120
again-s = 7.5
quota-window-s = 4
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 5.0
part-writes-per-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-per-s = 80.0
"#;
