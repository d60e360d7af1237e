//! Load generators: closed-loop callers, which wait for each answer, and open-loop calls, which
//! are sent at a fixed rate.

mod closed_loop;
mod open_loop;
mod report;

use std::sync::Arc;

pub use closed_loop::ClosedLoad;
pub use open_loop::{CallTarget, OpenLoad};
pub use report::{CallOutcome, LoadReport};

use crate::fleet::CheckedCall;

/// Function that creates the call with a given number; each number is used once.
pub type CallSource = Arc<dyn Fn(u64) -> CheckedCall + Send + Sync>;
