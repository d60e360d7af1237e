//! Life cycle of a call on the direct path: [`UnsentCall`] → [`SentCall`] → [`UnsentCall`] when
//! the upstream declined it, [`RunCall`] when it may have run.
//!
//! Only an [`UnsentCall`] can be refused as not run, and only a [`RunCall`] of a route that allows
//! it becomes sendable again, so an untrue refusal or a second run does not compile.

use crate::routing::RouteEntry;

/// A call that no upstream has run.
#[derive(Debug, Default)]
pub struct UnsentCall {
    runs: u32,
}

/// A call that an upstream was given.
#[derive(Debug)]
pub struct SentCall {
    runs: u32,
}

/// A call that an upstream may have run.
#[derive(Debug)]
pub struct RunCall {
    runs: u32,
}

/// Proof that a refusal may say that the call has not run.
#[derive(Debug)]
pub struct NotRunProof(());

impl UnsentCall {
    /// Hands the call to an upstream.
    pub fn send(self) -> SentCall {
        SentCall { runs: self.runs }
    }

    /// Gives the call up before any upstream ran it.
    pub fn refuse(self) -> Result<NotRunProof, RunCall> {
        if self.runs == 0 { Ok(NotRunProof(())) } else { Err(RunCall { runs: self.runs }) }
    }
}

impl SentCall {
    /// The upstream stated that it did not run the call, or nothing was written to it.
    pub fn declined(self) -> UnsentCall {
        UnsentCall { runs: self.runs }
    }

    /// The upstream answered, or its connection ended.
    pub fn run(self) -> RunCall {
        RunCall { runs: self.runs + 1 }
    }
}

impl RunCall {
    /// Makes the call sendable again where its route allows another run.
    pub fn repeat(self, route: &RouteEntry) -> Result<UnsentCall, Self> {
        if route.may_retry() && self.runs < route.attempts {
            Ok(UnsentCall { runs: self.runs })
        } else {
            Err(self)
        }
    }
}
