//! Malformed, oversized and truncated input, which must cause clear errors and never a panic.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use godwitcrank::agent::EventScanner;
use godwitcrank::protocol::{
    AnswerAcknowledgement, AnswerEvent, AnswerFrame, AnswerReader, CancelRequest, FetchReply,
    FetchRequest, OfferBatch, OfferReply, SuspectNotice, decode_message, encode_frame,
    encode_message,
};
use godwitcrank::store::decode_claim;
use godwitcrank_standin::engine::completion_events;
use godwitcrank_standin::fleet::{FleetCall, FleetPlan};
use googletest::prelude::*;
use http::Method;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::support::{fetch, plan, start_fleet};

fn frame(request: u128, data: &[u8]) -> AnswerFrame {
    AnswerFrame { request, offset: 0, event: AnswerEvent::Data(Bytes::copy_from_slice(data)) }
}

/// Decodes the bytes as every message type; any result will do, as long as nothing panics.
fn decode_all(bytes: &[u8]) {
    let _ = decode_message::<OfferBatch>(bytes);
    let _ = decode_message::<OfferReply>(bytes);
    let _ = decode_message::<FetchRequest>(bytes);
    let _ = decode_message::<FetchReply>(bytes);
    let _ = decode_message::<AnswerFrame>(bytes);
    let _ = decode_message::<AnswerAcknowledgement>(bytes);
    let _ = decode_message::<CancelRequest>(bytes);
    let _ = decode_message::<SuspectNotice>(bytes);
}

fn read_frames(request: u128, bytes: Vec<u8>) -> (Vec<AnswerFrame>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let chunks: Vec<_> = bytes.chunks(7).map(|chunk| Ok(Bytes::copy_from_slice(chunk))).collect();
    runtime.block_on(async move {
        let mut reader = AnswerReader::from_stream(address, request, stream::iter(chunks));
        let mut frames = Vec::new();
        loop {
            match reader.next_frame().await {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => return (frames, true),
                Err(_) => return (frames, false),
            }
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2048))]

    /// Guards against a decoder that panics on random bytes.
    #[test]
    fn decode_message_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    /// Guards against a decoder that panics on a message with a changed byte or a missing end.
    #[test]
    fn decode_message_damaged(at in 0_usize..200, value: u8, length in 0_usize..200) {
        let fetch = FetchRequest { request: 7, attempt: 8, agent: "a".into(), incarnation: 9 };
        for message in [encode_message(&fetch), encode_message(&frame(7, b"data"))] {
            let mut bytes = message.expect("encodable").to_vec();
            let index = at % bytes.len();
            bytes[index] = value;
            decode_all(&bytes);
            bytes.truncate(length);
            decode_all(&bytes);
        }
    }

    /// Guards against accepting a truncated answer stream as complete, and against delivering a
    /// frame of another request.
    #[test]
    fn next_frame_truncated_or_crossed(count in 1_usize..5, cut in 1_usize..40, crossed: bool) {
        let mut bytes = Vec::new();
        for _ in 0..count {
            bytes.extend_from_slice(&encode_frame(&frame(7, b"some data")).expect("encodable"));
        }
        let whole = bytes.len();
        bytes.truncate(whole - cut.min(whole - 1) % (whole / count));
        let reader_of = if crossed { 8 } else { 7 };
        let truncated = bytes.len() < whole;
        let (frames, regular) = read_frames(reader_of, bytes);
        if crossed {
            prop_assert!(frames.is_empty() && !regular);
        } else {
            prop_assert_eq!(frames.len(), count - usize::from(truncated));
            prop_assert_eq!(regular, !truncated);
        }
    }

    /// Guards against events that depend on how the bytes are split, and against passing on a part
    /// of an event.
    #[test]
    fn push_any_chunks(prompt in "[a-z]{1,20}", sizes in prop::collection::vec(1_usize..60, 1..60)) {
        let text = completion_events(&prompt, 32);
        let mut scanner = EventScanner::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        let mut sizes = sizes.into_iter().cycle();
        while !rest.is_empty() {
            let (chunk, tail) = rest.split_at(sizes.next().unwrap_or(1).min(rest.len()));
            passed.extend_from_slice(&scanner.push(chunk).expect("the events are short"));
            prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
            rest = tail;
        }
        prop_assert_eq!(passed, text.as_bytes());
        prop_assert!(scanner.is_finished());
    }

    /// Guards against accepting a claim row of unknown format.
    #[test]
    fn decode_claim_random_fields(digest in "[0-9a-fx]{0,70}", kind in "[a-z-]{0,16}", at: u64) {
        let state = serde_json::json!({ "kind": kind, "attempt": digest, "holder": "a" });
        let row = serde_json::json!({
            "digest": digest, "changed-at-ms": at % (1 << 50), "cancelled": [digest], "state": state,
        });
        let known = ["free", "held", "outcome-unknown"].contains(&kind.as_str());
        let valid = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        prop_assert!(decode_claim(row).is_err() || (known && valid));
    }
}

/// Sends bytes and reads the answer to its end. `truncate` closes the sending side, as a caller
/// that dies does.
async fn send_raw(address: SocketAddr, bytes: &[u8], truncate: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("a write");
    if truncate {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the router neither answers nor closes");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a router or agent that panics, hangs or stops serving after input that is invalid
/// HTTP, no message, too large or truncated.
#[gtest]
#[tokio::test]
async fn serve_after_malformed_input() {
    let fleet = start_fleet(FleetPlan { engines: 0, ..plan("serve_after_malformed_input") }).await;
    let caller = fleet.caller_address("router-1").expect("a router");
    let auth = "Host: x\r\nAuthorization: Bearer key-team-1\r\n";
    let cases = [
        ("\0\x01\x02garbage\r\n\r\n".to_owned(), "400"),
        ("GET\r\n\r\n".to_owned(), "400"),
        (format!("GET /booking/{} HTTP/1.1\r\n{auth}\r\n", "x".repeat(1 << 20)), ""),
        ("GET /booking/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned(), "401"),
        (format!("GET /nowhere HTTP/1.1\r\n{auth}Connection: close\r\n\r\n"), "404"),
        (format!("POST /booking/x HTTP/1.1\r\n{auth}Content-Length: 10\r\n\r\nabc"), ""),
        (format!("POST /booking/x HTTP/1.1\r\n{auth}Transfer-Encoding: chunked\r\n\r\nzz\r\n"), ""),
        (
            format!(
                "POST /booking/x HTTP/1.1\r\n{auth}Connection: close\r\nIdempotency-Key: {}\r\n\r\n",
                "k".repeat(201)
            ),
            "400",
        ),
    ];
    for (bytes, status) in &cases {
        let answer = send_raw(caller, bytes.as_bytes(), status.is_empty()).await;
        let shown: String = bytes.chars().take(60).collect();
        expect_that!(answer, contains_substring(*status), "{shown:?}");
    }
    let large = FleetCall::plain("team-1", Method::POST, "/x").body(vec![0; (1 << 20) + 1]);
    let answer = fetch(&fleet, "router-1", &large).await;
    expect_that!(answer.status.as_u16(), eq(413));
    expect_that!(answer.headers["godwitcrank-was-run"], eq("no"));
    for node in fleet.nodes() {
        let address = node.ready_address().expect("an address");
        for path in ["/peer/offer", "/peer/fetch", "/peer/answer", "/peer/suspects"] {
            let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
            let garbage = format!("{head}Content-Length: 4\r\n\r\n\u{1}\u{2}\u{3}\u{4}");
            let answer = send_raw(address, garbage.as_bytes(), false).await;
            expect_that!(answer, starts_with("HTTP/1.1 4"), "{path} at {}", node.name);
        }
    }
    let charge = FleetCall::plain("team-1", Method::POST, "/charge").key("after");
    expect_that!(fetch(&fleet, "router-1", &charge).await.status.as_u16(), eq(200));
    for node in ["router-1", "agent-plain-1"] {
        expect_that!(fleet.read_log(node).expect("a log"), not(contains_substring("panicked")));
    }
    fleet.close().await.expect("the fleet ends");
}

/// Guards against an engine that sends an event without end: the agent would keep all of it.
#[gtest]
fn push_event_without_end_fails() {
    const CHUNK: [u8; 16 << 10] = [b'x'; 16 << 10];
    let mut scanner = EventScanner::default();
    let first_error = (0..1_000).position(|_| scanner.push(&CHUNK).is_err());
    expect_that!(first_error, some(le(64)));
}
