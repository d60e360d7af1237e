//! Command line of `godwitcrank-standin`, with one module per subcommand.

mod engine;
mod plain;
mod platform;
mod proxy;
mod run;

use std::io::Write;
use std::net::SocketAddr;

use bpaf::{Bpaf, Parser};
use eyre::WrapErr;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

pub use run::run_binary;

/// Starts one stand-in as a process
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum StandinCommand {
    /// Starts a platform: table service, object store, VM list, weight store
    #[bpaf(command)]
    Platform(#[bpaf(external(platform::platform_command))] platform::PlatformCommand),
    /// Starts a model engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::engine_command))] engine::EngineCommand),
    /// Starts a plain HTTP service
    #[bpaf(command)]
    Plain(#[bpaf(external(plain::plain_command))] plain::PlainCommand),
    /// Starts a TCP fault proxy
    #[bpaf(command)]
    Proxy(#[bpaf(external(proxy::proxy_command))] proxy::ProxyCommand),
}

impl StandinCommand {
    /// Runs the stand-in until SIGTERM or SIGINT.
    pub async fn execute(self) -> eyre::Result<()> {
        match self {
            Self::Platform(command) => command.execute().await,
            Self::Engine(command) => command.execute().await,
            Self::Plain(command) => command.execute().await,
            Self::Proxy(command) => command.execute().await,
        }
    }
}

fn listen() -> impl Parser<SocketAddr> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    bpaf::long("listen")
        .help("Address to listen on; port 0 takes any free port")
        .argument("IP:PORT")
        .fallback(any_port)
        .display_fallback()
}

/// Prints the start-up report, a JSON line with role and address, and waits for SIGTERM or SIGINT.
async fn report_and_wait(role: &str, address: SocketAddr) -> eyre::Result<()> {
    // The signal handlers are installed first, because a reader of the report may send a signal at
    // once.
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
    let line = json!({ "role": role, "address": address });
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{line}").and_then(|()| stdout.flush()).wrap_err("cannot write to stdout")?;
    log::info!(role = role, address:% = address; "listening");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(role = role; "stopping");
    Ok(())
}
