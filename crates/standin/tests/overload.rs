//! Behaviour under load beyond the usual, at the size of a fleet of hundreds of
//! backend servers, with a table service of limited rate.

use std::time::Duration;

use standin::graphs::{Burst, GuaranteeViolation, Report, Simulation, SimulationOptions};

/// End of the burst.
const BURST_END: Duration = Duration::from_secs(8);
/// Time after a burst in which the system has to work off what was submitted in it.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Time for which a transaction occupies a partition that executes 200 a second.
const PARTITION_TIME: Duration = Duration::from_millis(5);

/// 100 jobs a second with a burst of 1.8 times that for 4 s, and a table service
/// that executes the transactions of a partition one after another, each in
/// `partition_time`.
fn burst_report(seed: u64, job_partitions: u32, partition_time: Duration) -> Report {
    let options = SimulationOptions {
        servers: 350,
        job_gap: 2..19,
        team_limit: u32::MAX,
        verify: false,
        job_partitions,
        partition_time,
        copy_share: None,
        burst: Some(Burst {
            begin: Duration::from_secs(4),
            end: BURST_END,
            factor: 1.8,
        }),
    };
    Simulation::with_options(seed, &[], options).run()
}

/// Median time to the first start of the jobs submitted in a period.
fn median_start_delay(report: &Report, begin: Duration, end: Duration) -> Duration {
    let delays = report.start_delays.iter();
    let delays = delays.filter(|(at, _)| (begin..end).contains(at));
    let mut delays: Vec<Duration> = delays.map(|(_, delay)| *delay).collect();
    delays.sort_unstable();
    delays[delays.len() / 2]
}

/// Pattern: a burst of submissions exceeds what one partition of the table service
/// executes. The records of starts then wait behind acceptances, and the backlog
/// stays after the burst. Jobs spread over partitions start as before.
#[test]
fn start_delays_return_to_normal_after_a_burst() {
    let report = burst_report(1, 6, Duration::from_millis(6));

    let calm = median_start_delay(&report, Duration::from_secs(1), Duration::from_secs(4));
    let recovered = BURST_END + RECOVERY_TIME;
    let after = median_start_delay(&report, recovered, recovered + Duration::from_secs(1));
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(
        after < calm * 2,
        "median start delay {calm:?} before the burst, {after:?} after it"
    );
}

// Guards against a backlog that outlives its cause: the acceptances of a burst fill the
// only partition of a table service, and what waits makes further work.
#[test]
fn start_delays_return_to_normal_after_a_burst_that_fills_a_partition() {
    for seed in 1..=3 {
        let report = burst_report(seed, 1, PARTITION_TIME);

        let calm = median_start_delay(&report, Duration::from_secs(1), Duration::from_secs(4));
        let burst = median_start_delay(&report, Duration::from_secs(4), BURST_END);
        let recovered = BURST_END + RECOVERY_TIME;
        let after = median_start_delay(&report, recovered, recovered + Duration::from_secs(1));
        let delays = format!("seed {seed}: {calm:?} before, {burst:?} in, {after:?} after it");
        // Jobs idle while the partition is full are the matter of the next test.
        let is_excepted = |(at, violation): &(Duration, GuaranteeViolation)| {
            *at < recovered && matches!(violation, GuaranteeViolation::JobIdle(_))
        };
        let mut others = report.violations.iter().filter(|v| !is_excepted(v));
        assert!(others.next().is_none(), "{:?}", report.violations);
        assert!(burst > calm * 2, "no burst that binds; {delays}");
        assert!(after < calm * 2, "{delays}");
    }
}

// Guards against jobs that wait for seconds while others of the same burst start: the
// only partition is full, but the records of starts go through it.
#[test]
fn no_job_is_idle_in_a_burst_that_fills_a_partition() {
    for seed in 1..=3 {
        let report = burst_report(seed, 1, PARTITION_TIME);

        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations
        );
    }
}
