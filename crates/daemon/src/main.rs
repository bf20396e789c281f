//! The daemon of an entry VM.
//!
//! Invariant: the exit code is 0 after a graceful shutdown or a good check, 1
//! after a failure, and 2 for a bad command line.

use std::process::ExitCode;

/// First argument of an entry VM on the users' platform.
const PLATFORM: &str = "platform";

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().collect();
    match args.get(1).is_some_and(|arg| arg == PLATFORM) {
        true => platform::main_with(&args[2..]),
        false => node::main_with(args),
    }
}
