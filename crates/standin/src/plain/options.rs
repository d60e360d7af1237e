//! Options of the plain service stand-in.

use std::time::Duration;

use bpaf::Bpaf;

use crate::error::InvalidOptions;
use crate::ids::VersionId;

/// Options as given on the command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(raw_plain_options))]
pub struct RawPlainOptions {
    /// Requests that run at once; more wait
    #[bpaf(long, argument("N"), fallback(8), display_fallback)]
    pub slots: usize,
    /// Time that a request takes, in milliseconds
    #[bpaf(long, argument("MS"), fallback(0), display_fallback)]
    pub run_ms: u64,
    /// Version that the service runs
    #[bpaf(long, argument("VERSION"), fallback("1".to_owned()), display_fallback)]
    pub version: String,
    /// Seed of random choices
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl Default for RawPlainOptions {
    fn default() -> Self {
        Self { slots: 8, run_ms: 0, version: "1".to_owned(), seed: 1 }
    }
}

/// Validated options.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    pub(super) slots: usize,
    pub(super) run_time: Duration,
    pub(super) version: VersionId,
    pub(super) seed: u64,
}

impl TryFrom<RawPlainOptions> for PlainOptions {
    type Error = InvalidOptions;

    fn try_from(raw: RawPlainOptions) -> Result<Self, InvalidOptions> {
        let mut findings = InvalidOptions::default();
        findings.require((1..=65536).contains(&raw.slots), "slots", "must be between 1 and 65536");
        findings.require(!raw.version.is_empty(), "version", "must not be empty");
        findings.into_result(Self {
            slots: raw.slots,
            run_time: Duration::from_millis(raw.run_ms),
            version: raw.version.into(),
            seed: raw.seed,
        })
    }
}
