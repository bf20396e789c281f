//! Malformed and hostile input at every door of the reducer.
//!
//! Invariant: no input makes the reducer panic, break its own invariants or
//! do unbounded work.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bytes::Bytes;
use control::{
    ApiRequest, Event, ExecutorResponse, Identity, Node, Settings, TableResponse, Timing,
};
use model::{Cell, Finished, JobId, Listing, Name, Report, Resources, Row, Running, Spec};
use standin::schedule::{Schedule, config};

/// Seeds of the generated histories; the low half is the input's size.
const SEEDS: std::ops::Range<u64> = 0..200;
/// Events of a history.
const EVENTS: u32 = 150;

fn node() -> Node {
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

fn name(u: &mut Unstructured<'_>) -> Result<Name> {
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

fn cell(u: &mut Unstructured<'_>) -> Result<Cell> {
    let bytes: Vec<u8> = u.arbitrary()?;
    Ok(Cell {
        version: u.arbitrary()?,
        value: Bytes::from(bytes),
    })
}

fn report(u: &mut Unstructured<'_>) -> Result<Report> {
    let resources = Resources::of(
        u.arbitrary()?,
        u.arbitrary()?,
        u.arbitrary()?,
        u.arbitrary()?,
    );
    Ok(Report {
        epoch: u.int_in_range(0..=3)?,
        holder: name(u)?,
        contact_ms: u.arbitrary()?,
        accepted: u.arbitrary()?,
        leaving: u.arbitrary()?,
        version: u.arbitrary()?,
        unchanged: u.arbitrary()?,
        running: vec![Running {
            job: JobId::from(name(u)?),
            task: u.arbitrary()?,
            attempt: u.arbitrary()?,
            each: resources,
        }],
        finished: vec![Finished {
            job: JobId::from(name(u)?),
            task: u.arbitrary()?,
            attempt: u.arbitrary()?,
            ended: model::Ended::Completed,
            ran_ms: u.arbitrary()?,
        }],
    })
}

fn ask(u: &mut Unstructured<'_>) -> Result<ApiRequest> {
    let key = u.ratio(1, 2)?.then(|| model::key::hash("free"));
    let idempotency = u.ratio(1, 2)?.then(|| name(u)).transpose()?;
    Ok(match u.int_in_range(0..=2)? {
        0 => ApiRequest::Request {
            queue: name(u)?,
            key,
            idempotency_key: idempotency,
            body: Bytes::new(),
            timeout: Duration::from_millis(u.arbitrary()?),
        },
        1 => ApiRequest::Submit {
            queue: name(u)?,
            key,
            idempotency_key: idempotency,
            spec: Spec {
                tasks: u.arbitrary()?,
                each: Resources::of(u.arbitrary()?, u.arbitrary()?, u.arbitrary()?, 0),
                run_ms: u.arbitrary()?,
                urgent: u.arbitrary()?,
                payload: name(u)?,
            },
        },
        _ => ApiRequest::Job {
            key,
            job: name(u)?,
            query: wire::Query::Cancel,
        },
    })
}

fn event(u: &mut Unstructured<'_>, listing: &Listing) -> Result<Event> {
    let id = u.int_in_range(0..=40)?;
    Ok(match u.int_in_range(0..=8)? {
        0 => Event::Tick,
        1 => Event::ApiRequest {
            caller: id,
            request: ask(u)?,
        },
        2 => Event::TableResult {
            id,
            result: Ok(TableResponse::Read {
                rows: vec![(name(u)?, Some(cell(u)?)), (name(u)?, None)],
                scans: vec![
                    (
                        vec![Row {
                            key: name(u)?,
                            cell: cell(u)?,
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
            result: Ok(report(u)?),
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
            result: Err(model::Fault::Unknown),
        },
    })
}

#[test]
fn random_events_break_nothing() {
    let listing = Schedule::new(1, &[]).listing();
    for seed in SEEDS {
        arbtest(|u| {
            let mut node = node();
            let mut out = Vec::new();
            let mut now = Duration::ZERO;
            for _ in 0..EVENTS {
                now += Duration::from_millis(u.int_in_range(0..=400)?);
                let event = event(u, &listing)?;
                node.step(event, now, &mut out);
                assert_eq!(node.verify(), Ok(()));
                assert!(out.len() < 2_000, "effects stay bounded");
                out.clear();
            }
            Ok(())
        })
        .seed(seed << 32 | 0x4000);
    }
}
