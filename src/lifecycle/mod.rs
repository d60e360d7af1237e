//! Life cycles in the typestate pattern: a transition consumes one state and returns the next, so
//! that a transition that is repeated or out of order does not compile.

pub mod call;
pub mod daemon;
pub mod request;
pub mod upstream;
pub mod version_move;
