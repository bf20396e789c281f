//! Order of waiting work under overload.

use std::time::Duration;

use policy::rank::Waiting;

/// A step of a job that arrived at second 10 with an objective of 4 s, of
/// which 2 s are work.
fn waiting() -> Waiting {
    Waiting {
        since: Duration::from_secs(10),
        objective: Duration::from_secs(4),
        remaining: Duration::from_secs(2),
        priority: 1,
        long_running: false,
        beyond_rate: false,
        use_of_share: 0.5,
    }
}

const NOW: Duration = Duration::from_secs(11);

#[test]
fn work_that_can_be_in_time_goes_before_work_that_is_late_already() {
    let late = Waiting {
        since: Duration::from_secs(5),
        ..waiting()
    };

    assert!(waiting().rank(NOW) < late.rank(NOW));
}

#[test]
fn work_that_is_worth_nothing_goes_last() {
    let lost = Waiting {
        since: Duration::ZERO,
        priority: 0,
        ..waiting()
    };
    let late = Waiting {
        since: Duration::from_secs(5),
        priority: 2,
        ..waiting()
    };

    assert!(late.rank(NOW) < lost.rank(NOW));
}

#[test]
fn urgent_work_is_finished_though_it_is_late() {
    let late = Waiting {
        since: Duration::from_secs(5),
        priority: 0,
        ..waiting()
    };

    assert!(late.rank(NOW) < waiting().rank(NOW));
}

#[test]
fn urgent_work_goes_first_among_work_in_time() {
    let urgent = Waiting {
        priority: 0,
        since: NOW,
        ..waiting()
    };

    assert!(urgent.rank(NOW) < waiting().rank(NOW));
}

#[test]
fn a_low_priority_does_not_starve_what_is_due_sooner() {
    let due_sooner = Waiting {
        priority: 2,
        since: Duration::from_secs(9),
        ..waiting()
    };

    assert!(due_sooner.rank(NOW) < waiting().rank(NOW));
}

#[test]
fn a_team_above_its_share_waits_for_the_others() {
    let above = Waiting {
        use_of_share: 1.4,
        since: Duration::from_secs(9),
        ..waiting()
    };
    let below = Waiting {
        use_of_share: 0.9,
        ..waiting()
    };

    assert!(below.rank(NOW) < above.rank(NOW));
}

/// A full service, in which tasks that serve users fail and have to come back:
/// by their age they would count as worth nothing.
#[test]
fn long_running_work_comes_back_before_a_backlog() {
    let came_back = Waiting {
        since: Duration::ZERO,
        long_running: true,
        ..waiting()
    };
    let late = Waiting {
        since: Duration::from_secs(5),
        ..waiting()
    };

    assert!(came_back.rank(NOW) < late.rank(NOW));
    assert!(came_back.rank(NOW) < waiting().rank(NOW));
}

/// One team sends several times its usual: what it sent beyond its rate waits
/// for the others, also when it is urgent.
#[test]
fn work_beyond_a_teams_rate_waits_for_the_others() {
    let beyond = Waiting {
        priority: 0,
        beyond_rate: true,
        ..waiting()
    };
    let lost = Waiting {
        since: Duration::ZERO,
        ..waiting()
    };

    assert!(waiting().rank(NOW) < beyond.rank(NOW));
    assert!(beyond.rank(NOW) < lost.rank(NOW));
}
