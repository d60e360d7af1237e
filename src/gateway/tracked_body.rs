//! Response body that counts its call as in progress until it is sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::admit::{CALL_MEMORY_UNITS, MEMORY_UNIT};
use super::buffer_memory::COVERED_BYTES;
use super::connection_meter::MeteredCall;
use super::relay::{AnswerBody, RelayError};
use crate::in_flight::InFlightGuard;

/// Response body with the guards of its call.
pub struct TrackedBody {
    body: AnswerBody,
    _guard: InFlightGuard,
    _call: MeteredCall,
}

impl TrackedBody {
    /// Combines a body with the guards of its call.
    pub(super) fn new(body: AnswerBody, guard: InFlightGuard, call: MeteredCall) -> Self {
        call.meter().record_answer(reserved_bytes(&body));
        Self { body, _guard: guard, _call: call }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns the memory that is reserved for an answer while it is written: for a stream that of its
/// call, else what exceeds the reservation of a call that has ended.
fn reserved_bytes(body: &AnswerBody) -> usize {
    match body.size_hint().exact().map(usize::try_from) {
        Some(Ok(size)) => size.saturating_sub(COVERED_BYTES),
        _ => CALL_MEMORY_UNITS * MEMORY_UNIT,
    }
}
