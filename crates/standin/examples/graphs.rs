//! Runs one schedule of graph schedulers and prints what happened.
//!
//! Invariant: the exit code is 1 when a promise was broken.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use standin::graphs::{Fault, Scale, World};

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
    if let Some(count) = args.get_one::<u64>("sweep") {
        return sweep(seed, *count);
    }
    let gap = args.get_one::<u64>("job-gap").copied().unwrap_or(125);
    let scale = match args.get_one::<usize>("servers") {
        None => Scale::default(),
        Some(&servers) => Scale {
            servers,
            job_gap: gap / 4..gap * 7 / 4 + 1,
            team_limit: u32::MAX,
            verify: false,
        },
    };
    let world = World::scaled(seed, &faults, scale);
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
    println!(
        "the owner's turns took {:?}, the longest {:?}",
        report.turns, report.longest_turn
    );
    match report.broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs schedules with faults that their seeds draw.
fn sweep(first: u64, count: u64) -> ExitCode {
    let mut red = 0;
    for seed in first..first + count {
        let mut rng = fastrand::Rng::with_seed(seed);
        let faults = rng.choose_multiple(Fault::ALL, seed as usize % 3 + 1);
        let report = World::new(seed, &faults).run();
        if let Some((at, broken)) = report.broken.first() {
            red += 1;
            println!("seed {seed} {faults:?}: {at:?} {broken}");
        }
    }
    println!("{count} schedules, {red} with a broken promise");
    match red {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
