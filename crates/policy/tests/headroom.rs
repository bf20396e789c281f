//! Guards against a wide step that takes the whole limit of its team, so that
//! the team's own short work waits although the backend servers have room.

use model::Resources;
use policy::headroom;

const LIMIT: Resources = Resources::of(100_000, 200_000, 0, 0);

#[test]
fn quarter_of_the_limit_is_reserved_for_urgent_work() {
    let non_urgent = headroom::non_urgent_limit(LIMIT, Resources::ZERO);

    assert_eq!(non_urgent, Resources::of(75_000, 150_000, 0, 0));
}

#[test]
fn running_urgent_work_counts_against_the_reserve() {
    let urgent = Resources::of(20_000, 80_000, 0, 0);

    let non_urgent = headroom::non_urgent_limit(LIMIT, urgent);

    assert_eq!(non_urgent, Resources::of(95_000, 200_000, 0, 0));
}

#[test]
fn unlimited_stays_unlimited() {
    let non_urgent = headroom::non_urgent_limit(Resources::ZERO, Resources::of(1, 1, 1, 0));

    assert_eq!(non_urgent, Resources::ZERO);
}

#[test]
fn gang_larger_than_the_non_urgent_limit_is_detected() {
    let non_urgent = headroom::non_urgent_limit(LIMIT, Resources::ZERO);

    assert!(headroom::fits_within(
        &non_urgent,
        &Resources::of(75_000, 1, 8, 0)
    ));
    assert!(!headroom::fits_within(
        &non_urgent,
        &Resources::of(90_000, 1, 0, 0)
    ));
}
