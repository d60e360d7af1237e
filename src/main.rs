//! Program of the command line `godwitcrank`.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::execute()
}
