//! Attempts of gangs: what the end of one says of the others.

use std::time::Duration;

use model::{Graph, RunOutcome, Step};

use crate::harness::{Harness, LAPSE_TIME, busy, graph, owner_of, replace_owner, wide};

const JOB: &str = "0000000000000001";

/// A gang of two that take a backend server each, and another task beside it.
fn gang_and_task() -> Graph {
    let mut graph = Graph {
        steps: wide(2, true).steps,
        ..graph()
    };
    graph.steps.push(Step {
        image: "other".into(),
        ..self::graph().steps.swap_remove(0)
    });
    graph
}

/// Runs of the gang, in all attempts.
fn gang_runs(harness: &Harness) -> usize {
    let lists = harness.fleet.values();
    let runs = lists.flat_map(|lists| &lists.running);
    runs.filter(|progress| progress.run.task.step == 0).count()
}

/// An owner with a gang whose first attempt completed on backend servers that are cut off,
/// after which a second one was started elsewhere.
fn owner_with_second_attempt() -> Harness {
    let mut harness = owner_of(6);
    harness.submit_to(&format!("/plain/{JOB}"), wide(2, true));
    harness.advance(Duration::from_millis(500));
    harness.unreachable = busy(&harness, 2).into_iter().collect();
    harness.advance(LAPSE_TIME);
    for id in harness.unreachable.clone() {
        let lists = harness.fleet.get_mut(&id).expect("a server");
        lists.end(RunOutcome::Completed, |_| true);
    }
    assert_eq!(gang_runs(&harness), 2, "{:?}", harness.placements);
    harness
}

/// Guards against a second attempt of a gang that goes on once the first is known to have
/// completed.
#[test]
fn the_end_of_an_attempt_stops_the_others() {
    let mut harness = owner_with_second_attempt();

    harness.unreachable.clear();
    harness.advance(Duration::from_secs(3));

    assert_eq!(gang_runs(&harness), 0);
}

/// Guards against the same when the stops get no answer, and the owner is replaced after it
/// has acknowledged the end and before it can repeat the stops.
#[test]
fn a_successor_stops_the_runs_of_tasks_that_are_done() {
    let mut harness = owner_of(6);
    harness.submit_to(&format!("/plain/{JOB}"), gang_and_task());
    harness.advance(Duration::from_millis(500));
    let first = harness.placements.clone();
    let first = first.iter().filter(|(_, run)| run.task.step == 0);
    harness.unreachable = first.map(|(id, _)| id.clone()).collect();
    harness.advance(LAPSE_TIME);
    let cut_off = std::mem::take(&mut harness.unreachable);
    for (id, lists) in &mut harness.fleet {
        let of_gang = lists.running.iter().any(|p| p.run.task.step == 0);
        match cut_off.contains(id) {
            true => lists.end(RunOutcome::Completed, |run| run.task.step == 0),
            false if of_gang => drop(harness.unreachable.insert(id.clone())),
            false => {}
        }
    }
    harness.advance(Duration::from_secs(2));
    assert_eq!(gang_runs(&harness), 2, "{:?}", harness.placements);

    for lists in harness.fleet.values_mut() {
        lists.finished.clear();
    }
    let mut successor = replace_owner(harness, 0);
    successor.advance(Duration::from_secs(4));
    successor.unreachable.clear();
    successor.advance(Duration::from_secs(3));

    assert!(successor.node.is_owner());
    assert_eq!(gang_runs(&successor), 0, "{:?}", successor.notices);
}
