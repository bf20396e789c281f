//! The promises under every kind of failure, alone and in pairs.
//!
//! Invariant: the seeds and the table of faults are fixed.

use standin::schedule::{ALL, Failing, Fault, Schedule};

/// Seeds of each combination.
const SEEDS: [u64; 2] = [1, 2];

/// Runs one schedule; the error text names what is needed to run it again.
fn run(faults: &[Fault], seed: u64) -> Result<(u64, usize), String> {
    let mut schedule = Schedule::new(seed, faults);
    match schedule.run() {
        Ok(()) => Ok((schedule.callers.answered, schedule.callers.jobs())),
        Err(failing) => Err(describe(faults, seed, &failing, &schedule)),
    }
}

fn describe(faults: &[Fault], seed: u64, failing: &Failing, schedule: &Schedule) -> String {
    let log = match std::env::var_os("SCHEDULE_LOG") {
        Some(_) => schedule.callers.lines.join("\n"),
        None => String::new(),
    };
    format!("{faults:?} seed {seed}: {failing:?}\n{log}")
}

/// Runs combinations and fails with all that broke a promise.
fn check(combinations: &[Vec<Fault>]) {
    let mut failures = Vec::new();
    for faults in combinations {
        for seed in SEEDS {
            match run(faults, seed) {
                Ok((answered, jobs)) => {
                    assert!(
                        answered > 100 && jobs > 20,
                        "{faults:?}: too little was done"
                    );
                }
                Err(failure) => failures.push(failure),
            }
        }
    }
    assert!(
        failures.is_empty(),
        "{} failed:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

#[test]
fn without_faults() {
    check(&[vec![]]);
}

#[test]
fn each_fault_alone() {
    let alone: Vec<Vec<Fault>> = ALL.iter().map(|f| vec![*f]).collect();
    check(&alone);
}

#[test]
fn every_pair_of_faults() {
    let mut pairs = Vec::new();
    for (at, a) in ALL.iter().enumerate() {
        pairs.extend(ALL[at + 1..].iter().map(|b| vec![*a, *b]));
    }
    check(&pairs);
}
