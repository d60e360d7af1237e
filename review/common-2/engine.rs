//! Stand-in for an engine: registers in the store, runs requests and drops one whose connection
//! closes.

use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of an engine's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Interval in which a running request looks whether its connection has closed.
const CLOSE_CHECK: Duration = Duration::from_millis(10);

/// Prompt tokens that an engine reads in a millisecond, as the sheet says.
const READ_RATE: u64 = 112;

/// How an engine works on a request.
#[derive(Clone, Copy)]
pub struct Work {
    /// Tokens of the prompt that the engine reads first, one request after the other.
    pub prompt_tokens: u64,
    /// Time until the head of the answer.
    pub before_answer: Duration,
    /// Events of a stream; 0 for a plain answer.
    pub events: u32,
    /// Time between two events.
    pub gap: Duration,
}

/// One run of a request.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    /// Whether the work was done; `None` while it goes on.
    pub is_done: Option<bool>,
}

/// All runs of all engines.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Returns all runs so far.
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    /// Returns the runs by attempt.
    pub fn by_attempt(&self) -> HashMap<String, Vec<Run>> {
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.all() {
            runs.entry(run.attempt.clone()).or_default().push(run);
        }
        runs
    }

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize, is_done: bool) {
        self.0.lock().unwrap()[index].is_done = Some(is_done);
    }
}

/// What all engines of a deployment share.
#[derive(Clone)]
pub struct EngineRoom {
    pub store: Store,
    pub runs: Runs,
    pub record: Record,
    pub work: fn(&Head) -> Work,
    /// Whether an engine may crash.
    pub may_crash: bool,
}

/// Starts an engine of a service; it runs until the process of the case ends.
pub fn start(room: &EngineRoom, id: &str, service: &str, zone: &str, slots: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let entry = {
        let (service, zone) = (service.to_owned(), zone.to_owned());
        move |sequence: u64| {
            format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold-ms\":0,\
                 \"sequence\":{sequence}}}"
            )
        }
    };
    let (store, key) = (room.store.clone(), id.to_owned());
    store.put("servers", &key, &entry(1));
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(HEARTBEAT);
            store.put("servers", &key, &entry(sequence));
        }
    });
    let (room, id) = (room.clone(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (room, id) = (room.clone(), id.clone());
            thread::spawn(move || serve(&room, &id, stream));
        }
    });
    address
}

/// When each engine has read the prompts that it has got so far.
static READ_UNTIL: Mutex<Vec<(String, Instant)>> = Mutex::new(Vec::new());

/// Returns the time until an engine has read a further prompt.
fn reading_time(id: &str, tokens: u64) -> Duration {
    let now = Instant::now();
    let mut engines = READ_UNTIL.lock().unwrap();
    let index = engines.iter().position(|(engine, _)| engine == id).unwrap_or_else(|| {
        engines.push((id.to_owned(), now));
        engines.len() - 1
    });
    let until = engines[index].1.max(now) + Duration::from_micros(tokens * 1000 / READ_RATE);
    engines[index].1 = until;
    until - now
}

/// Connections of the engines that may crash, by id.
static CONNECTIONS: Mutex<Vec<(String, TcpStream)>> = Mutex::new(Vec::new());

/// Engines that are down.
static DOWN: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Crashes an engine: all its connections end at once and new ones are closed.
pub fn crash(id: &str) {
    DOWN.lock().unwrap().push(id.to_owned());
    CONNECTIONS.lock().unwrap().retain(|(engine, stream)| {
        if engine == id {
            let _ = stream.shutdown(Shutdown::Both);
        }
        engine != id
    });
}

/// Lets a crashed engine accept connections again.
pub fn recover(id: &str) {
    DOWN.lock().unwrap().retain(|down| down != id);
}

fn is_down(id: &str) -> bool {
    DOWN.lock().unwrap().iter().any(|down| down == id)
}

static SIGNATURES: AtomicU64 = AtomicU64::new(1);

fn serve(room: &EngineRoom, id: &str, stream: TcpStream) {
    if is_down(id) {
        return;
    }
    if room.may_crash
        && let Ok(copy) = stream.try_clone()
    {
        CONNECTIONS.lock().unwrap().push((id.to_owned(), copy));
    }
    let mut connection = Connection::new(stream);
    while let Ok(Some(head)) = connection.head() {
        let Ok(body) = connection.body(&head) else { return };
        if run(room, id, &mut connection.stream, &head, &body).is_err() {
            return;
        }
    }
}

fn run(
    room: &EngineRoom,
    id: &str,
    stream: &mut TcpStream,
    head: &Head,
    body: &[u8],
) -> std::io::Result<()> {
    let attempt = head.field("x-attempt-identifier").unwrap_or("-").to_owned();
    if head.field("x-expected-engine").is_some_and(|expected| expected != id) {
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nx-attempt-identifier: {attempt}\r\n\
             x-engine-identifier: {id}\r\ncontent-length: 0\r\n\r\n"
        );
        return stream.write_all(answer.as_bytes());
    }
    let path: String = head.target().chars().take(40).collect();
    room.record.note(format!("run {attempt} {path} at {id}, {} body bytes", body.len()));
    let index = room.runs.begin(Run { attempt: attempt.clone(), is_done: None });
    let worked = work(id, stream, (room.work)(head), &attempt);
    room.runs.end(index, worked.is_ok());
    let end = if worked.is_ok() { "done" } else { "dropped: the connection has closed" };
    room.record.note(format!("end {attempt} at {id}: {end}"));
    worked
}

fn work(id: &str, stream: &mut TcpStream, work: Work, attempt: &str) -> std::io::Result<()> {
    pause(stream, work.before_answer + reading_time(id, work.prompt_tokens))?;
    let signature = SIGNATURES.fetch_add(1, Ordering::Relaxed);
    let fields =
        format!("x-attempt-identifier: {attempt}\r\nx-engine-signature: {signature:x}.1\r\n");
    if work.events == 0 {
        let body = format!("answer of {attempt}");
        let answer =
            format!("HTTP/1.1 200 OK\r\n{fields}content-length: {}\r\n\r\n{body}", body.len());
        return stream.write_all(answer.as_bytes());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{fields}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in 1..=work.events {
        if event > 1 {
            pause(stream, work.gap)?;
        }
        let data = format!("id: {event}\ndata: {attempt}\n\n");
        stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Works for a time; fails when the connection closes meanwhile.
fn pause(stream: &TcpStream, time: Duration) -> std::io::Result<()> {
    let until = Instant::now() + time;
    while Instant::now() < until {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        match peeked {
            Ok(0) => return Err(ErrorKind::ConnectionAborted.into()),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        thread::sleep(CLOSE_CHECK.min(until.saturating_duration_since(Instant::now())));
    }
    Ok(())
}
