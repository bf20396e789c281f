//! Jobs whose queue or team is removed from the configuration, or changed, while they run.

use std::time::Duration;

use model::{Resources, RunOutcome, Stage, Step};
use sched::{Config, Event, Notice, Queue, Team};

use crate::harness::{Harness, TICK, config, graph, owner_of, successor_of};

const JOB: &str = "0000000000000001";

/// A version of the configuration with these attempts of the queue `plain`; `None` leaves
/// the queue out.
fn version(version: u64, attempts: Option<u32>) -> Config {
    let config = config();
    let kept = config.queues.into_iter();
    let kept = kept.filter(|queue| queue.name != "plain" || attempts.is_some());
    let queues = kept.map(|queue| Queue {
        max_attempts: attempts.unwrap_or(queue.max_attempts),
        ..queue
    });
    Config::new(version, queues.collect(), config.services, config.teams)
}

fn configure(harness: &mut Harness, config: Config) {
    let requested_at = harness.now;
    let config = Box::new(config);
    harness.deliver(Event::Config {
        config,
        requested_at,
    });
}

/// Ends the runs on all backend servers and waits for what follows.
fn end_runs(harness: &mut Harness, outcome: RunOutcome) {
    for lists in harness.fleet.values_mut() {
        lists.end(outcome, |_| true);
    }
    harness.advance(Duration::from_millis(500));
}

fn stage(harness: &Harness) -> Option<Stage> {
    let mut notices = harness.notices.iter().rev();
    notices.find_map(|notice| match notice {
        Notice::JobStage { stage, .. } => Some(*stage),
        _ => None,
    })
}

/// Guards against a job that fails too early, or is started too often, because its queue is
/// not configured for a time or has another number of attempts by now, also when the owner
/// changes meanwhile.
#[test]
fn a_job_has_the_attempts_that_it_was_accepted_with() {
    let later = [None, Some(1), Some(9)];
    let cases = later.into_iter().flat_map(|later| {
        [1, 2, 4].map(|accepted| [(accepted, later, false), (accepted, later, true)])
    });
    for (accepted, later, taken_over) in cases.flatten() {
        let case = format!("{accepted} attempts, then {later:?}, taken over: {taken_over}");
        let mut harness = owner_of(6);
        configure(&mut harness, version(2, Some(accepted)));
        harness.submit_plain(JOB);
        harness.advance(TICK * 5);

        configure(&mut harness, version(3, later));
        if taken_over {
            let mut successor = successor_of(&harness);
            successor.renews_by_tick = true;
            successor.listings = harness.listings;
            successor.fleet = harness.fleet;
            successor.now = harness.now;
            configure(&mut successor, version(3, later));
            harness = successor;
            harness.advance(Duration::from_secs(8));
        }
        for failures in 1..accepted {
            end_runs(&mut harness, RunOutcome::Failed);
            assert_ne!(stage(&harness), Some(Stage::Failed), "{case}: {failures}");
        }
        configure(&mut harness, version(4, Some(accepted)));
        end_runs(&mut harness, RunOutcome::Failed);

        assert_eq!(stage(&harness), Some(Stage::Failed), "{case}");
        let running = harness.fleet.values().map(|lists| lists.running.len());
        assert_eq!(running.sum::<usize>(), 0, "{case}: started once more");
    }
}

/// Guards against starts without a ticket, which backend servers reject, while the queue is
/// not configured.
#[test]
fn a_job_needs_admission_while_its_queue_is_not_configured() {
    let mut harness = owner_of(2);
    harness.submit(JOB);
    let without = Config::new(2, Vec::new(), config().services, config().teams);
    configure(&mut harness, without);

    harness.advance(Duration::from_secs(1));
    assert!(harness.placements.is_empty(), "{:?}", harness.placements);
    harness.answer_policy(vec![("s0".into(), "ticket".into())]);
    harness.advance(Duration::from_millis(200));

    assert_eq!(harness.placements.len(), 1);
}

/// Guards against a team without a limit while the team is not configured.
#[test]
fn a_team_keeps_its_limit_while_it_is_not_configured() {
    let limited = |version| {
        let team = Team {
            limit: Resources::of(2_000, 0, 0, 0),
            ..config().teams.swap_remove(0)
        };
        Config::new(version, config().queues, config().services, vec![team])
    };
    let mut harness = owner_of(2);
    configure(&mut harness, limited(2));
    let step = graph().steps.swap_remove(0);
    let mut wide = graph();
    wide.steps = vec![Step { tasks: 8, ..step }];
    harness.submit_to(&format!("/plain/{JOB}"), wide);
    let without = Config::new(3, config().queues, config().services, Vec::new());
    configure(&mut harness, without);

    harness.advance(Duration::from_secs(1));

    assert_eq!(harness.placements.len(), 2);
}

/// Guards against tasks that start under another id than the caller sent.
#[test]
fn a_job_keeps_the_id_that_its_caller_sent() {
    let mut harness = owner_of(1);

    harness.submit_plain("00000000000000AB");
    harness.submit_plain("00000000000000ab");
    harness.advance(Duration::from_millis(500));

    let ids = harness
        .placements
        .iter()
        .map(|(_, run)| run.task.job.as_str());
    let ids: Vec<&str> = ids.collect();
    assert_eq!(ids, ["00000000000000AB", "00000000000000ab"]);
}
