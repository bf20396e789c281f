//! Differential test of the engine against the naive scheduler on generated
//! histories.
//!
//! Invariant: in the same state both select the same job next, and the engine
//! stops placing exactly when the naive scheduler finds nothing to start.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use model::{Resources, TeamOrder, WorkKind};
use policy::{Decision, Engine, JobRef, JobRequest, Outcome, Settings, TeamId};
use standin::naive::{Job, NaiveScheduler, Team, Worker};

/// Seeds of the generated histories, used as the upper 32 bits of the arbtest
/// seed.
const SEEDS: std::ops::Range<u64> = 0..300;
/// Number of steps in a history.
const STEPS_PER_HISTORY: u32 = 40;

/// Both schedulers and the history they have in common.
struct Harness {
    engine: Engine,
    naive: NaiveScheduler,
    jobs: Vec<Option<JobRef>>,
    running: Vec<(usize, u32, u64, u32)>,
    now_ms: u64,
}

fn generate_harness(u: &mut Unstructured<'_>) -> Result<Harness> {
    let order = *u.choose(&[TeamOrder::DominantShare, TeamOrder::Fifo])?;
    let settings = Settings {
        order,
        reserve_after_ms: u64::MAX,
        preempt: false,
    };
    let mut harness = Harness {
        engine: Engine::new(settings),
        naive: NaiveScheduler {
            fifo: order == TeamOrder::Fifo,
            ..NaiveScheduler::default()
        },
        jobs: Vec::new(),
        running: Vec::new(),
        now_ms: 1,
    };
    for _ in 0..u.int_in_range(1..=4)? {
        let weight = u.int_in_range(1..=5)?;
        let limited = u.ratio(1, 3)?;
        let allotment = match limited {
            true => Resources::of(6_000, 6_000, 3, 0),
            false => Resources::UNLIMITED,
        };
        let id = harness.engine.add_team(weight);
        harness.engine.set_team(id, weight, allotment);
        harness.naive.teams.push(Team { weight, allotment });
    }
    for index in 0..u.int_in_range(1..=6)? {
        let capacity = Resources::of(
            u.int_in_range(1..=8)? * 1_000,
            u.int_in_range(1..=8)? * 1_000,
            u.int_in_range(0..=2)?,
            0,
        );
        harness.engine.add_worker(capacity, index as u16 / 2);
        harness.naive.workers.push(Worker {
            capacity,
            tasks: Vec::new(),
            schedulable: true,
        });
    }
    Ok(harness)
}

fn submit_random_job(harness: &mut Harness, u: &mut Unstructured<'_>) -> Result<()> {
    let team = u.choose_index(harness.naive.teams.len())?;
    let work = *u.choose(&[
        WorkKind::Batch,
        WorkKind::Batch,
        WorkKind::Gang,
        WorkKind::Service,
    ])?;
    let urgent = u.ratio(1, 6)?;
    let demand = Resources::of(
        u.int_in_range(1..=4)? * 1_000,
        u.int_in_range(1..=4)? * 1_000,
        u.int_in_range(0..=1)?,
        0,
    );
    let tasks = u.int_in_range(1..=4)?;
    let request = JobRequest {
        team: team as TeamId,
        work,
        urgent,
        demand,
        tasks,
        class: 0,
        first_attempt: 0,
    };
    let id = harness.engine.submit(&request, &[], harness.now_ms);
    harness.jobs.push(Some(id));
    harness.naive.jobs.push(Job {
        team,
        work,
        urgent,
        demand,
        pending: (0..tasks).collect(),
        seq: harness.jobs.len() as u64,
    });
    Ok(())
}

fn complete_random_task(harness: &mut Harness, u: &mut Unstructured<'_>) -> Result<()> {
    if harness.running.is_empty() {
        return Ok(());
    }
    let index = u.choose_index(harness.running.len())?;
    let (job, task, attempt, worker) = harness.running.swap_remove(index);
    let id = harness.jobs[job].expect("running job is not cancelled");
    let known = harness.engine.record_end(
        worker,
        id,
        task,
        attempt,
        Outcome::Completed,
        harness.now_ms,
    );
    assert!(known, "the engine does not know a task it started");
    harness.naive.end_task(job, task);
    Ok(())
}

fn cancel_random_job(harness: &mut Harness, u: &mut Unstructured<'_>) -> Result<()> {
    let waiting: Vec<usize> = (0..harness.jobs.len())
        .filter(|j| harness.jobs[*j].is_some() && harness.running.iter().all(|r| r.0 != *j))
        .collect();
    if waiting.is_empty() {
        return Ok(());
    }
    let job = waiting[u.choose_index(waiting.len())?];
    let id = harness.jobs[job].take().expect("job is not cancelled yet");
    harness.engine.cancel(id, &mut Vec::new());
    harness.naive.jobs[job].pending.clear();
    Ok(())
}

/// Places with the engine and checks each decision against the naive scheduler.
fn place_and_compare(harness: &mut Harness) {
    let mut decisions = Vec::new();
    harness
        .engine
        .place(harness.now_ms, usize::MAX / 2, &mut decisions);
    let mut index = 0;
    while index < decisions.len() {
        let (expected, workers) = harness
            .naive
            .next_placement()
            .expect("the engine started a task, but the naive scheduler finds none to start");
        for _ in workers {
            let Decision::Start {
                job,
                task,
                attempt,
                worker,
                ..
            } = decisions[index]
            else {
                panic!("expected only start decisions, got {:?}", decisions[index]);
            };
            assert_eq!(
                harness.jobs[expected],
                Some(job),
                "the schedulers selected different jobs"
            );
            harness.naive.start_task(expected, task, worker as usize);
            harness.running.push((expected, task, attempt, worker));
            index += 1;
        }
    }
    assert_eq!(
        harness.naive.next_placement(),
        None,
        "the engine left a pending task that fits"
    );
    assert_eq!(harness.engine.verify(), Ok(()));
}

#[test]
fn engine_starts_the_same_jobs_as_naive_scheduler() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut harness = generate_harness(u)?;
            for _ in 0..STEPS_PER_HISTORY {
                harness.now_ms += 1;
                match u.int_in_range(0..=5)? {
                    0..=2 => submit_random_job(&mut harness, u)?,
                    3 | 4 => complete_random_task(&mut harness, u)?,
                    _ => cancel_random_job(&mut harness, u)?,
                }
                place_and_compare(&mut harness);
            }
            Ok(())
        })
        .seed(seed << 32 | 0x4000);
    }
}
