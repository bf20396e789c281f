//! Start orders: from the record of a run to the order.

use std::time::Duration;

use model::RunKey;
use sched::{Event, Listing};

use crate::harness::{Harness, TICK, listing, owner_of, wide};

const JOB: &str = "0000000000000001";

/// An owner that was suspended for `pause` while the answer to the record of the first runs
/// of a gang was on its way, and handles that answer first.
fn owner_suspended_before_start(pause: Duration) -> Harness {
    let mut harness = owner_of(4);
    harness.holds_states = true;
    harness.submit_to(&format!("/plain/{JOB}"), wide(2, true));
    harness.advance(TICK * 4);
    assert!(!harness.held_states.is_empty(), "{:?}", harness.notices);
    harness.holds_states = false;
    harness.now += pause;
    harness
}

fn started(harness: &Harness) -> Vec<&RunKey> {
    harness.placements.iter().map(|(_, run)| run).collect()
}

/// Guards against an accepted job that never runs. The record of its runs is confirmed just
/// after a suspension, while no orders may be sent.
#[test]
fn a_start_that_is_recorded_after_a_suspension_is_sent() {
    for pause_ms in [1_000, 1_600, 2_000, 2_900] {
        let mut harness = owner_suspended_before_start(Duration::from_millis(pause_ms));

        harness.answer_held_states();
        harness.advance(Duration::from_secs(1));

        assert!(harness.node.is_owner());
        let started = started(&harness);
        assert_eq!(started.len(), 2, "{pause_ms} ms: {:?}", harness.notices);
    }
}

/// Guards against the same while the table service is unavailable after the suspension, so
/// that no write confirms the term for some time.
#[test]
fn a_recorded_start_waits_until_the_term_is_confirmed() {
    let mut harness = owner_suspended_before_start(Duration::from_millis(1_600));

    harness.store_down = true;
    harness.answer_held_states();
    harness.advance(Duration::from_millis(500));
    let while_unconfirmed = started(&harness).len();
    harness.store_down = false;
    harness.advance(Duration::from_secs(1));

    assert!(harness.node.is_owner());
    assert_eq!(while_unconfirmed, 0);
    assert_eq!(started(&harness).len(), 2, "{:?}", harness.notices);
}

/// Guards against a start on a backend server that has begun to drain while the start waited.
#[test]
fn a_recorded_start_is_not_sent_to_a_server_that_drains_by_then() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.starts_run = true;
    harness.advance(Duration::from_secs(1));
    harness.holds_states = true;
    harness.submit_plain(JOB);
    harness.advance(TICK * 4);
    harness.holds_states = false;
    harness.now += Duration::from_secs(2);
    harness.deliver(Event::ServerListed(Listing {
        draining: true,
        ..listing()
    }));

    harness.answer_held_states();
    harness.advance(Duration::from_secs(1));

    assert!(harness.started.is_empty(), "{:?}", harness.started);
    assert_eq!(harness.node.verify(), []);
}
