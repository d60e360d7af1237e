//! Fleets of real processes for tests.
//!
//! A test plans a fleet, starts it and talks to it:
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
//!   (`put_configuration`) and the VM list (`register_vm`, `deregister_vm`), and reads what
//!   upstreams counted (`read_control`).
//! - With `faults: true` each pair of processes is connected through a link of its own, named by
//!   who connects and to what. `set_links` chooses links by these two names. Offers and answers
//!   use the links `<router>` to `<agent>`; agents fetch through `any` to `<router>`; the table
//!   service and the VM list are behind `<node>` to `platform`; an upstream is behind
//!   `<agent>` to `<upstream>`.
//! - All processes end when the fleet is dropped, also when the test panics; the folder with
//!   settings and logs is then kept and its path printed.

pub mod beside;
pub mod operator;

use std::path::Path;

use godwitcrank_standin::client::BufferedAnswer;
use godwitcrank_standin::fleet::{FleetCall, FleetPlan, FleetPrograms, RunningFleet};

/// Finds the programs: the daemons where Cargo built them, the stand-in beside them.
pub fn programs() -> FleetPrograms {
    let router = Path::new(env!("CARGO_BIN_EXE_godwitcrank-router"));
    let folder = router.parent().expect("the program is in a folder");
    let programs = FleetPrograms::in_folder(folder);
    assert!(programs.standin.exists(), "build the stand-ins first: cargo build --workspace --bins");
    programs
}

/// Plans a small fleet; see [`FleetPlan::new`].
pub fn plan(name: &str) -> FleetPlan {
    FleetPlan::new(name, programs())
}

/// Starts a fleet and fails the test if it does not get ready.
pub async fn start_fleet(plan: FleetPlan) -> RunningFleet {
    match RunningFleet::start(plan).await {
        Ok(fleet) => fleet,
        Err(report) => panic!("the fleet does not start: {report:#}"),
    }
}

/// Sends a call to a router and reads the answer whole.
pub async fn fetch(fleet: &RunningFleet, router: &str, call: &FleetCall) -> BufferedAnswer {
    try_fetch(fleet, router, call).await.unwrap_or_else(|report| panic!("no answer: {report:#}"))
}

/// Sends a call to a router; an error means that no whole answer arrived.
pub async fn try_fetch(
    fleet: &RunningFleet,
    router: &str,
    call: &FleetCall,
) -> eyre::Result<BufferedAnswer> {
    let request = call.to_router(fleet.caller_address(router)?)?;
    fleet.client().fetch(request).await
}
