//! Entry point of the operator tool.
//!
//! Invariant: exit codes are those of `ctl::Exit`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::main_with(std::env::args_os().collect())
}
