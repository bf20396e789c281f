//! Tasks that crash the backend servers that start them.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Graph, Name, RunKey, RunOutcome, Stage, Step};
use sched::{Event, Listing, Notice};

use crate::harness::{
    Harness, LAPSE_TIME, TICK, busy, graph, listing, named_listing, owner_of, replace_owner,
    successor_of, wide,
};

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

/// Cuts backend servers off until the leases there have lapsed. The members of a gang that
/// run elsewhere end with those there.
fn cut(harness: &mut Harness, servers: &[Name], gang: bool) {
    harness.unreachable.extend(servers.iter().cloned());
    let lists = servers.iter().map(|id| &harness.fleet[id]);
    let runs = lists.flat_map(|lists| &lists.running);
    let lost: BTreeSet<u64> = runs.map(|progress| progress.run.number).collect();
    harness.advance(LAPSE_TIME);
    for (id, lists) in &mut harness.fleet {
        match servers.contains(id) {
            true => lists.end(RunOutcome::Lapsed, |_| true),
            false if gang => {
                let is_lost = |run: &RunKey| lost.contains(&run.number);
                lists.end(RunOutcome::GangMemberEnded, is_lost);
            }
            false => {}
        }
    }
}

fn mend(harness: &mut Harness) {
    harness.unreachable.clear();
    harness.advance(Duration::from_secs(3));
}

/// Guards against giving up a gang, or a task, because its backend servers are cut off again
/// and again and go on: nothing crashes.
#[test]
fn work_on_servers_that_are_cut_off_is_not_given_up() {
    for (gang, tasks, cut_at_once) in [(true, 4, 1), (true, 4, 2), (true, 4, 4), (false, 4, 2)] {
        let case = format!("gang: {gang}, {cut_at_once} cut off at once");
        let mut harness = owner_of(10);
        harness.submit_to(&format!("/plain/{JOB}"), wide(tasks, gang));
        harness.advance(Duration::from_secs(1));

        for _ in 0..8 {
            let servers = busy(&harness, cut_at_once);
            cut(&mut harness, &servers, gang);
            mend(&mut harness);
            assert!(!has_failed(&harness), "{case}: {:?}", harness.placements);
        }

        assert_eq!(busy(&harness, 10).len(), tasks as usize, "{case}");
    }
}

/// Guards against the same when the owner that noted a loss is killed before the backend
/// server answers again.
#[test]
fn losses_that_a_predecessor_noted_are_withdrawn() {
    let mut harness = owner_of(10);
    harness.submit_to(&format!("/plain/{JOB}"), wide(4, true));
    harness.advance(Duration::from_secs(1));

    for term in 0..6 {
        let servers = busy(&harness, 1);
        cut(&mut harness, &servers, true);
        harness = replace_owner(harness, term);
        harness.advance(LAPSE_TIME);
        mend(&mut harness);
        assert!(!has_failed(&harness), "term {term}");
    }

    assert_eq!(busy(&harness, 10).len(), 4);
}

/// Guards against giving up a task while the backend servers that were lost under it are
/// silent, all of which go on.
#[test]
fn a_task_waits_until_it_is_known_whether_its_servers_crashed() {
    for gang in [false, true] {
        let mut harness = owner_of(10);
        harness.submit_to(&format!("/plain/{JOB}"), wide(1, gang));
        harness.advance(Duration::from_secs(1));

        for _ in 0..8 {
            let servers = busy(&harness, 10);
            cut(&mut harness, &servers, gang);
            harness.advance(Duration::from_secs(2));
        }
        let starts = harness.placements.len();
        assert!(!has_failed(&harness), "gang: {gang}");
        assert!(starts < TOO_MANY_STARTS, "gang: {gang}: {starts} starts");
        mend(&mut harness);

        assert_eq!(busy(&harness, 10).len(), 1, "gang: {gang}");
    }
}

/// Guards against a task that crashes its servers and is started on one after the other,
/// because each of them is silent at first and comes back as another incarnation, or leaves
/// the registry for good.
#[test]
fn a_task_whose_silent_servers_turn_out_to_have_crashed_is_given_up() {
    for (gang, returns) in [(false, true), (true, true), (false, false), (true, false)] {
        let case = format!("gang: {gang}, servers return: {returns}");
        let mut harness = owner_of(10);
        harness.submit_to(&format!("/plain/{JOB}"), wide(1, gang));
        harness.advance(Duration::from_secs(1));

        for incarnation in 2..12 {
            let servers = busy(&harness, 10);
            harness.unreachable.extend(servers.iter().cloned());
            for id in &servers {
                harness.fleet.insert(id.clone(), Default::default());
            }
            harness.advance(Duration::from_secs(4));
            for id in servers {
                match returns {
                    true => {
                        harness.unreachable.remove(&id);
                        let next = Listing {
                            incarnation,
                            ..named_listing(&id)
                        };
                        harness.restart(&id, incarnation);
                        harness.deliver(Event::ServerListed(next));
                    }
                    false => harness.deliver(Event::ServerUnlisted(id)),
                }
            }
            harness.advance(LAPSE_TIME);
        }

        let starts = harness.placements.len();
        assert!(starts < TOO_MANY_STARTS, "{case}: {starts} starts");
        assert!(has_failed(&harness) && was_given_up(&harness), "{case}");
    }
}

/// Guards against withdrawing a crash under one member of a gang, because the backend server
/// of another member was only silent and answers again.
#[test]
fn a_crash_under_a_gang_counts_beside_a_server_that_is_cut_off() {
    for crash_first in [false, true] {
        let mut harness = owner_of(10);
        harness.submit_to(&format!("/plain/{JOB}"), wide(2, true));
        harness.advance(Duration::from_secs(1));

        for incarnation in 2..12 {
            let servers = busy(&harness, 2);
            let [crashed, silent] = &servers[..] else {
                break;
            };
            let next = Listing {
                incarnation,
                ..named_listing(crashed)
            };
            harness.unreachable.insert(silent.clone());
            harness.restart(crashed, incarnation);
            if crash_first {
                harness.deliver(Event::ServerListed(next.clone()));
            }
            harness.advance(LAPSE_TIME);
            let lists = harness.fleet.get_mut(silent).expect("a server");
            lists.end(RunOutcome::Lapsed, |_| true);
            if !crash_first {
                harness.deliver(Event::ServerListed(next));
            }
            mend(&mut harness);
        }

        let mut starts: Vec<u64> = harness.placements.iter().map(|(_, r)| r.number).collect();
        starts.sort_unstable();
        starts.dedup();
        assert!(
            starts.len() < TOO_MANY_STARTS,
            "crash first: {crash_first}: {starts:?}"
        );
        assert!(was_given_up(&harness), "crash first: {crash_first}");
    }
}

/// Guards against giving up a sound task because one rack loses power again and again: the
/// only backend servers that have settled there are those that have just restarted, and a
/// server of another rack has just taken another start.
#[test]
fn a_suspect_waits_for_a_server_outside_the_rack_where_it_was_lost() {
    let in_rack = |id: &str, rack: &str| Listing {
        rack: rack.into(),
        labels: vec![rack.into()],
        ..named_listing(id)
    };
    let mut harness = owner_of(3);
    for (id, rack) in [("s0", "near"), ("s1", "near"), ("s2", "far")] {
        harness.deliver(Event::ServerListed(in_rack(id, rack)));
    }
    let mut near = graph();
    near.steps[0].label = Some("near".into());
    harness.submit_to("/plain/0000000000000002", near);
    harness.advance(Duration::from_secs(1));
    harness.unreachable.insert("s2".into());
    harness.submit_plain(JOB);
    harness.advance(Duration::from_millis(100));
    harness.unreachable.clear();
    harness.advance(Duration::from_secs(1));
    let (lost_on, _) = harness.placements.last().cloned().expect("a start");
    assert_ne!(lost_on, "s2");

    let mut far = graph();
    far.steps[0].label = Some("far".into());
    harness.submit_to("/plain/0000000000000003", far);
    harness.advance(Duration::from_millis(60));
    harness.restart(&lost_on, 2);
    harness.deliver(Event::ServerListed(Listing {
        incarnation: 2,
        ..in_rack(&lost_on, "near")
    }));
    harness.advance(Duration::from_secs(2));

    let of_job = |(_, run): &&(Name, RunKey)| run.task.job == JOB;
    let starts: Vec<_> = harness.placements.iter().filter(of_job).collect();
    let servers: Vec<&Name> = starts.into_iter().map(|(server, _)| server).collect();
    assert_eq!(servers, [&lost_on, &Name::from("s2")]);
}
