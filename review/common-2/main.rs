//! Cases of the second review that are scripts. The first argument names the case, the second one
//! the file that gets the record. `TROUBLE=0` leaves the disruption out.

mod cache_hang;
mod cache_memory;
mod call_memory;
mod client;
mod crash_memory;
mod crowd;
mod deployment;
mod engine;
mod fleet;
mod http;
mod json;
mod long_paths;
mod record;
mod scenario;
mod store;

use std::path::{Path, PathBuf};
use std::process::exit;

/// Outcome of a case, as the exit code tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held = 0,
    /// The rule was broken.
    Broken = 1,
    /// The case could not run.
    NotRun = 2,
}

/// A case by its name.
type Case = fn(&Path, bool) -> Verdict;

const CASES: [(&str, Case); 5] = [
    ("long-paths", long_paths::run),
    ("cache-memory", cache_memory::run),
    ("crash-memory", crash_memory::run),
    ("call-memory", call_memory::run),
    ("cache-hang", cache_hang::run),
];

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case NAME RECORD");
        exit(Verdict::NotRun as i32);
    };
    let Some((_, run)) = CASES.iter().find(|(case, _)| *case == name) else {
        eprintln!("unknown case {name}");
        exit(Verdict::NotRun as i32);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    fleet::watch_time();
    let verdict = run(&PathBuf::from(record), has_trouble);
    println!("{verdict:?}");
    exit(verdict as i32);
}
