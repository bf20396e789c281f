//! The owner within its term: placement, ownership, submissions, heartbeats.

use std::collections::BTreeSet;
use std::time::Duration;

use model::JobId;
use sched::{Event, Listing, OfferResponse, Reply};

use crate::harness::{Harness, TICK, graph, listing, progress, recorded_flags, row, run_of};

/// Pattern: jobs that no backend server may run come together. They say nothing about
/// the room that others would find, so the policy must be queried about these too.
#[test]
fn steps_that_the_policy_denies_everywhere_hold_up_no_others() {
    let mut harness = Harness::owning(0.25);
    let mut graph = graph();
    graph.steps[0].estimate = Duration::from_secs(60);
    let ids: BTreeSet<JobId> = (0..40).map(|i| format!("{i:016x}").into()).collect();
    for id in &ids {
        harness.submit_graph(id, graph.clone());
    }

    let mut queried = harness.deny_queries();
    queried.append(&mut harness.deny_queries());

    assert_eq!(queried, ids);
}

/// With a slow policy and a backlog of jobs that can no longer meet their
/// objective, queries in order of arrival would delay the job that still can.
/// A placement pass must query the policy about that job.
#[test]
fn policy_queries_follow_the_placement_rank() {
    let mut harness = Harness::owning(0.25);
    for id in ["0000000000000001", "0000000000000002", "0000000000000003"] {
        harness.submit(id);
    }
    harness.advance(Duration::from_secs(4));
    harness.submit("0000000000000004");
    harness.advance(Duration::from_millis(100));
    let before = harness.policy_calls.len();

    for _ in 0..2 {
        harness.answer_policy(Vec::new());
        harness.advance(Duration::from_millis(100));
    }

    let asked: Vec<&str> = harness.policy_calls[before..]
        .iter()
        .map(|a| a.1.as_str())
        .collect();
    assert!(asked.contains(&"0000000000000004"), "asked about {asked:?}");
}

#[test]
fn a_weak_owner_hands_over_to_a_strong_vm() {
    let mut harness = Harness::owning(0.12);
    harness.advance(Duration::from_secs(4));

    harness.offer(0.5);
    harness.advance(Duration::from_millis(100));

    assert!(harness.has_released());
}

#[test]
fn an_owner_stays_when_nobody_stronger_could_own() {
    let mut harness = Harness::owning(0.25);
    harness.advance(Duration::from_secs(4));

    harness.offer(0.3);
    harness.offer(0.0);
    harness.advance(Duration::from_millis(100));

    assert!(!harness.has_released());
}

/// No VM can take over while the table service is unavailable. An owner that is
/// shutting down must not release ownership until the service is back.
#[test]
fn shutdown_keeps_ownership_while_the_table_service_is_unavailable() {
    let mut harness = Harness::owning(0.25);
    harness.store_down = true;
    harness.advance(Duration::from_secs(1));
    harness.deliver(Event::Shutdown);

    harness.advance(Duration::from_secs(1));
    let released_early = harness.has_released();
    harness.store_down = false;
    harness.advance(Duration::from_millis(500));

    assert!(!released_early);
    assert!(harness.has_released());
}

/// When the table service becomes fifty times slower, group commits with a fixed
/// timeout would never succeed. The timeout must grow so that decisions are still
/// recorded.
#[test]
fn commit_timeout_adapts_to_a_slow_table_service() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(200));
    harness.store_latency = Duration::from_millis(600);

    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_secs(3));

    assert!(harness.states_written > 0);
}

/// An owner that is partitioned can't announce it. A helper whose offer to it is
/// not answered must claim ownership before the regular timeout.
#[test]
fn an_offer_without_an_answer_brings_the_claim_forward() {
    let mut waiting = Harness::following();
    let mut suspecting = Harness::following();
    for harness in [&mut waiting, &mut suspecting] {
        harness.advance(Duration::from_millis(500));
    }

    suspecting.deliver(Event::OfferAnswered(OfferResponse::Lost));
    for harness in [&mut waiting, &mut suspecting] {
        harness.advance(Duration::from_millis(600));
    }

    assert!(suspecting.has_claimed());
    assert!(!waiting.has_claimed());
}

/// Pattern: a part of the table service is down and resets connections. Each write
/// then leaves its caller without a definite answer, after which the caller can't
/// safely repeat it elsewhere. Once that is known, further submissions are refused
/// before anything is written.
#[test]
fn submissions_to_a_failing_partition_are_refused_before_they_are_sent() {
    let mut harness = Harness::owning(0.25);
    harness.submissions_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(300));
    let sent_before = harness.submissions_sent;
    harness.replies.clear();

    harness.submit("0000000000000001");

    assert!(
        sent_before >= 2,
        "the outcome of a write is asked for again"
    );
    assert_eq!(
        harness.submissions_sent, sent_before,
        "nothing more was sent"
    );
    let refused =
        matches!(harness.replies.as_slice(), [Reply::Refused(r)] if r.retry_after.is_some());
    assert!(refused, "{:?}", harness.replies);
}

/// The refusals end as soon as a probe is answered, without a submission that is
/// tried at the risk of its caller.
#[test]
fn submissions_are_accepted_again_after_an_answer() {
    let mut harness = Harness::owning(0.25);
    harness.submissions_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(300));
    harness.submissions_lost = false;
    harness.advance(Duration::from_millis(500));
    harness.replies.clear();

    harness.submit("0000000000000001");

    assert_eq!(harness.replies, [Reply::Accepted]);
}

/// Starts a job's only task, which the backend server rejects each time, until
/// `count` start orders were sent.
fn reject_starts(harness: &mut Harness, count: usize) {
    harness.submit("0000000000000001");
    while harness.starts.len() < count {
        harness.advance(TICK);
        harness.answer_policy(vec![("server".into(), "ticket".into())]);
    }
}

/// A backend server that has seen a run number accepts only higher ones for that
/// task. However often an owner starts a task, its successor's numbers are higher.
#[test]
fn run_numbers_of_a_successor_are_higher_after_many_starts() {
    let mut first = Harness::owning(0.25);
    reject_starts(&mut first, 1_100);
    let mut second = Harness::new("follower", 0.25, first.cell_rows.clone());
    second.advance(Duration::from_secs(4));
    assert!(second.node.is_owner());

    reject_starts(&mut second, 1);

    assert!(second.starts.first() > first.starts.iter().max());
}

/// An order for one incarnation of a backend server must be rejected by every later
/// one, also by the thousandth within a term.
#[test]
fn fencing_tokens_grow_with_each_of_many_incarnations() {
    let mut harness = Harness::owning(0.25);

    for incarnation in 2..1_200 {
        let listing = Listing {
            incarnation,
            ..listing()
        };
        harness.deliver(Event::ServerListed(listing));
        harness.advance(TICK * 5);
    }

    let mut tokens = harness.renewal_tokens.clone();
    tokens.dedup();
    assert!(tokens.is_sorted(), "tokens never decrease");
    assert_eq!(tokens.len(), 1_199, "each incarnation has its own token");
}

/// Pattern: backend servers leave orders unanswered. A task whose start was lost may
/// start again once its stop is acknowledged and a later list does not show it. The
/// list must not wait for the renewal that the backend server holds until a run ends.
#[test]
fn a_lost_start_is_repeated_without_waiting_for_a_held_renewal() {
    let mut harness = Harness::owning(0.25);
    harness.holds_renewals = true;
    harness.advance(Duration::from_millis(100));
    harness.starts_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));

    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_millis(300));

    assert!(harness.starts.len() > 1, "starts: {:?}", harness.starts);
}

/// Pattern: a process that was paused acts on a permission that ran out meanwhile.
/// Another VM may have claimed during the pause, so an owner that resumes sends no
/// order until a write is confirmed that it sent after the pause.
#[test]
fn an_owner_that_resumes_sends_no_order_before_a_write_is_confirmed() {
    let mut harness = Harness::owning(0.25);
    harness.store_down = true;
    harness.now += Duration::from_secs(2);
    let orders_before = harness.renewal_tokens.len();

    harness.advance(Duration::from_millis(500));
    let orders_unconfirmed = harness.renewal_tokens.len();
    harness.store_down = false;
    harness.advance(Duration::from_millis(500));

    assert_eq!(orders_unconfirmed, orders_before);
    assert!(harness.renewal_tokens.len() > orders_before);
}

/// Pattern: a table service that is away for so long that tasks start without a
/// record. Until the records are written, a successor must not trust them: the
/// heartbeat has to say so.
#[test]
fn heartbeats_say_that_a_start_is_not_recorded_yet() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.store_down = true;
    harness.advance(Duration::from_millis(4_200));
    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_millis(100));
    let started = harness.starts.len();
    let applied_before = recorded_flags(&harness).len();

    harness.store_down = false;
    harness.advance(Duration::from_secs(3));

    assert!(started > 0, "a task was started without a record");
    let flags = &recorded_flags(&harness)[applied_before..];
    assert_eq!(flags.first(), Some(&false), "{flags:?}");
    assert_eq!(flags.last(), Some(&true), "{flags:?}");
}

/// Pattern: an owner finds a run that an earlier one ordered. A successor that can't
/// reach that backend server knows of it only by the record.
#[test]
fn heartbeats_say_that_a_found_run_is_not_recorded_yet() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.job_partitions_down = true;
    harness.running.push(progress(run_of("0000000000000001")));
    harness.advance(Duration::from_secs(1));
    let flag_before = recorded_flags(&harness).last().copied();

    harness.job_partitions_down = false;
    harness.advance(Duration::from_secs(1));

    assert_eq!(flag_before, Some(false));
    assert_eq!(recorded_flags(&harness).last(), Some(&true));
}

/// A successor may have claimed and not yet replaced the fence row of a job partition,
/// so a write that is applied there does not show that this owner still is the owner.
#[test]
fn a_group_commit_does_not_confirm_the_term() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.cell_partition_down = true;
    harness.now += Duration::from_secs(2);
    let orders_before = harness.renewal_tokens.len();
    let job_commits = |harness: &Harness| {
        let commits = harness.commits.iter();
        commits.filter(|(partition, _)| *partition != 0).count()
    };
    let commits_before = job_commits(&harness);

    let cancellation = row("job/0000000000000001/cancel", &[1]);
    harness.accepted.push(cancellation);
    harness.advance(Duration::from_millis(500));

    assert!(job_commits(&harness) > commits_before);
    assert_eq!(harness.renewal_tokens.len(), orders_before);
}

/// Counter in the heartbeat row as stored.
fn stored_count(harness: &Harness) -> u64 {
    let mut rows = harness.cell_rows.iter();
    let row = rows.find(|row| row.key == "cell/beat").expect("a row");
    let (count, _) = postcard::take_from_bytes::<u64>(&row.cell.value).expect("a count");
    count
}

/// Guards against counts and statements of a heartbeat that come back after those of a newer
/// one: a heartbeat that got no answer is applied late.
#[test]
fn a_late_heartbeat_does_not_replace_a_newer_one() {
    let mut harness = Harness::owning(0.25);
    harness.writes_lost_to = &["cell/beat"];
    harness.advance(Duration::from_millis(700));
    harness.writes_lost_to = &[];
    harness.advance(Duration::from_millis(700));
    let before = stored_count(&harness);

    harness.apply_late_writes();
    harness.advance(Duration::from_secs(1));

    assert!(harness.node.is_owner());
    assert!(stored_count(&harness) > before, "heartbeats go on");
    assert_eq!(harness.late_applied, 0);
}

/// Guards against an owner that stops its heartbeats, or gives up, because one of them was
/// applied and its answer lost.
#[test]
fn heartbeats_go_on_after_one_was_applied_without_an_answer() {
    let mut harness = Harness::owning(0.25);
    for _ in 0..5 {
        harness.writes_lost_to = &["cell/beat"];
        harness.advance(Duration::from_millis(320));
        harness.writes_lost_to = &[];
        harness.apply_late_writes();
        let before = stored_count(&harness);
        harness.advance(Duration::from_millis(400));

        assert!(stored_count(&harness) > before);
    }
    assert!(harness.node.is_owner());
    assert!(!harness.has_released(), "{:?}", harness.notices);
}

/// Guards against a task that runs twice after a takeover. The table service is silent, and
/// applies late a heartbeat of that time which states that all runs are recorded. Tasks start
/// without records only once no successor can trust it.
#[test]
fn starts_without_records_wait_until_no_late_heartbeat_can_be_trusted() {
    let mut harness = Harness::owning(0.25);
    harness.starts_lost = true;
    harness.stops_lost = true;
    harness.renews_by_tick = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.writes_lost_to = &["cell/", "state/"];
    harness.advance(Duration::from_millis(3_900));
    harness.answer_policy(vec![("server".into(), "ticket".into())]);

    harness.advance(Duration::from_millis(100));
    let while_trusted = harness.starts.len();
    harness.advance(Duration::from_millis(1_500));

    assert_eq!(while_trusted, 0);
    assert_eq!(harness.starts.len(), 1, "{:?}", harness.notices);
}
