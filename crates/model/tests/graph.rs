//! Limits on submitted jobs.

use std::time::Duration;

use model::graph::{GraphError, MAX_NAME_BYTES, MAX_STEPS, MAX_TIME};
use model::{Graph, Recurrence, Step};

fn step(tasks: u32) -> Step {
    Step {
        tasks,
        estimate: Duration::from_secs(1),
        ..Step::default()
    }
}

fn graph(steps: Vec<Step>) -> Graph {
    Graph {
        steps,
        ..Graph::default()
    }
}

fn recurring(tasks: u32, times: u32) -> Graph {
    let recurrence = Recurrence {
        times,
        first: Duration::ZERO,
        every: Duration::from_secs(1),
    };
    Graph {
        recurrence: Some(recurrence),
        ..graph(vec![step(tasks)])
    }
}

// Guards against limits that refuse usual jobs, also large ones.
#[test]
fn usual_jobs_are_valid() {
    let jobs = [
        graph(vec![step(1_000)]),
        graph(vec![step(20), step(20)]),
        graph(vec![step(1); MAX_STEPS]),
        recurring(10, 1_000),
    ];

    for job in jobs {
        assert_eq!(job.verify(), Ok(()), "{job:?}");
    }
}

// Guards against jobs whose state the table service can't store: their writes would fail
// for ever and hold up those of other jobs.
#[test]
fn jobs_whose_rows_may_be_too_large_are_rejected() {
    let long_names = Step {
        image: "i".repeat(MAX_NAME_BYTES).into(),
        ..step(1)
    };
    let many_dependencies = Step {
        depends_on: vec![0; 70_000],
        ..step(1)
    };
    let jobs = [
        graph(vec![step(15_000)]),
        graph(vec![long_names; 200]),
        graph(vec![step(1), many_dependencies]),
        recurring(1, 1_000_000),
        recurring(1, u32::MAX),
    ];

    for job in jobs {
        assert_eq!(job.verify(), Err(GraphError::Row));
    }
}

// Guards against texts and times that are harmless in a row but not in the process.
#[test]
fn long_names_and_times_are_rejected() {
    let long_name = Step {
        data_rack: Some("r".repeat(MAX_NAME_BYTES + 1).into()),
        ..step(1)
    };
    let long_time = Step {
        estimate: MAX_TIME + Duration::from_secs(1),
        ..step(1)
    };

    let name = graph(vec![long_name]).verify();
    let time = graph(vec![long_time]).verify();

    assert_eq!(name, Err(GraphError::Name));
    assert_eq!(time, Err(GraphError::Time));
}

// Guards against an overflow in the due time of a late occurrence.
#[test]
fn due_times_saturate() {
    let recurrence = Recurrence {
        times: u32::MAX,
        first: Duration::MAX,
        every: Duration::MAX,
    };

    assert_eq!(recurrence.due(u32::MAX - 1), Duration::MAX);
}
