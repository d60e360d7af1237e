//! Decision logic without side effects: state machines that take events and the time as arguments
//! and return actions.
//!
//! Nothing here performs I/O, reads a clock, encodes messages or depends on the async runtime, so
//! that all decisions can be tested with tables and used by another front end.

pub mod account_exchange;
pub mod account_links;
pub mod account_tree;
pub mod accounts;
pub mod admission;
pub mod agent_queue;
pub mod burn_rate;
pub mod claim;
pub mod claim_cancel;
pub mod claim_limiter;
pub mod claim_outcome;
pub mod configuration_tracker;
pub mod contacts;
pub mod direct;
pub mod dispatch;
pub mod duty;
pub mod fair_queue;
pub mod isolation;
pub mod lease;
pub mod membership;
pub mod placement;
pub mod quarantine;
pub mod rendezvous;
pub mod retry;
pub mod version_move;
