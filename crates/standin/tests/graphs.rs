//! The promises about graph jobs under every fault and every pair of faults.

use std::time::Duration;

use standin::graphs::{Fault, Report, World};

/// Seeds on which every fault is run.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
/// Seed on which every pair of faults is run.
const PAIR_SEEDS: [u64; 2] = [11, 12];
/// Longest time without an owner after one fault: silence, jitter, a restart.
const OWNERLESS: Duration = Duration::from_millis(6_500);

fn run(seed: u64, faults: &[Fault]) -> Report {
    World::new(seed, faults).run()
}

fn assert_kept(seed: u64, faults: &[Fault]) {
    let report = run(seed, faults);

    assert!(
        report.broken.is_empty(),
        "{faults:?} seed {seed}: {:?}",
        &report.broken[..report.broken.len().min(4)]
    );
    assert!(
        report.accepted > 40,
        "{faults:?} seed {seed}: accepted {}",
        report.accepted
    );
}

#[test]
fn calm() {
    for seed in SEEDS {
        assert_kept(seed, &[]);
    }
}

#[test]
fn every_fault_alone() {
    for fault in Fault::ALL {
        for seed in SEEDS {
            assert_kept(seed, &[fault]);
        }
    }
}

#[test]
fn every_pair_of_faults() {
    for (i, first) in Fault::ALL.into_iter().enumerate() {
        for second in &Fault::ALL[i..] {
            for seed in PAIR_SEEDS {
                assert_kept(seed, &[first, *second]);
            }
        }
    }
}

#[test]
fn a_killed_owner_is_replaced_in_time() {
    for seed in SEEDS {
        let report = run(seed, &[Fault::KillOwner]);

        assert!(
            report.ownerless < OWNERLESS,
            "seed {seed}: {:?}",
            report.ownerless
        );
    }
}
