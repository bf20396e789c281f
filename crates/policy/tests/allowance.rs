//! Submission rate limit of a team that sends several times its usual load.

use std::time::Duration;

use policy::TokenBucket;

/// Rate limit in jobs per second.
const RATE: f64 = 10.0;

/// Number of admitted jobs when jobs arrive evenly spaced for ten seconds.
fn admitted_at(jobs_per_second: u32) -> u32 {
    let mut bucket = TokenBucket::default();
    let gap = Duration::from_secs(1) / jobs_per_second;
    let jobs = (0..jobs_per_second * 10).filter(|n| bucket.try_acquire(RATE, gap * *n));
    jobs.count() as u32
}

#[test]
fn rate_below_the_limit_is_admitted() {
    assert_eq!(admitted_at(9), 90);
}

#[test]
fn excess_over_rate_and_burst_is_not_admitted() {
    // 100 jobs in ten seconds at the rate, plus a burst of 20.
    assert!(
        (118..=120).contains(&admitted_at(40)),
        "{}",
        admitted_at(40)
    );
}

#[test]
fn idle_team_may_send_a_full_burst() {
    let mut bucket = TokenBucket::default();
    let now = Duration::from_secs(60);

    let admitted = (0..30).filter(|_| bucket.try_acquire(RATE, now)).count();

    assert_eq!(admitted, 20);
}
