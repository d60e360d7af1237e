//! Life cycle of a call on the direct path: [`UnsentCall`] → [`SentCall`] → [`UnsentCall`] if the
//! upstream declined it, or [`ExecutedCall`] if it may have run.
//!
//! Only an [`UnsentCall`] can be refused as not run, and an [`ExecutedCall`] can only be sent again
//! if its route allows it. A false refusal or an unintended second run therefore does not compile.

use crate::routing::RouteEntry;

/// A call that is not at an upstream.
#[derive(Debug, Default)]
pub struct UnsentCall {
    runs: u32,
}

/// A call that was sent to an upstream.
#[derive(Debug)]
pub struct SentCall {
    runs: u32,
}

/// A call that an upstream may have run.
#[derive(Debug)]
pub struct ExecutedCall {
    runs: u32,
}

/// Proof that a refusal may say that the call has not run.
#[derive(Debug)]
pub struct NotRunProof(());

impl UnsentCall {
    /// Sends the call to an upstream.
    pub fn send(self) -> SentCall {
        SentCall { runs: self.runs }
    }

    /// Refuses the call as not run, if no upstream has run it before.
    pub fn refuse(self) -> Result<NotRunProof, ExecutedCall> {
        if self.runs == 0 { Ok(NotRunProof(())) } else { Err(ExecutedCall { runs: self.runs }) }
    }
}

impl SentCall {
    /// Records that the upstream has reported not to have run the call, or that no byte of the call
    /// was written to it.
    pub fn declined(self) -> UnsentCall {
        UnsentCall { runs: self.runs }
    }

    /// Records that the upstream has answered, or that its connection has ended.
    pub fn executed(self) -> ExecutedCall {
        ExecutedCall { runs: self.runs + 1 }
    }
}

impl ExecutedCall {
    /// Allows the call to be sent again, if its route allows another run.
    pub fn repeat(self, route: &RouteEntry) -> Result<UnsentCall, Self> {
        if route.may_retry() && self.runs < route.attempts {
            Ok(UnsentCall { runs: self.runs })
        } else {
            Err(self)
        }
    }
}
