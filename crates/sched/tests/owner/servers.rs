//! Backend servers: incarnations, leases, run lists and orders.

use std::time::Duration;

use model::{Name, RunOutcome, Stage};
use sched::{CallId, Event, Finished, Listing, Notice, OrderResponse, Rejection};

use crate::harness::{Harness, TICK, listing, named_listing, progress, run_of};

/// Pattern: a backend server restarts while an order to it is on the way. The order
/// may have reached the new incarnation, so the task must not start again before that
/// has acknowledged a stop.
#[test]
fn a_start_that_may_have_reached_the_next_incarnation_is_not_repeated() {
    let mut harness = Harness::owning(0.25);
    harness.starts_lost = true;
    harness.stops_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_millis(100));

    let listing = Listing {
        incarnation: 2,
        ..listing()
    };
    harness.deliver(Event::ServerListed(listing));
    harness.advance(Duration::from_millis(500));
    let unacknowledged = harness.starts.len();
    harness.stops_lost = false;
    harness.advance(Duration::from_millis(500));

    assert_eq!(unacknowledged, 1);
    assert!(harness.starts.len() > 1, "started again after the stop");
}

/// An owner whose backend server `server` runs job 1. Since a start of job 2 there was
/// lost and stopped, the owner has asked for the lists again, which got no answer, and
/// no longer waits for the renewal that the server holds.
fn owner_that_requested_lists_again() -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.holds_renewals = true;
    harness.advance(Duration::from_millis(100));
    harness.starts_run = false;
    harness.starts_lost = true;
    harness.submit_plain("0000000000000002");
    harness.advance(TICK);
    harness.unreachable.insert("server".into());
    harness.pending_renewals.clear();
    harness.holds_renewals = false;
    harness.starts_run = true;
    harness
}

/// Guards against a task that starts again after its end was listed. The response to a
/// renewal that the owner no longer waits for lists the end, and the backend server is
/// not heard of again.
#[test]
fn an_end_in_the_response_to_an_earlier_renewal_is_not_lost() {
    let mut harness = owner_that_requested_lists_again();
    let (call, server) = harness.held_renewals.pop().expect("a held renewal");
    let end = Finished {
        number: 1,
        run: harness.started[0].clone(),
        outcome: RunOutcome::Completed,
        checkpoint: Name::default(),
    };
    harness.running.clear();
    harness.answer_renewal(call, &server, vec![end]);
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.deliver(Event::ServerListed(named_listing("other")));

    harness.advance(Duration::from_secs(14));

    let starts_of = |job: &str| {
        let runs = harness.started.iter();
        runs.filter(|run| run.task.job == job).count()
    };
    assert_eq!(starts_of("0000000000000001"), 1);
    assert!(
        starts_of("0000000000000002") > 1,
        "runs there were given up"
    );
}

/// An owner with the backend servers `server`, which runs job 1, `one` and `two`. The
/// first can't be reached any more.
fn owner_cut_off_from_a_run() -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(500));
    for id in ["one", "two"] {
        harness.deliver(Event::ServerListed(named_listing(id)));
    }
    harness.advance(Duration::from_millis(500));
    harness.unreachable.insert("server".into());
    harness
}

/// Guards against a task that runs twice while two owners are valid. An owner without
/// a confirmed write goes on with a majority of the backend servers. A successor may
/// have reached the others and renew their leases, so their runs count until a write
/// is confirmed again.
#[test]
fn leases_that_a_successor_may_renew_do_not_expire() {
    let mut harness = owner_cut_off_from_a_run();
    harness.store_down = true;

    harness.advance(Duration::from_secs(15));
    let unconfirmed = harness.starts.len();
    harness.store_down = false;
    harness.advance(Duration::from_secs(2));

    assert!(harness.node.is_owner());
    assert_eq!(
        unconfirmed, 1,
        "started again while another owner may exist"
    );
    assert!(harness.starts.len() > 1, "started again once confirmed");
}

/// Guards against a task that runs twice after a delayed start order. A backend server
/// that restarts unseen executes it with a lease that its own clock limits, so the end
/// of the ordered lease proves nothing while the registry lists the server.
#[test]
fn an_unanswered_start_outlasts_its_lease_while_the_server_is_listed() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_lost = true;
    harness.stops_lost = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerListed(named_listing("other")));

    harness.advance(Duration::from_secs(10));
    let while_listed = harness.starts.len();
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(4));

    assert_eq!(while_listed, 1, "the order may still be executed");
    assert!(
        harness.starts.len() > 1,
        "started again once the server has left"
    );
}

/// Guards against the same when the backend server has left the registry by the time that
/// its leases end: it may start again, and execute the order before this owner calls it.
#[test]
fn an_unanswered_start_outlasts_its_lease_on_a_server_that_has_left() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_lost = true;
    harness.stops_lost = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.deliver(Event::ServerListed(named_listing("other")));

    harness.advance(Duration::from_millis(6_500));
    let while_possible = harness.starts.len();
    harness.advance(Duration::from_secs(2));

    assert_eq!(while_possible, 1, "the order may still be executed");
    assert!(
        harness.starts.len() > 1,
        "a task does not wait for a lost server for long"
    );
}

/// Guards against an end that is dropped unhandled. While a start has no answer, the next
/// incarnation may execute it, end the run, and execute a renewal that acknowledges as many
/// ends of the former one.
#[test]
fn no_ends_are_acknowledged_while_a_start_has_no_answer() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.starts_run = true;
    harness.advance(Duration::from_secs(1));
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.running.clear();
    harness.finished.push(Finished {
        number: 1,
        run: harness.started[0].clone(),
        outcome: RunOutcome::Completed,
        checkpoint: Name::default(),
    });
    harness.advance(Duration::from_millis(500));
    assert_eq!(harness.acknowledged.last(), Some(&1));
    harness.starts_run = false;
    harness.starts_lost = true;
    harness.stops_lost = true;

    harness.submit_plain("0000000000000002");
    harness.advance(Duration::from_millis(100));
    harness.acknowledged.clear();
    harness.advance(Duration::from_millis(500));

    let acknowledged = &harness.acknowledged;
    assert!(!acknowledged.is_empty());
    assert!(acknowledged.iter().all(|end| *end == 0), "{acknowledged:?}");
}

/// Guards against an owner that gives up in every outage of the table service. Renewals
/// of servers with unacknowledged ends, which can't be acknowledged then, must come often
/// enough for a majority.
#[test]
fn an_owner_keeps_its_majority_while_ends_cannot_be_acknowledged() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(500));
    harness.cell_partition_down = true;
    harness.job_writes_lost = true;
    harness.running.clear();
    harness.finished.push(Finished {
        number: 1,
        run: harness.started[0].clone(),
        outcome: RunOutcome::Completed,
        checkpoint: Name::default(),
    });

    harness.advance(Duration::from_secs(10));

    assert!(harness.node.is_owner(), "{:?}", harness.notices);
}

/// An owner with an unanswered start order to an incarnation that has restarted since,
/// and the call of that order. Its run was moved to the next incarnation.
fn owner_with_start_to_earlier_incarnation() -> (Harness, CallId) {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.holds_starts = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.holds_starts = false;
    let call = harness.held_starts[0];
    harness.deliver(Event::ServerListed(Listing {
        incarnation: 2,
        ..listing()
    }));
    (harness, call)
}

/// Guards against runs that end before the owner expects it. The clock in a late
/// response of an earlier incarnation is not that of the one to which the run was
/// moved, and the ends of leases there are computed from it.
#[test]
fn the_clock_of_an_earlier_incarnation_is_not_used_for_the_next() {
    let (mut harness, call) = owner_with_start_to_earlier_incarnation();
    let clock = harness.now.as_millis() as u64;
    let result = Ok(OrderResponse::Done(clock));
    harness.deliver(Event::OrderAnswered { call, result });
    harness.max_lease_end = 0;

    harness.advance(Duration::from_secs(2));

    let longest = harness.clock() + 5_000;
    assert!(
        harness.max_lease_end <= longest,
        "{}",
        harness.max_lease_end
    );
}

/// Guards against the end of a sound incarnation. That another one answers at the
/// address of an earlier incarnation says nothing of the one to which the run was
/// moved.
#[test]
fn a_rejection_for_an_earlier_incarnation_does_not_end_the_next() {
    let (mut harness, call) = owner_with_start_to_earlier_incarnation();
    harness.advance(Duration::from_millis(200));
    let result = Ok(OrderResponse::Rejected(Rejection::OtherIncarnation));
    harness.deliver(Event::OrderAnswered { call, result });
    harness.starts_run = true;
    harness.advance(Duration::from_millis(500));
    let starts_before = harness.starts.len();

    harness.submit_plain("0000000000000002");
    harness.advance(Duration::from_secs(3));

    assert!(
        harness.starts.len() > starts_before,
        "{:?}",
        harness.notices
    );
}

/// Guards against two owners at the same time. An owner without the table service can't
/// change the stored roster, by which a successor counts its majority, so backend
/// servers that have terminated since count against its own.
#[test]
fn terminated_servers_count_against_the_majority_until_the_roster_is_stored() {
    let mut harness = owner_cut_off_from_a_run();
    harness.unreachable.clear();
    harness.store_down = true;
    harness.replaced = ["one", "two"].map(Name::from).into();

    harness.advance(Duration::from_secs(5));

    assert!(!harness.node.is_owner(), "one of three is no majority");
}

/// Guards against a backend server that stands idle for the rest of a term. It was cut
/// off for so long that its entry left the registry and the owner gave it up, and is
/// back as the same incarnation.
#[test]
fn a_backend_server_that_is_back_in_the_registry_is_used_again() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(12));

    harness.unreachable.clear();
    harness.deliver(Event::ServerListed(listing()));
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_secs(1));

    assert!(!harness.starts.is_empty(), "{:?}", harness.notices);
}

/// Pattern: a task completes on a backend server that is cut off, which lists the end
/// when it is back. The task is done, and what depends on it must not wait for a run of
/// it elsewhere.
#[test]
fn an_end_that_a_server_lists_once_it_is_back_counts() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.submit_plain("0000000000000001");
    harness.running.push(progress(run_of("0000000000000001")));
    harness.advance(Duration::from_millis(500));
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(12));
    harness.running.clear();
    harness.unreachable.clear();
    harness.holds_renewals = true;

    harness.deliver(Event::ServerListed(listing()));
    harness.advance(Duration::from_millis(500));
    let end = Finished {
        number: 1,
        run: run_of("0000000000000001"),
        outcome: RunOutcome::Completed,
        checkpoint: Name::default(),
    };
    for (call, server) in std::mem::take(&mut harness.held_renewals) {
        harness.answer_renewal(call, &server, vec![end.clone()]);
    }

    let completed = |notice: &Notice| matches!(notice, Notice::JobStage { stage, .. } if *stage == Stage::Completed);
    assert!(harness.notices.iter().any(completed));
}

/// Pattern: as above, while a renewal is in flight. The roster no longer lists the
/// backend server, so a successor would not look for runs there: it must not be used
/// on the response to that renewal.
#[test]
fn a_server_that_is_back_is_used_only_once_the_roster_lists_it() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.holds_renewals = true;
    harness.advance(Duration::from_secs(1));
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(12));
    let in_flight = std::mem::take(&mut harness.held_renewals);
    harness.holds_renewals = false;

    harness.cell_partition_down = true;
    harness.deliver(Event::ServerListed(listing()));
    for (call, server) in in_flight {
        harness.answer_renewal(call, &server, Vec::new());
    }
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(400));
    let before_the_roster = harness.starts.len();
    harness.cell_partition_down = false;
    harness.advance(Duration::from_secs(1));

    assert_eq!(before_the_roster, 0);
    assert!(!harness.starts.is_empty(), "used once the roster lists it");
}

/// Pattern: the address of a backend server goes to another one, and later it starts
/// again under the id that it had. The new incarnation must be used.
#[test]
fn a_server_that_starts_again_after_its_address_was_reused_is_used() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.replaced.insert("server".into());
    harness.advance(Duration::from_secs(2));
    harness.replaced.clear();

    harness.deliver(Event::ServerListed(Listing {
        incarnation: 2,
        ..listing()
    }));
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_secs(1));

    assert!(!harness.starts.is_empty(), "{:?}", harness.notices);
}
