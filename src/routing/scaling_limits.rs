//! Limits on the number of engines of a service in a data centre.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Most engines of one service in one data centre.
pub const MAX_ENGINES: u32 = 10_000;

/// Longest time until a new engine serves.
pub const MAX_BOOT_TIME: Duration = Duration::from_secs(3600);

/// Why limits cannot be used.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum ScalingLimitsError {
    /// The minimum exceeds the maximum.
    #[display("the minimum of {minimum} engines exceeds the maximum of {maximum}")]
    Order {
        /// Fewest engines.
        minimum: u32,
        /// Most engines.
        maximum: u32,
    },
    /// The maximum is zero or too large.
    #[display("{_0} is not a usable maximum of engines")]
    Maximum(#[error(not(source))] u32),
    /// The boot time is too long.
    #[display("the boot time {_0:?} is too long")]
    BootTime(#[error(not(source))] Duration),
}

/// Limits before they are checked.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RawScalingLimits {
    /// Fewest engines in a data centre.
    pub minimum: u32,
    /// Most engines in a data centre.
    pub maximum: u32,
    /// Time until a new engine serves.
    pub boot_time: Duration,
}

/// Checked limits on the number of engines of a service in each data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawScalingLimits", into = "RawScalingLimits")]
pub struct ScalingLimits {
    minimum: u32,
    maximum: u32,
    boot_time: Duration,
}

impl ScalingLimits {
    /// Returns the fewest engines in a data centre.
    pub fn minimum(self) -> u32 {
        self.minimum
    }

    /// Returns the most engines in a data centre.
    pub fn maximum(self) -> u32 {
        self.maximum
    }

    /// Returns the time until a new engine serves.
    pub fn boot_time(self) -> Duration {
        self.boot_time
    }
}

impl TryFrom<RawScalingLimits> for ScalingLimits {
    type Error = ScalingLimitsError;

    fn try_from(raw: RawScalingLimits) -> Result<Self, ScalingLimitsError> {
        let RawScalingLimits { minimum, maximum, boot_time } = raw;
        if maximum == 0 || maximum > MAX_ENGINES {
            return Err(ScalingLimitsError::Maximum(maximum));
        }
        if minimum > maximum {
            return Err(ScalingLimitsError::Order { minimum, maximum });
        }
        if boot_time > MAX_BOOT_TIME {
            return Err(ScalingLimitsError::BootTime(boot_time));
        }
        Ok(Self { minimum, maximum, boot_time })
    }
}

impl From<ScalingLimits> for RawScalingLimits {
    fn from(limits: ScalingLimits) -> Self {
        let ScalingLimits { minimum, maximum, boot_time } = limits;
        Self { minimum, maximum, boot_time }
    }
}
