//! The promises about graph jobs under every fault and every pair of faults.

use std::time::Duration;

use standin::graphs::{Fault, Report, Simulation};

/// Seeds on which every fault is run.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
/// Seed on which every pair of faults is run.
const PAIR_SEEDS: [u64; 2] = [11, 12];
/// Longest time without an owner after one fault: silence, jitter, a restart.
const MAX_OWNERLESS: Duration = Duration::from_millis(6_500);

fn run(seed: u64, faults: &[Fault]) -> Report {
    Simulation::new(seed, faults).run()
}

fn assert_guarantees_hold(seed: u64, faults: &[Fault]) {
    let report = run(seed, faults);

    assert!(
        report.violations.is_empty(),
        "{faults:?} seed {seed}: {:?}",
        &report.violations[..report.violations.len().min(4)]
    );
    assert!(
        report.accepted > 40,
        "{faults:?} seed {seed}: accepted {}",
        report.accepted
    );
}

#[test]
fn no_faults() {
    for seed in SEEDS {
        assert_guarantees_hold(seed, &[]);
    }
}

#[test]
fn every_fault_alone() {
    for fault in Fault::ALL {
        for seed in SEEDS {
            assert_guarantees_hold(seed, &[fault]);
        }
    }
}

#[test]
fn every_pair_of_faults() {
    for (i, first) in Fault::ALL.into_iter().enumerate() {
        for second in &Fault::ALL[i..] {
            for seed in PAIR_SEEDS {
                assert_guarantees_hold(seed, &[first, *second]);
            }
        }
    }
}

#[test]
fn a_killed_owner_is_replaced_in_time() {
    for seed in SEEDS {
        let report = run(seed, &[Fault::KillOwner]);

        assert!(
            report.max_ownerless < MAX_OWNERLESS,
            "seed {seed}: {:?}",
            report.max_ownerless
        );
    }
}

/// Schedules that once broke a promise, each with what was wrong.
#[test]
fn schedules_that_failed_before() {
    use Fault::{
        CrashServers, CutDataCentre, CutServers, FreezeOwner, GreyServers, KillAll, LateOrders,
        LeavingServers, LostServers, StopOwner, StoreDown, StoreForgets, StoreLost,
        StoreShutsOwnerOut,
    };
    let cases: [(u64, &[Fault]); 17] = [
        // Runs of a job cancelled during the takeover did not count.
        (1, &[FreezeOwner]),
        // A run on the next incarnation was taken for gone with the old one.
        (11, &[CrashServers, LeavingServers]),
        // A hold for the old incarnation acknowledged ends of the next one.
        (11, &[LateOrders, LeavingServers]),
        (1165, &[StoreDown, CrashServers]),
        // One incarnation was known twice.
        (1402, &[StopOwner, CrashServers]),
        // A suspended owner reached a restarted server before its successor.
        (1466, &[CrashServers, GreyServers, FreezeOwner]),
        // Orders were held back after a suspension until leases had lapsed.
        (1942, &[StoreDown, FreezeOwner]),
        // Unrecorded starts, then a kill: the records were trusted.
        (2765, &[StoreDown, KillAll, GreyServers]),
        // A refusal after a write that had no answer.
        (1779, &[StoreLost]),
        // Nothing stopped runs of a cancelled job that records brought back.
        (1599, &[FreezeOwner]),
        // Members of a gang that never arrived held their room.
        (3518, &[StoreForgets, KillAll, StopOwner]),
        (1838, &[StoreDown, StoreShutsOwnerOut, GreyServers]),
        // Holds without an answer put off the end of a lost server's leases.
        (1, &[LostServers]),
        // A new owner said that no job waited before it had read them.
        (1066, &[FreezeOwner, CutServers]),
        // Records of ended runs and found runs were counted together.
        (1210, &[CutDataCentre, LateOrders]),
        // A job that had ended was taken up again from an older read.
        (1, &[StoreForgets]),
        // A run that was found, not ordered, had no record for the next owner.
        (352, &[StoreDown, StopOwner, CutDataCentre]),
    ];

    for (seed, faults) in cases {
        assert_guarantees_hold(seed, faults);
    }
}
