//! Starts gateways with the command of the deploy file and settings like those of a small
//! deployment, and ends them.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::store::Store;

/// Program of the role in the deploy file.
const PROGRAM: &str = "target/release/godwitcrank-platform";

/// Time after which a case ends, whatever it waits for.
const TIME_LIMIT: Duration = Duration::from_secs(117);

/// Ids of the running gateways.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all gateways and the case itself when its time is over.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
        }
        std::process::exit(Verdict::NotRun as i32);
    });
}

/// Settings of one machine that differ between cases.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    /// Loopback address of the machine.
    pub ip: String,
    pub memory_mb: u64,
}

/// Ports of all machines.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    inner: u16,
}

/// A gateway process.
pub struct Gateway {
    pub machine: Machine,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Gateways of a deployment; they are killed when it is dropped.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
    record: Record,
}

impl Fleet {
    /// Starts a gateway on each machine.
    pub fn start(record: &Record, store: &Store, machines: Vec<Machine>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ports = free_ports(&machines);
        let gateways = machines
            .into_iter()
            .map(|machine| Gateway::start(&folder, record, store, machine, ports))
            .collect();
        Self { gateways, folder, record: record.clone() }
    }

    /// Waits until all gateways say that they are ready; returns whether they do.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.gateways.iter().all(Gateway::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Copies the last lines of each gateway's log into the record, if the case asks for it.
    pub fn note_logs(&self, lines: usize) {
        for gateway in &self.gateways {
            let text = fs::read_to_string(&gateway.log).unwrap_or_default();
            let all: Vec<&str> = text.lines().collect();
            for line in &all[all.len().saturating_sub(lines)..] {
                let line: String = line.chars().take(300).collect();
                self.record.note(format!("log of {}: {line}", gateway.machine.name));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Gateway {
    fn start(
        folder: &Path,
        record: &Record,
        store: &Store,
        machine: Machine,
        ports: Ports,
    ) -> Self {
        let settings = folder.join(format!("{}.toml", machine.name));
        fs::write(&settings, settings_text(store, &machine, ports)).expect("settings are written");
        let log = folder.join(format!("{}.log", machine.name));
        let address = |port| format!("{}:{port}", machine.ip).parse().expect("an address");
        let (front, ready) = (address(ports.front), address(ports.ready));
        let child = spawn(&settings, &log);
        record.note(format!("start of {} as process {}", machine.name, child.id()));
        Self { machine, front, ready, settings, log, child }
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended by itself.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let id = self.pid();
        RUNNING.lock().unwrap().retain(|running| *running != id);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, as the platform does after its end.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Returns the resident memory of the process in MB (2^20 bytes).
    pub fn resident_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0.0) / 1024.0
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        crate::client::probe(self.ready) == Some(200)
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let child = Command::new(PROGRAM)
        .arg("gateway")
        .env_clear()
        .env("GODWITCRANK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a log file"))
        .stderr(output)
        .spawn()
        .expect("the gateway starts");
    RUNNING.lock().unwrap().push(child.id());
    child
}

/// Finds ports that are free on the addresses of all machines.
fn free_ports(machines: &[Machine]) -> Ports {
    let is_free = |port: u16| {
        machines.iter().all(|machine| TcpListener::bind((machine.ip.as_str(), port)).is_ok())
    };
    let start = 20_000 + (std::process::id() % 400) as u16 * 20;
    (0..200)
        .map(|step| start + step * 20)
        .find(|first| (*first..*first + 6).all(is_free))
        .map(|first| Ports { front: first, ready: first + 1, inner: first + 2 })
        .expect("free ports")
}

fn settings_text(store: &Store, machine: &Machine, ports: Ports) -> String {
    let Machine { name, zone, ip, memory_mb } = machine;
    let Ports { front, ready, inner } = ports;
    format!(
        r#"node = "{name}"
role = "gateway"
machine-class = "front"
serves = ["front"]
ip-address = "{ip}"
zone = "{zone}"
region = "cymru"
inner-ports = [{inner},{last}]
seeds = []
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","rollout","platform"]

[zones]
caerdydd = "cymru"
abertawe = "cymru"
aberystwyth = "cymru"

[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"

[limits]
cpu-share = 0.19
cores = 1
memory-mb = {memory_mb}
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0

[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 3000
drain-ms = 2000
grace-s = 8
configuration-ms = 2000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 56
cold-over = 1.5
cold-slack = 5

[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
"#,
        store = store.address,
        last = inner + 3,
    )
}
