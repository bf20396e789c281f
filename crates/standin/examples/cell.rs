//! End-to-end test of a cell on loopback. See `--help` for the options; the
//! verdict is printed to stdout as one JSON line.
//!
//! Invariant: the exit status is 1 if a guarantee was violated.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use standin::cell::{Fault, Options};

fn command() -> Command {
    Command::new("cell")
        .about("Runs daemons, simulated workers and load on loopback, and checks the guarantees")
        .arg(
            Arg::new("config")
                .long("config")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Deployment file"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("20")
                .value_parser(value_parser!(u64).range(5..=3_600))
                .help("Duration of the load in seconds"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load generators"),
        )
        .arg(
            Arg::new("load")
                .long("load")
                .default_value("0.7")
                .value_parser(value_parser!(f64))
                .help("Load as a fraction of the capacity"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_delimiter(',')
                .value_parser(value_parser!(Fault))
                .help("Comma-separated list of faults to inject"),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .action(ArgAction::SetTrue)
                .help("Do not print progress to stderr"),
        )
}

fn main() -> ExitCode {
    if std::env::var_os("GREENGAGEMAST_CELL_ROLE").is_some() {
        return node::main_with(std::env::args_os().collect());
    }
    let args = command().get_matches();
    let options = Options {
        config: args
            .get_one::<PathBuf>("config")
            .cloned()
            .unwrap_or_default(),
        duration: Duration::from_secs(args.get_one("seconds").copied().unwrap_or(20)),
        seed: args.get_one("seed").copied().unwrap_or(1),
        load: args.get_one("load").copied().unwrap_or(0.7),
        faults: args
            .get_many::<Fault>("fault")
            .into_iter()
            .flatten()
            .copied()
            .collect(),
        progress: !args.get_flag("quiet"),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(standin::cell::run(options)),
        Err(error) => Err(error.into()),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("cell: {report:#}");
            ExitCode::FAILURE
        }
    }
}
