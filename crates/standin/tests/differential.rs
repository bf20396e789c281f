//! The engine against the naive version on generated histories.
//!
//! Invariant: with the same state, both choose the same job next, and the
//! engine stops exactly when the naive version finds nothing to start.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use model::{Resources, TeamOrder, WorkKind};
use policy::{Decision, Engine, JobRef, JobRequest, Outcome, Settings, TeamId};
use standin::naive::{Job, Naive, Team, Worker};

/// Seeds of the generated histories.
const SEEDS: std::ops::Range<u64> = 0..300;
/// Steps of a history.
const STEPS: u32 = 40;

/// Both schedulers over one history.
struct Pair {
    engine: Engine,
    naive: Naive,
    jobs: Vec<Option<JobRef>>,
    running: Vec<(usize, u32, u64, u32)>,
    now_ms: u64,
}

fn pair(u: &mut Unstructured<'_>) -> Result<Pair> {
    let order = *u.choose(&[TeamOrder::DominantShare, TeamOrder::Fifo])?;
    let settings = Settings {
        order,
        reserve_after_ms: u64::MAX,
        preempt: false,
    };
    let mut pair = Pair {
        engine: Engine::new(settings),
        naive: Naive {
            fifo: order == TeamOrder::Fifo,
            ..Naive::default()
        },
        jobs: Vec::new(),
        running: Vec::new(),
        now_ms: 1,
    };
    for _ in 0..u.int_in_range(1..=4)? {
        let share = u.int_in_range(1..=5)?;
        let limited = u.ratio(1, 3)?;
        let allotment = match limited {
            true => Resources::of(6_000, 6_000, 3, 0),
            false => Resources::UNLIMITED,
        };
        let id = pair.engine.add_team(share);
        pair.engine.set_team(id, share, allotment);
        pair.naive.teams.push(Team { share, allotment });
    }
    for at in 0..u.int_in_range(1..=6)? {
        let capacity = Resources::of(
            u.int_in_range(1..=8)? * 1_000,
            u.int_in_range(1..=8)? * 1_000,
            u.int_in_range(0..=2)?,
            0,
        );
        pair.engine.add_worker(capacity, at as u16 / 2);
        pair.naive.workers.push(Worker {
            capacity,
            tasks: Vec::new(),
            open: true,
        });
    }
    Ok(pair)
}

fn submit(pair: &mut Pair, u: &mut Unstructured<'_>) -> Result<()> {
    let team = u.choose_index(pair.naive.teams.len())?;
    let work = *u.choose(&[
        WorkKind::Batch,
        WorkKind::Batch,
        WorkKind::Gang,
        WorkKind::Service,
    ])?;
    let urgent = u.ratio(1, 6)?;
    let each = Resources::of(
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
        demand: each,
        tasks,
        class: 0,
        first_attempt: 0,
    };
    let id = pair.engine.submit(&request, &[], pair.now_ms);
    pair.jobs.push(Some(id));
    pair.naive.jobs.push(Job {
        team,
        work,
        urgent,
        each,
        pending: (0..tasks).collect(),
        seq: pair.jobs.len() as u64,
    });
    Ok(())
}

fn end_one(pair: &mut Pair, u: &mut Unstructured<'_>) -> Result<()> {
    if pair.running.is_empty() {
        return Ok(());
    }
    let at = u.choose_index(pair.running.len())?;
    let (job, task, attempt, worker) = pair.running.swap_remove(at);
    let id = pair.jobs[job].expect("running jobs are known");
    let known = pair
        .engine
        .record_end(worker, id, task, attempt, Outcome::Completed, pair.now_ms);
    assert!(known, "the engine knows what it started");
    pair.naive.end(job, task);
    Ok(())
}

fn cancel_one(pair: &mut Pair, u: &mut Unstructured<'_>) -> Result<()> {
    let waiting: Vec<usize> = (0..pair.jobs.len())
        .filter(|j| pair.jobs[*j].is_some() && pair.running.iter().all(|r| r.0 != *j))
        .collect();
    if waiting.is_empty() {
        return Ok(());
    }
    let job = waiting[u.choose_index(waiting.len())?];
    let id = pair.jobs[job].take().expect("chosen among known jobs");
    pair.engine.cancel(id, &mut Vec::new());
    pair.naive.jobs[job].pending.clear();
    Ok(())
}

/// Places with the engine and checks each decision against the naive version.
fn place(pair: &mut Pair) {
    let mut decisions = Vec::new();
    pair.engine
        .place(pair.now_ms, usize::MAX / 2, &mut decisions);
    let mut at = 0;
    while at < decisions.len() {
        let (expected, workers) = pair.naive.next().expect("the naive version starts it, too");
        for _ in workers {
            let Decision::Start {
                job,
                task,
                attempt,
                worker,
                ..
            } = decisions[at]
            else {
                panic!("only starts are expected, got {:?}", decisions[at]);
            };
            assert_eq!(pair.jobs[expected], Some(job), "same job is next");
            pair.naive.start(expected, task, worker as usize);
            pair.running.push((expected, task, attempt, worker));
            at += 1;
        }
    }
    assert_eq!(pair.naive.next(), None, "nothing that fits is left waiting");
    assert_eq!(pair.engine.verify(), Ok(()));
}

#[test]
fn same_admissions_as_naive() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut pair = pair(u)?;
            for _ in 0..STEPS {
                pair.now_ms += 1;
                match u.int_in_range(0..=5)? {
                    0..=2 => submit(&mut pair, u)?,
                    3 | 4 => end_one(&mut pair, u)?,
                    _ => cancel_one(&mut pair, u)?,
                }
                place(&mut pair);
            }
            Ok(())
        })
        .seed(seed << 32 | 0x4000);
    }
}
