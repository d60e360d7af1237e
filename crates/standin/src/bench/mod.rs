//! Load tests of `godwitcrank-bench`.
//!
//! Each scenario is a module with a function that starts a fleet of real processes, puts load on
//! it and returns a [`BenchReport`], which is then printed. To add a scenario, add a variant to
//! [`BenchScenario`] and its function. Most scenarios use:
//!
//! - [`RunningFleet`](crate::fleet::RunningFleet) to start the processes,
//! - [`ClosedLoad`](crate::load::ClosedLoad) for a backlogged team or
//!   [`OpenLoad`](crate::load::OpenLoad) for a fixed rate, each through a
//!   [`RouterBalancer`](crate::fleet::RouterBalancer) over some of the routers,
//! - [`ServiceSampler`] to read each team's service from the counters of the upstreams, and
//!   [`ServiceSeries`] to compare it with the fair shares.

mod capacity;
mod fairness;
mod options;
mod path;
mod plot;
mod progress;
mod report;
mod sampler;
mod service;
mod steady;

use fairness::FairnessKind;
pub use options::{BenchCommand, BenchOptions, BenchScenario, bench_command};
pub use plot::{PlotChart, PlotLine};
pub use progress::ProgressLine;
pub use report::{BenchReport, ReportTable};
pub use sampler::ServiceSampler;
pub use service::{ServiceSample, ServiceSeries};

impl BenchCommand {
    /// Runs the scenario and prints its report.
    pub async fn execute(self) -> eyre::Result<()> {
        let BenchCommand { scenario, options } = self;
        let report = match scenario {
            BenchScenario::Capacity(scenario) => capacity::run(&scenario, &options).await?,
            BenchScenario::Path(scenario) => path::run(&scenario, &options).await?,
            BenchScenario::Flood(scenario) => {
                fairness::run(FairnessKind::Flood, &scenario, &options).await?
            }
            BenchScenario::Uneven(scenario) => {
                fairness::run(FairnessKind::Uneven, &scenario, &options).await?
            }
            BenchScenario::Cold(scenario) => {
                fairness::run(FairnessKind::Cold, &scenario, &options).await?
            }
            BenchScenario::Partition(scenario) => {
                fairness::run(FairnessKind::Partition, &scenario, &options).await?
            }
            BenchScenario::Restart(scenario) => {
                fairness::run(FairnessKind::Restart, &scenario, &options).await?
            }
            BenchScenario::Steady(scenario) => steady::run(&scenario, &options).await?,
        };
        report.print(&options)
    }
}
