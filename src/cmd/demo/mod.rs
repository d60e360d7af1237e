//! `godwitcrank demo`: runs a fleet and its stand-ins in one process under load from four teams.

mod fleet;
mod load;
mod summary;

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::WrapErr;
use godwitcrank::daemon::watch_signals;
use godwitcrank::supervisor::StopSignal;

use fleet::DemoFleet;
use load::LoadRun;
use summary::DemoSummary;

/// Worker threads of the runtime that carries the traffic of all daemons and stand-ins.
const TRAFFIC_THREADS: usize = 6;

/// Options of `demo`.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    seconds: u64,
    seed: u64,
    json: bool,
}

/// Parser of `demo`.
pub fn parser() -> impl Parser<DemoOptions> {
    let seconds = long("seconds")
        .help("Duration of the load in seconds")
        .argument::<u64>("N")
        .guard(|seconds| (1..=3600).contains(seconds), "must be between 1 and 3600")
        .fallback(20)
        .display_fallback();
    let seed = long("seed")
        .help("Seed of the random requests")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let json = long("json").help("Print the closing table as one JSON object").switch();
    construct!(DemoOptions { seconds, seed, json })
        .to_options()
        .descr("Runs a fleet with stand-ins in one process and shows how teams share its capacity")
        .footer("Example: godwitcrank demo --seconds 20")
        .command("demo")
}

/// Runs the demo until its time is over or Ctrl-C is pressed.
pub fn execute(options: &DemoOptions) -> ExitCode {
    let env = env_logger::Env::default().default_filter_or("error");
    env_logger::Builder::from_env(env).init();
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("demo failed: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &DemoOptions) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .enable_all()
        .build()
        .wrap_err("cannot build the runtime")?;
    runtime.block_on(run_fleet(options))
}

async fn run_fleet(options: &DemoOptions) -> eyre::Result<()> {
    let interrupted = StopSignal::new();
    watch_signals(interrupted.clone())?;
    let fleet = DemoFleet::start().await?;
    let is_ready = tokio::select! {
        ready = fleet.wait_ready() => { ready?; true }
        () = interrupted.cancelled() => false,
    };
    if is_ready {
        let before = fleet.exchange_bytes().await?;
        let load = LoadRun::start(&fleet, options.seed);
        let duration = Duration::from_secs(options.seconds);
        load.report_rates(duration, options.json, &interrupted).await;
        let after = fleet.exchange_bytes().await?;
        let report = load.close().await;
        let busiest_bytes = before.iter().zip(&after).map(|(before, after)| after - before).max();
        let summary = DemoSummary::new(&fleet, &report, busiest_bytes.unwrap_or(0));
        if options.json {
            println!("{}", serde_json::to_string(&summary)?);
        } else {
            println!("{summary}");
        }
    }
    fleet.close().await
}
