//! Common parts of the daemons: command line, runtime, signals, report of bound addresses and
//! health probes.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr;
use http::{Response, StatusCode};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};
use viz::{Body, Request, Router};

use crate::agent::AgentDaemon;
use crate::event_log::flush_pending;
use crate::gateway::{GatewayAdapter, GatewayDaemon, GatewaySettings};
use crate::lifecycle::daemon::{ReadyState, ReadyWatch};
use crate::logging::start_logging;
use crate::router::RouterDaemon;
use crate::settings::{NodeRole, ProcessSettings, RawSettings};
use crate::supervisor::StopSignal;

/// Maximum time for writing pending log lines before the process exits.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Tasks that run before the traffic thread looks for those that another thread has woken. The
/// control thread wakes a task for each decision, and a busy thread would leave them for seconds.
const GLOBAL_QUEUE_INTERVAL: u32 = 1;

/// Exit code for usage errors and invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Addresses that a daemon listens on, printed as one JSON line on standard output.
#[derive(Clone, Debug, Serialize)]
pub struct ListenReport {
    /// Node id.
    pub node: String,
    /// Role of the process.
    pub role: String,
    /// Address for callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller: Option<SocketAddr>,
    /// Address for other processes of the system.
    pub peer: SocketAddr,
    /// Address of the administration API.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
}

/// Parses the command line; prints help or errors and exits with the documented code.
pub fn parse_arguments<T>(options: &bpaf::OptionParser<T>) -> T {
    const HELP_WIDTH: usize = 100;
    match options.run_inner(bpaf::Args::current_args()) {
        Ok(parsed) => parsed,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let code = if failure.exit_code() == 0 { 0 } else { i32::from(EXIT_USAGE) };
            std::process::exit(code);
        }
    }
}

/// Checks the settings file, runs the daemon until a stop signal and returns its exit code.
pub fn run_daemon(path: &Path, role: NodeRole) -> ExitCode {
    start_logging();
    let settings = match load_settings(path, role) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run_settings(settings, role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("stopped after a failure: {report:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks a settings file; the error lists all findings.
pub fn load_settings(path: &Path, role: NodeRole) -> eyre::Result<ProcessSettings> {
    let raw = RawSettings::load(path, role)?;
    ProcessSettings::try_from(raw).map_err(eyre::Report::from)
}

fn run_settings(settings: ProcessSettings, role: NodeRole) -> eyre::Result<()> {
    let threads = usize::try_from(settings.threads.traffic)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("cannot build the traffic runtime")?;
    runtime.block_on(async move {
        let stop = StopSignal::new();
        watch_signals(stop.clone())?;
        match role {
            NodeRole::Router => {
                let daemon = RouterDaemon::bind(settings).await?;
                print_report(&daemon.listen_report())?;
                daemon.run(stop).await
            }
            NodeRole::Agent => {
                let daemon = AgentDaemon::bind(settings).await?;
                print_report(&daemon.listen_report())?;
                daemon.run(stop).await
            }
        }
    })
}

/// Runs a gateway until a stop signal and returns its exit code.
///
/// `reload` reads the settings again on SIGHUP.
pub fn run_gateway<A: GatewayAdapter>(
    settings: GatewaySettings,
    adapter: A,
    reload: impl Fn() -> Result<GatewaySettings, String> + Send + 'static,
) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .global_queue_interval(GLOBAL_QUEUE_INTERVAL)
        .build();
    let result = runtime.wrap_err("cannot build the traffic runtime").and_then(|runtime| {
        runtime.block_on(async move {
            let stop = StopSignal::new();
            watch_signals(stop.clone())?;
            watch_reload(settings.clone(), reload)?;
            GatewayDaemon::bind(settings, adapter).await?.run(stop).await
        })
    });
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("stopped after a failure: {report:#}");
            ExitCode::FAILURE
        }
    };
    flush_pending(LOG_FLUSH_TIMEOUT);
    code
}

/// Reads the settings again on SIGHUP and logs whether a restart is needed to apply them.
fn watch_reload(
    mut settings: GatewaySettings,
    reload: impl Fn() -> Result<GatewaySettings, String> + Send + 'static,
) -> eyre::Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("cannot watch SIGHUP")?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match reload() {
                Ok(read) if read == settings => log::info!("settings reloaded; nothing changed"),
                Ok(read) => {
                    log::warn!(settings:? = read; "settings changed; they apply after a restart");
                    settings = read;
                }
                Err(error) => log::error!("settings not reloaded; the old ones stay: {error}"),
            }
        }
    });
    Ok(())
}

fn print_report(report: &ListenReport) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(report)?);
    Ok(())
}

/// Cancels `stop` on the first SIGTERM or SIGINT.
pub fn watch_signals(stop: StopSignal) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot watch SIGINT")?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => log::info!("received SIGTERM; stopping"),
            _ = interrupt.recv() => log::info!("received SIGINT; stopping"),
        }
        stop.cancel();
    });
    Ok(())
}

/// Adds `/healthz` and `/readyz` to a server.
pub fn add_probes(router: Router, ready: ReadyWatch) -> Router {
    let ready_probe = move |_: Request| {
        let response = ready_response(&ready);
        async move { Ok::<_, viz::Error>(response) }
    };
    router
        .get("/healthz", |_: Request| async { Ok::<_, viz::Error>("ok") })
        .get("/readyz", ready_probe)
}

/// Returns the response of `/readyz`: 200 while serving, otherwise 503. The body is the state.
pub fn ready_response(watch: &ReadyWatch) -> Response<Body> {
    let state = *watch.borrow();
    let mut response = Response::new(Body::from(http_body_util::Full::from(state.to_string())));
    if state != ReadyState::Serving {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
