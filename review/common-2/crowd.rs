//! A crowd of clients that send requests without pause, and ordinary callers beside it.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client;
use crate::http::{Connection, Head};
use crate::record::Record;

/// Pause before a client whose connection was closed connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);

/// Time for which a member of a crowd waits for an answer.
const CROWD_PATIENCE: Duration = Duration::from_secs(60);

/// Requests of a crowd that are noted one by one; further ones are counted each second.
const NOTED_REQUESTS: u64 = 10_000;

/// Returns the attempt that a request names.
fn attempt_of(request: &str) -> &str {
    let line = request.lines().find_map(|line| line.strip_prefix("X-Attempt-Identifier: "));
    line.unwrap_or("-")
}

/// Sends a request, reads its answer, and notes both.
pub fn noted_exchange(
    record: &Record,
    connection: &mut Connection,
    request: &str,
) -> io::Result<Head> {
    let attempt = attempt_of(request);
    record.note(format!("sent {attempt}, {} bytes", request.len()));
    let answer = client::exchange(connection, request).map(|(head, _)| head);
    match &answer {
        Ok(head) => record.note(format!("answer {} to {attempt}", head.status())),
        Err(error) => record.note(format!("no whole answer to {attempt}: {:?}", error.kind())),
    }
    answer
}

/// A running crowd.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    pub sent: Arc<AtomicU64>,
    pub answered: Arc<AtomicU64>,
}

impl Crowd {
    /// Starts `size` clients; each sends what `request` returns for the number of the request,
    /// reads the answer, and goes on.
    pub fn start(
        record: &Record,
        front: SocketAddr,
        size: usize,
        request: impl Fn(u64) -> String + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (sent, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let request = Arc::new(request);
        let crowd = Self { stop: stop.clone(), sent: sent.clone(), answered: answered.clone() };
        crowd.note_counts(record, front);
        for _ in 0..size {
            let (stop, sent, answered) = (stop.clone(), sent.clone(), answered.clone());
            let record = record.clone();
            let request = Arc::clone(&request);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(mut connection) = client::connect(front, CROWD_PATIENCE) {
                        while !stop.load(Ordering::Relaxed) {
                            let number = sent.fetch_add(1, Ordering::Relaxed);
                            let request = request(number);
                            let answer = if number < NOTED_REQUESTS {
                                noted_exchange(&record, &mut connection, &request)
                            } else {
                                client::exchange(&mut connection, &request).map(|(head, _)| head)
                            };
                            let Ok(head) = answer else { break };
                            answered.fetch_add(1, Ordering::Relaxed);
                            if head.field("connection").is_some_and(|value| value == "close") {
                                break;
                            }
                        }
                    }
                    thread::sleep(RECONNECT_PAUSE);
                }
            });
        }
        crowd
    }

    /// Notes once a second how much has been sent and answered.
    fn note_counts(&self, record: &Record, front: SocketAddr) {
        let (stop, sent, answered) = (self.stop.clone(), self.sent.clone(), self.answered.clone());
        let record = record.clone();
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_secs(1));
                record.note(format!(
                    "crowd at {front}: {} sent, {} answered",
                    sent.load(Ordering::Relaxed),
                    answered.load(Ordering::Relaxed)
                ));
            }
        });
    }

    /// Stops the crowd.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// How an ordinary request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A success.
    Served,
    /// Another final answer, with its status.
    Refused(u16),
    /// The connection ended, or none could be opened.
    Closed,
    /// No answer and no end of the connection within the patience of the caller.
    Unanswered,
}

/// An ordinary request.
#[derive(Clone, Debug)]
pub struct Call {
    pub attempt: String,
    pub sent: Instant,
    pub waited: Duration,
    pub end: CallEnd,
}

/// Ordinary callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `size` callers, each of which sends a request every `interval`, or as soon as the one
    /// before has ended. They keep their connections and open a new one after a close. A caller
    /// waits `patience` for an answer.
    pub fn start(
        record: &Record,
        front: SocketAddr,
        size: usize,
        interval: Duration,
        patience: Duration,
        request: fn(&str) -> String,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..size)
            .map(|caller| {
                let (stop, calls, record) = (stop.clone(), calls.clone(), record.clone());
                thread::spawn(move || {
                    let mut connection = None;
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let started = Instant::now();
                        let attempt = format!("c{caller}n{number}");
                        number += 1;
                        let mut open = match connection.take() {
                            Some(open) => Ok(open),
                            None => client::connect(front, patience),
                        };
                        let sent = Instant::now();
                        record.note(format!("sent {attempt}"));
                        let end = match &mut open {
                            Ok(open) => match client::exchange(open, &request(&attempt)) {
                                Ok((head, _)) if head.status() < 300 => CallEnd::Served,
                                Ok((head, _)) => CallEnd::Refused(head.status()),
                                Err(error) => match error.kind() {
                                    ErrorKind::WouldBlock | ErrorKind::TimedOut => {
                                        CallEnd::Unanswered
                                    }
                                    _ => CallEnd::Closed,
                                },
                            },
                            Err(_) => CallEnd::Closed,
                        };
                        let waited = sent.elapsed();
                        record.note(format!(
                            "call {attempt}: {end:?} after {} ms",
                            waited.as_millis()
                        ));
                        calls.lock().unwrap().push(Call { attempt, sent, waited, end });
                        if matches!(end, CallEnd::Served | CallEnd::Refused(_)) {
                            connection = open.ok();
                        }
                        thread::sleep(interval.saturating_sub(started.elapsed()));
                    }
                })
            })
            .collect();
        Self { stop, calls, threads }
    }

    /// Stops the callers once their requests have ended, and returns all calls.
    pub fn finish(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut self.calls.lock().unwrap())
    }
}
