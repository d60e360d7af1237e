//! `godwitcrank plan import`: imports a planners' sheet through the administration API.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, long, positional};
use eyre::WrapErr;
use http::Method;

use super::admin::{AdminTarget, target_parser};
use super::admin_client::AdminResponse;

/// Options of `plan import`.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    target: AdminTarget,
    dry_run: bool,
    file: PathBuf,
}

/// Parser of `plan`.
pub fn parser() -> impl Parser<PlanOptions> {
    let target = target_parser();
    let dry_run = long("dry-run")
        .help("Check the sheet and print the changes without applying them")
        .switch();
    let file = positional::<PathBuf>("SHEET").help("CSV sheet; the guide describes its columns");
    construct!(PlanOptions { target, dry_run, file })
        .to_options()
        .descr("Checks a whole sheet and applies it in one transaction; repeats change nothing")
        .command("import")
        .to_options()
        .descr("Imports the planners' sheet")
        .footer("Example: godwitcrank plan import --router URL --dry-run sheet.csv")
        .command("plan")
}

/// Runs the command; exit code 1 if the sheet has findings or the API refuses the change.
pub fn execute(options: PlanOptions) -> ExitCode {
    super::admin_client::run_command(import(options))
}

async fn import(options: PlanOptions) -> eyre::Result<AdminResponse> {
    let name = options.file.display();
    let sheet = std::fs::read(&options.file).wrap_err_with(|| format!("cannot read {name}"))?;
    let path = if options.dry_run { "plan?dry-run=true" } else { "plan" };
    options.target.client().send(Method::POST, path, None, sheet).await
}
