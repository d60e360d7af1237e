//! Reads the bodies of calls within the limits on size, time and memory.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::request;
use hyper::body::{Body, Frame, Incoming};
use tokio::sync::OwnedSemaphorePermit;

use super::GatewayContext;
use super::adapter::{GatewayAdapter, GatewayRefusal};
use super::admit::{NOT_READY_RETRY, RefusedCall};
use super::body_memory::BodyMemory;
use super::connection_meter::{BodyOverdue, ConnectionMeter, ReceivedPart};
use super::received_body::ReceivedBody;
use crate::decision::direct::RefusalCause;
use crate::routing::CallerLimits;

/// Maximum number of bytes of a refused call's body that are read and dropped before it is
/// answered. A caller that sends more may get a connection reset in place of the refusal.
const MAX_DROPPED_BYTES: usize = 8 << 20;

type FrameResult = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Reads the body of a call.
pub(super) struct BodyReader<'a, A: GatewayAdapter> {
    pub(super) context: &'a GatewayContext<A>,
    pub(super) meter: &'a ConnectionMeter,
    pub(super) limits: CallerLimits,
}

impl<A: GatewayAdapter> BodyReader<'_, A> {
    /// Reads the whole body of a call that has to be answered by `deadline`.
    pub(super) async fn read(
        &self,
        head: &request::Parts,
        mut body: Incoming,
        deadline: Instant,
    ) -> Result<(Bytes, OwnedSemaphorePermit), RefusedCall> {
        let limit = self.limits.body_bytes;
        let declared_bytes = declared_length(head);
        if declared_bytes.is_some_and(|length| length > limit) {
            return Err(self.refuse(body, GatewayRefusal::BodyTooLarge { limit }).await);
        }
        let Some(mut memory) = BodyMemory::reserve(self.context, declared_bytes).await else {
            return Err(self.refuse(body, no_memory()).await);
        };
        let is_empty = body.is_end_stream();
        let mut received = ReceivedBody::new(declared_bytes);
        loop {
            let part =
                ReceivedPart { received_bytes: received.len(), held_bytes: memory.held_bytes() };
            let frame = match self.next_frame(&mut body, part, deadline).await {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(BodyOverdue) => {
                    let refusal = GatewayRefusal::BodyTimedOut;
                    return Err(RefusedCall { refusal, is_read: false });
                }
            };
            let Ok(frame) = frame else {
                let problem = "the body ended early".to_owned();
                return Err(GatewayRefusal::BadHead { problem }.into());
            };
            let Ok(data) = frame.into_data() else { continue };
            let length = received.len() + data.len();
            if length > limit {
                drop((received, memory));
                return Err(self.refuse(body, GatewayRefusal::BodyTooLarge { limit }).await);
            }
            if !memory.cover(self.context, length).await {
                drop((received, memory));
                return Err(self.refuse(body, no_memory()).await);
            }
            received.push(data);
        }
        if !is_empty {
            self.meter.record_running(Instant::now());
        }
        Ok((received.into_bytes(), memory.close()))
    }

    /// Reads and drops the body of a refused call, so that the caller receives the refusal and not
    /// a connection reset.
    pub(super) async fn refuse(&self, mut body: Incoming, refusal: GatewayRefusal) -> RefusedCall {
        if body.is_end_stream() {
            return refusal.into();
        }
        let deadline = Instant::now() + self.limits.idle_time;
        let mut dropped_bytes = 0;
        while dropped_bytes < MAX_DROPPED_BYTES {
            let part = ReceivedPart { received_bytes: 0, held_bytes: 0 };
            match self.next_frame(&mut body, part, deadline).await {
                Ok(None) => return refusal.into(),
                Ok(Some(Ok(frame))) => dropped_bytes += frame.data_ref().map_or(0, Bytes::len),
                Ok(Some(Err(_))) | Err(BodyOverdue) => break,
            }
        }
        RefusedCall { refusal, is_read: false }
    }

    /// Waits for a frame of the body, of which a part has arrived, until the deadline or until
    /// nothing has arrived for the longest idle time.
    async fn next_frame(
        &self,
        body: &mut Incoming,
        part: ReceivedPart,
        deadline: Instant,
    ) -> Result<FrameResult, BodyOverdue> {
        poll_fn(|context| match Pin::new(&mut *body).poll_frame(context) {
            Poll::Ready(frame) => Poll::Ready(Ok(frame)),
            Poll::Pending => {
                let now = Instant::now();
                let deadline = deadline.min(now + self.limits.idle_time);
                self.meter.poll_receiving(context, part, deadline, now).map(Err)
            }
        })
        .await
    }
}

fn no_memory() -> GatewayRefusal {
    GatewayRefusal::NotRun { cause: RefusalCause::NoCapacity, retry_after: NOT_READY_RETRY }
}

fn declared_length(head: &request::Parts) -> Option<usize> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
