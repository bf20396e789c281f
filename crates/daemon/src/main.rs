//! Daemon of an entry VM.
//!
//! Invariant: the exit code is 0 after a graceful shutdown or a successful
//! settings check, 1 after a failure, and 2 for an invalid command line.

use std::process::ExitCode;

/// First argument that selects the daemon for the users' platform.
const PLATFORM: &str = "platform";

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().collect();
    match args.get(1).is_some_and(|arg| arg == PLATFORM) {
        true => platform::main_with(&args[2..]),
        false => node::main_with(args),
    }
}
