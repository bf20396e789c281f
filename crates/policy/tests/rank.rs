//! Order of waiting work under overload.

use std::time::Duration;

use policy::rank::WaitingStep;

/// A step of a job that arrived at 10 s with an objective of 4 s and 2 s of
/// remaining run time.
fn waiting() -> WaitingStep {
    WaitingStep {
        arrived_at: Duration::from_secs(10),
        objective: Duration::from_secs(4),
        remaining: Duration::from_secs(2),
        priority: 1,
        long_running: false,
        beyond_rate: false,
        share_utilization: 0.5,
    }
}

const NOW: Duration = Duration::from_secs(11);

#[test]
fn work_that_can_finish_in_time_goes_before_late_work() {
    let late = WaitingStep {
        arrived_at: Duration::from_secs(5),
        ..waiting()
    };

    assert!(waiting().rank(NOW) < late.rank(NOW));
}

#[test]
fn expired_work_goes_last() {
    let expired = WaitingStep {
        arrived_at: Duration::ZERO,
        priority: 0,
        ..waiting()
    };
    let late = WaitingStep {
        arrived_at: Duration::from_secs(5),
        priority: 2,
        ..waiting()
    };

    assert!(late.rank(NOW) < expired.rank(NOW));
}

#[test]
fn late_urgent_work_goes_before_other_work_in_time() {
    let late = WaitingStep {
        arrived_at: Duration::from_secs(5),
        priority: 0,
        ..waiting()
    };

    assert!(late.rank(NOW) < waiting().rank(NOW));
}

#[test]
fn urgent_work_goes_first_among_work_in_time() {
    let urgent = WaitingStep {
        priority: 0,
        arrived_at: NOW,
        ..waiting()
    };

    assert!(urgent.rank(NOW) < waiting().rank(NOW));
}

#[test]
fn low_priority_work_with_an_earlier_deadline_goes_first() {
    let due_sooner = WaitingStep {
        priority: 2,
        arrived_at: Duration::from_secs(9),
        ..waiting()
    };

    assert!(due_sooner.rank(NOW) < waiting().rank(NOW));
}

#[test]
fn team_above_its_share_goes_after_teams_below_theirs() {
    let above = WaitingStep {
        share_utilization: 1.4,
        arrived_at: Duration::from_secs(9),
        ..waiting()
    };
    let below = WaitingStep {
        share_utilization: 0.9,
        ..waiting()
    };

    assert!(below.rank(NOW) < above.rank(NOW));
}

/// Guards against starvation of failed long-running tasks on a full service: by
/// the age of their job they would count as expired.
#[test]
fn restarted_long_running_work_goes_before_the_backlog() {
    let restarted = WaitingStep {
        arrived_at: Duration::ZERO,
        long_running: true,
        ..waiting()
    };
    let late = WaitingStep {
        arrived_at: Duration::from_secs(5),
        ..waiting()
    };

    assert!(restarted.rank(NOW) < late.rank(NOW));
    assert!(restarted.rank(NOW) < waiting().rank(NOW));
}

/// When one team sends several times its usual load, its jobs beyond the rate
/// wait for those of other teams, even if they are urgent.
#[test]
fn work_beyond_the_team_rate_goes_after_work_within_it() {
    let beyond = WaitingStep {
        priority: 0,
        beyond_rate: true,
        ..waiting()
    };
    let expired = WaitingStep {
        arrived_at: Duration::ZERO,
        ..waiting()
    };

    assert!(waiting().rank(NOW) < beyond.rank(NOW));
    assert!(beyond.rank(NOW) < expired.rank(NOW));
}
