//! Backend servers that are held back since runs fail there.

use std::time::Duration;

use model::{Graph, Resources, RunOutcome, Step};
use sched::Notice;

use crate::harness::{Harness, TICK, graph, owner_of};

/// Time that a run takes to fail or to complete.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Longest time that a job may wait while there is room.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
const LASTING: &str = "00000000000000aa";

/// A job of one step, with at most one task on each backend server.
fn spread(tasks: u32, each: Resources, long_running: bool) -> Graph {
    let step = graph().steps.swap_remove(0);
    Graph {
        steps: vec![Step {
            tasks,
            each,
            long_running,
            spread: Some(1),
            ..step
        }],
        ..graph()
    }
}

fn job_id(n: usize) -> String {
    format!("{n:016x}")
}

/// Advances the time; runs end after `RUN_TIME` as `outcome_of` says for the backend server
/// and the job, or not at all.
fn play<O>(harness: &mut Harness, time: Duration, outcome_of: O)
where
    O: Fn(&str, &str) -> Option<RunOutcome>,
{
    let until = harness.now + time;
    while harness.now < until {
        harness.advance(RUN_TIME);
        for (server, lists) in &mut harness.fleet {
            for outcome in [RunOutcome::Failed, RunOutcome::Completed] {
                lists.end(outcome, |run| {
                    outcome_of(server, &run.task.job) == Some(outcome)
                });
            }
        }
    }
}

fn is_held_back(notice: &Notice) -> bool {
    matches!(notice, Notice::ServerHeldBack { .. })
}

fn starts_of(harness: &Harness, job: &str) -> usize {
    let placements = harness.placements.iter();
    placements.filter(|(_, run)| run.task.job == job).count()
}

/// Guards against holding sound backend servers back for good: jobs that fail everywhere
/// counted against each server, and one with a lasting task never left its probation.
#[test]
fn jobs_that_fail_everywhere_hold_no_server_back() {
    const SERVERS: usize = 6;
    // Number of jobs that fail, tasks of each, whether they come at the same time, and
    // whether they last.
    let cases = [
        (2, 6, false, false),
        (2, 6, true, false),
        (8, 6, true, false),
        (12, 1, true, false),
        (12, 2, false, false),
        (2, 6, false, true),
        (3, 1, true, true),
    ];
    for (jobs, tasks, at_once, lasts) in cases {
        let case = format!("{jobs} jobs of {tasks} tasks, at once: {at_once}, lasting: {lasts}");
        let mut harness = owner_of(SERVERS);
        let small = Resources::of(500, 512, 0, 0);
        let lasting = spread(SERVERS as u32, small, true);
        harness.submit_to(&format!("/plain/{LASTING}"), lasting);
        harness.advance(Duration::from_secs(1));
        assert_eq!(starts_of(&harness, LASTING), SERVERS, "{case}");
        let fails = |_: &str, job: &str| (job != LASTING).then_some(RunOutcome::Failed);
        for n in 1..=jobs {
            harness.submit_to(
                &format!("/plain/{}", job_id(n)),
                spread(tasks, graph().steps[0].each, lasts),
            );
            if !at_once {
                play(&mut harness, Duration::from_millis(2_500), fails);
            }
        }
        play(&mut harness, Duration::from_millis(2_500), fails);

        let last = job_id(jobs + 1);
        harness.submit_to(&format!("/plain/{last}"), graph());
        play(&mut harness, MAX_IDLE_TIME, fails);

        assert!(starts_of(&harness, &last) > 0, "{case}: nothing starts");
    }
}

/// Guards against a probation that never ends, since a task that lasts runs on the backend
/// server and the failures of single attempts prove nothing against their jobs.
#[test]
fn a_server_on_probation_takes_work_beside_a_lasting_task() {
    let mut harness = owner_of(1);
    let lasting = spread(1, Resources::of(500, 512, 0, 0), true);
    harness.submit_to(&format!("/plain/{LASTING}"), lasting);
    harness.advance(Duration::from_secs(1));
    for n in 1..=2 {
        harness.submit_plain(&job_id(n));
    }
    let fails = |_: &str, job: &str| (job != LASTING).then_some(RunOutcome::Failed);
    play(&mut harness, Duration::from_secs(2), fails);
    assert!(harness.notices.iter().any(is_held_back));

    let completes = |_: &str, job: &str| (job != LASTING).then_some(RunOutcome::Completed);
    harness.submit_plain(&job_id(3));
    play(&mut harness, Duration::from_secs(9), completes);

    assert!(starts_of(&harness, &job_id(3)) > 0);
}

/// Guards against a probation that waits for the end of a probe that never ends.
#[test]
fn a_lasting_task_as_a_probe_does_not_keep_others_out() {
    let mut harness = owner_of(1);
    for n in 1..=2 {
        harness.submit_plain(&job_id(n));
    }
    play(&mut harness, Duration::from_secs(2), |_, _| {
        Some(RunOutcome::Failed)
    });
    assert!(harness.notices.iter().any(is_held_back));
    let runs_on = |_: &str, _: &str| None;

    let lasting = spread(1, Resources::of(500, 512, 0, 0), true);
    harness.submit_to(&format!("/plain/{LASTING}"), lasting);
    play(&mut harness, Duration::from_secs(9), runs_on);
    assert_eq!(starts_of(&harness, LASTING), 1);
    harness.submit_plain(&job_id(9));
    play(&mut harness, MAX_IDLE_TIME, runs_on);

    assert!(starts_of(&harness, &job_id(9)) > 0);
}

/// Guards against a backend server that fails all that it starts and goes on getting work,
/// whatever the size of the jobs that come and however many servers fail.
#[test]
fn servers_that_fail_all_they_start_are_left_alone() {
    const SERVERS: usize = 8;
    /// Starts on a failing server in the 24 s of the test: those before it is held back,
    /// and its probes.
    const MAX_STARTS: usize = 8;
    let doses = [1, 3, 4, 5].into_iter().flat_map(|failing| {
        let tasks = [1, 3, 8].into_iter();
        tasks.flat_map(move |tasks| [(failing, tasks, false), (failing, tasks, true)])
    });
    for (failing, tasks, were_sound) in doses {
        let case = format!("{failing} servers fail, were sound: {were_sound}, {tasks} tasks a job");
        let mut harness = owner_of(SERVERS);
        let is_failing = |server: &str| server[1..].parse().is_ok_and(|n: usize| n < failing);
        let completes = |_: &str, _: &str| Some(RunOutcome::Completed);
        let submit = |harness: &mut Harness, n: usize| {
            let job = spread(tasks, graph().steps[0].each, false);
            harness.submit_to(&format!("/plain/{}", job_id(n)), job);
        };
        for n in 100..120 {
            if were_sound {
                submit(&mut harness, n);
                play(&mut harness, TICK, completes);
            }
        }
        harness.placements.clear();
        for n in 0..80 {
            submit(&mut harness, n);
            play(&mut harness, TICK, |server, _| match is_failing(server) {
                true => Some(RunOutcome::Failed),
                false => Some(RunOutcome::Completed),
            });
        }

        let on = |id: &str| harness.placements.iter().filter(|(s, _)| s == id).count();
        let starts: Vec<usize> = (0..SERVERS).map(|n| on(&format!("s{n}"))).collect();
        let most = starts[..failing].iter().max();
        assert!(most <= Some(&MAX_STARTS), "{case}: {starts:?}");
    }
}
