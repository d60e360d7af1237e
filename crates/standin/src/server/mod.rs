//! Components that all stand-ins share: the state thread and the HTTP listener.

mod answer;
mod listener;
mod state_thread;

pub use answer::{JsonAnswer, close_connection, json_answer, read_json, read_query, request_team};
pub use listener::{ConnectionGate, HttpListener};
pub use state_thread::{StateHandle, StateThread};
