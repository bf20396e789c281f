//! HTTP interface for callers.
//!
//! Invariant: the `x-outcome` header of every response is `done`, `not_run`,
//! `accepted` or `unknown`. A refusal that a later retry may avoid carries
//! `retry-after`.

use std::time::Duration;

use control::{ApiRequest, Reply};
use model::{Answer, JobId, Name, Phase, Reason, Refusal, Spec, Status, key};
use salvo::http::StatusCode;
use salvo::oapi::endpoint;
use salvo::prelude::*;
use serde::Serialize;
use wire::JobQuery;

use crate::server::App;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time limit of a request without an `x-deadline-ms` header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Maximum duration of a long poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(25);
/// Interval between status queries during a long poll.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Body of a response that reports an outcome instead of an executor's
/// response or a job's status.
#[derive(Debug, Serialize)]
struct OutcomeBody<'a> {
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<Reason>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    job: Option<&'a JobId>,
}

/// Routes of the interface for callers.
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

fn bearer_key_hash(req: &Request) -> Option<model::Hash> {
    let header = req.headers().get("authorization")?.to_str().ok()?;
    header.strip_prefix("Bearer ").map(key::hash)
}

fn idempotency_key(req: &Request) -> Option<Name> {
    let header = req.headers().get("idempotency-key")?;
    // A value that is not visible ASCII becomes a blank key, which the reducer
    // refuses.
    Some(Name::from(header.to_str().unwrap_or(" ")))
}

fn request_budget(req: &Request) -> Duration {
    let header = req.headers().get("x-deadline-ms");
    let millis = header.and_then(|v| v.to_str().ok()?.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

/// Sends a request to a queue and waits for the executor's answer.
#[endpoint]
async fn post_request(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let body = match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(body) => body.clone(),
        Err(_) => return render_refusal(res, Refusal::permanent(Reason::BadRequest)),
    };
    let request = ApiRequest::Request {
        queue: Name::from(req.param::<&str>("queue").unwrap_or_default()),
        key: bearer_key_hash(req),
        idempotency_key: idempotency_key(req),
        body,
        timeout: request_budget(req),
    };
    let reply = call_reducer(depot, request).await;
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
        return render_refusal(res, Refusal::permanent(Reason::BadRequest));
    };
    let request = ApiRequest::Submit {
        queue: Name::from(req.param::<&str>("queue").unwrap_or_default()),
        key: bearer_key_hash(req),
        idempotency_key: idempotency_key(req),
        spec,
    };
    let reply = call_reducer(depot, request).await;
    render(res, reply);
}

/// Status of a job. With `?wait_ms=N` the answer comes when the job's progress
/// changes, or after N ms.
#[endpoint]
async fn get_job(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let wait = req.query::<u64>("wait_ms").unwrap_or(0);
    let wait_deadline =
        tokio::time::Instant::now() + Duration::from_millis(wait).min(MAX_POLL_WAIT);
    let mut first: Option<Status> = None;
    loop {
        let reply = call_reducer(depot, job_query(req, JobQuery::Status)).await;
        let Some(Reply::Job(status)) = reply else {
            return render(res, reply);
        };
        let initial = first.get_or_insert_with(|| status.clone());
        let changed = (initial.phase, initial.running, initial.completed)
            != (status.phase, status.running, status.completed);
        let timed_out = tokio::time::Instant::now() >= wait_deadline;
        if changed || timed_out || status.phase != Phase::Active {
            return render(res, Some(Reply::Job(status)));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Cancels a job and returns its status once that is recorded.
#[endpoint]
async fn delete_job(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let reply = call_reducer(depot, job_query(req, JobQuery::Cancel)).await;
    render(res, reply);
}

fn job_query(req: &Request, query: JobQuery) -> ApiRequest {
    ApiRequest::Job {
        key: bearer_key_hash(req),
        job: JobId::from(req.param::<&str>("job").unwrap_or_default()),
        query,
    }
}

async fn call_reducer(depot: &Depot, request: ApiRequest) -> Option<Reply> {
    let app = depot.get_typed::<App>().ok()?;
    app.call_reducer(request).await
}

fn render(res: &mut Response, reply: Option<Reply>) {
    match reply {
        Some(Reply::Answer(Answer::Done { status, body })) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            res.status_code(status);
            set_outcome_header(res, "done");
            // Writing to an in-memory response cannot fail.
            let _ = res.write_body(body);
        }
        Some(Reply::Accepted(id)) => render_outcome(
            res,
            StatusCode::ACCEPTED,
            &OutcomeBody {
                outcome: "accepted",
                reason: None,
                message: None,
                job: Some(&id),
            },
        ),
        Some(Reply::Job(status)) => {
            set_outcome_header(res, "done");
            res.render(Json(status));
        }
        Some(Reply::Refused(refusal) | Reply::Answer(Answer::Refused(refusal))) => {
            render_refusal(res, refusal);
        }
        _ => render_outcome(
            res,
            StatusCode::GATEWAY_TIMEOUT,
            &OutcomeBody {
                outcome: "unknown",
                reason: None,
                message: Some("ask again with the same Idempotency-Key".to_owned()),
                job: None,
            },
        ),
    }
}

fn set_outcome_header(res: &mut Response, value: &'static str) {
    let value = salvo::http::HeaderValue::from_static(value);
    res.headers_mut().insert("x-outcome", value);
}

fn render_outcome(res: &mut Response, status: StatusCode, body: &OutcomeBody<'_>) {
    let value = salvo::http::HeaderValue::from_str(body.outcome);
    if let Ok(value) = value {
        res.headers_mut().insert("x-outcome", value);
    }
    res.status_code(status);
    res.render(Json(body));
}

fn render_refusal(res: &mut Response, refusal: Refusal) {
    if let Some(wait) = refusal.retry_after {
        // `Retry-After` takes whole seconds; rounded up so that a retry is not
        // early.
        let seconds = wait.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = seconds.parse() {
            res.headers_mut().insert("retry-after", value);
        }
    }
    let body = OutcomeBody {
        outcome: "not_run",
        reason: Some(refusal.reason),
        message: Some(refusal.reason.to_string()),
        job: None,
    };
    render_outcome(res, status_of(refusal.reason), &body);
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
