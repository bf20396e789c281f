//! Operator tool over the administration interface.
//!
//! Invariant: team keys are generated in this process; only their hashes are
//! sent.

pub(crate) mod api;
pub(crate) mod args;
pub(crate) mod explain;
pub(crate) mod show;
pub(crate) mod trace;

use std::ffi::OsString;
use std::process::ExitCode;

pub use api::CommandError;
pub use explain::explanation;
pub use trace::Trace;

/// Exit codes of the process, for use by scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The entry VM could not be reached, rejected the token or returned an
    /// unexpected status.
    Failed = 1,
    /// The command line or an input file is invalid.
    Usage = 2,
    /// The change conflicts with the active configuration; no change was made.
    Conflict = 3,
    /// The entry VM refused the request; no change was made.
    Refused = 4,
    /// The change may have been applied; check the configuration and try again.
    Unknown = 5,
}

/// Runs one command and returns its exit code.
#[must_use]
pub fn main_with(args: Vec<OsString>) -> ExitCode {
    let matches = match args::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            // A failure to print the message cannot be reported anywhere.
            let _ = error.print();
            let code = if error.use_stderr() {
                Exit::Usage
            } else {
                Exit::Success
            };
            return ExitCode::from(code as u8);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(Exit::Failed as u8);
    };
    match runtime.block_on(args::run(&matches)) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("greengagemast: {error}");
            ExitCode::from(error.exit_code() as u8)
        }
    }
}
