//! `godwitcrank report`: reports on the fleet.

use std::process::ExitCode;

use bpaf::{Parser, construct};

use super::{burn, margin};

/// A parsed subcommand of `report`.
#[derive(Clone, Debug)]
pub enum ReportOptions {
    /// `report burn`.
    Burn(burn::BurnOptions),
    /// `report margin`.
    Margin(margin::MarginOptions),
}

/// Parser of `report`.
pub fn parser() -> impl Parser<ReportOptions> {
    let burn = burn::parser().map(ReportOptions::Burn);
    let margin = margin::parser().map(ReportOptions::Margin);
    construct!([burn, margin])
        .to_options()
        .descr("Reports on the fleet")
        .footer("Example: godwitcrank report burn --router http://10.0.0.1:7102")
        .command("report")
}

/// Prints the report.
pub fn execute(options: &ReportOptions) -> ExitCode {
    match options {
        ReportOptions::Burn(options) => burn::execute(options),
        ReportOptions::Margin(options) => margin::execute(options),
    }
}
