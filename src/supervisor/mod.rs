//! Generic supervisor tree: starts children in order, restarts those that fail, and stops all in
//! reverse order.
//!
//! A supervisor runs as a future, so that it can be the child of another supervisor. The folders
//! of this library follow the tree: a folder's `mod.rs` builds a [`SupervisorTree`] whose children
//! are the files beside it.

mod child;
mod control_thread;
mod restart_budget;
mod tree;

pub use child::{ChildSpec, RestartPolicy, StopSignal};
pub use control_thread::{ControlInbox, run_control_thread};
pub use restart_budget::RestartBudget;
pub use tree::{SupervisorError, SupervisorTree};
