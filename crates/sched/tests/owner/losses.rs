//! Tasks that crash the backend servers that start them.

use std::time::Duration;

use model::{Graph, Stage, Step};
use sched::{Event, Listing, Notice};

use crate::harness::{Harness, TICK, graph, listing, successor_of};

/// Starts of a task after three of its backend servers have crashed that are too many,
/// with the three before.
const TOO_MANY_STARTS: usize = 6;
/// Longest time that a start may take, the takeover by a successor included.
const MAX_WAIT: Duration = Duration::from_secs(12);
const JOB: &str = "0000000000000001";

/// An owner of one backend server that executes starts.
fn owner() -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness
}

/// Replaces the backend server by its next incarnation, as if the last run had crashed it.
fn crash(harness: &mut Harness) {
    harness.running.clear();
    harness.deliver(Event::ServerListed(Listing {
        incarnation: harness.incarnation + 1,
        ..listing()
    }));
}

/// Crashes the backend server after each start, at most `limit` times. Returns the number
/// of starts.
fn crash_after_each_start(harness: &mut Harness, limit: usize) -> usize {
    let before = harness.starts.len();
    for n in 1..=limit {
        let until = harness.now + MAX_WAIT;
        while harness.starts.len() < before + n && harness.now < until {
            harness.advance(TICK);
        }
        if harness.starts.len() < before + n {
            break;
        }
        crash(harness);
    }
    harness.starts.len() - before
}

fn has_failed(harness: &Harness) -> bool {
    let failed = |notice: &Notice| {
        let stage = Stage::Failed;
        matches!(notice, Notice::JobStage { stage: at, .. } if *at == stage)
    };
    harness.notices.iter().any(failed)
}

fn was_given_up(harness: &Harness) -> bool {
    let given_up = |notice: &Notice| matches!(notice, Notice::TaskGivenUp { .. });
    harness.notices.iter().any(given_up)
}

fn long_running() -> Graph {
    let step = graph().steps.swap_remove(0);
    Graph {
        steps: vec![Step {
            long_running: true,
            ..step
        }],
        ..graph()
    }
}

/// Guards against starting a task without end that crashes each backend server that
/// starts it.
#[test]
fn a_task_that_crashes_its_servers_is_given_up() {
    let mut harness = owner();
    harness.submit_plain(JOB);

    let starts = crash_after_each_start(&mut harness, 2 * TOO_MANY_STARTS);

    assert!(starts < TOO_MANY_STARTS, "{starts} starts");
    assert!(has_failed(&harness) && was_given_up(&harness));
}

/// Guards against the same for tasks that have no limit of attempts.
#[test]
fn a_long_running_task_that_crashes_its_servers_is_given_up() {
    let mut harness = owner();
    harness.submit_to(&format!("/plain/{JOB}"), long_running());

    let starts = crash_after_each_start(&mut harness, 2 * TOO_MANY_STARTS);

    assert!(starts < TOO_MANY_STARTS, "{starts} starts");
    assert!(has_failed(&harness) && was_given_up(&harness));
}

/// Guards against an owner that begins to count anew what its predecessor knew, also when
/// the last crash came while there was no owner.
#[test]
fn crashes_that_a_predecessor_knew_of_count() {
    for crashes_unowned in [false, true] {
        let mut owner = owner();
        owner.submit_plain(JOB);
        let before = crash_after_each_start(&mut owner, 2);
        owner.advance(Duration::from_millis(500));
        let started = owner.starts.len();

        let mut successor = successor_of(&owner);
        assert_eq!(started, before + 1);
        let crashed = usize::from(crashes_unowned);
        successor.incarnation = owner.incarnation + crashed as u64;
        successor.running = match crashed {
            0 => owner.running.clone(),
            _ => Vec::new(),
        };
        successor.listings = vec![Listing {
            incarnation: successor.incarnation,
            ..listing()
        }];
        successor.renews_by_tick = true;
        successor.starts_run = true;
        if crashed == 0 {
            successor.advance(Duration::from_secs(4));
            crash(&mut successor);
        }
        let after = crash_after_each_start(&mut successor, 2 * TOO_MANY_STARTS);

        let starts = started + after;
        assert!(starts < TOO_MANY_STARTS, "{starts} starts");
        assert!(has_failed(&successor) && was_given_up(&successor));
    }
}

/// Guards against giving up a task whose backend servers leave as planned.
#[test]
fn a_task_on_servers_that_drain_is_not_given_up() {
    let mut harness = owner();
    harness.submit_plain(JOB);

    for _ in 0..TOO_MANY_STARTS {
        harness.advance(Duration::from_millis(200));
        harness.deliver(Event::ServerListed(Listing {
            incarnation: harness.incarnation,
            draining: true,
            ..listing()
        }));
        crash(&mut harness);
    }
    harness.advance(Duration::from_secs(1));

    assert!(harness.starts.len() > TOO_MANY_STARTS);
    assert!(!has_failed(&harness));
}

/// Guards against counting crashes against a task that runs for long before each of them.
#[test]
fn a_task_that_runs_for_long_before_each_crash_is_not_given_up() {
    let mut harness = owner();
    harness.submit_to(&format!("/plain/{JOB}"), long_running());

    for _ in 0..TOO_MANY_STARTS {
        harness.advance(Duration::from_secs(32));
        crash(&mut harness);
    }
    harness.advance(Duration::from_secs(3));

    assert!(harness.starts.len() > TOO_MANY_STARTS);
    assert!(!has_failed(&harness));
}
