//! What a router saw of one request.

use std::time::Duration;

use super::gaps::TokenGaps;
use crate::ids::{RouteId, ServiceId, TeamId};

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AnswerOutcome {
    /// The whole answer was passed on, and its status is below 500.
    #[display("answered")]
    Answered,
    /// The whole answer was passed on, and its status is 500 or above.
    #[display("upstream-error")]
    UpstreamError,
    /// The answer was cut off.
    #[display("cut-off")]
    CutOff,
    /// The router refused the request with a status of 500 or above.
    #[display("refused")]
    Refused,
    /// The router refused the request with a status below 500: the caller must change something.
    #[display("rejected")]
    Rejected,
    /// The caller left before the end of the answer.
    #[display("caller-left")]
    CallerLeft,
}

impl AnswerOutcome {
    /// Whether the outcome counts for the answered share, and as what.
    ///
    /// Requests that the caller must change, that exceed the team's own queue, or that their caller
    /// gave up say nothing about the service.
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
    /// Team.
    pub team: TeamId,
    /// Service.
    pub service: ServiceId,
    /// Route; empty when no route is declared for the path.
    pub route: RouteId,
    /// How it ended.
    pub outcome: AnswerOutcome,
    /// Time from arrival to the first body byte; `None` when there was none.
    pub first_token: Option<Duration>,
    /// Time from arrival to the end.
    pub total: Duration,
    /// Times between tokens; empty for answers that are not event streams.
    pub gaps: TokenGaps,
}
