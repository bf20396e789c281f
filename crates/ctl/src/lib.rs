//! The operator's command over the administration interface.
//!
//! Invariant: a key is made here and only its hash leaves this process.

pub(crate) mod api;
pub(crate) mod args;
pub(crate) mod show;
pub(crate) mod trace;

use std::ffi::OsString;
use std::process::ExitCode;

pub use api::CommandError;
pub use trace::Trace;

/// Exit codes for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Success = 0,
    /// The entry VM can't be reached or answered with an error.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The change conflicts; nothing was changed.
    Conflict = 3,
    /// The change was refused; nothing was changed.
    Refused = 4,
    /// The outcome is unknown; look and try again.
    Unknown = 5,
}

/// Runs one command.
#[must_use]
pub fn main_with(args: Vec<OsString>) -> ExitCode {
    let matches = match args::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            // Nothing can be done when the message can't be printed.
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
