//! Decisions about duties that one router performs for the whole fleet.
//!
//! A lease row in the store names the holder. Its fencing number goes with every call, and the holder
//! tells the other routers of it in its reports, so that they neither ask the store nor compete while
//! it works.

mod continuity;
mod fleet_clock;
mod holder_watch;
mod usage_ledger;
mod usage_record;

pub use continuity::ClockContinuity;
pub use fleet_clock::FleetClock;
pub use holder_watch::{DutyStatus, HolderWatch};
pub use usage_ledger::{ClosedWindow, UsageLedger, UsageReport, WindowSchedule};
pub use usage_record::UsageRecord;
