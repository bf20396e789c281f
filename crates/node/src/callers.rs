//! The callers' HTTP interface.
//!
//! Invariant: every answer says in `x-outcome` whether the work was done, not
//! run, accepted, or is unknown, and a refusal says when to come back.

use std::time::Duration;

use control::{Ask, Reply};
use model::{Answer, JobId, Name, Phase, Reason, Refusal, Spec, Status, key};
use salvo::http::StatusCode;
use salvo::oapi::endpoint;
use salvo::prelude::*;
use serde::Serialize;
use wire::JobQuery;

use crate::server::App;

/// Largest request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time that a caller waits unless it says otherwise.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Longest long poll.
const MAX_POLL: Duration = Duration::from_secs(25);
/// Period of looks at a job during a long poll.
const POLL_STEP: Duration = Duration::from_millis(200);

/// Body of every answer that is not an executor's.
#[derive(Debug, Serialize)]
struct Verdict<'a> {
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<Reason>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    job: Option<&'a JobId>,
}

/// Routes of the callers' interface.
pub(crate) fn router() -> Router {
    Router::with_path("v1")
        .push(Router::with_path("queues/{queue}/requests").post(post_request))
        .push(Router::with_path("queues/{queue}/jobs").post(post_job))
        .push(
            Router::with_path("jobs/{job}")
                .get(get_job)
                .delete(delete_job),
        )
}

fn bearer(req: &Request) -> Option<model::Hash> {
    let header = req.headers().get("authorization")?.to_str().ok()?;
    header.strip_prefix("Bearer ").map(key::hash)
}

fn idempotency(req: &Request) -> Option<Name> {
    let header = req.headers().get("idempotency-key")?;
    // Bytes that are no text become a key that the reducer refuses.
    Some(Name::from(header.to_str().unwrap_or(" ")))
}

fn deadline(req: &Request) -> Duration {
    let header = req.headers().get("x-deadline-ms");
    let millis = header.and_then(|v| v.to_str().ok()?.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

/// Sends a request to a queue and waits for the executor's answer.
#[endpoint]
async fn post_request(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let body = match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(body) => body.clone(),
        Err(_) => return refuse(res, Refusal::permanent(Reason::BadRequest)),
    };
    let ask = Ask::Request {
        queue: Name::from(req.param::<&str>("queue").unwrap_or_default()),
        key: bearer(req),
        idempotency: idempotency(req),
        body,
        budget: deadline(req),
    };
    let reply = ask_loop(depot, ask).await;
    render(res, reply);
}

/// Submits a job.
#[endpoint]
async fn post_job(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let body = req.payload_with_max_size(MAX_BODY_BYTES).await;
    let spec = body
        .ok()
        .and_then(|b| serde_json::from_slice::<Spec>(b).ok());
    let Some(spec) = spec else {
        return refuse(res, Refusal::permanent(Reason::BadRequest));
    };
    let ask = Ask::Submit {
        queue: Name::from(req.param::<&str>("queue").unwrap_or_default()),
        key: bearer(req),
        idempotency: idempotency(req),
        spec,
    };
    let reply = ask_loop(depot, ask).await;
    render(res, reply);
}

/// Status of a job. With `?wait_ms=N` the answer comes when the job's progress
/// changes, or after N ms.
#[endpoint]
async fn get_job(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let wait = req.query::<u64>("wait_ms").unwrap_or(0);
    let until = tokio::time::Instant::now() + Duration::from_millis(wait).min(MAX_POLL);
    let mut first: Option<Status> = None;
    loop {
        let reply = ask_loop(depot, job_question(req, JobQuery::Status)).await;
        let Some(Reply::Job(status)) = reply else {
            return render(res, reply);
        };
        let before = first.get_or_insert_with(|| status.clone());
        let changed = (before.phase, before.running, before.completed)
            != (status.phase, status.running, status.completed);
        let over = tokio::time::Instant::now() >= until;
        if changed || over || status.phase != Phase::Active {
            return render(res, Some(Reply::Job(status)));
        }
        tokio::time::sleep(POLL_STEP).await;
    }
}

/// Cancels a job and returns its status once that is recorded.
#[endpoint]
async fn delete_job(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let reply = ask_loop(depot, job_question(req, JobQuery::Cancel)).await;
    render(res, reply);
}

fn job_question(req: &Request, query: JobQuery) -> Ask {
    Ask::Job {
        key: bearer(req),
        job: JobId::from(req.param::<&str>("job").unwrap_or_default()),
        query,
    }
}

async fn ask_loop(depot: &Depot, ask: Ask) -> Option<Reply> {
    let app = depot.get_typed::<App>().ok()?;
    app.ask(ask).await
}

fn render(res: &mut Response, reply: Option<Reply>) {
    match reply {
        Some(Reply::Answer(Answer::Done { status, body })) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            res.status_code(status);
            outcome(res, "done");
            // Writing to a response in memory does not fail.
            let _ = res.write_body(body);
        }
        Some(Reply::Accepted(id)) => verdict(
            res,
            StatusCode::ACCEPTED,
            &Verdict {
                outcome: "accepted",
                reason: None,
                message: None,
                job: Some(&id),
            },
        ),
        Some(Reply::Job(status)) => {
            outcome(res, "done");
            res.render(Json(status));
        }
        Some(Reply::Refused(refusal) | Reply::Answer(Answer::Refused(refusal))) => {
            refuse(res, refusal);
        }
        _ => verdict(
            res,
            StatusCode::GATEWAY_TIMEOUT,
            &Verdict {
                outcome: "unknown",
                reason: None,
                message: Some("ask again with the same Idempotency-Key".to_owned()),
                job: None,
            },
        ),
    }
}

fn outcome(res: &mut Response, value: &'static str) {
    let value = salvo::http::HeaderValue::from_static(value);
    res.headers_mut().insert("x-outcome", value);
}

fn verdict(res: &mut Response, status: StatusCode, body: &Verdict<'_>) {
    let value = salvo::http::HeaderValue::from_str(body.outcome);
    if let Ok(value) = value {
        res.headers_mut().insert("x-outcome", value);
    }
    res.status_code(status);
    res.render(Json(body));
}

fn refuse(res: &mut Response, refusal: Refusal) {
    if let Some(wait) = refusal.retry_after {
        // Whole seconds, rounded up, as the header wants.
        let seconds = wait.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = seconds.parse() {
            res.headers_mut().insert("retry-after", value);
        }
    }
    let body = Verdict {
        outcome: "not_run",
        reason: Some(refusal.reason),
        message: Some(refusal.reason.to_string()),
        job: None,
    };
    verdict(res, status_of(refusal.reason), &body);
}

const fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadKey => StatusCode::UNAUTHORIZED,
        Reason::NoQueue | Reason::NoJob => StatusCode::NOT_FOUND,
        Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::KeyReused => StatusCode::CONFLICT,
        Reason::BadRequest | Reason::NoIdempotencyKey => StatusCode::BAD_REQUEST,
        Reason::NeverFits => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::StaleConfig
        | Reason::NoBackend
        | Reason::StoreDown
        | Reason::Expired
        | Reason::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
    }
}
