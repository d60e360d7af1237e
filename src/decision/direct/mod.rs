//! Rules of the direct path, where a router sends calls straight to upstreams.
//!
//! [`DirectDispatcher`] holds the waiting calls, what every upstream has been given by this router
//! and by its peers, and the shares of the budgets that bind all routers together.

mod call;
mod candidates;
mod capacity;
mod dispatcher;
mod fleet_changes;
mod load;
mod overload;
mod peers;
mod selection;
mod suspects;
mod team_usage;
mod version_trial;
mod waiting;
mod window;

pub use call::{
    ArrivingCall, BudgetCharge, CallGrant, CallOutcome, CallVerdict, PromptPart, PromptShape,
    RefusalCause,
};
pub use capacity::FleetBounds;
pub use dispatcher::{DirectDispatcher, trial_counts};
pub use load::{ColdLimiter, PrefixCache, UpstreamLoad};
pub use overload::{CallLimiter, LoadSample, OverloadDetector};
pub use peers::{LoadChange, PeerLoad, PeerReport, PeerTable, TrialCount};
pub use suspects::SuspectList;
pub use team_usage::{FairLevel, TeamUsage};
pub use version_trial::{MoveVerdict, TrialStage, VersionTrial};
pub use window::{RetryBudget, SlidingCount};
