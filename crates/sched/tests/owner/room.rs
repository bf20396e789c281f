//! Placement while part of what waits finds no room.

use std::time::Duration;

use model::{Graph, Resources, Step};

use crate::harness::{Harness, graph, owner_of};

const SERVERS: usize = 4;
/// Jobs without room; more than a pass used to examine.
const LARGE_JOBS: usize = 40;
/// Longest time until a job starts for which there is room.
const MAX_WAIT: Duration = Duration::from_millis(500);

fn step() -> Step {
    graph().steps.swap_remove(0)
}

fn one_step(step: Step) -> Graph {
    Graph {
        steps: vec![step],
        ..graph()
    }
}

/// An owner of backend servers of 64 cores and 64 GiB, on each of which a lasting task of
/// half a core runs.
fn owner_with_lasting_tasks() -> Harness {
    let mut harness = owner_of(SERVERS);
    let lasting = Step {
        tasks: SERVERS as u32,
        each: Resources::of(500, 512, 0, 0),
        long_running: true,
        spread: Some(1),
        ..step()
    };
    harness.submit_to("/plain/00000000000000aa", one_step(lasting));
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.placements.len(), SERVERS);
    harness
}

/// Guards against jobs that wait for good although there is room for them: others that rank
/// before them find none, and were taken as a sign that the service is full.
#[test]
fn jobs_without_room_do_not_keep_out_those_that_have_it() {
    let large = |millicpus: u32, memory_mib: u32, tasks: u32, gang: bool| Step {
        each: Resources::of(millicpus, memory_mib, 0, 0),
        tasks,
        gang,
        ..step()
    };
    let cases = [
        ("all cores of a server", large(64_000, 512, 1, false)),
        ("all memory of a server", large(500, 65_536, 1, false)),
        ("several tasks", large(64_000, 512, 3, false)),
        ("a gang", large(63_500, 512, 5, true)),
        (
            "tasks apart from each other",
            Step {
                spread: Some(1),
                ..large(64_000, 512, 2, false)
            },
        ),
    ];
    for (case, large) in cases {
        let mut harness = owner_with_lasting_tasks();
        for n in 0..LARGE_JOBS {
            let path = format!("/plain/{:016x}", 0x1000 + n);
            harness.submit_to(&path, one_step(large.clone()));
        }
        harness.advance(Duration::from_millis(200));
        harness.submit_plain("000000000000ffff");
        harness.advance(MAX_WAIT);

        let mut placements = harness.placements.iter();
        let starts = placements.any(|(_, run)| run.task.job == "000000000000ffff");
        assert!(starts, "{case}: nothing starts");
    }
}
