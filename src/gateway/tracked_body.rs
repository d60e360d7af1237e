//! Response body that counts its call as in progress until it is sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::relay::{AnswerBody, RelayError};
use crate::in_flight::InFlightGuard;

/// Response body with the in-flight guard of its call.
pub struct TrackedBody {
    body: AnswerBody,
    _work: InFlightGuard,
}

impl TrackedBody {
    /// Combines a body with the guard of its call.
    pub fn new(body: AnswerBody, work: InFlightGuard) -> Self {
        Self { body, _work: work }
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
