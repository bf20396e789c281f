//! Evacuation of data centres on request of the operator.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Graph, Name, Step};
use sched::{Event, Settings, Timing};

use crate::harness::{Harness, LAPSE_TIME, graph, named_listing, replace_owner, settings, wide};

const JOB: &str = "0000000000000001";
const NORTH: &str = "north";
const SOUTH: &str = "south";
/// Longest time until a task starts for which there is room.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Age of the requests above which nothing may start.
const MAX_AGE: Duration = Duration::from_secs(5);

/// An owner of `each` backend servers in each of two data centres, `north` first.
fn owner_of_two_data_centres(each: usize) -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    for n in 0..each * 2 {
        let (data_centre, id) = match n < each {
            true => (NORTH, format!("n{n}")),
            false => (SOUTH, format!("s{n}")),
        };
        let mut listing = named_listing(&id);
        listing.data_centre = data_centre.into();
        harness.listings.push(listing);
        harness.fleet.insert(id.into(), Default::default());
    }
    harness.listings.remove(0); // That of the default fixture.
    harness.advance(Duration::from_secs(1));
    harness
}

/// Reports that the operator's table was read and requests to evacuate these data centres.
fn request(harness: &mut Harness, data_centres: &[&str]) {
    let data_centres: BTreeSet<Name> = data_centres.iter().map(|dc| Name::from(*dc)).collect();
    let requested_at = harness.now;
    harness.deliver(Event::Evacuations {
        data_centres,
        requested_at,
    });
}

/// Number of runs that were started in a data centre.
fn starts_in(harness: &Harness, data_centre: &str) -> usize {
    let prefix = data_centre.chars().next();
    let placed = harness.placements.iter();
    placed.filter(|(id, _)| id.chars().next() == prefix).count()
}

fn tasks(count: u32) -> Graph {
    let mut graph = graph();
    graph.steps[0].tasks = count;
    graph
}

fn submit(harness: &mut Harness, graph: Graph) {
    harness.submit_to(&format!("/plain/{JOB}"), graph);
}

/// Guards against starts in a data centre that the operator has asked to evacuate.
#[test]
fn nothing_starts_in_an_evacuated_data_centre() {
    let mut harness = owner_of_two_data_centres(2);

    request(&mut harness, &[NORTH]);
    submit(&mut harness, tasks(40));
    harness.advance(MAX_WAIT);

    assert_eq!(starts_in(&harness, NORTH), 0);
    assert_eq!(starts_in(&harness, SOUTH), 40);
}

/// Guards against room that stays unused once the request is withdrawn.
#[test]
fn a_restored_data_centre_is_used_at_once() {
    let mut harness = owner_of_two_data_centres(2);
    request(&mut harness, &[NORTH, SOUTH]);
    submit(&mut harness, tasks(10));
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.placements.len(), 0);

    request(&mut harness, &[SOUTH]);
    harness.advance(MAX_WAIT);

    assert_eq!(starts_in(&harness, NORTH), 10);
    assert_eq!(starts_in(&harness, SOUTH), 0);
}

/// Guards against a start that was planned before the request and sent after it, since its
/// record took that long to write.
#[test]
fn starts_that_wait_for_their_records_are_placed_elsewhere() {
    let mut harness = owner_of_two_data_centres(1);
    harness.holds_states = true;
    submit(&mut harness, wide(2, false));
    harness.advance(MAX_WAIT);
    assert!(!harness.held_states.is_empty());

    request(&mut harness, &[NORTH]);
    harness.holds_states = false;
    harness.answer_held_states();
    harness.advance(Duration::from_secs(2));

    assert_eq!(starts_in(&harness, NORTH), 0);
    assert_eq!(starts_in(&harness, SOUTH), 1);
}

/// Guards against a gang of which half is dropped and half is started.
#[test]
fn a_gang_that_waits_for_its_record_is_placed_elsewhere_as_a_whole() {
    let mut harness = owner_of_two_data_centres(3);
    request(&mut harness, &[]);
    harness.holds_states = true;
    submit(&mut harness, wide(3, true));
    harness.advance(MAX_WAIT);

    request(&mut harness, &[NORTH]);
    harness.holds_states = false;
    harness.answer_held_states();
    harness.advance(Duration::from_secs(2));

    assert_eq!(starts_in(&harness, NORTH), 0);
    assert_eq!(starts_in(&harness, SOUTH), 3);
    let numbers: BTreeSet<_> = harness
        .placements
        .iter()
        .map(|(_, run)| run.number)
        .collect();
    assert_eq!(numbers.len(), 1, "one attempt: {:?}", harness.placements);
}

/// Guards against the stop of work that may go on: the request is about what is started.
#[test]
fn what_runs_in_an_evacuated_data_centre_goes_on() {
    let mut harness = owner_of_two_data_centres(1);
    let lasting = Step {
        long_running: true,
        ..wide(2, false).steps.swap_remove(0)
    };
    let steps = vec![lasting];
    submit(&mut harness, Graph { steps, ..graph() });
    harness.advance(MAX_WAIT);
    assert_eq!(starts_in(&harness, NORTH), 1);

    request(&mut harness, &[NORTH]);
    harness.advance(Duration::from_secs(10));

    let running = harness.fleet.values().map(|lists| lists.running.len());
    assert_eq!(running.sum::<usize>(), 2);
    assert_eq!(harness.placements.len(), 2, "nothing starts again");
}

/// Guards against a successor that starts tasks before it knows the requests: the owner is
/// killed right after the operator's write was acknowledged.
#[test]
fn a_successor_honours_a_request_that_its_predecessor_did_not_read() {
    let mut harness = owner_of_two_data_centres(1);
    harness.holds_states = true;
    submit(&mut harness, wide(2, false));
    harness.advance(Duration::from_millis(20));

    let mut successor = replace_owner(harness, 1);
    request(&mut successor, &[NORTH]);
    successor.advance(LAPSE_TIME + Duration::from_secs(4));

    assert!(successor.node.is_owner());
    assert_eq!(starts_in(&successor, NORTH), 0);
    assert_eq!(starts_in(&successor, SOUTH), 1);
}

fn with_max_age() -> Settings {
    Settings {
        timing: Timing {
            max_evacuation_age: Some(MAX_AGE),
            ..Timing::default()
        },
        ..settings("owner", 0.25)
    }
}

/// Guards against starts on the strength of an old read: a request may have been made while
/// the store did not serve this VM.
#[test]
fn nothing_starts_while_the_last_read_is_too_old() {
    let mut harness = owner_of_two_data_centres(1);
    harness.node.reconfigure(with_max_age());
    request(&mut harness, &[]);
    harness.advance(MAX_AGE);

    submit(&mut harness, tasks(4));
    harness.advance(Duration::from_secs(2));
    let while_unknown = harness.placements.len();
    request(&mut harness, &[NORTH]);
    harness.advance(MAX_WAIT);

    assert_eq!(while_unknown, 0);
    assert_eq!(starts_in(&harness, SOUTH), 4);
    assert_eq!(starts_in(&harness, NORTH), 0);
}

/// Guards against a data centre that stays empty since the withdrawal came while the store
/// did not serve this VM.
#[test]
fn a_request_that_was_withdrawn_in_an_outage_ends_with_the_next_read() {
    let mut harness = owner_of_two_data_centres(1);
    harness.node.reconfigure(with_max_age());
    request(&mut harness, &[NORTH]);
    harness.advance(MAX_AGE + Duration::from_secs(1));

    request(&mut harness, &[]);
    submit(&mut harness, wide(2, false));
    harness.advance(MAX_WAIT);

    assert_eq!(starts_in(&harness, NORTH), 1);
}
