//! Decisions of the placement engine in individual situations.

use model::{Resources, TeamOrder, WorkKind};
use policy::{Decision, Engine, JobRef, JobRequest, Outcome, Settings, TeamId};

const CORE: Resources = Resources::of(1_000, 1_000, 0, 0);

fn engine(workers: u32, cores: u32) -> (Engine, TeamId, TeamId) {
    let mut engine = Engine::new(Settings {
        order: TeamOrder::DominantShare,
        reserve_after_ms: 1_000,
        preempt: true,
    });
    let teams = [engine.add_team(1), engine.add_team(1)];
    for team in teams {
        engine.set_team(team, 1, Resources::UNLIMITED);
    }
    for index in 0..workers {
        engine.add_worker(CORE.times(cores), index as u16 / 4);
    }
    (engine, teams[0], teams[1])
}

fn request(team: TeamId, work: WorkKind, tasks: u32, cores: u32) -> JobRequest {
    JobRequest {
        team,
        work,
        urgent: false,
        demand: CORE.times(cores),
        tasks,
        class: 0,
        first_attempt: 0,
    }
}

fn place(engine: &mut Engine, now_ms: u64) -> Vec<Decision> {
    let mut out = Vec::new();
    engine.place(now_ms, 10_000, &mut out);
    assert_eq!(engine.verify(), Ok(()));
    out
}

/// Ends all tasks started by `decisions` with the same outcome.
fn end_all(engine: &mut Engine, decisions: &[Decision], outcome: Outcome, now_ms: u64) {
    for decision in decisions {
        if let Decision::Start {
            job,
            task,
            attempt,
            worker,
            ..
        } = *decision
        {
            engine.record_end(worker, job, task, attempt, outcome, now_ms);
        }
    }
}

fn starts_of(decisions: &[Decision], wanted: JobRef) -> usize {
    let is_start = |d: &&Decision| matches!(d, Decision::Start { job, .. } if *job == wanted);
    decisions.iter().filter(is_start).count()
}

#[test]
fn job_index_is_not_reused_before_it_is_collected() {
    let (mut engine, team, _) = engine(1, 4);
    let first = engine.submit(&request(team, WorkKind::Batch, 1, 1), &[], 1);
    let started = place(&mut engine, 1);
    end_all(&mut engine, &started, Outcome::Completed, 2);
    engine.cancel(first, &mut Vec::new());

    let second = engine.submit(&request(team, WorkKind::Batch, 1, 1), &[], 3);
    engine.collect_retired(&mut Vec::new());
    let third = engine.submit(&request(team, WorkKind::Batch, 1, 1), &[], 4);

    assert_ne!(second, first);
    assert_eq!(third, first);
}

#[test]
fn urgent_work_preempts_the_team_furthest_above_its_share() {
    let (mut engine, above_share, below_share) = engine(4, 4);
    engine.submit(&request(below_share, WorkKind::Batch, 3, 1), &[], 1);
    let large_job = engine.submit(&request(above_share, WorkKind::Batch, 20, 1), &[], 1);
    place(&mut engine, 1);
    let mut urgent = request(below_share, WorkKind::Batch, 1, 1);
    urgent.urgent = true;
    let job = engine.submit(&urgent, &[], 100);

    let stops = place(&mut engine, 100);
    let [
        Decision::Stop {
            job: victim,
            task,
            attempt,
            worker,
            checkpoint,
        },
    ] = stops[..]
    else {
        panic!("expected one stop: {stops:?}");
    };
    engine.record_end(worker, victim, task, attempt, Outcome::Interrupted, 400);
    let starts = place(&mut engine, 400);

    assert_eq!((victim, checkpoint), (large_job, true));
    assert_eq!(starts_of(&starts, job), 1);
}

#[test]
fn task_that_does_not_checkpoint_in_time_is_stopped_without_one() {
    let (mut engine, above_share, below_share) = engine(1, 1);
    engine.submit(&request(above_share, WorkKind::Batch, 1, 1), &[], 1);
    place(&mut engine, 1);
    let mut urgent = request(below_share, WorkKind::Batch, 1, 1);
    urgent.urgent = true;
    engine.submit(&urgent, &[], 100);
    place(&mut engine, 100);

    let later = place(&mut engine, 1_200);

    assert!(
        matches!(
            later[..],
            [Decision::Stop {
                checkpoint: false,
                ..
            }]
        ),
        "{later:?}"
    );
}

/// Guards against a task that is preempted by urgent work again and again and
/// never completes.
#[test]
fn job_is_preempted_at_most_three_times() {
    let (mut engine, above_share, below_share) = engine(1, 1);
    engine.submit(&request(above_share, WorkKind::Batch, 1, 1), &[], 1);
    let mut preemptions = 0;
    for round in 0..6_u64 {
        let now_ms = 1_000 * (round + 1);
        let mut running = place(&mut engine, now_ms);
        let mut urgent = request(below_share, WorkKind::Batch, 1, 1);
        urgent.urgent = true;
        engine.submit(&urgent, &[], now_ms + 1);
        for decision in place(&mut engine, now_ms + 1) {
            let Decision::Stop {
                job,
                task,
                attempt,
                worker,
                ..
            } = decision
            else {
                continue;
            };
            preemptions += 1;
            engine.record_end(worker, job, task, attempt, Outcome::Interrupted, now_ms + 2);
            running = place(&mut engine, now_ms + 2);
        }
        end_all(&mut engine, &running, Outcome::Completed, now_ms + 3);
        let rest = place(&mut engine, now_ms + 4);
        if round < 5 && preemptions < 3 {
            // The preempted task has restarted and is preempted next.
            assert_eq!(rest.len(), 1);
        }
        engine.submit(
            &request(above_share, WorkKind::Batch, 0, 1),
            &[],
            now_ms + 5,
        );
    }
    assert!(preemptions <= 3, "{preemptions}");
}

/// Guards against starvation of a gang by a steady stream of small tasks, which
/// take each freed part of a worker before the whole gang fits. No run times are
/// declared, so backfill relies on learned ones.
#[test]
fn gang_is_not_starved_by_small_tasks() {
    let (mut engine, team, other) = engine(4, 4);
    let mut running: Vec<(u64, Decision)> = Vec::new();
    let mut gang = None;
    let mut started_ms = None;
    for now_ms in (0..60_000).step_by(100) {
        engine.submit(&request(other, WorkKind::Batch, 2, 1), &[], now_ms);
        if now_ms == 5_000 {
            gang = Some(engine.submit(&request(team, WorkKind::Gang, 4, 3), &[], now_ms));
        }
        let due: Vec<Decision> = running
            .extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms)
            .map(|r| r.1)
            .collect();
        end_all(&mut engine, &due, Outcome::Completed, now_ms);
        let decisions = place(&mut engine, now_ms);
        for decision in decisions {
            match decision {
                Decision::Start { job, .. } if Some(job) == gang => {
                    started_ms = started_ms.or(Some(now_ms))
                }
                Decision::Start { .. } => running.push((now_ms + 3_000, decision)),
                Decision::Stop {
                    job,
                    task,
                    attempt,
                    worker,
                    ..
                } => {
                    running.retain(|(_, d)| !matches!(d, Decision::Start { job: j, task: t, .. } if (*j, *t) == (job, task)));
                    engine.record_end(worker, job, task, attempt, Outcome::Interrupted, now_ms);
                }
                Decision::Fail { .. } => panic!("no job fails here"),
            }
        }
    }
    let waited = started_ms.expect("the gang should start") - 5_000;
    assert!(waited <= 10_000, "{waited} ms");
}

#[test]
fn worker_on_which_every_task_fails_is_quarantined() {
    let (mut engine, team, _) = engine(4, 4);
    let mut on_failing_worker = 0;
    for round in 0..40_u64 {
        let now_ms = 100 * (round + 1);
        engine.submit(&request(team, WorkKind::Batch, 4, 1), &[], now_ms);
        for decision in place(&mut engine, now_ms) {
            let Decision::Start {
                job,
                task,
                attempt,
                worker,
                ..
            } = decision
            else {
                continue;
            };
            on_failing_worker += u32::from(worker == 0);
            let outcome = if worker == 0 {
                Outcome::Failed
            } else {
                Outcome::Completed
            };
            engine.record_end(worker, job, task, attempt, outcome, now_ms + 1);
        }
    }
    assert!(
        on_failing_worker <= 12,
        "{on_failing_worker} tasks were placed on the failing worker"
    );
}

/// Guards against a job that fails everywhere and so takes all workers out of
/// service for the jobs of other teams.
#[test]
fn broken_job_fails_without_quarantining_workers() {
    let (mut engine, team, other) = engine(6, 2);
    let broken = engine.submit(&request(team, WorkKind::Batch, 8, 1), &[], 1);
    let mut failed = false;
    for round in 0..200_u64 {
        let now_ms = 500 * (round + 1);
        let decisions = place(&mut engine, now_ms);
        failed |= decisions.contains(&Decision::Fail { job: broken });
        end_all(&mut engine, &decisions, Outcome::Failed, now_ms + 1);
    }
    assert!(failed, "the job should fail");

    let good = engine.submit(&request(other, WorkKind::Batch, 12, 1), &[], 200_000);
    let decisions = place(&mut engine, 200_000);

    assert_eq!(starts_of(&decisions, good), 12, "no worker is quarantined");
}

#[test]
fn cancelling_half_of_the_jobs_frees_their_resources() {
    let (mut engine, team, _) = engine(2, 4);
    let jobs: Vec<JobRef> = (0..2_000)
        .map(|_| engine.submit(&request(team, WorkKind::Batch, 1, 1), &[], 1))
        .collect();
    place(&mut engine, 1);
    let mut stops = Vec::new();
    for job in jobs.iter().step_by(2) {
        engine.cancel(*job, &mut stops);
    }
    assert_eq!(engine.verify(), Ok(()));
    assert_eq!(
        stops.len(),
        4,
        "half of the eight running tasks are stopped"
    );
    for stop in stops {
        if let Decision::Stop {
            job,
            task,
            attempt,
            worker,
            ..
        } = stop
        {
            engine.record_end(worker, job, task, attempt, Outcome::Interrupted, 2);
        }
    }
    assert_eq!(place(&mut engine, 2).len(), 4);
    assert_eq!(engine.waiting_tasks(), 1_000 - 8);
}

#[test]
fn accelerated_workers_take_plain_work_only_when_nothing_else_is_left() {
    let (mut engine, team, _) = engine(2, 2);
    let accelerated = engine.add_worker(Resources::of(8_000, 8_000, 2, 0), 9);
    engine.submit(&request(team, WorkKind::Batch, 4, 1), &[], 1);
    let plain = place(&mut engine, 1);
    let on_accelerated =
        |d: &Decision| matches!(d, Decision::Start { worker, .. } if *worker == accelerated);
    assert!(!plain.iter().any(on_accelerated));

    engine.submit(&request(team, WorkKind::Batch, 1, 1), &[], 2);
    assert!(
        place(&mut engine, 2).iter().any(on_accelerated),
        "no other worker has room"
    );
}

/// Guards against a probation that never ends beside a task that never ends, which was on
/// the worker before or is itself the probe.
#[test]
fn a_worker_on_probation_takes_tasks_beside_a_service() {
    for is_probe in [false, true] {
        let (mut engine, team, other) = engine(1, 8);
        let service = request(other, WorkKind::Service, 1, 1);
        if !is_probe {
            engine.submit(&service, &[], 1);
        }
        place(&mut engine, 1);
        let failing_job = request(team, WorkKind::Batch, 1, 1);
        let failing_jobs = [1, 2].map(|now_ms| engine.submit(&failing_job, &[], now_ms));
        let failing = place(&mut engine, 300);
        end_all(&mut engine, &failing, Outcome::Failed, 400);
        let held_back = place(&mut engine, 1_000);
        assert!(held_back.is_empty(), "{held_back:?}");
        for job in failing_jobs {
            engine.cancel(job, &mut Vec::new());
        }
        if is_probe {
            engine.submit(&service, &[], 5_000);
        }
        place(&mut engine, 6_000);

        let good = engine.submit(&request(team, WorkKind::Batch, 1, 1), &[], 9_000);
        let decisions = place(&mut engine, 9_000);

        assert_eq!(
            starts_of(&decisions, good),
            1,
            "the probe lasts: {is_probe}"
        );
    }
}

/// Guards against workers that stay quarantined after two jobs that failed on all of them
/// were found to be broken: neither was the only one that had failed there.
#[test]
fn several_broken_jobs_fail_without_quarantining_workers() {
    let (mut engine, team, other) = engine(6, 2);
    for _ in 0..2 {
        engine.submit(&request(team, WorkKind::Batch, 6, 1), &[], 1);
    }
    let mut failed = 0;
    for round in 0..200_u64 {
        let now_ms = 500 * (round + 1);
        let decisions = place(&mut engine, now_ms);
        let fails = |d: &&Decision| matches!(d, Decision::Fail { .. });
        failed += decisions.iter().filter(fails).count();
        if failed == 2 {
            let good = engine.submit(&request(other, WorkKind::Batch, 12, 1), &[], now_ms);
            let decisions = place(&mut engine, now_ms);
            assert_eq!(starts_of(&decisions, good), 12, "no worker is quarantined");
            return;
        }
        end_all(&mut engine, &decisions, Outcome::Failed, now_ms + 1);
    }
    panic!("both jobs should fail");
}

/// Guards against a sound worker that gets no work for up to five minutes, although no other is
/// large enough for what waits: each series of failures doubled its quarantine.
#[test]
fn a_sound_worker_without_an_alternative_is_used_soon_after_it_failed() {
    const FAILING_MS: u64 = 40_000;
    const MAX_UNUSED_MS: u64 = 7_000;
    const MAX_STARTS: usize = 14;
    for smaller in [0, 3] {
        let (mut engine, team, _) = engine(1, 8);
        for _ in 0..smaller {
            engine.add_worker(CORE.times(2), 0);
        }
        let (mut starts, mut first_sound_start) = (0, None);
        for now_ms in (100..=FAILING_MS + MAX_UNUSED_MS).step_by(100) {
            engine.submit(&request(team, WorkKind::Batch, 1, 4), &[], now_ms);
            let decisions = place(&mut engine, now_ms);
            let started = decisions.iter();
            let started = started
                .filter(|d| matches!(d, Decision::Start { .. }))
                .count();
            let outcome = match now_ms <= FAILING_MS {
                true => Outcome::Failed,
                false => Outcome::Completed,
            };
            match outcome {
                Outcome::Failed => starts += started,
                _ if started > 0 => drop(first_sound_start.get_or_insert(now_ms)),
                _ => {}
            }
            end_all(&mut engine, &decisions, outcome, now_ms + 1);
        }

        assert!(
            first_sound_start.is_some(),
            "{smaller} smaller ones: not used"
        );
        assert!(
            starts <= MAX_STARTS,
            "{smaller} smaller ones: {starts} starts"
        );
    }
}
