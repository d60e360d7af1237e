//! Command line of `godwitcrank-bench`.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::{OptionExt, WrapErr};

use super::capacity::{CapacityScenario, capacity_scenario};
use super::fairness::{FairnessScenario, fairness_scenario};
use super::path::{PathScenario, path_scenario};
use super::steady::{SteadyScenario, steady_scenario};
use crate::fleet::FleetPrograms;

/// Runs a load test on a fleet of real processes and stand-ins
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(bench_command))]
pub struct BenchCommand {
    #[bpaf(external(bench_options))]
    pub(super) options: BenchOptions,
    #[bpaf(external(bench_scenario))]
    pub(super) scenario: BenchScenario,
}

/// Options that all scenarios share.
#[derive(Clone, Debug, Bpaf)]
pub struct BenchOptions {
    /// Seed of prompts and other random choices
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Duration of the load in seconds
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub seconds: u64,
    /// Print the report as JSON
    #[bpaf(long, switch)]
    pub json: bool,
    /// Write a plot (SVG) to this file
    #[bpaf(long, argument("FILE"))]
    pub plot: Option<PathBuf>,
    /// Folder with the programs; the folder of this program if left out
    #[bpaf(long, argument("FOLDER"))]
    pub programs: Option<PathBuf>,
}

impl BenchOptions {
    /// Returns how long the load lasts, at least one second.
    pub fn load_duration(&self) -> Duration {
        Duration::from_secs(self.seconds.max(1))
    }

    /// Returns the programs in the given folder, or in the folder of this program.
    pub fn find_programs(&self) -> eyre::Result<FleetPrograms> {
        if let Some(folder) = &self.programs {
            return Ok(FleetPrograms::in_folder(folder));
        }
        let program = std::env::current_exe().wrap_err("cannot find this program's path")?;
        let folder = program.parent().ok_or_eyre("this program's path has no folder")?;
        Ok(FleetPrograms::in_folder(folder))
    }
}

/// Scenario to run.
#[derive(Clone, Debug, Bpaf)]
pub enum BenchScenario {
    /// Cost of control by role, and its growth with teams, upstreams, routers and rate
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_scenario))] CapacityScenario),
    /// Latency that router and agent add to calls of an upstream
    #[bpaf(command)]
    Path(#[bpaf(external(path_scenario))] PathScenario),
    /// Fair share while one of 16 teams floods through one router
    #[bpaf(command)]
    Flood(#[bpaf(external(fairness_scenario))] FairnessScenario),
    /// Fair share of teams that reach disjoint routers
    #[bpaf(command)]
    Uneven(#[bpaf(external(fairness_scenario))] FairnessScenario),
    /// Limits of engines that become cold without warning
    #[bpaf(command)]
    Cold(#[bpaf(external(fairness_scenario))] FairnessScenario),
    /// Fair share while a data centre is cut off for 20 s and after it
    #[bpaf(command)]
    Partition(#[bpaf(external(fairness_scenario))] FairnessScenario),
    /// Fair share while a router and an account parent are restarted during a flood
    #[bpaf(command)]
    Restart(#[bpaf(external(fairness_scenario))] FairnessScenario),
    /// Service of backlogged teams, and utilisation
    #[bpaf(command)]
    Steady(#[bpaf(external(steady_scenario))] SteadyScenario),
}
