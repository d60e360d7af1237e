//! Pure rules: state, event and time in, actions out.
//!
//! Nothing here does I/O, reads a clock, knows an encoding or depends on the async runtime, so
//! that every rule can be tested by table and another front end can use the same code.

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
pub mod configuration_gate;
pub mod contacts;
pub mod direct;
pub mod dispatch;
pub mod fair_queue;
pub mod isolation;
pub mod lease;
pub mod membership;
pub mod placement;
pub mod quarantine;
pub mod rendezvous;
pub mod retry;
pub mod version_move;
