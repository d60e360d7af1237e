//! Options of the platform stand-in.

use std::time::Duration;

use bpaf::Bpaf;

use crate::error::InvalidOptions;

/// Options as given on the command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(raw_platform_options))]
pub struct RawPlatformOptions {
    /// Writes to the table and object store per second; more are answered with 429
    #[bpaf(long, argument("N"), fallback(500.0), display_fallback)]
    pub writes_per_second: f64,
    /// Reads from the table and object store per second; more are answered with 429
    #[bpaf(long, argument("N"), fallback(2000.0), display_fallback)]
    pub reads_per_second: f64,
    /// Reads from the weight store per second; more are answered with 429
    #[bpaf(long, argument("N"), fallback(2.0), display_fallback)]
    pub weights_per_second: f64,
    /// Size of a weight file in bytes
    #[bpaf(long, argument("BYTES"), fallback(65536), display_fallback)]
    pub weight_bytes: usize,
    /// Lag of the VM list in milliseconds
    #[bpaf(long, argument("MS"), fallback(0), display_fallback)]
    pub vm_list_lag_ms: u64,
    /// Seed of random choices
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl Default for RawPlatformOptions {
    fn default() -> Self {
        Self {
            writes_per_second: 500.0,
            reads_per_second: 2000.0,
            weights_per_second: 2.0,
            weight_bytes: 65536,
            vm_list_lag_ms: 0,
            seed: 1,
        }
    }
}

/// Validated options.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    pub(super) writes_per_second: f64,
    pub(super) reads_per_second: f64,
    pub(super) weights_per_second: f64,
    pub(super) weight_bytes: usize,
    pub(super) vm_list_lag: Duration,
    pub(super) seed: u64,
}

impl TryFrom<RawPlatformOptions> for PlatformOptions {
    type Error = InvalidOptions;

    fn try_from(raw: RawPlatformOptions) -> Result<Self, InvalidOptions> {
        let mut findings = InvalidOptions::default();
        let rates = [
            ("writes-per-second", raw.writes_per_second),
            ("reads-per-second", raw.reads_per_second),
            ("weights-per-second", raw.weights_per_second),
        ];
        for (option, rate) in rates {
            findings.require(rate > 0.0 && rate.is_finite(), option, "must be above 0");
        }
        findings.require(raw.weight_bytes <= 1 << 28, "weight-bytes", "must be at most 256 MiB");
        findings.into_result(Self {
            writes_per_second: raw.writes_per_second,
            reads_per_second: raw.reads_per_second,
            weights_per_second: raw.weights_per_second,
            weight_bytes: raw.weight_bytes,
            vm_list_lag: Duration::from_millis(raw.vm_list_lag_ms),
            seed: raw.seed,
        })
    }
}
