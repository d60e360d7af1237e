//! Entry point of `godwitcrank-standin`, which runs one stand-in.

use std::process::ExitCode;

use godwitcrank_standin::cmd::{run_binary, standin_command};

fn main() -> ExitCode {
    run_binary(&standin_command(), |command| command.execute())
}
