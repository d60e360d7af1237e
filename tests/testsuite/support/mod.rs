//! Fleets of real processes for tests.
//!
//! A test describes a fleet in a plan, starts it and sends calls to its routers:
//!
//! ```ignore
//! let fleet = start_fleet(FleetPlan { routers: 2, faults: true, ..plan("my_test") }).await;
//! let call = FleetCall::completion("team-1", "prompt", 64);
//! let answer = fetch(&fleet, "router-1", &call).await;
//! fleet.set_node_links("agent-engine-1", freeze_existing()).await.expect("links");
//! ```
//!
//! - `RunningFleet` (in `godwitcrank_standin::fleet`) sends signals (`signal`), restarts nodes
//!   (`restart`), changes behaviours (`set_behaviour`, `set_store_behaviour`), the configuration
//!   (`put_configuration`) and the VM list (`register_vm`, `deregister_vm`), and reads the counters
//!   of upstreams (`read_control`).
//! - With `faults: true` each pair of processes is connected through its own link of a fault proxy.
//!   A link is identified by the names of the connecting process and its target; `set_links`
//!   selects links by these two names. Offers and answers use the link from `<router>` to
//!   `<agent>`. Agents fetch requests through the link from `any` to `<router>`. Nodes reach the
//!   table service and the VM list through the link from `<node>` to `platform`, and agents reach
//!   their upstream through the link from `<agent>` to `<upstream>`.
//! - All processes are killed when the fleet is dropped. If the test panics, the folder with
//!   settings and logs is kept and its path is printed.

pub mod crash_fleet;
pub mod direct_path;
pub mod engine_fleet;
pub mod extra_upstream;
pub mod fleet_plan;
pub mod operator;
pub mod router_fleet;

use std::path::Path;

use godwitcrank_standin::client::BufferedAnswer;
use godwitcrank_standin::fleet::{FleetCall, FleetPlan, FleetPrograms, RunningFleet};

/// Returns the paths of the programs: the daemons as built by Cargo, and the stand-in from the same
/// folder.
pub fn programs() -> FleetPrograms {
    let router = Path::new(env!("CARGO_BIN_EXE_godwitcrank-router"));
    let folder = router.parent().expect("the program is in a folder");
    let programs = FleetPrograms::in_folder(folder);
    assert!(programs.standin.exists(), "build the stand-ins first: cargo build --workspace --bins");
    programs
}

/// Returns the plan of a small fleet; see [`FleetPlan::new`].
pub fn plan(name: &str) -> FleetPlan {
    FleetPlan::new(name, programs())
}

/// Starts a fleet; panics if it does not become ready.
pub async fn start_fleet(plan: FleetPlan) -> RunningFleet {
    match RunningFleet::start(plan).await {
        Ok(fleet) => fleet,
        Err(report) => panic!("cannot start the fleet: {report:#}"),
    }
}

/// Sends a call to a router and returns the whole answer; panics if none arrives.
pub async fn fetch(fleet: &RunningFleet, router: &str, call: &FleetCall) -> BufferedAnswer {
    try_fetch(fleet, router, call).await.unwrap_or_else(|report| panic!("no answer: {report:#}"))
}

/// Sends a call to a router and returns the whole answer, or an error if none arrives.
pub async fn try_fetch(
    fleet: &RunningFleet,
    router: &str,
    call: &FleetCall,
) -> eyre::Result<BufferedAnswer> {
    let request = call.to_router(fleet.caller_address(router)?)?;
    fleet.client().fetch(request).await
}
