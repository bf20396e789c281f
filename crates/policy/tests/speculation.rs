//! Decisions on speculative copies.

use std::time::Duration;

use policy::speculation::{
    Cause, Contact, Decision, Hold, Load, Outcomes, Report, Run, Stakes, Times, decide,
    is_report_due,
};

const IDLE: Load = Load {
    free: 0.5,
    contended: false,
};
/// An urgent step: run time 600 ms, objective 1,150 ms after the arrival of its job.
const TIMES: Times = Times {
    mean: ms(600),
    spread: Some(ms(60)),
    before_start: ms(0),
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Stakes of a job that arrived `elapsed` ago and has nothing else to do.
fn stakes(elapsed: Duration) -> Stakes {
    let objective = ms(1_150);
    Stakes {
        objective,
        left: objective.saturating_sub(elapsed),
        overdue: elapsed.saturating_sub(objective),
    }
}

/// A run that has reported `percent` just now.
fn reported(elapsed: Duration, percent: u8) -> Run {
    let report = Report {
        percent,
        at: elapsed,
        standing: ms(0),
    };
    Run {
        elapsed,
        report: Some(report),
        contact: Contact::Answers,
        slowness: 1.0,
    }
}

/// A run that has reported `percent` just now, on a server where tasks take seven times as
/// long.
fn reported_by_slow_server(elapsed: Duration, percent: u8) -> Run {
    Run {
        slowness: 7.0,
        ..reported(elapsed, percent)
    }
}

fn silent(elapsed: Duration, lease_left: Duration) -> Run {
    Run {
        elapsed,
        report: None,
        contact: Contact::Silent { lease_left },
        slowness: 1.0,
    }
}

fn cause(decision: Decision) -> Option<Cause> {
    match decision {
        Decision::Copy(copy) => Some(copy.cause),
        Decision::Wait(_) => None,
    }
}

/// Guards against copies of tasks that are long themselves: the copy would take as long, and
/// was only stopped in the end (116 of 173 copies on a calm day of an uneven fleet).
#[test]
fn a_long_task_on_a_sound_server_is_not_copied() {
    for (elapsed, percent) in [(200, 4), (500, 12), (1_500, 35), (3_000, 70)] {
        let run = reported(ms(elapsed), percent);

        let decision = decide(&run, &TIMES, &stakes(ms(elapsed)), &IDLE, Some(0.9));

        assert!(
            matches!(decision, Decision::Wait(_)),
            "{elapsed} ms: {decision:?}"
        );
    }
}

/// Guards against a job that is late because of one run that takes seven times as long for
/// a cause of its server, although its progress shows that after a third of the usual run
/// time.
#[test]
fn a_run_at_a_seventh_of_the_usual_rate_is_copied_early() {
    let run = reported_by_slow_server(ms(200), 4);

    let decision = decide(&run, &TIMES, &stakes(ms(220)), &IDLE, Some(0.5));

    assert_eq!(cause(decision), Some(Cause::Slow));
}

/// Guards against copies of runs that are as fast as others, or end before a copy would.
#[test]
fn runs_that_end_in_time_are_not_copied() {
    for (elapsed, percent) in [
        (200, 33),
        (200, 25),
        (500, 83),
        (900, 95),
        (10, 0),
        (100, 2),
    ] {
        let run = reported(ms(elapsed), percent);

        let decision = decide(&run, &TIMES, &stakes(ms(elapsed)), &IDLE, Some(0.9));

        assert!(
            matches!(decision, Decision::Wait(_)),
            "{elapsed} ms: {decision:?}"
        );
    }
}

/// Guards against a task that waits for the lease of a silent server.
#[test]
fn a_run_on_a_silent_server_is_copied_at_once() {
    let run = silent(ms(100), ms(3_000));

    let decision = decide(&run, &TIMES, &stakes(ms(120)), &IDLE, None);

    assert_eq!(cause(decision), Some(Cause::Silent));
}

/// Guards against runs that wait on a server that stalls, and against copies of runs whose
/// last reports are merely close to each other.
#[test]
fn a_run_whose_progress_stands_still_is_copied() {
    let standing = |standing: u64| {
        let mut run = reported(ms(900), 60);
        run.report = run.report.map(|report| Report {
            standing: ms(standing),
            ..report
        });
        // The mean is long enough for the rate alone to look sound.
        let times = Times {
            mean: ms(700),
            ..TIMES
        };
        let stakes = Stakes {
            left: ms(600),
            ..stakes(ms(0))
        };
        cause(decide(&run, &times, &stakes, &IDLE, Some(0.9)))
    };

    assert_eq!(standing(700), Some(Cause::Stalled));
    assert_ne!(standing(100), Some(Cause::Stalled));
}

/// Guards against copies that take the room of steps that wait, or the last of it.
#[test]
fn no_copy_starts_without_room_to_spare() {
    let run = reported(ms(200), 4);
    let contended = Load {
        contended: true,
        ..IDLE
    };
    let full = Load { free: 0.05, ..IDLE };
    for load in [contended, full] {
        let decision = decide(&run, &TIMES, &stakes(ms(200)), &load, Some(0.9));

        assert_eq!(decision, Decision::Wait(Hold::Contended));
    }
}

/// Guards against copies that cost more the scarcer capacity is than they save.
#[test]
fn a_small_saving_is_worth_idle_capacity_only() {
    let run = reported_by_slow_server(ms(400), 25);
    let stakes = Stakes {
        left: ms(700),
        ..stakes(ms(0))
    };
    let scarce = Load { free: 0.12, ..IDLE };

    let idle = decide(&run, &TIMES, &stakes, &IDLE, Some(0.4));
    let scarce = decide(&run, &TIMES, &stakes, &scarce, Some(0.4));

    assert_eq!(cause(idle), Some(Cause::Slow));
    assert_eq!(scarce, Decision::Wait(Hold::NotSooner));
}

/// Guards against copies for jobs that are worth nothing whatever is done, or that meet
/// their objective without.
#[test]
fn a_copy_must_change_the_value_of_the_job() {
    let run = reported_by_slow_server(ms(200), 10);
    let ample = Stakes {
        left: ms(10_000),
        ..stakes(ms(0))
    };
    for stakes in [ample, stakes(ms(9_000))] {
        let decision = decide(&run, &TIMES, &stakes, &IDLE, Some(0.9));

        assert_eq!(decision, Decision::Wait(Hold::NoValue));
    }
}

/// Guards against a query of the policy whose ticket comes too late.
#[test]
fn the_time_of_a_query_counts() {
    let run = reported_by_slow_server(ms(200), 16);
    let times = Times {
        before_start: ms(1_000),
        ..TIMES
    };

    let decision = decide(&run, &times, &stakes(ms(200)), &IDLE, Some(0.9));

    assert_eq!(decision, Decision::Wait(Hold::NotSooner));
}

/// Guards against decisions on declared run times, which are off by up to 90%: a task of
/// 1,100 ms that declares 600 ms is not late.
#[test]
fn a_declared_run_time_needs_a_clearer_sign() {
    let run = reported_by_slow_server(ms(300), 27);
    let declared = Times {
        spread: None,
        ..TIMES
    };
    let tight = Stakes {
        left: ms(700),
        ..stakes(ms(0))
    };

    let with_declared = decide(&run, &declared, &tight, &IDLE, Some(0.9));
    let with_learned = decide(&run, &TIMES, &tight, &IDLE, Some(0.9));

    assert_eq!(with_declared, Decision::Wait(Hold::NotSooner));
    assert_eq!(cause(with_learned), Some(Cause::Slow));
}

/// Guards against copies for tasks that are slow by themselves, and against an image that
/// is written off for ever.
#[test]
fn copies_of_an_image_cease_where_they_never_win() {
    let mut outcomes = Outcomes::default();
    let mut ceased = 0;
    for n in 0..40 {
        outcomes.record(1, true, ms(n));
        ceased += u32::from(outcomes.record(2, false, ms(n)));
    }

    let later = ms(40) + Duration::from_secs(30);
    assert_eq!(ceased, 1);
    assert!(outcomes.win_rate(1, ms(40)).is_some_and(|rate| rate > 0.8));
    assert_eq!(outcomes.win_rate(2, ms(40)), None);
    assert!(outcomes.win_rate(2, later).is_some());
    let decision = decide(&reported(ms(200), 4), &TIMES, &stakes(ms(200)), &IDLE, None);
    assert_eq!(decision, Decision::Wait(Hold::NeverWins));
}

/// Guards against memory that grows with the images, which come and go by the thousand.
#[test]
fn outcomes_of_few_images_are_kept() {
    let mut outcomes = Outcomes::default();

    for image in 0..5_000 {
        outcomes.record(image, true, ms(u64::from(image)));
    }

    assert!(outcomes.images() <= 256);
    assert!(outcomes.win_rate(4_999, ms(5_000)).is_some());
}

/// Guards against late runs that no report shows, and against calls for every run.
#[test]
fn progress_is_asked_for_once_it_says_something() {
    let unreported = |elapsed| Run {
        report: None,
        ..reported(elapsed, 0)
    };
    let reported_at = |at, elapsed| Run {
        elapsed,
        ..reported(at, 50)
    };
    for (run, due) in [
        (unreported(ms(100)), false),
        (unreported(ms(200)), true),
        (reported_at(ms(50), ms(200)), true),
        (reported_at(ms(200), ms(590)), false),
        (reported_at(ms(200), ms(700)), true),
        (silent(ms(900), ms(1_000)), false),
    ] {
        assert_eq!(is_report_due(&run, &TIMES), due, "{run:?}");
    }
}
