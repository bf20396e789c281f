//! Runs simulations of graph schedulers and prints their results.
//!
//! Invariant: the exit status is 1 if a guarantee was violated.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use standin::graphs::{Burst, Fault, Simulation, SimulationOptions};

fn main() -> ExitCode {
    let args = Command::new("graphs")
        .about("Simulates graph schedulers and checks the guarantees for graph jobs")
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
                .help("Name of a fault to inject; may be repeated"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .action(ArgAction::SetTrue)
                .help("Prints log events, faults and the events of every run"),
        )
        .arg(
            Arg::new("copy-share")
                .long("copy-share")
                .value_parser(value_parser!(f64))
                .help("Half of the jobs permit copies of their tasks, some runs of which are slow; share of the servers that copies may take, 0 for none"),
        )
        .arg(
            Arg::new("sweep")
                .long("sweep")
                .value_parser(value_parser!(u64))
                .help("Runs this many simulations with consecutive seeds and the given faults, or one to three others each"),
        )
        .arg(
            Arg::new("servers")
                .long("servers")
                .value_parser(value_parser!(usize))
                .help("Number of backend servers; turns off team limits and the check of the owner's state"),
        )
        .arg(
            Arg::new("job-gap")
                .long("job-gap")
                .default_value("125")
                .value_parser(value_parser!(u64).range(1..))
                .help("Mean time between two job submissions in ms; used with --servers"),
        )
        .arg(
            Arg::new("partitions")
                .long("partitions")
                .default_value("6")
                .value_parser(value_parser!(u32).range(1..))
                .help("Number of partitions, each of which executes one transaction in 6 ms; used with --servers"),
        )
        .arg(
            Arg::new("burst")
                .long("burst")
                .value_parser(value_parser!(f64))
                .help("Multiple of the usual rate of submissions from second 5 to second 9; used with --servers"),
        )
        .get_matches();
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let fault_names = args.get_many::<String>("fault").into_iter().flatten();
    let mut faults = Vec::new();
    for name in fault_names {
        match Fault::ALL.iter().find(|f| format!("{f:?}") == *name) {
            Some(fault) => faults.push(*fault),
            None => {
                eprintln!("unknown fault {name:?}; valid faults: {:?}", Fault::ALL);
                return ExitCode::from(2);
            }
        }
    }
    let copy_share = args.get_one("copy-share").copied();
    if let Some(count) = args.get_one::<u64>("sweep") {
        return sweep(seed, *count, &faults, copy_share);
    }
    let job_gap = args.get_one::<u64>("job-gap").copied().unwrap_or(125);
    let options = match args.get_one::<usize>("servers") {
        None => SimulationOptions {
            copy_share,
            ..SimulationOptions::default()
        },
        Some(&servers) => SimulationOptions {
            servers,
            job_gap: job_gap / 4..job_gap * 7 / 4 + 1,
            team_limit: u32::MAX,
            verify: false,
            job_partitions: args.get_one("partitions").copied().unwrap_or(6),
            partition_time: Duration::from_millis(6),
            copy_share,
            burst: args.get_one("burst").map(|factor| Burst {
                begin: Duration::from_secs(5),
                end: Duration::from_secs(9),
                factor: *factor,
            }),
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
        "accepted {} completed {} starts {} copies {} longest time without owner {:?}",
        report.accepted, report.completed, report.starts, report.copies, report.max_ownerless
    );
    for second in (1..14).step_by(2) {
        let window = Duration::from_secs(second)..Duration::from_secs(second + 2);
        let delays = report.start_delays.iter();
        let delays = delays.filter(|(at, _)| window.contains(at));
        let mut delays: Vec<Duration> = delays.map(|(_, delay)| *delay).collect();
        delays.sort_unstable();
        let median = delays.get(delays.len() / 2).copied().unwrap_or_default();
        println!("submitted from second {second}: median time to start {median:?}");
    }
    println!(
        "owner processing time {:?}, longest for one event {:?}",
        report.owner_step_time, report.longest_owner_step
    );
    match report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs simulations with the given faults, or with some that are drawn from their seeds.
/// In those with an even seed, and in all with a `copy_share`, jobs permit copies.
fn sweep(first: u64, count: u64, given: &[Fault], copy_share: Option<f64>) -> ExitCode {
    let (mut failed, mut started_copies) = (0, 0);
    let mut times: Vec<Duration> = Vec::new();
    for seed in first..first + count {
        let mut rng = fastrand::Rng::with_seed(seed);
        let faults = match given {
            [] => rng.choose_multiple(Fault::ALL, seed as usize % 3 + 1),
            given => given.to_vec(),
        };
        let options = SimulationOptions {
            copy_share: copy_share.or(seed.is_multiple_of(2).then_some(0.05)),
            ..SimulationOptions::default()
        };
        let report = Simulation::with_options(seed, &faults, options).run();
        started_copies += report.copies;
        times.extend(report.speculative_job_times);
        if let Some((at, violation)) = report.violations.first() {
            failed += 1;
            println!("seed {seed} {faults:?}: {at:?} {violation}");
        }
    }
    println!(
        "{count} simulations, {failed} with violated guarantees, {started_copies} copies started"
    );
    times.sort_unstable();
    let quantile = |of_100: usize| times.get(times.len() * of_100 / 100).copied();
    println!(
        "{} jobs that permit copies: median {:?}, p90 {:?}, p99 {:?} from submission to end",
        times.len(),
        quantile(50).unwrap_or_default(),
        quantile(90).unwrap_or_default(),
        quantile(99).unwrap_or_default()
    );
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
