//! Subcommands of `godwitcrank`. Each module has the options, the parser and the `execute` function
//! of one subcommand; `admin_client` is the HTTP client that `admin` and `plan` share.

mod admin;
mod admin_client;
mod burn;
mod check;
#[cfg(feature = "demo")]
mod demo;
mod margin;
mod plan;
mod report;
mod trace;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use godwitcrank::daemon::parse_arguments;

/// A parsed command line.
#[derive(Clone, Debug)]
enum CliCommand {
    Admin(admin::AdminOptions),
    Check(check::CheckOptions),
    Plan(plan::PlanOptions),
    #[cfg(feature = "demo")]
    Demo(demo::DemoOptions),
    Report(report::ReportOptions),
    Trace(trace::TraceOptions),
}

fn cli_parser() -> OptionParser<CliCommand> {
    let admin = admin::parser().map(CliCommand::Admin);
    let check = check::parser().map(CliCommand::Check);
    let plan = plan::parser().map(CliCommand::Plan);
    let report = report::parser().map(CliCommand::Report);
    let trace = trace::parser().map(CliCommand::Trace);
    #[cfg(feature = "demo")]
    let commands = {
        let demo = demo::parser().map(CliCommand::Demo);
        construct!([demo, admin, plan, check, report, trace])
    };
    #[cfg(not(feature = "demo"))]
    let commands = construct!([admin, plan, check, report, trace]);
    commands
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a godwitcrank fleet and runs a demo of it")
        .footer("Example: godwitcrank check --role router router.toml")
}

/// Runs the command line. The exit code is 0 on success, 1 on failure and 2 for usage errors and
/// invalid settings.
pub fn execute() -> ExitCode {
    match parse_arguments(&cli_parser()) {
        CliCommand::Admin(options) => admin::execute(options),
        CliCommand::Plan(options) => plan::execute(options),
        CliCommand::Check(options) => check::execute(&options),
        #[cfg(feature = "demo")]
        CliCommand::Demo(options) => demo::execute(&options),
        CliCommand::Report(options) => report::execute(&options),
        CliCommand::Trace(options) => trace::execute(&options),
    }
}
