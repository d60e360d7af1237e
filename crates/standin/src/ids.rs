//! Type aliases for identifiers.

use std::sync::Arc;

/// Key of a row in the table service.
pub type RowKey = Arc<str>;

/// Store-wide commit number of a row's last write; 0 means that the row is absent.
pub type RowVersion = u64;

/// Id of a VM in the VM list.
pub type VmId = Arc<str>;

/// Name of a router or an agent.
pub type NodeName = Arc<str>;

/// Name of a stored object.
pub type ObjectName = Arc<str>;

/// Id that a client chose for a stream of a model engine.
pub type StreamId = Arc<str>;

/// Number that a model engine gives to each admitted stream.
pub type StreamNumber = u64;

/// Id of one start of an upstream; it changes with every restart.
pub type BootId = u64;

/// Version of a service's software or model.
pub type VersionId = Arc<str>;

/// Number of a lease, which orders to an engine contain.
pub type FencingNumber = u64;

/// Number of an execution at a plain service, counted from 1.
pub type ExecutionNumber = u64;

/// Name of a team, as in the request header.
pub type TeamName = Arc<str>;

/// Value of the header `Idempotency-Key`.
pub type IdempotencyKey = Arc<str>;

/// Name of a link of the fault proxy.
pub type LinkName = Arc<str>;

/// Number of a connection of a link, counted from 0.
pub type ConnectionNumber = u64;
