//! Explanations of where jobs would be placed, and why not elsewhere.

use std::time::Duration;

use model::{Graph, Name, Resources, RunOutcome, Step};
use sched::{
    Effect, Event, ExplainError, Explanation, Listing, Reply, StepExplanation, Subject, Time,
    Verdict,
};

use crate::harness::{
    Harness, TICK, config_with_service, grant_for, graph, named_listing, owner_of, wide,
};

const JOB: &str = "0000000000000001";
const OTHER_JOB: &str = "0000000000000002";
const RUNNING_JOB: &str = "0000000000000003";
/// Time after which the next explanation is given on a quarter of a core.
const INTERVAL: Duration = Duration::from_secs(1);

fn job(id: &str) -> Subject {
    Subject::Job(id.into())
}

fn file(queue: &str, graph: Graph) -> Subject {
    Subject::Graph {
        queue: queue.into(),
        team: "team".into(),
        graph: Box::new(graph),
    }
}

/// Asks for an explanation without any other event, and returns the effects.
fn effects_of(harness: &mut Harness, subject: Subject) -> Vec<Effect> {
    let time = Time {
        now: harness.now,
        unix: harness.now,
    };
    let mut effects = Vec::new();
    harness
        .node
        .step(Event::Explain { caller: 7, subject }, time);
    harness.node.settle(&mut effects);
    effects
}

fn explain(harness: &mut Harness, subject: Subject) -> Result<Explanation, ExplainError> {
    let replies = effects_of(harness, subject).into_iter();
    let mut replies = replies.filter_map(|effect| match effect {
        Effect::Reply {
            reply: Reply::Explained(answer),
            ..
        } => Some(*answer),
        _ => None,
    });
    replies.next().expect("no reply to the request")
}

fn first_step(harness: &mut Harness, subject: Subject) -> StepExplanation {
    let mut explanation = explain(harness, subject).expect("no explanation");
    explanation.steps.swap_remove(0)
}

/// The whole state of the node, without the time of the next explanation.
fn state(harness: &Harness) -> String {
    let text = format!("{:?}", harness.node);
    let (before, after) = text
        .split_once("next_explanation_at")
        .expect("the state has no such field");
    let (_, after) = after.split_once([',', '}']).unwrap_or_default();
    format!("{before}{after}")
}

/// An owner with a job that waits for the external admission policy, and one that waits
/// for room.
fn owner_with_waiting_jobs() -> Harness {
    let mut harness = owner_of(2);
    harness.submit(JOB);
    harness.submit_to(&format!("/plain/{OTHER_JOB}"), wide(5, false));
    harness.advance(TICK * 10);
    harness
}

/// Guards against an explanation that queries the policy, starts a task, or leaves a job
/// that was never submitted behind.
#[test]
fn an_explanation_changes_nothing() {
    let subjects = [
        job(JOB),
        job(OTHER_JOB),
        job(RUNNING_JOB),
        file("queue", wide(3, true)),
    ];
    for subject in subjects {
        let mut harness = owner_with_waiting_jobs();
        harness.submit_plain(RUNNING_JOB);
        // Passes do not renew the forecast of a job without waiting steps.
        harness.advance(Duration::from_secs(3));
        let before = state(&harness);

        let effects = effects_of(&mut harness, subject);

        assert_eq!(state(&harness), before);
        let is_answer = |effect: &Effect| matches!(effect, Effect::Reply { .. } | Effect::Log(_));
        assert!(effects.iter().all(is_answer), "{effects:?}");
    }
}

/// Guards against an answer that differs from what a placement pass decides.
#[test]
fn an_unsubmitted_job_starts_on_the_servers_that_were_named() {
    let mut harness = owner_of(4);
    let step = first_step(&mut harness, file("plain", wide(3, true)));

    harness.submit_to(&format!("/plain/{JOB}"), wide(3, true));
    harness.advance(TICK * 10);

    assert_eq!(step.verdict, Verdict::Starts);
    assert_eq!(step.startable, 3);
    let mut started: Vec<Name> = harness
        .placements
        .iter()
        .map(|(id, _)| id.clone())
        .collect();
    let mut named = step.servers[..3].to_vec();
    started.sort_unstable();
    named.sort_unstable();
    assert_eq!(started, named);
}

/// Guards against servers that are counted under the wrong reason, twice or not at all.
#[test]
fn servers_are_counted_by_what_excludes_them() {
    let mut harness = owner_of(7);
    harness.install(config_with_service("other"));
    let changed = |id: &str| named_listing(id);
    let listings = [
        Listing {
            service: "other".into(),
            ..changed("s0")
        },
        Listing {
            draining: true,
            ..changed("s1")
        },
        Listing {
            labels: vec!["ssd".into()],
            data_centre: "north".into(),
            ..changed("s2")
        },
        Listing {
            labels: vec!["ssd".into()],
            ..changed("s3")
        },
        Listing {
            labels: vec!["ssd".into()],
            capacity: Resources::of(500, 256, 0, 0),
            ..changed("s4")
        },
    ];
    for listing in listings {
        harness.deliver(Event::ServerListed(listing));
    }
    let requested_at = harness.now;
    harness.deliver(Event::Evacuations {
        data_centres: ["north".into()].into(),
        requested_at,
    });
    let mut graph = graph();
    graph.steps[0].label = Some("ssd".into());

    let step = first_step(&mut harness, file("plain", graph));

    let excluded = step.excluded;
    assert_eq!((step.qualified, step.servers), (1, vec!["s3".into()]));
    assert_eq!((excluded.service, excluded.draining), (1, 1));
    assert_eq!((excluded.evacuated, excluded.label), (1, 2));
    assert_eq!((excluded.capacity, excluded.other), (1, 0));
}

/// Guards against a verdict that does not say what a step waits for.
#[test]
fn the_verdict_says_what_a_step_waits_for() {
    let mut harness = owner_with_waiting_jobs();
    let mut never = graph();
    never.steps[0].each = Resources::of(1_000_000, 512, 0, 0);
    let mut second = graph();
    second.steps.push(Step {
        depends_on: vec![0],
        ..second.steps[0].clone()
    });
    let mut verdict = |subject: Subject, step: usize| {
        harness.advance(INTERVAL);
        let explanation = explain(&mut harness, subject).expect("no explanation");
        explanation.steps[step].verdict
    };

    assert_eq!(verdict(job(JOB), 0), Verdict::Query);
    assert_eq!(verdict(job(OTHER_JOB), 0), Verdict::Room);
    assert_eq!(verdict(file("plain", never), 0), Verdict::NoServer);
    assert_eq!(verdict(file("plain", second), 1), Verdict::AfterSteps);
    assert_eq!(verdict(file("plain", wide(3, true)), 0), Verdict::Room);
}

/// Guards against tickets that the explanation does not see.
#[test]
fn denied_servers_are_counted() {
    let mut harness = owner_of(3);
    harness.submit_to(&format!("/queue/{JOB}"), wide(2, true));

    grant_for(&mut harness, &["s0"], TICK * 10);
    let step = first_step(&mut harness, job(JOB));

    assert_eq!((step.qualified, step.excluded.denied), (1, 2));
    assert_eq!(step.verdict, Verdict::Room);
}

/// Guards against an explanation that keeps the owner from its work.
#[test]
fn an_explanation_compares_a_bounded_number_of_tasks_and_servers() {
    let mut harness = owner_of(600);
    let explained = |gang: bool| {
        let mut graph = graph();
        let step = Step {
            tasks: 100,
            gang,
            each: Resources::of(1, 1, 0, 0),
            ..graph.steps.swap_remove(0)
        };
        graph.steps = vec![step; 8];
        file("plain", graph)
    };

    let many = explain(&mut harness, explained(false)).expect("no explanation");
    harness.advance(INTERVAL);
    let gang = explain(&mut harness, explained(true)).expect("no explanation");

    let first = &many.steps[0];
    assert!(first.bounded && first.startable < 100, "{first:?}");
    assert_eq!(first.verdict, Verdict::StartsPartly);
    assert_eq!(many.steps_left_out, 8 - many.steps.len() as u32);
    assert!(many.steps.len() < 3, "{} steps", many.steps.len());
    assert_eq!(gang.steps[0].verdict, Verdict::Unexamined);
}

/// Guards against a rank that does not count the steps that go first.
#[test]
fn the_rank_counts_the_steps_ahead() {
    let mut harness = owner_with_waiting_jobs();

    let step = first_step(&mut harness, file("plain", graph()));

    let rank = step.rank.expect("a ready step has a rank");
    assert_eq!((rank.ahead, rank.waiting), (2, 3));
}

/// Guards against bad input that is taken for something else.
#[test]
fn bad_input_gets_a_typed_error_that_names_the_field() {
    let mut harness = owner_of(1);
    let mut empty = graph();
    empty.steps[0].tasks = 0;
    let unknown_team = Subject::Graph {
        queue: "plain".into(),
        team: "nobody".into(),
        graph: Box::new(graph()),
    };
    let cases = [
        (file("nowhere", graph()), "queue"),
        (unknown_team, "team"),
        (file("plain", empty), "steps.tasks"),
        (job(JOB), "job"),
    ];
    for (subject, field) in cases {
        harness.advance(INTERVAL);

        let error = explain(&mut harness, subject).expect_err("the input is invalid");

        assert!(error.to_string().starts_with(field), "{error}");
    }
}

/// Guards against a job that has ended and is taken for one that never existed.
#[test]
fn a_job_that_has_ended_is_reported_as_such() {
    let mut harness = owner_of(1);
    harness.submit_plain(JOB);
    harness.advance(TICK * 10);
    let server = harness.fleet.values_mut().next().expect("a server");
    server.end(RunOutcome::Completed, |_| true);
    harness.advance(Duration::from_secs(5));

    let answer = explain(&mut harness, job(JOB));

    assert!(
        matches!(answer, Err(ExplainError::Ended { .. })),
        "{answer:?}"
    );
}

/// Guards against operators who keep the owner from its work, and against an answer of a
/// VM that does not decide.
#[test]
fn only_the_owner_answers_and_at_a_bounded_rate() {
    let mut owner = owner_of(1);
    let mut follower = Harness::following();
    follower.advance(TICK * 2);

    let first = explain(&mut owner, file("plain", graph()));
    let second = explain(&mut owner, file("plain", graph()));
    let elsewhere = explain(&mut follower, file("plain", graph()));

    assert!(first.is_ok(), "{first:?}");
    assert_eq!(
        second,
        Err(ExplainError::Busy {
            retry_after_ms: 1_000
        })
    );
    match elsewhere {
        Err(ExplainError::NotOwner { owner, address, .. }) => {
            assert_eq!((owner.as_str(), address.as_str()), ("owner", "owner"));
        }
        other => panic!("{other:?}"),
    }
}
