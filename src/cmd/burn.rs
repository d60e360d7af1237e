//! `godwitcrank report burn`: merges the burn reports of routers.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use eyre::WrapErr;
use futures::future::join_all;
use godwitcrank::report::{BurnReport, fetch_report, render_html, render_text};
use http::Uri;

/// Default of the maximum number of entries that each router returns.
const DEFAULT_ENTRIES: usize = 512;

/// Options of `report burn`.
#[derive(Clone, Debug)]
pub struct BurnOptions {
    routers: Vec<Uri>,
    key_file: Option<PathBuf>,
    max_entries: usize,
    json: bool,
    html: Option<PathBuf>,
}

/// Parser of `report burn`.
pub fn parser() -> impl Parser<BurnOptions> {
    let routers = long("router")
        .help("Administration URL of a router; name all routers of the fleet for complete sums")
        .argument::<Uri>("URL")
        .some("expected at least one --router URL");
    let key_file = long("key-file")
        .help("File with the operator's key")
        .argument::<PathBuf>("FILE")
        .optional();
    let max_entries = long("most")
        .help("Maximum number of entries per router, worst first")
        .argument::<usize>("N")
        .fallback(DEFAULT_ENTRIES)
        .display_fallback();
    let json = long("json").help("Print the merged report as JSON").switch();
    let html = long("html")
        .help("Also write the report with plots as one HTML file")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(BurnOptions { routers, key_file, max_entries, json, html })
        .to_options()
        .descr("Prints how fast teams use up their error budgets, worst teams and routes first")
        .footer("Example: godwitcrank report burn --router http://10.0.0.1:7102 --html burn.html")
        .command("burn")
}

/// Prints the report; exit code 1 if a router cannot be read or a file cannot be written.
pub fn execute(options: &BurnOptions) -> ExitCode {
    match print_report(options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

/// Fetches, merges and prints the reports. Returns whether all routers answered; the reports of
/// those that did are printed in either case.
fn print_report(options: &BurnOptions) -> eyre::Result<bool> {
    let key = options.key_file.as_deref().map(read_key).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let fetches =
        options.routers.iter().map(|url| fetch_report(url, key.as_deref(), options.max_entries));
    let (mut reports, mut is_complete) = (Vec::new(), true);
    for result in runtime.block_on(join_all(fetches)) {
        match result {
            Ok(report) => reports.push(report),
            Err(error) => {
                is_complete = false;
                eprintln!("{error}");
            }
        }
    }
    let merged = BurnReport::merge(reports);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&merged)?);
    } else {
        print!("{}", render_text(&merged));
    }
    if let Some(file) = &options.html {
        std::fs::write(file, render_html(&merged))
            .wrap_err_with(|| format!("cannot write {}", file.display()))?;
    }
    Ok(is_complete)
}

fn read_key(file: &Path) -> eyre::Result<String> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read key file {}", file.display()))?;
    Ok(text.trim().to_owned())
}
