//! What a link does with its connections.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ConnectionNumber;

/// Mode of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkMode {
    /// Forwards.
    #[default]
    Pass,
    /// Closes connections and refuses new ones.
    Cut,
    /// Keeps connections open and forwards nothing.
    Freeze,
    /// Forwards after a delay.
    Delay,
}

/// Directions that a mode applies to; `cut` always applies to both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirection {
    /// Both directions.
    #[default]
    Both,
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// Body of `PUT /control/links/<name>`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LinkBehaviour {
    /// Mode.
    pub mode: LinkMode,
    /// Directions that the mode applies to.
    pub direction: LinkDirection,
    /// Delay in mode `delay`, in milliseconds.
    pub delay_ms: u64,
    /// Whether the mode applies only to connections that are open now.
    pub existing_only: bool,
}

/// An order with the connections that it applies to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkRules {
    pub(super) order: LinkBehaviour,
    /// First connection that the order does not apply to, if it is limited to existing ones.
    pub(super) limit: Option<ConnectionNumber>,
}

impl LinkRules {
    fn concerns(&self, connection: ConnectionNumber) -> bool {
        self.limit.is_none_or(|limit| connection < limit)
    }

    /// Returns whether a connection must be closed.
    pub(super) fn cuts(&self, connection: ConnectionNumber) -> bool {
        self.order.mode == LinkMode::Cut && self.concerns(connection)
    }

    fn applies(&self, connection: ConnectionNumber, direction: LinkDirection) -> bool {
        let directed = [LinkDirection::Both, direction].contains(&self.order.direction);
        directed && self.concerns(connection)
    }

    /// Returns whether a connection forwards nothing in a direction.
    pub(super) fn freezes(&self, connection: ConnectionNumber, direction: LinkDirection) -> bool {
        self.order.mode == LinkMode::Freeze && self.applies(connection, direction)
    }

    /// Returns by how much a connection delays bytes in a direction.
    pub(super) fn delay(&self, connection: ConnectionNumber, direction: LinkDirection) -> Duration {
        if self.order.mode == LinkMode::Delay && self.applies(connection, direction) {
            Duration::from_millis(self.order.delay_ms)
        } else {
            Duration::ZERO
        }
    }
}
