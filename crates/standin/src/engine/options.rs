//! Options of the engine stand-in.

use std::time::Duration;

use bpaf::Bpaf;

use crate::error::InvalidOptions;
use crate::ids::VersionId;

/// Options as given on the command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(raw_engine_options))]
pub struct RawEngineOptions {
    /// Requests that run at full speed
    #[bpaf(long, argument("N"), fallback(8), display_fallback)]
    pub slots: u64,
    /// Tokens per second of one request while no more than the slots are running
    #[bpaf(long, argument("N"), fallback(100.0), display_fallback)]
    pub tokens_per_second: f64,
    /// Prefill time per prompt token that is not in the cache, in microseconds
    #[bpaf(long, argument("US"), fallback(100), display_fallback)]
    pub prefill_us_per_token: u64,
    /// Size of the prefix cache in tokens
    #[bpaf(long, argument("N"), fallback(65536), display_fallback)]
    pub cache_tokens: u64,
    /// Duration of a cold start in milliseconds; 0 for none
    #[bpaf(long, argument("MS"), fallback(0), display_fallback)]
    pub cold_start_ms: u64,
    /// Running requests above which an engine crashes at the beginning of a cold start
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub cold_running: u64,
    /// Time that a restart takes after a crash, in milliseconds
    #[bpaf(long, argument("MS"), fallback(500), display_fallback)]
    pub restart_ms: u64,
    /// Version that the engine runs
    #[bpaf(long, argument("VERSION"), fallback("1".to_owned()), display_fallback)]
    pub version: String,
    /// Refuse orders with an old fencing number
    #[bpaf(long, switch)]
    pub checks_orders: bool,
    /// Seed of random choices
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl Default for RawEngineOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            tokens_per_second: 100.0,
            prefill_us_per_token: 100,
            cache_tokens: 65536,
            cold_start_ms: 0,
            cold_running: 1,
            restart_ms: 500,
            version: "1".to_owned(),
            checks_orders: false,
            seed: 1,
        }
    }
}

/// Validated options.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub(super) slots: u64,
    pub(super) token_interval: Duration,
    pub(super) prefill_per_token: Duration,
    pub(super) cache_tokens: u64,
    pub(super) cold_start: Duration,
    pub(super) cold_running: u64,
    pub(super) restart_delay: Duration,
    pub(super) version: VersionId,
    pub(super) checks_orders: bool,
    pub(super) seed: u64,
}

impl TryFrom<RawEngineOptions> for EngineOptions {
    type Error = InvalidOptions;

    fn try_from(raw: RawEngineOptions) -> Result<Self, InvalidOptions> {
        let mut findings = InvalidOptions::default();
        findings.require((1..=4096).contains(&raw.slots), "slots", "must be between 1 and 4096");
        let rate = raw.tokens_per_second;
        findings.require(
            (0.01..=1e6).contains(&rate),
            "tokens-per-second",
            "must be between 0.01 and 1000000",
        );
        let cold_running = raw.cold_running;
        findings.require(
            (1..=raw.slots.max(1)).contains(&cold_running),
            "cold-running",
            "must be between 1 and the number of slots",
        );
        findings.require(!raw.version.is_empty(), "version", "must not be empty");
        findings.into_result(())?;
        Ok(Self {
            slots: raw.slots,
            token_interval: Duration::from_secs_f64(1.0 / rate),
            prefill_per_token: Duration::from_micros(raw.prefill_us_per_token),
            cache_tokens: raw.cache_tokens,
            cold_start: Duration::from_millis(raw.cold_start_ms),
            cold_running: raw.cold_running,
            restart_delay: Duration::from_millis(raw.restart_ms),
            version: raw.version.into(),
            checks_orders: raw.checks_orders,
            seed: raw.seed,
        })
    }
}
