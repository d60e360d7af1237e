//! Start-up code that both binaries share: command line, logging, runtime and exit codes.

use std::process::ExitCode;

use bpaf::OptionParser;

use crate::error::InvalidOptions;

/// Width of help texts in columns.
const HELP_COLUMNS: usize = 100;

/// Exit code for usage errors and invalid options.
const USAGE_ERROR: u8 = 2;

/// Number of threads of the asynchronous runtime.
const TRAFFIC_THREADS: usize = 2;

/// Parses the command line, runs the command and converts its outcome into an exit code.
pub fn run_binary<C, F>(parser: &OptionParser<C>, execute: impl FnOnce(C) -> F) -> ExitCode
where
    F: Future<Output = eyre::Result<()>>,
{
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let command = match parser.run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { USAGE_ERROR.into() };
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .enable_all()
        .build();
    let outcome =
        runtime.map_err(eyre::Report::from).and_then(|runtime| runtime.block_on(execute(command)));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("{report:#}");
            if report.is::<InvalidOptions>() { USAGE_ERROR.into() } else { ExitCode::FAILURE }
        }
    }
}
