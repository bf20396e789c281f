//! Copies of running tasks of speculative steps, and last permitted attempts.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Attempt, Graph, Name, Resources, RunKey, RunOutcome, Stage};
use sched::{Config, Event, Listing, Notice, Team};

use crate::harness::{
    Harness, TICK, config, graph, named_listing, owner_of, replace_owner, row, settings,
};

const JOB: &str = "0000000000000001";
/// Time within which a copy starts once a run is known to be late.
const MAX_DELAY: Duration = Duration::from_millis(500);

fn speculative(tasks: u32) -> Graph {
    let mut graph = graph();
    graph.steps[0].tasks = tasks;
    graph.steps[0].speculative = true;
    graph.steps[0].estimate = Duration::from_millis(400);
    graph
}

fn submit(harness: &mut Harness, graph: Graph) {
    harness.submit_to(&format!("/plain/{JOB}"), graph);
    harness.advance(TICK * 5);
}

/// Backend servers that run the job, and the numbers of its runs there.
fn running(harness: &Harness) -> Vec<(Name, Attempt)> {
    let runs = |(id, lists): (&Name, &crate::harness::ServerLists)| -> Vec<(Name, Attempt)> {
        let runs = lists.running.iter();
        runs.map(|progress| (id.clone(), progress.run.number))
            .collect()
    };
    harness.fleet.iter().flat_map(runs).collect()
}

/// Sets the progress that all runs report.
fn report(harness: &mut Harness, percent: u8) {
    for lists in harness.fleet.values_mut() {
        for progress in &mut lists.running {
            progress.percent = percent;
        }
    }
}

fn end(harness: &mut Harness, server: &Name, outcome: RunOutcome) {
    let lists = harness.fleet.get_mut(server).expect("known server");
    lists.end(outcome, |_: &RunKey| true);
}

/// A job whose only run makes no progress on the first server.
fn late_run(harness: &mut Harness) -> Name {
    submit(harness, speculative(1));
    let first = running(harness);
    assert_eq!(first.len(), 1, "{:?}", harness.notices);
    report(harness, 1);
    first[0].0.clone()
}

/// An owner whose only job has a late run and a copy of it, with their servers.
fn owner_with_copy(harness: Harness) -> (Harness, Name, Name) {
    let mut harness = harness;
    let first = late_run(&mut harness);
    harness.advance(MAX_DELAY);
    let others: Vec<Name> = running(&harness)
        .into_iter()
        .map(|(id, _)| id)
        .filter(|id| *id != first)
        .collect();
    assert_eq!(others.len(), 1, "{:?}", harness.notices);
    (harness, first, others[0].clone())
}

fn stages(harness: &Harness) -> Vec<Stage> {
    let notices = harness.notices.iter();
    let stage = |notice: &Notice| match notice {
        Notice::JobStage { stage, .. } if stage.is_terminal() => Some(*stage),
        _ => None,
    };
    notices.filter_map(stage).collect()
}

fn count<P>(harness: &Harness, is: P) -> usize
where
    P: Fn(&Notice) -> bool,
{
    harness.notices.iter().filter(|notice| is(notice)).count()
}

/// Guards against a job that waits for one slow run although its step permits copies, and
/// against a slow run that goes on after the copy has completed.
#[test]
fn a_copy_that_ends_first_completes_the_task_and_the_slow_run_is_stopped() {
    let (mut harness, _, copy) = owner_with_copy(owner_of(4));

    end(&mut harness, &copy, RunOutcome::Completed);
    harness.advance(MAX_DELAY);

    assert_eq!(stages(&harness), [Stage::Completed]);
    assert_eq!(running(&harness), []);
    assert_eq!(count(&harness, |n| matches!(n, Notice::CopyWon { .. })), 1);
    assert_eq!(harness.node.verify(), []);
}

/// Guards against a copy that goes on after the run that it copies has completed.
#[test]
fn a_run_that_ends_first_completes_the_task_and_its_copy_is_stopped() {
    let (mut harness, first, _) = owner_with_copy(owner_of(4));

    end(&mut harness, &first, RunOutcome::Completed);
    harness.advance(MAX_DELAY);

    assert_eq!(stages(&harness), [Stage::Completed]);
    assert_eq!(running(&harness), []);
    assert_eq!(count(&harness, |n| matches!(n, Notice::CopyLost { .. })), 1);
    assert_eq!(harness.node.verify(), []);
}

/// Guards against a late end that counts again, or that fails a job that has completed.
#[test]
fn the_second_end_of_a_task_changes_nothing() {
    for outcome in [RunOutcome::Completed, RunOutcome::Failed] {
        let (mut harness, first, copy) = owner_with_copy(owner_of(4));

        end(&mut harness, &copy, RunOutcome::Completed);
        end(&mut harness, &first, outcome);
        harness.advance(MAX_DELAY);

        assert_eq!(stages(&harness), [Stage::Completed], "{outcome:?}");
        assert_eq!(
            count(&harness, |n| matches!(n, Notice::CopyWon { .. })
                || matches!(n, Notice::CopyLost { .. })),
            1
        );
        assert_eq!(harness.node.verify(), []);
    }
}

/// Guards against a second run of a task whose step does not permit copies.
#[test]
fn a_step_that_does_not_permit_copies_gets_none() {
    let mut harness = owner_of(4);
    let mut graph = speculative(1);
    graph.steps[0].speculative = false;
    submit(&mut harness, graph);
    report(&mut harness, 1);

    harness.advance(Duration::from_secs(3));

    assert_eq!(harness.placements.len(), 1);
}

/// Guards against a successor that stops one of two recorded runs, or that starts a third.
#[test]
fn a_successor_adopts_a_run_and_its_copy() {
    let (owner, _, copy) = owner_with_copy(owner_of(4));
    let before = running(&owner);

    let mut successor = replace_owner(owner, 1);
    successor.advance(Duration::from_secs(3));
    let after = running(&successor);
    end(&mut successor, &copy, RunOutcome::Completed);
    successor.advance(MAX_DELAY);

    assert_eq!(after, before, "{:?}", successor.notices);
    assert_eq!(stages(&successor), [Stage::Completed]);
    assert_eq!(running(&successor), []);
    assert_eq!(successor.node.verify(), []);
}

/// Guards against a task of a silent server that waits for the end of its lease although
/// its step permits copies.
#[test]
fn a_copy_starts_while_the_server_of_the_run_is_silent() {
    let mut harness = owner_of(4);
    submit(&mut harness, speculative(1));
    let first = running(&harness)[0].0.clone();
    harness.unreachable.insert(first.clone());

    harness.advance(Duration::from_secs(1));
    let copies: Vec<Name> = running(&harness)
        .into_iter()
        .map(|(id, _)| id)
        .filter(|id| *id != first)
        .collect();
    assert_eq!(copies.len(), 1, "{:?}", harness.notices);
    end(&mut harness, &copies[0], RunOutcome::Completed);
    harness.advance(MAX_DELAY);

    assert_eq!(stages(&harness), [Stage::Completed]);
    assert_eq!(harness.node.verify(), []);
}

/// Guards against a run or a copy that outlives the cancellation of its job.
#[test]
fn a_cancelled_job_loses_its_run_and_its_copy() {
    let (mut harness, _, _) = owner_with_copy(owner_of(4));

    let request = row(&format!("job/{JOB}/cancel"), b"");
    harness.accepted.push(request);
    harness.advance(Duration::from_secs(1));

    assert_eq!(stages(&harness), [Stage::Cancelled]);
    assert_eq!(running(&harness), []);
}

/// Guards against a copy beyond the team's limit.
#[test]
fn a_copy_counts_against_the_limit_of_its_team() {
    let mut harness = owner_of(4);
    let limited = Team {
        limit: Resources::of(1_500, 0, 0, 0),
        ..config().teams[0].clone()
    };
    let known = config();
    let limited = Config::new(2, known.queues, known.services, vec![limited]);
    let requested_at = harness.now;
    harness.deliver(Event::Config {
        config: Box::new(limited),
        requested_at,
    });
    late_run(&mut harness);

    harness.advance(Duration::from_secs(2));

    assert_eq!(harness.placements.len(), 1);
}

/// Guards against a copy whose failure, with that of the run, could exceed the attempts.
#[test]
fn a_task_with_one_attempt_left_gets_no_copy() {
    let mut harness = owner_of(6);
    for _ in 0..2 {
        late_run_again(&mut harness);
        let at = running(&harness)[0].0.clone();
        end(&mut harness, &at, RunOutcome::Failed);
        harness.advance(TICK * 5);
    }
    report(&mut harness, 1);

    harness.advance(Duration::from_secs(1));

    assert_eq!(running(&harness).len(), 1, "{:?}", harness.notices);
    assert_eq!(harness.placements.len(), 3);
}

/// Submits the job unless it runs already.
fn late_run_again(harness: &mut Harness) {
    if running(harness).is_empty() {
        submit(harness, speculative(1));
    }
}

/// Guards against copies while other steps wait for room.
#[test]
fn no_copy_starts_while_a_step_waits_for_room() {
    let mut harness = owner_of(2);
    let mut large = graph();
    large.steps[0].tasks = 3;
    large.steps[0].each = Resources::of(60_000, 512, 0, 0);
    harness.submit_to("/plain/0000000000000002", large);
    harness.advance(TICK * 5);
    let before = harness.placements.len();
    submit(&mut harness, speculative(1));
    report(&mut harness, 1);

    harness.advance(Duration::from_secs(1));

    assert_eq!(before, 2);
    assert_eq!(harness.placements.len(), before + 1);
}

/// Guards against copies although the operator has turned them off.
#[test]
fn copies_can_be_turned_off() {
    let off = sched::Settings {
        max_copy_share: 0.0,
        ..settings("owner", 0.25)
    };
    let mut harness = owner_of(4);
    harness.node = sched::Node::new(
        off,
        1,
        sched::Time {
            now: harness.now,
            unix: harness.now,
        },
    );
    let config = Box::new(config());
    let requested_at = harness.now;
    harness.deliver(Event::Config {
        config,
        requested_at,
    });
    harness.advance(Duration::from_secs(4));
    late_run(&mut harness);

    harness.advance(Duration::from_secs(2));

    assert_eq!(harness.placements.len(), 1, "{:?}", harness.notices);
}

/// Guards against a copy without a ticket for its server, and against a task that waits
/// since its step's tickets have expired.
#[test]
fn a_copy_of_a_step_with_admission_waits_for_a_ticket() {
    let mut harness = owner_of(4);
    harness.submit_graph(JOB, speculative(1));
    harness.advance(TICK * 5);
    let granted = ["s0", "s2"].map(|id| (id.into(), "ticket".into()));
    harness.answer_policy(granted.into());
    harness.advance(TICK);
    report(&mut harness, 100);
    harness.advance(Duration::from_secs(2));
    harness.policy_calls.clear();
    report(&mut harness, 1);

    harness.advance(MAX_DELAY);
    let asked = harness.policy_calls.len();
    let before = harness.placements.len();
    let granted = ["s0", "s2"].map(|id| (id.into(), "ticket".into()));
    harness.answer_policy(granted.into());
    harness.advance(TICK * 5);

    assert_eq!((asked, before), (1, 1), "{:?}", harness.notices);
    let servers: BTreeSet<&str> = harness
        .placements
        .iter()
        .map(|(id, _)| id.as_str())
        .collect();
    assert_eq!(servers, BTreeSet::from(["s0", "s2"]));
}

/// Guards against a copy for a data centre that the operator evacuates.
#[test]
fn no_copy_starts_in_an_evacuated_data_centre() {
    let mut harness = owner_of(4);
    late_run(&mut harness);
    let requested_at = harness.now;
    harness.deliver(Event::Evacuations {
        data_centres: [Name::default()].into(),
        requested_at,
    });

    harness.advance(Duration::from_secs(1));

    assert_eq!(harness.placements.len(), 1, "{:?}", harness.notices);
}

/// Six backend servers in three racks, two in each.
fn owner_of_three_racks() -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.listings = (0..6)
        .map(|n| Listing {
            rack: format!("r{}", n / 2).into(),
            ..named_listing(&format!("s{n}"))
        })
        .collect();
    let ids = harness.listings.iter().map(|listing| listing.id.clone());
    harness.fleet = ids.map(|id| (id, Default::default())).collect();
    harness.advance(Duration::from_secs(1));
    harness
}

fn rack(id: &Name) -> u8 {
    (id.as_bytes()[1] - b'0') / 2
}

/// Guards against a copy that shares the rack of the run that it copies, whose cause of
/// delay it may share.
#[test]
fn a_copy_starts_in_another_rack() {
    let (_, first, copy) = owner_with_copy(owner_of_three_racks());

    assert_ne!(rack(&first), rack(&copy));
}

/// Guards against a last attempt in a rack where the task has failed, and against a failed
/// job without a cause in the log.
#[test]
fn the_last_attempt_avoids_the_racks_of_the_failures_and_its_failure_is_explained() {
    let mut harness = owner_of_three_racks();
    let mut graph = speculative(1);
    graph.steps[0].speculative = false;
    submit(&mut harness, graph);
    for _ in 0..3 {
        let at = running(&harness)[0].0.clone();
        end(&mut harness, &at, RunOutcome::Failed);
        harness.advance(TICK * 5);
    }

    let servers: Vec<Name> = harness
        .placements
        .iter()
        .map(|(id, _)| id.clone())
        .collect();
    let racks: BTreeSet<u8> = servers[..2].iter().map(rack).collect();
    assert_eq!(servers.len(), 3);
    assert!(!racks.contains(&rack(&servers[2])), "{servers:?}");
    assert_eq!(stages(&harness), [Stage::Failed]);
    let causes = harness.notices.iter().find_map(|notice| match notice {
        Notice::AttemptsUsed {
            task,
            failures,
            servers,
            ..
        } => Some((task.clone(), *failures, servers.clone())),
        _ => None,
    });
    let ids = format!("{},{},{}", servers[0], servers[1], servers[2]);
    assert_eq!(causes, Some(("0.0.0".into(), 3, ids.into())));
}

/// A configuration under which tasks have two attempts.
fn two_attempts() -> Config {
    let queues = config().queues.into_iter().map(|queue| sched::Queue {
        max_attempts: 2,
        ..queue
    });
    Config::new(2, queues.collect(), config().services, config().teams)
}

/// Guards against a job that fails because a task and its copy fail for one cause: the copy
/// was started before the failure was known, and used up the last attempt.
#[test]
fn a_failure_stops_the_copy_that_would_use_up_the_last_attempt() {
    let mut owner = owner_of(4);
    let requested_at = owner.now;
    owner.deliver(Event::Config {
        config: Box::new(two_attempts()),
        requested_at,
    });
    let (mut harness, first, _) = owner_with_copy(owner);

    end(&mut harness, &first, RunOutcome::Failed);
    harness.advance(MAX_DELAY);

    assert_eq!(stages(&harness), []);
    assert_eq!(running(&harness).len(), 1, "{:?}", harness.notices);
    assert_eq!(harness.placements.len(), 3);
}
