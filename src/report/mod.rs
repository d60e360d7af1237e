//! Reports on the fleet: the burn rates of the error budgets by team and route, and the margin of
//! the teams' fair shares.
//!
//! Burn report: a router's traffic tasks send one [`ServiceObservation`] per ended request to the
//! control thread, which owns a [`BurnRecorder`]. The report of one router is a [`BurnReport`].
//! Reports of several routers are merged by adding their counts.

mod document;
mod fair_margin;
mod fetch;
mod fleet_work;
mod gaps;
mod html;
mod margin_text;
mod observation;
mod recorder;
mod text;
mod work_line;
mod work_totals;

pub use document::{
    BurnEntry, BurnReport, LatencyCounts, ObjectiveKind, ObjectiveReport, RouterCoverage,
};
pub use fair_margin::{FairMargins, LeastMargin, WINDOW_SECONDS, WindowMargin};
pub use fetch::{FetchError, fetch_report};
pub use fleet_work::{FleetWork, RouterSeconds, TeamSeconds};
pub use gaps::TokenGaps;
pub use html::render_html;
pub use margin_text::render_margins;
pub use observation::{AnswerOutcome, ServiceObservation};
pub use recorder::{BurnRecorder, MAX_ENTRIES};
pub use text::render_text;
pub use work_line::{WorkLine, WorkLineError};
pub use work_totals::{TeamTotals, TotalsError};
