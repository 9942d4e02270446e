//! Answers to callers: a target's answer as it came, or one of the node's own.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use poplar_core::{ErrorKind, Outcome};

use crate::proxy::fields;
use crate::proxy::frame::TargetResponse;

/// Response as the HTTP server sends it.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Response for the outcome of a call.
pub(crate) fn from_outcome(outcome: Outcome<TargetResponse>) -> Reply {
    match outcome {
        Outcome::Done(whole) => from_target(whole),
        Outcome::NotRun { kind, retry_after } => refused(kind, retry_after),
        Outcome::Unknown { kind } => error(unknown_status(kind), kind),
    }
}

/// Response of the node's own for a request that has not run and never will.
pub(crate) fn refused(kind: ErrorKind, retry_after: Duration) -> Reply {
    let mut reply = error(not_run_status(kind), kind);
    if reply.status() == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}

/// Response of the node's own with a status that the caller chose.
pub(crate) fn error(status: StatusCode, kind: ErrorKind) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(kind.reply().text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

fn from_target(whole: TargetResponse) -> Reply {
    let mut reply = Response::new(Full::new(whole.body));
    *reply.status_mut() = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    fields::append(&whole.fields, reply.headers_mut());
    reply
}

/// Status of a request that has not run: only those that callers take as that promise, or that
/// tell them that the request itself is at fault.
fn not_run_status(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
        ErrorKind::UnknownClass => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Status of a request that may have run.
fn unknown_status(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
