//! Runs one schedule of graph schedulers and prints what happened.
//!
//! Invariant: the exit code is 1 when a promise was broken.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use standin::graphs::{Fault, Simulation, SimulationOptions};

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
        .arg(
            Arg::new("sweep")
                .long("sweep")
                .value_parser(value_parser!(u64))
                .help("Runs this many schedules from the seed on, with one to three faults each"),
        )
        .arg(
            Arg::new("servers")
                .long("servers")
                .value_parser(value_parser!(usize))
                .help("Backend servers; the owner's books are then not checked, and no team is limited"),
        )
        .arg(
            Arg::new("job-gap")
                .long("job-gap")
                .default_value("125")
                .value_parser(value_parser!(u64).range(1..))
                .help("Mean time between two jobs in ms, with --servers"),
        )
        .get_matches();
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let fault_names = args.get_many::<String>("fault").into_iter().flatten();
    let mut faults = Vec::new();
    for name in fault_names {
        match Fault::ALL.iter().find(|f| format!("{f:?}") == *name) {
            Some(fault) => faults.push(*fault),
            None => {
                eprintln!("no fault {name}; there are {:?}", Fault::ALL);
                return ExitCode::from(2);
            }
        }
    }
    if let Some(count) = args.get_one::<u64>("sweep") {
        return sweep(seed, *count);
    }
    let job_gap = args.get_one::<u64>("job-gap").copied().unwrap_or(125);
    let options = match args.get_one::<usize>("servers") {
        None => SimulationOptions::default(),
        Some(&servers) => SimulationOptions {
            servers,
            job_gap: job_gap / 4..job_gap * 7 / 4 + 1,
            team_limit: u32::MAX,
            verify: false,
        },
    };
    let simulation = Simulation::with_options(seed, &faults, options);
    let report = match args.get_flag("trace") {
        true => simulation.with_trace().run(),
        false => simulation.run(),
    };
    for (at, violation) in &report.violations {
        println!("{at:?} {violation}");
    }
    println!(
        "accepted {} completed {} starts {} ownerless {:?}",
        report.accepted, report.completed, report.starts, report.max_ownerless
    );
    println!(
        "the owner's turns took {:?}, the longest {:?}",
        report.owner_step_time, report.longest_owner_step
    );
    match report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs schedules with faults that their seeds draw.
fn sweep(first: u64, count: u64) -> ExitCode {
    let mut failed = 0;
    for seed in first..first + count {
        let mut rng = fastrand::Rng::with_seed(seed);
        let faults = rng.choose_multiple(Fault::ALL, seed as usize % 3 + 1);
        let report = Simulation::new(seed, &faults).run();
        if let Some((at, violation)) = report.violations.first() {
            failed += 1;
            println!("seed {seed} {faults:?}: {at:?} {violation}");
        }
    }
    println!("{count} schedules, {failed} with a broken promise");
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
