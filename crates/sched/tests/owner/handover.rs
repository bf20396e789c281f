//! An owner that the table service turns away, and the VMs that it asks to take over.

use std::time::Duration;

use sched::{ChangeFeed, Event, OfferResponse, Reply};

use crate::harness::{Harness, replace_owner};

/// Time within which an owner asks for a successor once its writes are refused: two
/// heartbeats, of which the second follows after half of the usual interval.
const REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time within which a VM that was asked claims: its delay by strength and jitter.
const CLAIM_TIME: Duration = Duration::from_millis(300);

fn has_replied(harness: &Harness, response: OfferResponse) -> bool {
    harness.replies.contains(&Reply::Helper(response))
}

/// Guards against seconds without placements in which the owner waits though the table
/// service has refused its writes.
#[test]
fn an_owner_that_is_turned_away_asks_for_a_successor() {
    let mut harness = Harness::owning(0.25);
    harness.offer(0.25);
    harness.store_down = true;

    harness.advance(REQUEST_TIME);

    assert!(has_replied(&harness, OfferResponse::TurnedAway));
}

/// Guards against a change of owner for each slow response of a table service that works.
#[test]
fn an_owner_stays_while_the_table_service_is_slow() {
    let mut harness = Harness::owning(0.25);
    harness.store_latency = Duration::from_millis(400);

    for _ in 0..8 {
        harness.offer(0.25);
        harness.advance(REQUEST_TIME);
    }

    assert!(!has_replied(&harness, OfferResponse::TurnedAway));
    assert!(!has_replied(&harness, OfferResponse::HandOver));
    assert!(harness.node.is_owner());
}

/// Guards against a successor that waits until the owner has been silent for long, although
/// the owner itself has asked it to take over.
#[test]
fn a_vm_that_is_asked_to_take_over_claims_at_once() {
    let mut harness = Harness::following();
    harness.advance(Duration::from_millis(200));
    assert!(!harness.has_claimed());

    harness.deliver(Event::OfferAnswered(OfferResponse::TurnedAway));
    harness.advance(CLAIM_TIME);

    assert!(harness.has_claimed());
}

/// Guards against a claim because of a connection that was reset while the owner works.
#[test]
fn a_refused_offer_alone_is_no_reason_to_claim_at_once() {
    let mut harness = Harness::following();
    harness.advance(Duration::from_millis(200));

    harness.deliver(Event::OfferAnswered(OfferResponse::Refused));
    harness.advance(Duration::from_millis(300));

    assert!(!harness.has_claimed());
}

/// Guards against a weak VM that becomes the owner since the strong ones were busy when the
/// owner asked: it served a fleet of 350 servers badly for eight seconds.
#[test]
fn a_weak_vm_that_is_asked_leaves_time_for_stronger_ones() {
    let owner = Harness::owning(0.5);
    let mut weak = Harness::new("weak", 0.12, owner.cell_rows);
    weak.advance(Duration::from_millis(200));

    weak.deliver(Event::OfferAnswered(OfferResponse::TurnedAway));
    weak.advance(Duration::from_millis(1_000));

    assert!(!weak.has_claimed());
}

/// Guards against a claim on a sound owner's term: a late reply of its predecessor, which was
/// turned away, was taken for its own.
#[test]
fn a_request_of_an_earlier_owner_is_no_reason_to_claim() {
    let owner = Harness::owning(0.25);
    let mut helper = Harness::new("helper", 0.25, owner.cell_rows.clone());
    helper.advance(Duration::from_millis(100));
    let mut successor = replace_owner(owner, 1);
    successor.advance(Duration::from_secs(4));
    let call = helper.cell_follow_call.take().expect("a call that waits");
    let result = Ok(ChangeFeed {
        rows: successor.cell_rows,
        version: successor.version,
        sent_at: helper.now,
    });
    helper.deliver(Event::ChangesReceived { call, result });

    helper.deliver(Event::OfferAnswered(OfferResponse::TurnedAway));
    helper.advance(CLAIM_TIME);

    assert!(!helper.has_claimed());
}
