//! Admission, room for new requests, and time limits of connections.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use limits::{Cause, Connections, Machine, Share, Slot, Times};
use tokio::time::advance;

const MB: usize = 1 << 20;
const STRANGER: IpAddr = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1));
const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 2));

fn connections(connections: usize, bytes: usize) -> Arc<Connections> {
    Connections::new(Share { connections, bytes }, Times::default())
}

fn closed(connections: &Connections) -> Vec<(Cause, u64)> {
    connections.take_closed().collect()
}

/// Serves a request from `CALLER`, which makes the address known.
fn serve(connections: &Arc<Connections>) -> Slot {
    let slot = connections.admit(CALLER).expect("room");
    slot.reads_body();
    drop(slot.pass_on());
    slot.answers(true);
    slot
}

// Guards against a crowd that holds all connections: the newest gets the place of the
// oldest, and a share stays for known addresses.
#[tokio::test(start_paused = true)]
async fn the_oldest_silent_connection_makes_room() {
    let connections = connections(16, 16 * MB);
    let mut crowd = Vec::new();
    for _ in 0..12 {
        crowd.push(connections.admit(STRANGER).expect("room"));
        advance(Duration::from_millis(10)).await;
    }

    let newest = connections.admit(STRANGER);

    assert!(newest.is_ok());
    assert_eq!(connections.open(), 12);
    assert_eq!(closed(&connections), [(Cause::Displaced, 1)]);
    // Returns at once for the one that was closed, and would wait for ever otherwise.
    crowd[0].closed().await;
}

// Guards against a limit that closes what was passed on to the reducer: its caller
// would not learn whether the job runs.
#[tokio::test(start_paused = true)]
async fn a_request_that_was_passed_on_is_not_closed() {
    let connections = connections(16, 16 * MB);
    let crowd: Vec<Slot> = (0..12)
        .map(|_| connections.admit(STRANGER).expect("room"))
        .collect();
    let held: Vec<_> = crowd.iter().map(Slot::pass_on).collect();

    let refused = connections.admit(STRANGER);
    advance(Duration::from_secs(3_600)).await;
    connections.sweep();

    assert!(refused.is_err());
    assert_eq!(connections.open(), 12);
    assert_eq!(closed(&connections), [(Cause::Refused, 1)]);
    drop(held);
}

// Guards against strangers that use up the share of those who were served before.
#[tokio::test(start_paused = true)]
async fn a_share_is_kept_for_known_addresses() {
    let connections = connections(16, 16 * MB);
    drop(serve(&connections));
    let crowd: Vec<Slot> = (0..12)
        .map(|_| connections.admit(STRANGER).expect("room"))
        .collect();
    let held: Vec<_> = crowd.iter().map(Slot::pass_on).collect();

    let callers: Vec<_> = (0..4).map(|_| connections.admit(CALLER)).collect();

    assert!(callers.iter().all(Result::is_ok));
    assert!(connections.admit(STRANGER).is_err());
    drop(held);
}

// Guards against a budget that one crowd of unfinished bodies uses up.
#[tokio::test(start_paused = true)]
async fn the_slowest_unfinished_body_makes_room_for_bytes() {
    let connections = connections(32, 4 * MB);
    let bodies: Vec<Slot> = (0..5)
        .map(|_| connections.admit(STRANGER).expect("room"))
        .collect();
    for slot in &bodies[..4] {
        slot.reads_body();
        slot.reserve(MB / 2).expect("room");
        advance(Duration::from_millis(10)).await;
    }
    bodies[4].reads_body();

    let reserved = bodies[4].reserve(MB);

    assert!(reserved.is_ok());
    bodies[0].closed().await;
    assert!(bodies[0].reserve(1).is_err(), "a closed one gets no bytes");
    assert_eq!(closed(&connections), [(Cause::Displaced, 1)]);
}

// Guards against bytes that are lost for good, which would refuse everything after some
// time.
#[tokio::test(start_paused = true)]
async fn all_bytes_are_free_after_the_connections_have_ended() {
    let connections = connections(16, 4 * MB);
    let free = connections.free_bytes();
    let slots: Vec<Slot> = (0..10)
        .map(|_| connections.admit(STRANGER).expect("room"))
        .collect();
    slots[0].reads_body();
    slots[0].reserve(MB).expect("room");
    let held = slots[0].pass_on();
    slots[1].reserve(MB).expect("room");

    drop(slots);
    assert_eq!(held.bytes(), MB);
    assert_eq!(connections.free_bytes(), free - MB);
    drop(held);

    assert_eq!(connections.free_bytes(), free);
    assert_eq!(connections.open(), 0);
}

// Guards against time limits that end clients within the published limits of 15 s idle,
// and against connections that stay for ever.
#[tokio::test(start_paused = true)]
async fn idle_connections_and_stalled_bodies_are_closed() {
    let connections = connections(16, 4 * MB);
    let idle = connections.admit(STRANGER).expect("room");
    let body = connections.admit(STRANGER).expect("room");

    advance(Duration::from_millis(15_500)).await;
    body.reads_body();
    connections.sweep();
    assert_eq!(connections.open(), 2);
    advance(Duration::from_secs(6)).await;
    connections.sweep();

    idle.closed().await;
    body.closed().await;
    let causes = [(Cause::SlowBody, 1), (Cause::Idle, 1)];
    assert_eq!(closed(&connections), causes);
}

// Guards against shares that together exceed the machine.
#[test]
fn shares_leave_the_greater_part_of_the_machine() {
    for (memory_mb, descriptors) in [(120, 3_075), (160, 4_100), (512, 10_250)] {
        let machine = Machine {
            memory: memory_mb << 20,
            descriptors,
        };

        let shares = machine.shares();

        let all = [
            shares.callers,
            shares.peers,
            shares.readiness,
            shares.metrics,
        ];
        let bytes: usize = all.iter().map(|share| share.bytes).sum();
        let connections: usize = all.iter().map(|share| share.connections).sum();
        assert!(bytes as u64 <= machine.memory / 4, "{shares:?}");
        assert!(connections <= descriptors as usize / 2, "{shares:?}");
        assert!(shares.callers.connections >= 500, "{shares:?}");
    }
}
