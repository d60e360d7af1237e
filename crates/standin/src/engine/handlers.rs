//! HTTP handlers for completions and streams.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use http::header::{CONTENT_TYPE, HeaderValue};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;
use viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

use super::content::StreamContent;
use super::control;
use super::state::{EngineState, StreamAdmission, StreamRequest};
use super::stream::{AdmittedStream, StreamEnd, StreamProgress};
use crate::error::StateClosed;
use crate::server::{
    JsonAnswer, StateHandle, close_connection, json_answer, read_json, read_query, request_team,
};

pub(super) type EngineHandle = StateHandle<EngineState>;

/// Header with the client's id of a stream.
const STREAM_ID_HEADER: &str = "x-request-id";

/// Builds the routes.
pub(super) fn router(state: EngineHandle) -> Router {
    Router::new()
        .post("/v1/completions", complete)
        .post("/v1/completions/*", complete)
        .get("/v1/streams/:id", resume)
        .delete("/v1/streams/:id", cancel)
        .get("/health", control::health)
        .post("/orders", control::order)
        .put("/control/behaviour", control::set_behaviour)
        .get("/control/counters", control::counters)
        .with(State::new(state))
}

#[derive(Deserialize)]
struct CompletionRequest {
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u64 {
    16
}

#[derive(Deserialize)]
struct ResumeQuery {
    /// Index of the last token that the client received; if absent, all tokens are sent.
    after: Option<u64>,
}

pub(super) fn state_handle(request: &Request) -> Result<EngineHandle> {
    request.state::<EngineHandle>().ok_or_else(|| StateClosed.into())
}

fn text_header<I: From<String>>(headers: &HeaderMap, name: &str) -> Option<I> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned().into())
}

async fn complete(mut request: Request) -> Result<Response> {
    let completion: CompletionRequest = read_json(&mut request).await?;
    let state = state_handle(&request)?;
    let headers = request.headers();
    let streamed = completion.stream;
    let request = StreamRequest {
        path: request.path().to_owned(),
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        id: text_header(headers, STREAM_ID_HEADER),
        team: request_team(headers),
        key: text_header(headers, "idempotency-key"),
    };
    match state.call(move |state| state.admit(&request)).await? {
        StreamAdmission::Run(stream) => run_stream(state, stream, streamed).await,
        StreamAdmission::Fail => {
            Err(JsonAnswer::new(StatusCode::INTERNAL_SERVER_ERROR, "the engine failed").into())
        }
        StreamAdmission::Crash => Ok(close_connection()),
    }
}

async fn run_stream(
    state: EngineHandle,
    stream: AdmittedStream,
    streamed: bool,
) -> Result<Response> {
    let content = stream.content;
    let progress = stream.progress.subscribe();
    tokio::spawn(async move {
        let ended = stream.run().await;
        // An error means that the engine is stopping; there is nothing left to release.
        let _ = state.call(move |state| state.release(&ended)).await;
    });
    if streamed {
        Ok(event_answer(content, progress, 0))
    } else {
        complete_answer(content, progress).await
    }
}

async fn complete_answer(
    content: StreamContent,
    mut progress: watch::Receiver<StreamProgress>,
) -> Result<Response> {
    let ended = progress.wait_for(|progress| progress.end.is_some()).await;
    let end = ended.map_err(|_| StateClosed)?.end;
    if end != Some(StreamEnd::Completed) {
        return Ok(close_connection());
    }
    let answer = json!({
        "text": content.text(),
        "usage": {
            "prompt_tokens": content.prompt_tokens(),
            "completion_tokens": content.completion_tokens(),
        },
    });
    Ok(json_answer(StatusCode::OK, &answer))
}

/// Position of one client in a stream.
struct StreamReader {
    content: StreamContent,
    progress: watch::Receiver<StreamProgress>,
    sent: u64,
    finished: bool,
}

impl StreamReader {
    /// Waits for tokens that were not sent yet, or for the end of the stream, and returns the
    /// events to send.
    async fn next_events(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.finished {
            return None;
        }
        let sent = self.sent;
        let latest = self
            .progress
            .wait_for(|progress| progress.tokens > sent || progress.end.is_some())
            .await
            .map(|progress| *progress);
        let Ok(latest) = latest else {
            self.finished = true;
            return Some(Err(std::io::ErrorKind::ConnectionAborted.into()));
        };
        let mut events = self.content.token_events(self.sent, latest.tokens);
        self.sent = latest.tokens.max(self.sent);
        match latest.end {
            None => {}
            Some(StreamEnd::Completed) => {
                events += &self.content.final_events();
                self.finished = true;
            }
            Some(StreamEnd::Cancelled) => {
                self.finished = true;
                return Some(Err(std::io::ErrorKind::ConnectionAborted.into()));
            }
        }
        Some(Ok(events.into()))
    }
}

fn event_answer(
    content: StreamContent,
    progress: watch::Receiver<StreamProgress>,
    sent: u64,
) -> Response {
    let reader = StreamReader { content, progress, sent, finished: false };
    let events = stream::unfold(reader, |mut reader| async {
        let events = reader.next_events().await?;
        Some((events, reader))
    });
    let mut answer = Response::new(Body::from_stream(events));
    let kind = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

async fn resume(request: Request) -> Result<Response> {
    let id: String = request.param("id").map_err(viz::Error::boxed)?;
    let query: ResumeQuery = read_query(&request)?;
    let found = state_handle(&request)?
        .call(move |state| {
            state.find(&id).map(|stream| (stream.content, Arc::clone(&stream.progress)))
        })
        .await?;
    let Some((content, progress)) = found else {
        return Err(JsonAnswer::new(StatusCode::NOT_FOUND, "no such stream").into());
    };
    let sent = query.after.map_or(0, |after| after.saturating_add(1));
    Ok(event_answer(content, progress.subscribe(), sent.min(content.completion_tokens())))
}

async fn cancel(request: Request) -> Result<Response> {
    let id: String = request.param("id").map_err(viz::Error::boxed)?;
    if state_handle(&request)?.call(move |state| state.cancel(&id)).await? {
        return Ok(json_answer(StatusCode::OK, &json!({})));
    }
    Err(JsonAnswer::new(StatusCode::NOT_FOUND, "no such stream").into())
}
