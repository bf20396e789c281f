//! Backend servers whose capacity shrinks and grows.

use std::time::Duration;

use model::{Graph, Resources};
use sched::{Event, Listing};

use crate::harness::{Harness, graph, listing};

const JOB: &str = "0000000000000001";
/// Too small for the task of [`graph`].
const SMALL: Resources = Resources::of(500, 65_536, 0, 0);

/// An owner of one backend server that executes starts.
fn owner() -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness
}

fn resize(harness: &mut Harness, capacity: Resources) {
    harness.deliver(Event::ServerListed(Listing {
        incarnation: harness.incarnation,
        capacity,
        ..listing()
    }));
}

fn large() -> Graph {
    let mut graph = graph();
    graph.steps[0].each = Resources::of(100_000, 512, 0, 0);
    graph
}

/// Guards against a start that was planned while there was room, and is sent after the
/// capacity has shrunk.
#[test]
fn a_start_is_not_sent_when_its_server_has_shrunk_meanwhile() {
    let mut harness = owner();
    harness.submit_plain(JOB);
    harness.job_partitions_down = true;
    harness.advance(Duration::from_millis(200));
    resize(&mut harness, SMALL);
    harness.job_partitions_down = false;

    harness.advance(Duration::from_secs(1));
    let while_small = harness.starts.len();
    resize(&mut harness, listing().capacity);
    harness.advance(Duration::from_secs(1));

    assert_eq!(while_small, 0);
    assert_eq!(harness.starts.len(), 1, "started once there is room again");
}

/// Guards against filling a new incarnation up to the capacity of its predecessor.
#[test]
fn an_incarnation_that_only_its_lists_show_gets_no_work() {
    let mut harness = owner();
    harness.incarnation = 2;
    harness.advance(Duration::from_millis(200));
    harness.submit_plain(JOB);

    harness.advance(Duration::from_secs(1));
    let before_listing = harness.starts.len();
    resize(&mut harness, SMALL);
    harness.advance(Duration::from_secs(1));
    let while_small = harness.starts.len();
    resize(&mut harness, listing().capacity);
    harness.advance(Duration::from_secs(1));

    assert_eq!((before_listing, while_small), (0, 0));
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a task that is not placed in a capacity that has grown, or before the
/// roster tells a successor that it may run there.
#[test]
fn a_capacity_that_has_grown_is_used_once_the_roster_shows_it() {
    let mut harness = owner();
    harness.submit_to(&format!("/plain/{JOB}"), large());
    harness.advance(Duration::from_millis(500));
    harness.cell_partition_down = true;
    resize(&mut harness, Resources::of(128_000, 65_536, 0, 0));

    harness.advance(Duration::from_millis(300));
    let before_roster = harness.starts.len();
    harness.cell_partition_down = false;
    harness.advance(Duration::from_secs(1));

    assert_eq!(before_roster, 0);
    assert_eq!(harness.starts.len(), 1);
}
