//! Evacuations of data centres under load and under every kind of fault.
//!
//! Invariant: the seeds, the faults and the times of the requests are fixed.

use model::ConfigError;
use standin::schedule::{ALL_FAULTS, Evacuation, Fault, Simulation};

/// Seeds used for each combination of faults and evacuations.
const SEEDS: [u64; 4] = [1, 2, 11, 12];

fn evacuation(data_centre: &'static str, at_ms: u64) -> Evacuation {
    Evacuation {
        data_centre,
        at_ms,
        hold_ms: 9_000,
        kills_owner: false,
    }
}

/// Evacuation whose end is requested while the faults are present.
fn early() -> Vec<Evacuation> {
    vec![evacuation("east", 8_000)]
}

/// Evacuation that is requested while the faults are present, and whose owner is
/// killed when it is acknowledged.
fn owner_killed() -> Vec<Evacuation> {
    vec![Evacuation {
        kills_owner: true,
        ..evacuation("east", 14_000)
    }]
}

/// Evacuation that lasts until after the faults.
fn long() -> Vec<Evacuation> {
    vec![Evacuation {
        hold_ms: 20_000,
        ..evacuation("east", 12_500)
    }]
}

/// Two evacuations at once, which leave no data centre.
fn all_data_centres() -> Vec<Evacuation> {
    vec![evacuation("east", 13_000), evacuation("west", 13_000)]
}

fn check(faults: &[Fault], evacuations: &[Evacuation]) {
    for seed in SEEDS {
        let mut simulation = Simulation::with_evacuations(seed, faults, evacuations);

        let result = simulation.run();

        let clients = &simulation.clients;
        assert_eq!(result, Ok(()), "{faults:?} seed {seed}");
        let acknowledged = (clients.evacuated, clients.restored);
        let expected = evacuations.len() as u32;
        assert_eq!(
            acknowledged,
            (expected, expected),
            "{faults:?} seed {seed}: evacuations and restorations acknowledged"
        );
    }
}

fn check_with_each_fault(evacuations: &[Evacuation]) {
    check(&[], evacuations);
    for fault in ALL_FAULTS {
        check(&[fault], evacuations);
    }
}

/// Guards against starts in the data centre after the acknowledgement, and
/// against an evacuation that outlasts its end.
#[test]
fn nothing_starts_after_an_acknowledged_evacuation() {
    check_with_each_fault(&early());
}

/// Guards against start orders that are repeated to a worker which was
/// unreachable when its data centre was evacuated.
#[test]
fn start_orders_without_a_response_are_not_repeated() {
    check_with_each_fault(&long());
}

/// Guards against a successor that starts work before it knows the evacuation.
#[test]
fn a_successor_of_the_owner_keeps_the_evacuation() {
    check_with_each_fault(&owner_killed());
}

/// Guards against work that is sent somewhere although no data centre is left,
/// and against accepted jobs that do not end afterwards.
#[test]
fn all_data_centres_can_be_evacuated_at_once() {
    check_with_each_fault(&all_data_centres());
}

/// Guards against a misspelt name that is acknowledged without any effect.
#[test]
fn an_unknown_data_centre_is_rejected_by_name() {
    let unknown = [evacuation("nowhere", 8_000)];
    let mut simulation = Simulation::with_evacuations(SEEDS[0], &[], &unknown);

    simulation.run().expect("a guarantee is violated");

    let expected = ConfigError::NoDataCentre("nowhere".into());
    assert_eq!(simulation.clients.conflicts, [expected]);
}
