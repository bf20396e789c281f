//! Takeovers: what a successor assumes of its predecessors, and when a term is
//! released.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Attempt, Name, Resources, Row};
use sched::{Event, Listing, Notice};

use crate::harness::{
    CellScans, Harness, grant_for, graph, named_listing, owner_with_run_on_last_of_three,
    recorded_flags, successor_named, successor_of,
};

/// An owner of three backend servers whose records are complete.
fn owner_of_servers() -> Harness {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    owner.listings = ["one", "two", "last"].map(named_listing).into();
    owner.renews_by_tick = true;
    owner.advance(Duration::from_secs(1));
    owner
}

/// Failure: the first heartbeat of a term overtook the scan that reads the previous
/// owner's. Its records then counted as incomplete, and no inherited task started
/// until the leases on every backend server that did not answer had expired.
#[test]
fn a_successor_reads_the_last_heartbeat_before_it_replaces_it() {
    let owner = owner_of_servers();
    let last_flag = recorded_flags(&owner).last().copied();
    let mut successor = successor_of(&owner);
    successor.listings = owner.listings.clone();
    successor.unreachable.insert("last".into());
    successor.renews_by_tick = true;
    successor.cell_scans = CellScans::AfterWrites;

    successor.advance(Duration::from_secs(3));

    assert!(successor.node.is_owner());
    assert_eq!(last_flag, Some(true));
    assert_eq!(
        recorded_flags(&successor).last(),
        Some(&true),
        "the records are trusted although a server does not answer"
    );
}

/// A scan of the cell that is never answered must not stop the heartbeats, or another
/// VM would claim.
#[test]
fn heartbeats_begin_while_the_cell_cannot_be_read() {
    let mut successor = successor_of(&owner_of_servers());
    successor.cell_scans = CellScans::LostInTerm;

    successor.advance(Duration::from_secs(3));

    assert!(successor.node.is_owner());
    let beats = recorded_flags(&successor);
    assert!(beats.len() >= 2, "{beats:?}");
    assert!(!beats.contains(&true), "{beats:?}");
}

/// Guards against a task that runs twice after a long recovery. A predecessor that a
/// majority of the backend servers answers goes on after the claim, until the
/// successor has reached a majority, so its leases count from then and not from the
/// claim.
#[test]
fn leases_of_a_predecessor_outlast_a_recovery_that_takes_long() {
    let owner = owner_with_run_on_last_of_three();
    let mut successor = successor_of(&owner);
    successor.listings = owner.listings.clone();
    successor.renews_by_tick = true;
    successor.unreachable.insert("last".into());
    successor.partition_down = Some(1);
    successor.advance(Duration::from_secs(13));
    assert!(successor.node.is_owner());
    successor.partition_down = None;

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(4));
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(6));

    assert_eq!(while_leased, 0, "the predecessor may still have renewed");
    assert!(
        !successor.starts.is_empty(),
        "started once all leases ended"
    );
}

/// Lets the term of an owner expire while the table service is away, without any
/// answer of the backend servers, and lets the service be back `outage` after its
/// loss. The process shuts down meanwhile, so that it does not claim again.
fn expire_term(owner: &mut Harness, outage: Duration) {
    let servers = owner.listings.iter().map(|listing| listing.id.clone());
    owner.unreachable = servers.collect();
    owner.store_down = true;
    owner.advance(outage);
    assert!(!owner.node.is_owner());
    owner.deliver(Event::Shutdown);
    owner.store_down = false;
    owner.advance(Duration::from_millis(500));
}

/// A successor that takes over once the predecessor's heartbeat is too old for its
/// records to be trusted. It can't reach the last of the three backend servers, which
/// the registry still lists.
fn successor_without_last(name: &str, owner: &Harness) -> Harness {
    let mut successor = successor_named(name, owner);
    successor.unreachable.insert("last".into());
    successor.listings = owner.listings.clone();
    take_over(&mut successor, owner);
    successor
}

/// Lets a node claim that has not heard of the owner for a long time.
fn take_over(successor: &mut Harness, owner: &Harness) {
    successor.renews_by_tick = true;
    successor.starts_lost = true;
    successor.stops_lost = true;
    successor.now = owner.now + Duration::from_secs(4);
    successor.advance(Duration::from_millis(300));
    assert!(successor.node.is_owner());
}

/// Guards against a fleet without an owner: one whose term had expired said nothing
/// when it reached the table service again, so that the others waited until its
/// silence was long enough.
#[test]
fn an_owner_whose_term_expired_releases_ownership_when_the_store_is_back() {
    let mut owner = Harness::owning(0.25);
    owner.unreachable.insert("server".into());
    owner.store_down = true;
    owner.reads_down = true;
    owner.advance(Duration::from_secs(4));
    assert!(!owner.node.is_owner());

    owner.store_down = false;
    owner.reads_down = false;
    owner.advance(Duration::from_millis(500));

    assert!(owner.node.is_owner(), "{:?}", owner.notices);
}

/// A release that is rejected is repeated, but not at each answer of the table
/// service.
#[test]
fn a_release_that_fails_is_repeated_after_a_delay() {
    let mut owner = Harness::owning(0.25);
    owner.unreachable.insert("server".into());
    owner.store_down = true;
    owner.advance(Duration::from_secs(5));

    let released = |notice: &&Notice| matches!(notice, Notice::Released { .. });
    let releases = owner.notices.iter().filter(released).count();

    assert!((2..=15).contains(&releases), "{releases} in 2 s");
}

/// Guards against a fleet that stands idle for one backend server that has left: the
/// successor waited for leases that had ended before its claim, since it could not
/// know when the predecessor's term had ended.
#[test]
fn a_successor_of_a_released_term_does_not_wait_for_leases_that_have_ended() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_secs(10));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));

    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against a second run of a task beside one whose lease has not ended: what
/// the predecessor says at its release counts from then, and only the leases end.
#[test]
fn a_successor_of_a_released_term_waits_for_leases_that_have_not_ended() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_millis(3_500));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(1));
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(3));

    assert_eq!(while_leased, 0, "the lease may not have ended");
    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// What a released term said of its orders must not be taken for that of a later
/// term, whose owner failed without a release.
#[test]
fn the_last_orders_of_a_released_term_say_nothing_of_the_next_one() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_secs(10));
    let mut next = successor_of(&owner);
    next.listings = owner.listings.clone();
    take_over(&mut next, &owner);
    grant_for(&mut next, &["last"], Duration::from_secs(2));
    assert_eq!(next.starts.len(), 1, "{:?}", next.notices);
    let mut successor = successor_without_last("third", &next);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(3));

    assert_eq!(successor.starts, [] as [Attempt; 0]);
}

/// An owner that started the only task on the last of three backend servers while
/// the table service was away, and whose term has expired since.
fn owner_with_unrecorded_run_on_last(outage: Duration) -> Harness {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    owner.listings = ["one", "two", "last"].map(named_listing).into();
    owner.renews_by_tick = true;
    owner.starts_lost = true;
    owner.stops_lost = true;
    owner.advance(Duration::from_secs(1));
    owner.submit("0000000000000001");
    owner.advance(Duration::from_millis(100));
    owner.store_down = true;
    owner.advance(Duration::from_secs(4));
    owner.answer_policy(vec![("last".into(), "ticket".into())]);
    owner.advance(Duration::from_millis(100));
    assert_eq!(owner.starts.len(), 1, "{:?}", owner.notices);
    expire_term(&mut owner, outage);
    owner
}

/// Guards against a fleet that stands idle for one backend server that has left. What
/// it may have run unrecorded ended with its lease, before the claim.
#[test]
fn inherited_tasks_start_once_unrecorded_runs_have_lost_their_leases() {
    let owner = owner_with_unrecorded_run_on_last(Duration::from_secs(8));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));

    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against a second run of a task that the predecessor started unrecorded: a
/// release must not make the successor trust records that lack it.
#[test]
fn inherited_tasks_wait_for_the_leases_of_unrecorded_runs_after_a_release() {
    let owner = owner_with_unrecorded_run_on_last(Duration::from_secs(1));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(5));

    assert_eq!(while_leased, 0, "the lease may not have ended");
    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against a second run of a task that the predecessor started unrecorded, on a
/// server that has shrunk below the task's size since.
#[test]
fn an_unrecorded_run_may_exist_on_a_server_that_has_shrunk() {
    let mut owner = owner_with_unrecorded_run_on_last(Duration::from_secs(1));
    owner.listings[2].capacity = Resources::of(500, 65_536, 0, 0);
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(5));

    assert_eq!(while_leased, 0, "{:?}", successor.notices);
    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against a fleet that stands idle for one backend server that has left: a
/// task that has no room there can't run there. Only the others wait.
#[test]
fn only_inherited_tasks_with_room_on_an_unreached_server_wait() {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    let small = Listing {
        capacity: Resources::of(500, 65_536, 0, 0),
        ..named_listing("last")
    };
    owner.listings = vec![named_listing("one"), named_listing("two"), small];
    owner.renews_by_tick = true;
    owner.advance(Duration::from_secs(1));
    let mut light = graph();
    light.steps[0].each = Resources::of(100, 512, 0, 0);
    owner.submit("0000000000000001");
    owner.submit_graph("0000000000000002", light);
    owner.advance(Duration::from_millis(100));
    let mut successor = successor_without_last("follower", &owner);

    let early = successor.deny_queries();
    successor.advance(Duration::from_secs(8));
    let late = successor.deny_queries();

    assert_eq!(early, BTreeSet::from(["0000000000000001".into()]));
    assert!(late.contains("0000000000000002"), "{late:?}");
}

/// Guards against runs that are given up, and work that is done twice, because a
/// successor sweeps the backend servers before any of them could answer.
#[test]
fn servers_may_answer_before_the_runs_of_a_released_term_count_as_ended() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_secs(10));
    let mut successor = successor_of(&owner);
    successor.listings = owner.listings.clone();

    take_over(&mut successor, &owner);

    let mut notices = successor.notices.iter();
    let given_up = notices.any(|notice| matches!(notice, Notice::ServerLost { .. }));
    assert!(!given_up, "{:?}", successor.notices);
}

/// The heartbeat is too old to say that everything was recorded, but the owner said
/// so when it released its term.
#[test]
fn a_successor_trusts_the_records_of_a_released_term_that_left_none_out() {
    let mut owner = owner_with_run_on_last_of_three();
    owner.submit("0000000000000002");
    owner.advance(Duration::from_millis(100));
    expire_term(&mut owner, Duration::from_millis(3_500));
    let mut successor = successor_without_last("follower", &owner);

    successor.advance(Duration::from_millis(500));

    let mut queries = successor.policy_calls.iter();
    assert!(queries.any(|(_, job)| job == "0000000000000002"));
}

/// Guards against a task that runs twice after a takeover. A predecessor that is cut off
/// together with a backend server renews its leases until its term ends, also once the
/// registry has dropped the server's entry.
#[test]
fn leases_on_a_server_that_left_the_registry_outlast_the_claim() {
    let owner = owner_with_run_on_last_of_three();
    let mut successor = successor_without_last("follower", &owner);
    successor.deliver(Event::ServerUnlisted("last".into()));
    let leases_end = owner.now + Duration::from_secs(8);

    let left = leases_end.saturating_sub(successor.now);
    grant_for(&mut successor, &["one", "two"], left);
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(6));

    assert_eq!(while_leased, 0, "{:?}", successor.notices);
    assert!(
        !successor.starts.is_empty(),
        "started once all leases ended"
    );
}

/// Guards against a successor that starts nothing for the rest of its term. More than
/// half of the servers of the roster have left the registry, which was read before the
/// roster, so they will never answer.
#[test]
fn servers_that_left_do_not_count_against_the_end_of_a_predecessor() {
    let owner = owner_with_run_on_last_of_three();
    let mut successor = successor_of(&owner);
    successor.unreachable = ["two", "last"].map(Name::from).into();
    successor.listings = vec![named_listing("one")];
    take_over(&mut successor, &owner);

    grant_for(&mut successor, &["one"], Duration::from_secs(20));

    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against tasks that run twice after a takeover. The roster as stored lacks a backend
/// server, or lists its former incarnation, and the server does not answer the successor. The
/// record of the run proves that the predecessor called it.
#[test]
fn a_recorded_run_lasts_as_long_as_its_lease_whatever_the_roster_lists() {
    let owner = owner_with_run_on_last_of_three();
    for (incarnation, in_roster) in [(1, false), (2, true), (2, false)] {
        let case = format!("incarnation {incarnation}, in the roster: {in_roster}");
        let mut successor = successor_of(&owner);
        successor.unreachable.insert("last".into());
        successor.listings = owner.listings.clone();
        successor.listings[2].incarnation = incarnation;
        let names_last = |row: &Row| row.cell.value.windows(4).any(|w| w == b"last");
        successor
            .roster_rows
            .retain(|row| in_roster || !names_last(row));
        take_over(&mut successor, &owner);

        grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));
        let while_leased = successor.starts.len();
        successor.deliver(Event::ServerUnlisted("last".into()));
        grant_for(&mut successor, &["one", "two"], Duration::from_secs(30));

        assert_eq!(while_leased, 0, "{case}: the lease may not have ended");
        assert!(!successor.starts.is_empty(), "{case}: started once it had");
    }
}
