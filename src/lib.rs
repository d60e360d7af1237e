//! godwitcrank: a router fleet for teams that share capacity fairly.
//!
//! The daemons `godwitcrank-router` and `godwitcrank-agent` and the command line are thin: they
//! read settings and start a supervisor tree of this library. `docs/design.md` describes the parts
//! and the state that each of them owns.

pub mod admin;
pub mod agent;
mod answer_checks;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod decision;
pub mod event_log;
pub mod exchange;
pub mod findings;
pub mod fleet;
pub mod gateway;
pub mod headers;
pub mod ids;
pub mod in_flight;
pub mod jobs;
pub mod lease;
pub mod lifecycle;
pub mod logging;
pub mod metrics;
pub mod protocol;
pub mod report;
pub mod router;
pub mod routing;
pub mod server;
pub mod settings;
pub mod store;
pub mod supervisor;
