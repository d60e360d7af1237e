//! A body whose call counts as work in progress until it is sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::relay::{AnswerBody, RelayError};
use crate::in_flight::InFlightGuard;

/// Body of an answer together with its call's count.
pub struct TrackedBody {
    body: AnswerBody,
    _work: InFlightGuard,
}

impl TrackedBody {
    /// Ties a body to the count of its call.
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
