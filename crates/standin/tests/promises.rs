//! Guarantees of a cell under every kind of fault, alone and in pairs.
//!
//! Invariant: the seeds and the list of faults are fixed.

use standin::schedule::{ALL_FAULTS, Fault, Simulation, Violation};

/// Seeds used for each combination of faults.
const SEEDS: [u64; 4] = [1, 2, 11, 12];

/// Description of a failed run, with the faults and the seed that reproduce it.
#[derive(Clone, Debug, PartialEq)]
struct FailureReport(String);

/// Runs one simulation; returns the numbers of answered requests and accepted
/// jobs.
fn run(faults: &[Fault], seed: u64) -> Result<(u64, usize), FailureReport> {
    let mut simulation = Simulation::new(seed, faults);
    match simulation.run() {
        Ok(()) => Ok((
            simulation.clients.answered_requests,
            simulation.clients.accepted_jobs(),
        )),
        Err(violation) => {
            let text = describe(faults, seed, &violation, &simulation);
            println!("{text}");
            Err(FailureReport(text))
        }
    }
}

fn describe(faults: &[Fault], seed: u64, violation: &Violation, simulation: &Simulation) -> String {
    let log = match std::env::var_os("SCHEDULE_LOG") {
        Some(_) => simulation.clients.log_lines.join("\n"),
        None => String::new(),
    };
    format!("{faults:?} seed {seed}: {violation:?}\n{log}")
}

/// Threads among which the combinations are divided. Each simulation runs on a
/// single thread.
const THREADS: usize = 8;

/// Runs all combinations with all seeds, then fails with a list of the runs that
/// violated a guarantee.
fn check_combinations(combinations: &[Vec<Fault>]) {
    let mut failures = Vec::new();
    let size = combinations.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        let parts = combinations.chunks(size);
        let threads: Vec<_> = parts
            .map(|part| scope.spawn(|| run_combinations(part)))
            .collect();
        for thread in threads {
            failures.extend(thread.join().expect("simulation thread panicked"));
        }
    });
    assert!(
        failures.is_empty(),
        "{} runs violated a guarantee:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

fn run_combinations(combinations: &[Vec<Fault>]) -> Vec<String> {
    let mut failures = Vec::new();
    for faults in combinations {
        for seed in SEEDS {
            match run(faults, seed) {
                Ok((answered, jobs)) if answered > 100 && jobs > 20 => {}
                Ok(counts) => failures.push(format!(
                    "{faults:?} seed {seed}: too few requests or jobs: {counts:?}"
                )),
                Err(FailureReport(text)) => failures.push(text),
            }
        }
    }
    failures
}

#[test]
fn without_faults() {
    check_combinations(&[vec![]]);
}

#[test]
fn each_fault_alone() {
    let alone: Vec<Vec<Fault>> = ALL_FAULTS.iter().map(|f| vec![*f]).collect();
    check_combinations(&alone);
}

#[test]
fn every_pair_of_faults() {
    let mut pairs = Vec::new();
    for (index, a) in ALL_FAULTS.iter().enumerate() {
        pairs.extend(ALL_FAULTS[index + 1..].iter().map(|b| vec![*a, *b]));
    }
    check_combinations(&pairs);
}

#[test]
fn planned_stop_hands_over_within_a_second() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, &[Fault::PlannedStop]);

        simulation.run().expect("a guarantee is violated");

        let events = &simulation.clients.events;
        let first = |number: u16, from_ms: u64| {
            let mut later = events.iter().filter(|e| e.0 >= from_ms);
            later.find(|e| e.2 == number).map(|e| e.0)
        };
        let stop_requested_ms =
            first(101, 0).expect("no event 101: the planned stop did not begin");
        let released_ms =
            first(143, stop_requested_ms).expect("no event 143: ownership was not released");
        let acquired_ms =
            first(141, released_ms).expect("no event 141: no other VM acquired ownership");
        assert!(
            acquired_ms - released_ms <= 1_000,
            "data centre without an owner for {} ms",
            acquired_ms - released_ms
        );
        assert!(
            released_ms - stop_requested_ms <= 10_000,
            "ownership released only {} ms after the stop request",
            released_ms - stop_requested_ms
        );
    }
}

/// Reproduces a single run. `SCHEDULE_FAULTS` holds the seed, followed by
/// indexes into `ALL_FAULTS`, separated by commas; with `SCHEDULE_LOG` set, the
/// log of a failed run is printed. Without `SCHEDULE_FAULTS`, nothing is run.
#[test]
fn reproduce_single_run() {
    let Ok(selection) = std::env::var("SCHEDULE_FAULTS") else {
        return;
    };
    let mut numbers = selection.split(',').filter_map(|n| n.parse::<usize>().ok());
    let seed = numbers.next().unwrap_or(1) as u64;
    let faults: Vec<Fault> = numbers.map(|n| ALL_FAULTS[n]).collect();
    assert_eq!(run(&faults, seed).err(), None);
}
