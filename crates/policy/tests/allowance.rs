//! One team sends several times its usual.

use std::time::Duration;

use policy::Allowance;

/// Jobs a second that the team may send.
const RATE: f64 = 10.0;

/// Jobs within the rate among those that come evenly for ten seconds.
fn within(jobs_per_second: u32) -> u32 {
    let mut allowance = Allowance::default();
    let gap = Duration::from_secs(1) / jobs_per_second;
    let jobs = (0..jobs_per_second * 10).filter(|n| allowance.take(RATE, gap * *n));
    jobs.count() as u32
}

#[test]
fn the_usual_is_within_the_rate() {
    assert_eq!(within(9), 90);
}

#[test]
fn what_comes_beyond_the_rate_is_told_apart() {
    // Ten seconds at the rate and the burst.
    assert!((118..=120).contains(&within(40)), "{}", within(40));
}

#[test]
fn a_team_that_was_quiet_may_send_a_burst() {
    let mut allowance = Allowance::default();
    let now = Duration::from_secs(60);

    let taken = (0..30).filter(|_| allowance.take(RATE, now)).count();

    assert_eq!(taken, 20);
}
