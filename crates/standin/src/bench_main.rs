//! Entry point of `godwitcrank-bench`, which runs load tests.

use std::process::ExitCode;

use godwitcrank_standin::bench::bench_command;
use godwitcrank_standin::cmd::run_binary;

fn main() -> ExitCode {
    run_binary(&bench_command(), |command| command.execute())
}
