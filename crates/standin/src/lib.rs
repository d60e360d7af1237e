//! Stand-ins for the systems around godwitcrank, and tools that run them for tests and
//! experiments.
//!
//! Each stand-in is a module whose `mod.rs` starts its components: a thread that owns the mutable
//! state, and a listener whose connections run on the caller's runtime. Stand-ins are used as
//! library types or as processes of the binary `godwitcrank-standin`.

pub mod bench;
pub mod capacity;
pub mod client;
pub mod cmd;
pub mod engine;
pub mod error;
pub mod fleet;
pub mod hash;
pub mod ids;
pub mod load;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod server;
