//! Queries to the external admission policy, and whose results an owner applies.

use std::collections::BTreeSet;
use std::time::Duration;

use model::Name;
use sched::{CallId, Event, Offer, OfferResponse, PolicyDecision, PolicyQuery, Reply};

use crate::harness::{Harness, TICK, owner_of, replace_owner};

/// Number of jobs that each owner queries the policy about.
const JOBS: usize = 12;
/// Time in which an owner takes over, with the waits for its predecessor.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

fn job_id(n: usize) -> String {
    format!("{n:016x}")
}

/// Makes an offer, with the result of an earlier query if there is one, and returns the
/// query that the owner replies with.
fn help(owner: &mut Harness, result: Option<(u64, PolicyDecision)>) -> Option<PolicyQuery> {
    let replied = owner.replies.len();
    let offer = Offer {
        helper: "helper".into(),
        cpu_share: 0.25,
        result: result.map(|(id, decision)| (id, Ok(decision))),
    };
    owner.deliver(Event::Offer { caller: 2, offer });
    owner.advance(TICK);
    let mut replies = owner.replies[replied..].iter();
    replies.find_map(|reply| match reply {
        Reply::Helper(OfferResponse::Query(query)) => Some(query.clone()),
        _ => None,
    })
}

/// Submits jobs to an owner and returns the queries that it gives to a helper. None is
/// answered.
fn unanswered_queries(owner: &mut Harness, first_job: usize) -> Vec<PolicyQuery> {
    let mut queries = Vec::new();
    for n in first_job..first_job + JOBS {
        owner.submit(&job_id(n));
        queries.extend(help(owner, None));
        owner.advance(TICK * 2);
    }
    queries
}

/// Guards against jobs that never start after a kill of the owner: a helper's result of the
/// killed owner's query was applied to the successor's query with the same id, and the
/// backend servers that this one named counted as denied for good.
#[test]
fn a_result_of_another_owners_query_decides_nothing() {
    let mut killed = owner_of(1);
    killed.advance(TAKEOVER_TIME);
    let earlier = unanswered_queries(&mut killed, 1);
    let mut owner = replace_owner(killed, 1);
    owner.job_rows.clear();
    owner.advance(TAKEOVER_TIME);
    assert!(owner.node.is_owner() && !earlier.is_empty());

    unanswered_queries(&mut owner, 101);
    for query in &earlier {
        help(&mut owner, Some((query.id, PolicyDecision::default())));
    }
    let decision = PolicyDecision {
        granted: vec![("s0".into(), "ticket".into())],
    };
    let mut query = help(&mut owner, None);
    for _ in 0..JOBS * 8 {
        owner.answer_policy(decision.granted.clone());
        let result = query.map(|query| (query.id, decision.clone()));
        query = help(&mut owner, result);
        owner.advance(Duration::from_millis(50));
    }

    let placements = owner.placements.iter();
    let started: BTreeSet<&Name> = placements.map(|(_, run)| &run.task.job).collect();
    let mut jobs = (101..101 + JOBS).map(job_id);
    let waiting = jobs.find(|job| !started.contains(&Name::from(job.as_str())));
    assert_eq!(waiting, None, "after the results of {earlier:?}");
}

/// A follower that sends a query with this id for an owner, which is then killed. The
/// follower takes over and sends a query of its own. Returns the calls of both.
fn helper_that_takes_over(id: u64) -> (Harness, CallId, CallId) {
    let mut harness = replace_owner(owner_of(1), 1);
    harness.advance(TICK * 5);
    harness.deliver(Event::OfferAnswered(OfferResponse::Query(PolicyQuery {
        id,
        step: (job_id(1).into(), 0, 0),
        servers: vec!["s0".into()],
        expected_latency: Duration::from_millis(51),
    })));
    let helped = harness.policy_calls.last().expect("a helped query").0;
    harness.advance(TAKEOVER_TIME);
    harness.submit(&job_id(2));
    harness.advance(Duration::from_millis(200));
    let own = harness.policy_calls.last().expect("an own query").0;
    (harness, helped, own)
}

/// Guards against a helper that becomes the owner and takes the result of the query that it
/// sent for its predecessor for that of its own, and its own for its predecessor's.
#[test]
fn a_helper_that_takes_over_knows_its_own_queries() {
    let (_, _, first_own) = helper_that_takes_over(u64::MAX);
    let (mut owner, helped, own) = helper_that_takes_over(first_own);
    let granted = vec![("s0".into(), "ticket".into())];

    let result = Ok(PolicyDecision { granted });
    owner.deliver(Event::PolicyAnswered { call: own, result });
    let result = Ok(PolicyDecision::default());
    owner.deliver(Event::PolicyAnswered {
        call: helped,
        result,
    });
    owner.advance(Duration::from_millis(500));

    assert!(!owner.placements.is_empty(), "{:?}", owner.notices);
}
