//! Faults of a link and the connections that they apply to.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ConnectionNumber;

/// Fault mode of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkMode {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Connections are reset, including new ones.
    Cut,
    /// Connections stay open, but nothing is forwarded.
    Freeze,
    /// Bytes are forwarded after a delay.
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
    /// Fault mode.
    pub mode: LinkMode,
    /// Directions that the mode applies to.
    pub direction: LinkDirection,
    /// Delay in mode `delay`, in milliseconds.
    pub delay_ms: u64,
    /// Whether the mode applies only to connections that are already open.
    pub existing_only: bool,
}

/// A behaviour with the connections that it applies to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkRules {
    pub(super) behaviour: LinkBehaviour,
    /// First connection that the behaviour does not apply to, if it is limited to existing ones.
    pub(super) first_exempt: Option<ConnectionNumber>,
}

impl LinkRules {
    fn covers(&self, connection: ConnectionNumber) -> bool {
        self.first_exempt.is_none_or(|first| connection < first)
    }

    /// Returns whether a connection must be closed.
    pub(super) fn cuts(&self, connection: ConnectionNumber) -> bool {
        self.behaviour.mode == LinkMode::Cut && self.covers(connection)
    }

    fn applies(&self, connection: ConnectionNumber, direction: LinkDirection) -> bool {
        let same_direction = [LinkDirection::Both, direction].contains(&self.behaviour.direction);
        same_direction && self.covers(connection)
    }

    /// Returns whether nothing is forwarded on a connection in a direction.
    pub(super) fn freezes(&self, connection: ConnectionNumber, direction: LinkDirection) -> bool {
        self.behaviour.mode == LinkMode::Freeze && self.applies(connection, direction)
    }

    /// Returns the delay of bytes on a connection in a direction.
    pub(super) fn delay(&self, connection: ConnectionNumber, direction: LinkDirection) -> Duration {
        if self.behaviour.mode == LinkMode::Delay && self.applies(connection, direction) {
            Duration::from_millis(self.behaviour.delay_ms)
        } else {
            Duration::ZERO
        }
    }
}
