//! An engine as a process of its own. It writes a line for each request that it begins and ends.
//!
//! Usage: `standin engine ID SLOTS WORK_MS EVENTS [quiet] [fails=PREFIX] [each=N] [bears=M]
//! [long=PREFIX]`. With 0 events it answers in one piece, else with a stream of so many events. It
//! serves `SLOTS` requests at once and queues the others. Of the requests whose path begins with the
//! prefix of `fails`, it fails every `N`th one; where `bears` is given, only while more than `M`
//! requests run. Streams on the prefix of `long` take `LONG_STREAM`, and it always tells of them.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{Message, read_request, write_answer};

/// Length of the streams on the prefix of `long`.
const LONG_STREAM: Duration = Duration::from_millis(11_000);

struct Engine {
    id: String,
    slots: usize,
    work: Duration,
    events: usize,
    busy: Mutex<usize>,
    freed: Condvar,
    is_quiet: bool,
    /// Prefix of the paths on which it fails every third request, and the requests there.
    fails: Option<String>,
    long: Option<String>,
    seen: AtomicU64,
    each: u64,
    bears: u64,
}

pub fn run(arguments: &[String]) -> i32 {
    let number = |index: usize| arguments.get(index).and_then(|text| text.parse::<u64>().ok());
    let (Some(id), Some(slots), Some(work), Some(events)) =
        (arguments.first(), number(1), number(2), number(3))
    else {
        return 2;
    };
    let engine = Arc::new(Engine {
        id: id.clone(),
        slots: slots as usize,
        work: Duration::from_millis(work),
        events: events as usize,
        busy: Mutex::new(0),
        freed: Condvar::new(),
        is_quiet: arguments.iter().any(|word| word == "quiet"),
        fails: arguments.iter().find_map(|word| word.strip_prefix("fails=")).map(str::to_owned),
        long: arguments.iter().find_map(|word| word.strip_prefix("long=")).map(str::to_owned),
        seen: AtomicU64::new(0),
        each: option(arguments, "each=").unwrap_or(3),
        bears: option(arguments, "bears=").unwrap_or(0),
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    say(&format!("LISTEN {}", listener.local_addr().expect("the listener is bound")));
    for stream in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        let _ =
            std::thread::Builder::new().stack_size(256 << 10).spawn(move || serve(&engine, stream));
    }
    0
}

/// Returns the number after a prefix.
fn option(arguments: &[String], prefix: &str) -> Option<u64> {
    arguments.iter().find_map(|word| word.strip_prefix(prefix)?.parse().ok())
}

/// Writes a line at once, so that a killed engine has told all that it began.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}

fn serve(engine: &Engine, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        if answer(engine, &mut writer, &request).is_err() {
            return;
        }
    }
}

fn answer(engine: &Engine, writer: &mut TcpStream, request: &Message) -> std::io::Result<()> {
    let attempt = request.header("x-attempt-identifier").unwrap_or_default().to_owned();
    let echo = ("x-attempt-identifier", attempt.as_str());
    if request.path() == "/health" {
        return write_answer(writer, 200, &[("x-engine-identifier", &engine.id)], b"");
    }
    if request.header("x-expected-engine").is_some_and(|expected| expected != engine.id) {
        return write_answer(writer, 421, &[echo, ("x-not-executed", "1")], b"");
    }
    {
        let mut busy = engine.busy.lock().expect("no holder panicked");
        while *busy >= engine.slots {
            busy = engine.freed.wait(busy).expect("no holder panicked");
        }
        *busy += 1;
    }
    let is_long = engine.long.as_ref().is_some_and(|prefix| request.target.starts_with(prefix));
    if !engine.is_quiet || is_long {
        say(&format!("BEGIN {attempt} {} {}", request.method, request.target));
    }
    let signature = format!("{}.{attempt}", engine.id);
    let signed = ("x-engine-signature", signature.as_str());
    let written = if engine.fails_now(request) {
        write_answer(writer, 500, &[echo, signed], b"failed")
    } else if engine.events == 0 {
        std::thread::sleep(engine.work);
        write_answer(writer, 200, &[echo, signed], format!("answer to {attempt}").as_bytes())
    } else {
        stream_events(engine, writer, &[echo, signed], is_long)
    };
    if !engine.is_quiet || is_long {
        let end = if written.is_ok() { "END" } else { "CUT" };
        say(&format!("{end} {attempt}"));
    }
    *engine.busy.lock().expect("no holder panicked") -= 1;
    engine.freed.notify_one();
    written
}

impl Engine {
    /// Returns whether the engine fails this request.
    fn fails_now(&self, request: &Message) -> bool {
        let is_bad = self.fails.as_ref().is_some_and(|prefix| request.target.starts_with(prefix))
            && *self.busy.lock().expect("no holder panicked") > self.bears as usize;
        is_bad && self.seen.fetch_add(1, Ordering::Relaxed) % self.each == self.each - 1
    }
}

fn stream_events(
    engine: &Engine,
    writer: &mut TcpStream,
    headers: &[(&str, &str)],
    is_long: bool,
) -> std::io::Result<()> {
    let mut head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\
                    content-type: text/event-stream\r\n"
        .to_owned();
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    writer.write_all(format!("{head}\r\n").as_bytes())?;
    let time = if is_long { LONG_STREAM } else { engine.work };
    let pause = time / engine.events as u32;
    for event in 1..=engine.events {
        std::thread::sleep(pause);
        let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(48));
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}
