//! Recurring jobs with many occurrences that are due, and the size of their rows.

use std::collections::BTreeSet;
use std::time::Duration;

use model::graph::MAX_ROW_BYTES;
use model::{Graph, Name, Recurrence, Resources, RunOutcome, Step};

use crate::harness::{Harness, TICK, graph, owner_of};

const JOB: &str = "0000000000000001";

/// A job of which `times` occurrences are due at once.
fn recurring(tasks: u32, times: u32) -> Graph {
    let step = graph().steps.swap_remove(0);
    Graph {
        steps: vec![Step {
            tasks,
            each: Resources::of(10, 1, 0, 0),
            ..step
        }],
        recurrence: Some(Recurrence {
            times,
            first: Duration::from_secs(1),
            every: Duration::ZERO,
        }),
        ..graph()
    }
}

/// Ends all runs whenever they are listed, for at most `ticks` ticks.
fn run_all(harness: &mut Harness, ticks: u32) {
    for _ in 0..ticks {
        harness.advance(TICK);
        for lists in harness.fleet.values_mut() {
            lists.end(RunOutcome::Completed, |_| true);
        }
    }
}

/// Length of the longest state row that was written.
fn longest_state(harness: &Harness) -> usize {
    let writes = harness.commits.iter().flat_map(|(_, t)| &t.writes);
    let states = writes.filter(|write| write.key.starts_with("state/"));
    let lengths = states.filter_map(|write| Some(write.value.as_ref()?.len()));
    lengths.max().unwrap_or(0)
}

/// Guards against an owner that creates the states of all due occurrences in one pass,
/// and against one that forgets those that it did not create.
#[test]
fn due_occurrences_are_created_little_by_little_and_all_run() {
    const TIMES: u32 = 400;
    let mut harness = owner_of(4);
    harness.submit_to(&format!("/plain/{JOB}"), recurring(1, TIMES));
    harness.advance(Duration::from_secs(1));
    let open: BTreeSet<u32> = harness
        .placements
        .iter()
        .map(|(_, run)| run.task.occurrence)
        .collect();

    run_all(&mut harness, 600);

    let ran: BTreeSet<u32> = harness
        .placements
        .iter()
        .map(|(_, run)| run.task.occurrence)
        .collect();
    let bound = recurring(1, TIMES).max_open_occurrences() as usize;
    assert!(!open.is_empty() && open.len() <= bound, "{}", open.len());
    assert_eq!(ran.len(), TIMES as usize, "{:?}", ran.last());
    assert_eq!(harness.placements.len(), TIMES as usize, "none ran twice");
    assert_eq!(harness.node.verify(), []);
}

/// Guards against a bound on jobs that their rows exceed.
#[test]
fn the_state_of_the_largest_valid_job_fits_in_a_row() {
    let sizes = (1..16_384).rev();
    let tasks = sizes
        .into_iter()
        .find(|tasks| recurring(*tasks, 1).verify().is_ok());
    let tasks = tasks.expect("a valid size");
    let mut harness = owner_of(400);
    harness.submit_to(&format!("/plain/{JOB}"), recurring(tasks, 1));

    harness.advance(Duration::from_secs(20));

    let used: BTreeSet<&Name> = harness.placements.iter().map(|(id, _)| id).collect();
    assert_eq!(harness.placements.len(), tasks as usize, "all tasks run");
    assert!(used.len() > 300, "{} servers", used.len());
    assert!(longest_state(&harness) <= MAX_ROW_BYTES);
}
