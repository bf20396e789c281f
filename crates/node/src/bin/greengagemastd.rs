//! The daemon of an entry VM.
//!
//! Invariant: the exit code is 0 after a graceful shutdown or a good check, 1
//! after a failure, and 2 for a bad command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    node::main_with(std::env::args_os().collect())
}
