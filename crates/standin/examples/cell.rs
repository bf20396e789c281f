//! A whole cell on loopback: see the README for its options and output.
//!
//! Invariant: exits with 1 when a promise was broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use standin::cell::{Fault, Options};

fn command() -> Command {
    Command::new("cell")
        .about("Runs stand-ins, real daemons and load on loopback, and judges the outcome")
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
                .help("Length of the load"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load"),
        )
        .arg(
            Arg::new("load")
                .long("load")
                .default_value("0.7")
                .value_parser(value_parser!(f64))
                .help("Load relative to capacity"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_delimiter(',')
                .value_parser(value_parser!(Fault))
                .help("Faults to inject, separated by commas"),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .action(ArgAction::SetTrue)
                .help("No progress on stderr"),
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
