//! The roster: what a successor finds of the backend servers that were called.

use std::time::Duration;

use model::Name;
use sched::{Event, Notice};

use crate::harness::{Harness, named_listing, owner_with_run_on_last_of_three, successor_of};

/// Number of rows over which the roster is divided.
const ROSTER_ROWS: u32 = 16;

/// Two ids that the roster lists in one row.
fn ids_of_one_row() -> [Name; 2] {
    let row_of = |id: &Name| crc32fast::hash(id.as_bytes()) % ROSTER_ROWS;
    let first = Name::from("joining-0");
    let others = (1..).map(|n| Name::from(format!("joining-{n}")));
    let mut same = others.filter(|id| row_of(id) == row_of(&first));
    [first.clone(), same.next().expect("an id of the same row")]
}

/// Guards against tasks that run twice after a takeover. A write of the roster that got no
/// answer is applied after a newer one of the same row, which lists one more backend server
/// that has been given work since.
#[test]
fn a_late_write_of_the_roster_does_not_replace_a_newer_one() {
    let [first, second] = ids_of_one_row();
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.writes_lost_to = &["roster/"];
    harness.deliver(Event::ServerListed(named_listing(&first)));
    harness.writes_lost_to = &[];
    harness.deliver(Event::ServerListed(named_listing(&second)));
    harness.advance(Duration::from_millis(500));
    assert!(!harness.late_writes.is_empty());

    harness.apply_late_writes();

    assert!(harness.roster_lists(&first) && harness.roster_lists(&second));
}

/// Guards against a roster that is never written again, because the write that got no answer
/// was applied and the owner does not know the version of the row.
#[test]
fn the_roster_is_written_after_an_earlier_write_without_an_answer_was_applied() {
    let [first, second] = ids_of_one_row();
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.writes_lost_to = &["roster/"];
    harness.deliver(Event::ServerListed(named_listing(&first)));
    harness.writes_lost_to = &[];
    harness.apply_late_writes();

    harness.deliver(Event::ServerListed(named_listing(&second)));
    harness.advance(Duration::from_secs(1));

    assert!(harness.roster_lists(&first) && harness.roster_lists(&second));
}

/// Length of a time that follows the entries of a row, for servers without such leases.
const TIME_LEN: usize = 3;

/// A roster that a build wrote which did not store the ends of leases granted for former
/// incarnations is read.
#[test]
fn a_roster_without_the_times_of_leases_is_read() {
    let owner = owner_with_run_on_last_of_three();
    let mut successor = successor_of(&owner);
    successor.listings.clear();
    for row in &mut successor.roster_rows {
        let entries = usize::from(row.cell.value[0]);
        let shorter = row.cell.value.len() - (1 + entries * TIME_LEN);
        row.cell.value.truncate(shorter);
    }
    successor.renews_by_tick = true;
    successor.now = owner.now + Duration::from_secs(4);

    successor.advance(Duration::from_secs(1));

    let recovered = |notice: &Notice| match notice {
        Notice::Recovered { servers, .. } => Some(*servers),
        _ => None,
    };
    let malformed = |notice: &Notice| matches!(notice, Notice::RowMalformed { .. });
    assert_eq!(successor.notices.iter().find_map(recovered), Some(3));
    assert!(!successor.notices.iter().any(malformed));
}
