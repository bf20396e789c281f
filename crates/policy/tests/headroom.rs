//! A wide step and short work of one team.

use model::Resources;
use policy::headroom;

const LIMIT: Resources = Resources::of(100_000, 200_000, 0, 0);

#[test]
fn a_wide_step_leaves_room_for_the_teams_short_work() {
    let bound = headroom::bound(LIMIT, Resources::ZERO);

    assert_eq!(bound, Resources::of(75_000, 150_000, 0, 0));
}

#[test]
fn what_short_work_uses_is_not_kept_twice() {
    let urgent = Resources::of(20_000, 80_000, 0, 0);

    let bound = headroom::bound(LIMIT, urgent);

    assert_eq!(bound, Resources::of(95_000, 200_000, 0, 0));
}

#[test]
fn no_limit_stays_no_limit() {
    let bound = headroom::bound(Resources::ZERO, Resources::of(1, 1, 1, 0));

    assert_eq!(bound, Resources::ZERO);
}

#[test]
fn a_gang_that_needs_the_whole_limit_is_told_apart() {
    let bound = headroom::bound(LIMIT, Resources::ZERO);

    assert!(headroom::could_hold(
        &bound,
        &Resources::of(75_000, 1, 8, 0)
    ));
    assert!(!headroom::could_hold(
        &bound,
        &Resources::of(90_000, 1, 0, 0)
    ));
}
