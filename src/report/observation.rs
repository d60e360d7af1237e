//! Observations of ended requests, from which the objectives are computed.

use std::time::Duration;

use super::gaps::TokenGaps;
use crate::ids::{RouteId, ServiceId, TeamId};

/// Outcome of a request from its caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AnswerOutcome {
    /// The complete answer was forwarded, with a status below 500.
    #[display("answered")]
    Answered,
    /// The complete answer was forwarded, with a status of 500 or above.
    #[display("upstream-error")]
    UpstreamError,
    /// The answer was cut off.
    #[display("cut-off")]
    CutOff,
    /// The router refused the request with a status of 500 or above.
    #[display("refused")]
    Refused,
    /// The router refused the request with a status below 500, for a reason on the caller's side.
    #[display("rejected")]
    Rejected,
    /// The caller closed the connection before the end of the answer.
    #[display("caller-left")]
    CallerLeft,
}

impl AnswerOutcome {
    /// Returns whether the outcome counts as answered in the answered share; `None` if it is not
    /// counted.
    ///
    /// Not counted are requests that the caller must change, that exceed the team's queue or that
    /// their caller abandoned, since they say nothing about the service.
    pub fn counts_as_answered(self) -> Option<bool> {
        match self {
            Self::Answered => Some(true),
            Self::UpstreamError | Self::CutOff | Self::Refused => Some(false),
            Self::Rejected | Self::CallerLeft => None,
        }
    }
}

/// Observation of one ended request.
#[derive(Clone, Debug)]
pub struct ServiceObservation {
    /// Team of the request.
    pub team: TeamId,
    /// Service of the request.
    pub service: ServiceId,
    /// Route; empty if no route is declared for the path.
    pub route: RouteId,
    /// Outcome of the request.
    pub outcome: AnswerOutcome,
    /// Time from arrival to the first body byte of the answer; `None` if there was none.
    pub first_token: Option<Duration>,
    /// Time from arrival to the end of the request.
    pub total: Duration,
    /// Times between tokens; empty for answers that are not event streams.
    pub gaps: TokenGaps,
}
