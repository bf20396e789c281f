//! Malformed and hostile input in every kind of event of the reducer.
//!
//! Invariant: no input makes the reducer panic, violate its own invariants or
//! produce an unbounded number of effects.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bytes::Bytes;
use control::{
    ApiRequest, Event, ExecutorResponse, Identity, Node, Settings, TableResponse, Timing,
};
use model::{Cell, Finished, JobId, Name, Resources, Row, Running, Spec, VmList, WorkerReport};
use standin::schedule::{Simulation, config};

/// Seeds of the generated histories, used as the upper 32 bits of the arbtest
/// seed; the lower 32 bits are the size of the input.
const SEEDS: std::ops::Range<u64> = 0..200;
/// Number of events in a history.
const EVENTS_PER_HISTORY: u32 = 150;

fn new_node() -> Node {
    let identity = |name: &str| Identity {
        name: Name::from(name),
        data_centre: Name::from("east"),
    };
    let settings = Settings {
        identity: identity("e0"),
        peers: vec![identity("e1")],
        data_centres: vec![Name::from("east")],
        timing: Timing::default(),
        store_writes_per_second: 40,
        initial: Some(config()),
    };
    Node::new(settings, 1, Duration::ZERO)
}

fn random_name(u: &mut Unstructured<'_>) -> Result<Name> {
    let names = [
        "",
        "e0",
        "e1",
        "free",
        "ask",
        "batch",
        "config",
        "owner/east",
        "east-1",
        "\u{1f600}",
    ];
    Ok(Name::from(*u.choose(&names)?))
}

fn random_cell(u: &mut Unstructured<'_>) -> Result<Cell> {
    let bytes: Vec<u8> = u.arbitrary()?;
    Ok(Cell {
        version: u.arbitrary()?,
        value: Bytes::from(bytes),
    })
}

fn random_report(u: &mut Unstructured<'_>) -> Result<WorkerReport> {
    let resources = Resources::of(
        u.arbitrary()?,
        u.arbitrary()?,
        u.arbitrary()?,
        u.arbitrary()?,
    );
    Ok(WorkerReport {
        epoch: u.int_in_range(0..=3)?,
        holder: random_name(u)?,
        contact_ms: u.arbitrary()?,
        accepted: u.arbitrary()?,
        leaving: u.arbitrary()?,
        version: u.arbitrary()?,
        unchanged: u.arbitrary()?,
        running: vec![Running {
            job: JobId::from(random_name(u)?),
            task: u.arbitrary()?,
            attempt: u.arbitrary()?,
            each: resources,
        }],
        finished: vec![Finished {
            job: JobId::from(random_name(u)?),
            task: u.arbitrary()?,
            attempt: u.arbitrary()?,
            outcome: model::AttemptOutcome::Completed,
            ran_ms: u.arbitrary()?,
        }],
    })
}

fn random_api_request(u: &mut Unstructured<'_>) -> Result<ApiRequest> {
    let key = u.ratio(1, 2)?.then(|| model::key::hash("free"));
    let idempotency_key = u.ratio(1, 2)?.then(|| random_name(u)).transpose()?;
    Ok(match u.int_in_range(0..=2)? {
        0 => ApiRequest::Request {
            queue: random_name(u)?,
            key,
            idempotency_key,
            body: Bytes::new(),
            timeout: Duration::from_millis(u.arbitrary()?),
        },
        1 => ApiRequest::Submit {
            queue: random_name(u)?,
            key,
            idempotency_key,
            spec: Spec {
                tasks: u.arbitrary()?,
                each: Resources::of(u.arbitrary()?, u.arbitrary()?, u.arbitrary()?, 0),
                run_ms: u.arbitrary()?,
                urgent: u.arbitrary()?,
                payload: random_name(u)?,
            },
        },
        _ => ApiRequest::Job {
            key,
            job: random_name(u)?,
            query: wire::JobQuery::Cancel,
        },
    })
}

fn random_event(u: &mut Unstructured<'_>, listing: &VmList) -> Result<Event> {
    let id = u.int_in_range(0..=40)?;
    Ok(match u.int_in_range(0..=8)? {
        0 => Event::Tick,
        1 => Event::ApiRequest {
            caller: id,
            request: random_api_request(u)?,
        },
        2 => Event::TableResult {
            id,
            result: Ok(TableResponse::Read {
                rows: vec![
                    (random_name(u)?, Some(random_cell(u)?)),
                    (random_name(u)?, None),
                ],
                scans: vec![
                    (
                        vec![Row {
                            key: random_name(u)?,
                            cell: random_cell(u)?,
                        }],
                        u.arbitrary()?,
                    ),
                    (Vec::new(), u.arbitrary()?),
                ],
            }),
        },
        3 => Event::TableResult {
            id,
            result: Ok(TableResponse::Committed(vec![Ok(u.arbitrary()?)])),
        },
        4 => Event::WorkerResult {
            id,
            result: Ok(random_report(u)?),
        },
        5 => Event::ExecuteResult {
            id,
            result: Ok(ExecutorResponse {
                status: u.arbitrary()?,
                body: Bytes::new(),
            }),
        },
        6 => Event::VmList(Some(listing.clone())),
        7 => {
            let bytes: Vec<u8> = u.arbitrary()?;
            match wire::decode(&bytes) {
                Ok((from, frame)) => Event::Frame { from, frame },
                Err(e) => Event::FrameMalformed {
                    detail: Name::from(e.to_string()),
                },
            }
        }
        _ => Event::TableResult {
            id,
            result: Err(model::TableError::Unknown),
        },
    })
}

#[test]
fn random_events_break_nothing() {
    let listing = Simulation::new(1, &[]).listing();
    for seed in SEEDS {
        arbtest(|u| {
            let mut node = new_node();
            let mut out = Vec::new();
            let mut now = Duration::ZERO;
            for _ in 0..EVENTS_PER_HISTORY {
                now += Duration::from_millis(u.int_in_range(0..=400)?);
                let event = random_event(u, &listing)?;
                node.step(event, now, &mut out);
                assert_eq!(node.verify(), Ok(()));
                assert!(out.len() < 2_000, "an event produced too many effects");
                out.clear();
            }
            Ok(())
        })
        .seed(seed << 32 | 0x4000);
    }
}
