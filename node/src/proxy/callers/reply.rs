//! Responses to callers: a target's response, passed on, or an error response from this node.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use poplar_core::{ErrorKind, Outcome};

use crate::proxy::fields;
use crate::proxy::frame::TargetResponse;
use crate::proxy::memory::AnswerShare;

/// Response in the form in which the HTTP server sends it.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Converts the outcome of a request into the response to its caller.
pub(crate) fn from_outcome(outcome: Outcome<TargetResponse>) -> Reply {
    match outcome {
        Outcome::Done(response) => from_target(response),
        Outcome::NotRun { kind, retry_after } => refused(kind, retry_after),
        Outcome::Unknown { kind } => error(unknown_status(kind), kind),
    }
}

/// Error response for a request that has not run and will not run; a 429 or 503 carries
/// `Retry-After`.
pub(crate) fn refused(kind: ErrorKind, retry_after: Duration) -> Reply {
    let mut reply = error(not_run_status(kind), kind);
    if matches!(reply.status(), StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}

/// Error response with the given status and the text of `kind` as its body.
pub(crate) fn error(status: StatusCode, kind: ErrorKind) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(kind.reply().text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

/// Takes the memory share of a reply, which its body holds as well.
pub(crate) fn take_share(reply: &mut Reply) -> Option<Arc<AnswerShare>> {
    reply.extensions_mut().remove()
}

fn from_target(response: TargetResponse) -> Reply {
    let TargetResponse { status, fields, body, share } = response;
    let mut reply = match share {
        Some(share) => {
            let mut reply = Response::new(Full::new(share.clone().attach(body)));
            reply.extensions_mut().insert(share);
            reply
        }
        None => Response::new(Full::new(body)),
    };
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    fields::append(&fields, reply.headers_mut());
    reply
}

/// Status for a request that has not run. Only statuses that callers take as proof that the request
/// did not run, or that say that the request itself is invalid, are used.
fn not_run_status(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
        ErrorKind::UnknownClass => StatusCode::NOT_FOUND,
        ErrorKind::UnknownKey => StatusCode::UNAUTHORIZED,
        ErrorKind::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Status for a request that may have run.
fn unknown_status(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
