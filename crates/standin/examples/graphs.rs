//! Runs one schedule of graph schedulers and prints what happened.
//!
//! Invariant: the exit code is 1 when a promise was broken.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use standin::graphs::{Fault, World};

fn main() -> ExitCode {
    let args = Command::new("graphs")
        .about("Runs one schedule of graph schedulers in simulated time")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .action(ArgAction::Append)
                .help("Name of a fault; may be given several times"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .action(ArgAction::SetTrue)
                .help("Prints every decision and everything that runs"),
        )
        .get_matches();
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let named = args.get_many::<String>("fault").into_iter().flatten();
    let mut faults = Vec::new();
    for name in named {
        match Fault::ALL.iter().find(|f| format!("{f:?}") == *name) {
            Some(fault) => faults.push(*fault),
            None => {
                eprintln!("no fault {name}; there are {:?}", Fault::ALL);
                return ExitCode::from(2);
            }
        }
    }
    let world = World::new(seed, &faults);
    let report = match args.get_flag("trace") {
        true => world.traced().run(),
        false => world.run(),
    };
    for (at, broken) in &report.broken {
        println!("{at:?} {broken}");
    }
    println!(
        "accepted {} completed {} starts {} ownerless {:?}",
        report.accepted, report.completed, report.starts, report.ownerless
    );
    match report.broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
