//! Changes of the job table: when the owner learns of submissions and cancellations.

use std::time::Duration;

use sched::Notice;

use crate::harness::{Harness, TICK, row};

const JOB: &str = "0000000000000001";
/// Time after the acknowledgement of a cancellation from which a VM in contact starts no task
/// of the job.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// An owner of a job, none of whose tasks has started.
fn owner_of_job() -> Harness {
    let mut harness = Harness::owning(0.25);
    harness.submit(JOB);
    harness.advance(Duration::from_millis(500));
    harness
}

fn is_cancelled(harness: &Harness) -> bool {
    let mut notices = harness.notices.iter();
    notices.any(|notice| matches!(notice, Notice::Cancelled { .. }))
}

/// Cancels the job, and returns the time until the owner knows, up to 10 s.
fn time_to_cancel(harness: &mut Harness) -> Duration {
    harness
        .accepted
        .push(row(&format!("job/{JOB}/cancel"), b""));
    let from = harness.now;
    while !is_cancelled(harness) && harness.now < from + Duration::from_secs(10) {
        harness.advance(TICK);
    }
    harness.now - from
}

/// Guards against starts of jobs whose cancellation was acknowledged long before. The
/// response to the owner's call for changes is lost, and that to the next one too.
#[test]
fn a_cancellation_is_seen_in_time_after_lost_responses() {
    for lost in 1..=2 {
        let mut harness = owner_of_job();
        harness.lose_job_follows(lost);

        let took = time_to_cancel(&mut harness);

        assert!(took < CANCEL_TIME, "{lost} responses lost: {took:?}");
    }
}

/// Guards against jobs that wait for the owner after an outage of the table service: it asks
/// for changes again once a write is answered.
#[test]
fn changes_are_asked_for_again_when_the_store_is_back() {
    let mut harness = owner_of_job();
    harness.lose_job_follows(1);
    harness.store_down = true;
    harness.advance(Duration::from_millis(400));
    harness.store_down = false;

    let took = time_to_cancel(&mut harness);

    assert!(took < Duration::from_millis(500), "{took:?}");
}
