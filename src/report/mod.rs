//! Service-level burn report: the burn rates of the error budgets by team and route.
//!
//! A router's traffic tasks send one [`ServiceObservation`] per ended request to the control
//! thread, which owns a [`BurnRecorder`]. The report of one router is a [`BurnReport`]. Reports of
//! several routers are merged by adding their counts.

mod document;
mod fetch;
mod gaps;
mod html;
mod observation;
mod recorder;
mod text;
mod work_totals;

pub use document::{
    BurnEntry, BurnReport, LatencyCounts, ObjectiveKind, ObjectiveReport, RouterCoverage,
};
pub use fetch::{FetchError, fetch_report};
pub use gaps::TokenGaps;
pub use html::render_html;
pub use observation::{AnswerOutcome, ServiceObservation};
pub use recorder::{BurnRecorder, MAX_ENTRIES};
pub use text::render_text;
pub use work_totals::{TeamTotals, TotalsError};
