//! Upstreams behind an agent whose answers end before their end, or have a status that ends no call.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use godwitcrank_standin::fleet::{FleetCall, FleetPlan, RoutePlan, RunningFleet};
use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::support::extra_upstream::{ExtraAgent, UpstreamPlan};
use super::support::{plan, start_fleet, try_fetch};

/// Size of the receive buffer of the upstream, in bytes: small, so that most of an upload waits at
/// the sender.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// Size of an upload in bytes.
const UPLOAD_BYTES: usize = 200_000;

/// Time between the end of the upstream's side and the reset of the connection.
const RESET_DELAY: Duration = Duration::from_millis(60);

/// Time within which the upstream gets its first call.
const START_LIMIT: Duration = Duration::from_secs(10);

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nonly a part";
const WHOLE: &str = "HTTP/1.1 200 OK\r\n\r\nthe whole answer";

/// How the upstream answers a call.
#[derive(Clone, Copy, Debug)]
enum RawAnswer {
    /// After the head, then ends its side of the connection and resets it.
    Early(&'static str),
    /// After the whole call, then closes the connection.
    Late(&'static str),
}

/// Answers of the calls to come; the last one is repeated.
type RawAnswers = Arc<Mutex<VecDeque<RawAnswer>>>;

/// A plain service that answers with bytes; it has no health report.
struct RawUpstream {
    address: SocketAddr,
    answers: RawAnswers,
    calls: Arc<AtomicUsize>,
}

impl RawUpstream {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket is free");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the size is valid");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        let listener = socket.listen(64).expect("the socket is bound");
        let address = listener.local_addr().expect("the listener is bound");
        let answers = RawAnswers::default();
        let calls = Arc::new(AtomicUsize::new(0));
        let (script, count) = (Arc::clone(&answers), Arc::clone(&calls));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_call(stream, Arc::clone(&script), Arc::clone(&count)));
            }
        });
        Self { address, answers, calls }
    }

    fn set_answers(&self, answers: &[RawAnswer]) {
        *self.answers.lock().expect("no holder panicked") = answers.iter().copied().collect();
    }
}

async fn answer_call(
    mut stream: TcpStream,
    answers: RawAnswers,
    calls: Arc<AtomicUsize>,
) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    if head.starts_with("GET /health") {
        let none = "HTTP/1.1 404 None\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        return stream.write_all(none.as_bytes()).await.ok();
    }
    calls.fetch_add(1, Ordering::Relaxed);
    match next_answer(&answers)? {
        RawAnswer::Early(bytes) => {
            stream.write_all(bytes.as_bytes()).await.ok()?;
            stream.shutdown().await.ok()?;
            tokio::time::sleep(RESET_DELAY).await;
            stream.set_zero_linger().ok()
        }
        RawAnswer::Late(bytes) => {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let mut body = vec![0; length?.parse().ok()?];
            stream.read_exact(&mut body).await.ok()?;
            stream.write_all(bytes.as_bytes()).await.ok()
        }
    }
}

fn next_answer(answers: &RawAnswers) -> Option<RawAnswer> {
    let mut answers = answers.lock().expect("no holder panicked");
    if answers.len() > 1 { answers.pop_front() } else { answers.front().copied() }
}

/// A fleet whose plain service has one upstream, with a route of each kind.
struct RawFleet {
    fleet: RunningFleet,
    upstream: RawUpstream,
    _agent: ExtraAgent,
}

impl RawFleet {
    async fn start(name: &str) -> Self {
        let repeatable = RoutePlan {
            service: "booking".to_owned(),
            prefix: "/read".to_owned(),
            repeatable: true,
        };
        let plan = FleetPlan { plain_services: 0, routes: vec![repeatable], ..plan(name) };
        let fleet = start_fleet(plan).await;
        let upstream = RawUpstream::start().await;
        let plan =
            UpstreamPlan { upstream: "raw", service: "booking", version: "1", listed_version: "1" };
        let agent = ExtraAgent::start(&fleet, &plan, upstream.address).await;
        Self { fleet, upstream, _agent: agent }
    }

    /// Sends a call until it has reached the upstream; returns its status and body, or nothing if
    /// it broke off.
    async fn send(&self, path: &str, answers: &[RawAnswer]) -> Option<(u16, String)> {
        self.upstream.set_answers(answers);
        let before = self.upstream.calls.load(Ordering::Relaxed);
        let sending = async {
            loop {
                let key = rand::random::<u64>().to_string();
                let call = FleetCall::plain("team-1", Method::POST, path).key(&key);
                let call = call.body(vec![b'u'; UPLOAD_BYTES]);
                let answer = try_fetch(&self.fleet, "router-1", &call).await;
                if self.upstream.calls.load(Ordering::Relaxed) > before {
                    return answer.ok();
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let answer = tokio::time::timeout(START_LIMIT, sending).await.expect("it gets the call")?;
        Some((answer.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned()))
    }
}

/// Path of a route whose calls may run once.
const ONCE: &str = "/charge";

/// Path of a route whose calls may be repeated.
const REPEATABLE: &str = "/read";

/// Guards against a part of an answer without length being taken for the whole one when its
/// connection is reset while a call that may run once is still being written.
#[gtest]
#[tokio::test]
async fn early_unframed_answer_once_is_no_success() {
    let fleet = RawFleet::start("early_unframed_once").await;
    for _ in 0..3 {
        let answer = fleet.send(ONCE, &[RawAnswer::Early(UNFRAMED)]).await;
        let is_success = answer.as_ref().is_some_and(|(status, _)| *status < 500);
        expect_that!(is_success, eq(false), "{answer:?}");
    }
}

/// Guards against the same with a call that may be repeated, whose answer may break off but not end
/// with the part.
#[gtest]
#[tokio::test]
async fn early_unframed_answer_repeatable_is_no_success() {
    let fleet = RawFleet::start("early_unframed_repeatable").await;
    for _ in 0..3 {
        let answers = [RawAnswer::Early(UNFRAMED), RawAnswer::Late(WHOLE)];
        if let Some((status, body)) = fleet.send(REPEATABLE, &answers).await {
            let is_part = status == 200 && body != "the whole answer";
            expect_that!(is_part, eq(false), "{status} {body}");
        }
    }
}

/// Guards against an answer without length being taken for broken although its connection was
/// closed in order.
#[gtest]
#[tokio::test]
async fn unframed_answer_closed_in_order_is_whole() {
    let fleet = RawFleet::start("unframed_answer_closed").await;
    for path in [ONCE, REPEATABLE] {
        let answer = fleet.send(path, &[RawAnswer::Late(WHOLE)]).await;
        expect_that!(answer, some(eq(&(200, "the whole answer".to_owned()))), "{path}");
    }
}

/// Answers with a status that ends no call.
const ODD_ANSWERS: [&str; 5] = [
    "HTTP/1.1 000 Odd\r\ncontent-length: 4\r\n\r\ndone",
    "HTTP/1.1 101 Odd\r\ncontent-length: 4\r\n\r\ndone",
    "HTTP/1.1 600 Odd\r\ncontent-length: 4\r\n\r\ndone",
    "HTTP/1.1 999 Odd\r\ncontent-length: 4\r\n\r\ndone",
    "HTTP/1.1 2x0 Odd\r\ncontent-length: 4\r\n\r\ndone",
];

/// Guards against an answer with a status that ends no call reaching a caller.
#[gtest]
#[tokio::test]
async fn odd_status_once_is_no_answer() {
    let fleet = RawFleet::start("odd_status_once").await;
    for answer in ODD_ANSWERS {
        let received = fleet.send(ONCE, &[RawAnswer::Late(answer)]).await;
        let status = received.as_ref().map(|(status, _)| *status);
        expect_that!(status, some(eq(502)), "{answer}: {received:?}");
    }
}

/// Guards against the same with a call that may be repeated, which the next answer completes.
#[gtest]
#[tokio::test]
async fn odd_status_repeatable_is_repeated() {
    let fleet = RawFleet::start("odd_status_repeatable").await;
    for answer in ODD_ANSWERS {
        let answers = [RawAnswer::Late(answer), RawAnswer::Late(WHOLE)];
        let received = fleet.send(REPEATABLE, &answers).await;
        let expected = (200, "the whole answer".to_owned());
        expect_that!(received, some(eq(&expected)), "{answer}");
    }
}

/// Sends a call of HTTP/1.0, to whose caller only a length or the end of the connection marks the
/// end of an answer; returns all bytes up to the end of the connection.
async fn send_old_call(fleet: &RunningFleet) -> String {
    let router = fleet.caller_address("router-1").expect("it runs");
    let mut caller = TcpStream::connect(router).await.expect("it listens");
    let key = rand::random::<u64>();
    let call = format!(
        "POST /booking{ONCE} HTTP/1.0\r\nhost: {router}\r\nauthorization: Bearer key-team-1\r\n\
         idempotency-key: {key}\r\ncontent-length: 4\r\n\r\ncall"
    );
    caller.write_all(call.as_bytes()).await.expect("it is read");
    let mut answer = Vec::new();
    // A reset also tells the caller that the answer is not whole.
    match caller.read_to_end(&mut answer).await {
        Ok(_) => String::from_utf8(answer).expect("it is text"),
        Err(error) => error.to_string(),
    }
}

/// Guards against a part of an answer being taken for the whole one by a caller to whom the end of
/// the connection is the end of the answer.
#[gtest]
#[tokio::test]
async fn old_caller_broken_answer_is_no_success() {
    const PART: &str = "HTTP/1.1 200 OK\r\ncontent-length: 44\r\n\r\nonly a part";
    let fleet = RawFleet::start("old_caller").await;
    // The router knows the upstream once it has answered.
    fleet.send(ONCE, &[RawAnswer::Late(WHOLE)]).await;
    fleet.upstream.set_answers(&[RawAnswer::Late(PART)]);
    let answer = send_old_call(&fleet.fleet).await;
    let is_success = answer.starts_with("HTTP/1.0 200");
    expect_that!(is_success, eq(false), "{answer}");
    fleet.upstream.set_answers(&[RawAnswer::Late(WHOLE)]);
    let answer = send_old_call(&fleet.fleet).await;
    expect_that!(answer, starts_with("HTTP/1.0 200"));
    expect_that!(answer, ends_with("\r\n\r\nthe whole answer"));
}
