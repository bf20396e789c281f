//! Backend servers that are held back since runs fail there.

use std::time::Duration;

use model::{Graph, Resources, RunOutcome, Step};
use sched::{Event, Listing, Notice};

use crate::harness::{Harness, TICK, graph, named_listing, owner_of};

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

/// Longest time in which a sound backend server gets none of the work that only it may run,
/// from the last failure there on.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(7);
/// Time for which a failing backend server fails all that it starts.
const FAILING_TIME: Duration = Duration::from_millis(6_500);
const LABEL: &str = "ssd";

/// An owner of four backend servers, of which the first `labelled` have the label.
fn owner_of_labelled(labelled: usize) -> Harness {
    let mut harness = owner_of(4);
    for n in 0..labelled {
        harness.deliver(Event::ServerListed(Listing {
            labels: vec![LABEL.into()],
            ..named_listing(&format!("s{n}"))
        }));
    }
    harness
}

/// A job of one step that only servers with the label may run.
fn labelled(step: Step) -> Graph {
    let plain = graph();
    let steps = vec![Step {
        label: Some(LABEL.into()),
        image: plain.steps[0].image.clone(),
        estimate: plain.steps[0].estimate,
        each: match step.each {
            Resources::ZERO => plain.steps[0].each,
            each => each,
        },
        ..step
    }];
    Graph { steps, ..plain }
}

/// Submits a labelled job of `step` each 500 ms for `time`. All that starts on the first server
/// fails. Returns the number of the next job.
fn play_failing(harness: &mut Harness, step: &Step, first_job: usize, time: Duration) -> usize {
    let until = harness.now + time;
    let mut job = first_job;
    while harness.now < until {
        let graph = labelled(step.clone());
        harness.submit_to(&format!("/plain/{}", job_id(job)), graph);
        job += 1;
        play(
            harness,
            Duration::from_millis(500),
            |server, job| match server {
                "s0" => Some(RunOutcome::Failed),
                _ => (job != LASTING).then_some(RunOutcome::Completed),
            },
        );
    }
    job
}

fn starts_on(harness: &Harness, server: &str) -> usize {
    let placements = harness.placements.iter();
    placements.filter(|(id, _)| id == server).count()
}

/// Guards against a sound backend server that gets no work for up to five minutes, although
/// no other may run what waits: each series of failures doubled its quarantine.
#[test]
fn a_sound_server_without_an_alternative_is_used_soon_after_it_failed() {
    let task = Step {
        tasks: 1,
        ..Step::default()
    };
    let gang = Step {
        tasks: 3,
        gang: true,
        ..Step::default()
    };
    for step in [task, gang] {
        for windows in [1, 2, 3, 6] {
            for pause in [1, 5, 12].map(Duration::from_secs) {
                let mut harness = owner_of_labelled(1);
                let mut job = 1;
                for window in 0..windows {
                    let rest = if window > 0 { pause } else { Duration::ZERO };
                    play(&mut harness, rest, |_, _| Some(RunOutcome::Completed));
                    job = play_failing(&mut harness, &step, job, FAILING_TIME);
                }
                harness.placements.clear();

                let waiting = labelled(step.clone());
                harness.submit_to(&format!("/plain/{}", job_id(job)), waiting);
                play(&mut harness, MAX_UNUSED_TIME, |_, _| {
                    Some(RunOutcome::Completed)
                });

                let waiting = starts_of(&harness, &job_id(job));
                let case = format!("{windows} windows, {pause:?} apart, gang: {}", step.gang);
                assert_eq!(waiting, step.tasks as usize, "{case}: not started");
            }
        }
    }
}

/// Guards against the same where the other backend server that may run the work is full.
#[test]
fn a_sound_server_is_used_soon_after_it_failed_if_the_others_are_full() {
    const JOBS: usize = 50;
    let mut harness = owner_of_labelled(2);
    let lasting = labelled(Step {
        tasks: 1,
        long_running: true,
        each: Resources::of(60_000, 512, 0, 0),
        ..Step::default()
    });
    harness.submit_to(&format!("/plain/{LASTING}"), lasting);
    harness.advance(Duration::from_secs(1));
    let full = harness.placements[0].0.clone();
    let failing = if full == "s0" { "s1" } else { "s0" };
    let step = Step {
        tasks: 1,
        each: Resources::of(8_000, 512, 0, 0),
        ..Step::default()
    };
    for job in 1..JOBS {
        let graph = labelled(step.clone());
        harness.submit_to(&format!("/plain/{}", job_id(job)), graph);
        play(&mut harness, Duration::from_millis(500), |server, job| {
            (job != LASTING && server == failing).then_some(RunOutcome::Failed)
        });
    }
    assert!(harness.notices.iter().any(is_held_back));

    harness.submit_to(&format!("/plain/{}", job_id(JOBS)), labelled(step));
    play(&mut harness, MAX_UNUSED_TIME, |_, job| {
        (job != LASTING).then_some(RunOutcome::Completed)
    });

    assert_eq!(starts_of(&harness, &job_id(JOBS)), 1);
}

/// Guards against tasks that last and wait for one another on a sound backend server: none of
/// them completes, so that the server stayed on probation.
#[test]
fn tasks_that_last_start_soon_after_their_server_failed() {
    const TASKS: u32 = 6;
    let mut harness = owner_of_labelled(1);
    let task = Step {
        tasks: 1,
        ..Step::default()
    };
    play_failing(&mut harness, &task, 1, FAILING_TIME * 3);
    let lasting = labelled(Step {
        tasks: TASKS,
        long_running: true,
        ..Step::default()
    });

    harness.submit_to(&format!("/plain/{LASTING}"), lasting);
    play(&mut harness, MAX_UNUSED_TIME, |_, job| {
        (job != LASTING).then_some(RunOutcome::Completed)
    });

    assert_eq!(starts_of(&harness, LASTING), TASKS as usize);
}

/// Guards against a backend server that fails all that it starts and goes on getting work, as
/// no other one may run it.
#[test]
fn a_server_without_an_alternative_that_fails_all_gets_few_starts() {
    /// Starts in 24 s: those before it is held back, and its probes.
    const MAX_STARTS: usize = 8;
    let mut harness = owner_of_labelled(1);
    let task = Step {
        tasks: 1,
        ..Step::default()
    };

    play_failing(&mut harness, &task, 1, Duration::from_secs(24));

    let starts = starts_on(&harness, "s0");
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

/// Guards against work that is given to a backend server which fails all, though others with
/// room may run it: beyond its quarantine it would lose an attempt each few seconds.
#[test]
fn a_server_that_keeps_failing_gets_no_work_that_others_may_run() {
    /// Starts in two minutes: those before it is held back, and probes after 5, 10, 20, 40 s.
    const MAX_STARTS: usize = 8;
    let mut harness = owner_of_labelled(3);
    let task = Step {
        tasks: 1,
        ..Step::default()
    };

    play_failing(&mut harness, &task, 1, Duration::from_secs(120));

    let starts = starts_on(&harness, "s0");
    assert!(starts <= MAX_STARTS, "{starts} starts");
}
