//! Backend servers that start again under their ids and execute orders that were sent to
//! their former incarnations.

use std::time::Duration;

use model::Name;
use sched::{Event, Listing, OrderResponse};

use crate::harness::{Harness, TICK, grant_for, named_listing, owner_of, replace_owner};

const JOB: &str = "0000000000000001";
/// The longest lease that a backend server grants, on a clock as slow as permitted.
const LONGEST_LEASE: Duration = Duration::from_millis(10_200);

/// An owner of three backend servers, the first of which has started again, with the time at
/// which its new incarnation may have executed an order to the former one, and granted the
/// longest lease for it. A task runs there since.
fn owner_with_run_on_restarted() -> (Harness, Duration) {
    let mut harness = owner_of(3);
    harness.restart(&"s0".into(), 2);
    let restarted_at = harness.now;
    harness.deliver(Event::ServerListed(Listing {
        incarnation: 2,
        ..named_listing("s0")
    }));
    harness.listings[0].incarnation = 2;
    harness.advance(Duration::from_millis(200));
    harness.submit(JOB);
    grant_for(&mut harness, &["s0"], Duration::from_millis(300));
    assert_eq!(servers_of(&harness), ["s0"]);
    (harness, restarted_at)
}

/// Backend servers on which the task was started.
fn servers_of(harness: &Harness) -> Vec<Name> {
    let placements = harness.placements.iter();
    placements.map(|(server, _)| server.clone()).collect()
}

/// Asserts that the task does not start elsewhere until the longest lease has ended that the
/// first backend server may have granted by `granted_at`, and that it does `slack` later.
fn assert_restarts_after(harness: &mut Harness, granted_at: Duration, slack: Duration) {
    let before = harness.placements.len();
    let left = (granted_at + LONGEST_LEASE).saturating_sub(harness.now);
    grant_for(harness, &["s1", "s2"], left);
    let while_leased = harness.placements.len() - before;
    grant_for(harness, &["s1", "s2"], slack);

    assert_eq!(while_leased, 0, "{:?}", harness.placements);
    assert!(harness.placements.len() > before, "{:?}", harness.notices);
}

/// Guards against a task that runs twice after a takeover. The former owner's order to the
/// former incarnation has extended the lease beyond what owners grant, and the backend server
/// is cut off from the successor, at once or after its first answer.
#[test]
fn leases_granted_for_a_former_incarnation_outlast_a_takeover() {
    for answers in [false, true] {
        let (owner, restarted_at) = owner_with_run_on_restarted();
        let mut successor = replace_owner(owner, 0);
        if !answers {
            successor.unreachable.insert("s0".into());
        }
        while !successor.node.is_owner() {
            successor.advance(TICK);
        }
        successor.advance(Duration::from_millis(200));
        successor.unreachable.insert("s0".into());

        assert_restarts_after(&mut successor, restarted_at, Duration::from_secs(4));
    }
}

/// Guards against the same when the former owner was killed before the new incarnation had
/// answered it: the successor's fencing token is the first that keeps such orders out.
#[test]
fn an_incarnation_without_an_answer_may_execute_orders_to_the_former_one() {
    let (owner, _) = owner_with_run_on_restarted();
    let mut successor = replace_owner(owner, 0);
    for listing in &mut successor.listings {
        listing.incarnation += 1;
        let id = listing.id.clone();
        let running = std::mem::take(&mut successor.fleet.get_mut(&id).expect("s").running);
        let lists = crate::harness::ServerLists {
            restarts: listing.incarnation - 1,
            booted_at: successor.now,
            running,
            ..Default::default()
        };
        successor.fleet.insert(id, lists);
    }
    while !successor.node.is_owner() {
        successor.advance(TICK);
    }
    successor.advance(Duration::from_millis(200));
    let answered_at = successor.now;
    successor.unreachable.insert("s0".into());

    let just_before = answered_at - Duration::from_millis(100);
    assert_restarts_after(&mut successor, just_before, Duration::from_secs(4));
}

/// Guards against the same within a term: the answer to a start shows by its clock that the
/// next incarnation executed it, with a longer lease than was ordered, and the backend server
/// is cut off before its lists can show that.
#[test]
fn a_start_that_the_next_incarnation_executed_has_the_longest_lease() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.holds_starts = true;
    harness.submit_plain(JOB);
    harness.advance(Duration::from_millis(100));
    let call = harness.held_starts.pop().expect("a start");
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerListed(named_listing("other")));
    harness.holds_starts = false;
    harness.starts_run = true;
    let executed_at = harness.now;
    let result = Ok(OrderResponse::Done(40));
    harness.deliver(Event::OrderAnswered { call, result });

    let left = (executed_at + LONGEST_LEASE).saturating_sub(harness.now);
    harness.advance(left);
    let while_leased = harness.starts.len();
    harness.advance(Duration::from_secs(17));

    assert_eq!(while_leased, 1);
    assert!(harness.starts.len() > 1, "{:?}", harness.notices);
}
