//! HTTP administration interface.
//!
//! Invariant: reads and changes require the operator token, whose hashes are
//! compared in constant time. Only the health endpoints are open.

use control::{ApiRequest, Reply};
use model::{Change, ConfigError, JobId, Reason, Refusal, key};
use salvo::http::StatusCode;
use salvo::oapi::endpoint;
use salvo::prelude::*;
use serde::Serialize;

use crate::server::App;

/// Maximum size of the body of a change.
const MAX_CHANGE_BYTES: usize = 256 * 1024;

/// Response body of a change, and of a failed job query.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
enum ChangeResponse {
    InForce {
        version: u64,
        confirmed: u32,
        of: u32,
    },
    Conflict {
        conflict: ConfigError,
        message: String,
    },
    Refused {
        reason: Refusal,
        message: String,
    },
    Unknown,
    BadRequest {
        message: String,
    },
}

/// Routes of the administration interface.
pub(crate) fn router() -> Router {
    Router::with_path("admin/v1")
        .hoop(authorize)
        .push(Router::with_path("config").get(get_config))
        .push(Router::with_path("changes").post(post_change))
        .push(Router::with_path("fleet").get(get_fleet))
        .push(Router::with_path("metrics").get(get_metrics))
        .push(Router::with_path("jobs/{job}").get(get_job))
}

/// Routes of the health checks, which the platform's load balancer calls.
pub(crate) fn health_router() -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(get_health))
        .push(Router::with_path("readyz").get(get_ready))
}

#[handler]
async fn authorize(req: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let header = req.headers().get("authorization");
    let token = header.and_then(|v| v.to_str().ok()?.strip_prefix("Bearer "));
    let app = depot.get_typed::<App>().ok();
    let authorized = match (token, app) {
        (Some(token), Some(app)) => key::constant_time_eq(&key::hash(token), &app.admin_token),
        _ => false,
    };
    if !authorized {
        res.status_code(StatusCode::UNAUTHORIZED);
        ctrl.skip_rest();
    }
}

/// True while the process runs.
#[endpoint]
async fn get_health(res: &mut Response) {
    res.render(Text::Plain("ok"));
}

/// True while callers should be sent here.
#[endpoint]
async fn get_ready(depot: &mut Depot, res: &mut Response) {
    let ready = match depot.get_typed::<App>() {
        Ok(app) => app.ready().await,
        Err(_) => false,
    };
    match ready {
        true => res.render(Text::Plain("ready")),
        false => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// The configuration in force here.
#[endpoint]
async fn get_config(depot: &mut Depot, res: &mut Response) {
    match call_reducer(depot, ApiRequest::Config).await {
        Some(Reply::Config(config)) => res.render(Json(config)),
        _ => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// The fleet as seen from here.
#[endpoint]
async fn get_fleet(depot: &mut Depot, res: &mut Response) {
    match call_reducer(depot, ApiRequest::Fleet).await {
        Some(Reply::Fleet(fleet)) => res.render(Json(fleet)),
        _ => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// Why a job of any team waits, or where it went.
#[endpoint]
async fn get_job(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let job = JobId::from(req.param::<&str>("job").unwrap_or_default());
    let (status, body) = match call_reducer(depot, ApiRequest::Explain { job }).await {
        Some(Reply::Job(status)) => return res.render(Json(status)),
        Some(Reply::Refused(reason)) => {
            let code = match reason.reason {
                Reason::NoJob => StatusCode::BAD_REQUEST,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            let message = reason.reason.to_string();
            (code, ChangeResponse::Refused { reason, message })
        }
        _ => (StatusCode::GATEWAY_TIMEOUT, ChangeResponse::Unknown),
    };
    res.status_code(status);
    res.render(Json(body));
}

/// Quantiles of the waiting times measured here.
#[endpoint]
async fn get_metrics(depot: &mut Depot, res: &mut Response) {
    match depot.get_typed::<App>() {
        Ok(app) => res.render(Json(app.metrics().await)),
        Err(_) => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// Makes one change, on top of version `?expect=V` when given.
#[endpoint]
async fn post_change(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let expected_version = req.query::<u64>("expect");
    let body = req.payload_with_max_size(MAX_CHANGE_BYTES).await;
    let parsed = match body {
        Ok(bytes) => serde_json::from_slice::<Change>(bytes).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    let (status, body) = match parsed {
        Err(message) => (
            StatusCode::BAD_REQUEST,
            ChangeResponse::BadRequest { message },
        ),
        Ok(change) => change_response(
            call_reducer(
                depot,
                ApiRequest::Change {
                    change,
                    expected_version,
                },
            )
            .await,
        ),
    };
    res.status_code(status);
    res.render(Json(body));
}

fn change_response(reply: Option<Reply>) -> (StatusCode, ChangeResponse) {
    match reply {
        Some(Reply::Changed {
            version,
            confirmed,
            of,
        }) => (
            StatusCode::OK,
            ChangeResponse::InForce {
                version,
                confirmed,
                of,
            },
        ),
        Some(Reply::Conflict(conflict)) => {
            let message = conflict.to_string();
            (
                StatusCode::CONFLICT,
                ChangeResponse::Conflict { conflict, message },
            )
        }
        Some(Reply::Refused(reason)) => {
            let message = reason.reason.to_string();
            (
                StatusCode::SERVICE_UNAVAILABLE,
                ChangeResponse::Refused { reason, message },
            )
        }
        _ => (StatusCode::GATEWAY_TIMEOUT, ChangeResponse::Unknown),
    }
}

async fn call_reducer(depot: &Depot, request: ApiRequest) -> Option<Reply> {
    let app = depot.get_typed::<App>().ok()?;
    app.call_reducer(request).await
}
