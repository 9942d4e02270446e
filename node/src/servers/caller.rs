//! HTTP/1.1 server for callers and for the local target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use poplar_core::{ErrorKind, Name, Outcome};
use poplar_wire::{format_binding, header, parse_binding};
use tokio::net::TcpStream;

use crate::closing::Closer;
use crate::entry::{CallResponse, Entry, InboundCall};
use crate::servers::body_reader::{BodyError, BodyReader};

/// Maximum size of the head of a call, in bytes.
const HEAD_LIMIT_BYTES: usize = 16 << 10;
/// Time within which the head of a call must be received.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory that the bodies of calls in flight share beyond the unshared part of each, in bytes.
pub(crate) const BODY_MEMORY_BYTES: usize = 32 << 20;
/// Maximum size of the body of a call, in bytes.
const BODY_LIMIT_BYTES: usize = 1 << 20;
/// Time within which the body of a call must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry-after time for a caller whose body found no shared memory.
const BODY_MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Serves one connection until it closes or `graceful` shuts it down.
pub(crate) fn serve_connection(
    socket: TcpStream,
    closer: &Arc<Closer>,
    graceful: &GracefulShutdown,
    entry: Arc<Entry>,
    body_reader: BodyReader,
) -> impl Future<Output = ()> + Send + use<> {
    let service = service_fn(move |req| {
        let (entry, body_reader) = (entry.clone(), body_reader.clone());
        async move { Ok::<_, std::convert::Infallible>(answer(&entry, &body_reader, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT_BYTES)
        .serve_connection(TokioIo::new(closer.client(socket)), service);
    let connection = graceful.watch(connection);
    async move {
        // An error comes from the caller: it closed the connection or did not send valid HTTP.
        let _ = connection.await;
    }
}

/// Answers a call and echoes its request id, so that the caller can match answer and request.
async fn answer(
    entry: &Entry,
    body_reader: &BodyReader,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let request = req.headers().get(header::REQUEST_ID).cloned();
    let mut resp = serve(entry, body_reader, req).await;
    if let Some(request) = request {
        resp.headers_mut().insert(header::REQUEST_ID, request);
    }
    resp
}

async fn serve(
    entry: &Entry,
    body_reader: &BodyReader,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if req.method() != Method::POST || req.uri().path() != "/call" {
        return text_response(StatusCode::NOT_FOUND, "calls go to POST /call\n");
    }
    let (head, body) = req.into_parts();
    let received = match body_reader.read(body, BODY_LIMIT_BYTES, BODY_TIMEOUT).await {
        Ok(received) => received,
        Err(error) => return body_refusal(error),
    };
    match parse_call(&head.headers, received.into_shared()) {
        Ok(call) => outcome_response(entry.serve(call).await),
        Err(name) => {
            let text = format!("header {name} is not usable\n");
            not_run(StatusCode::BAD_REQUEST, ErrorKind::BadRequest, &text)
        }
    }
}

/// Answer to a call whose body was not received, so that no target saw the call.
fn body_refusal(error: BodyError) -> Response<Full<Bytes>> {
    let text = format!("{error}\n");
    let (status, kind) = match error {
        BodyError::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, ErrorKind::BadRequest),
        BodyError::Timeout => (StatusCode::REQUEST_TIMEOUT, ErrorKind::BadRequest),
        BodyError::Incomplete => (StatusCode::BAD_REQUEST, ErrorKind::BadRequest),
        BodyError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, ErrorKind::Overload),
    };
    let mut resp = not_run(status, kind, &text);
    if kind.reply().retryable {
        set_retry_after(&mut resp, BODY_MEMORY_RETRY);
    }
    resp
}

fn not_run(status: StatusCode, kind: ErrorKind, text: &str) -> Response<Full<Bytes>> {
    let mut resp = text_response(status, text);
    set_header(&mut resp, header::OUTCOME, "not-run");
    set_header(&mut resp, header::ERROR, kind.label());
    resp
}

/// Call that the headers describe, or the name of the header that is missing or malformed.
fn parse_call(headers: &HeaderMap, body: Bytes) -> Result<InboundCall, &'static str> {
    Ok(InboundCall {
        customer: optional_header(headers, header::CUSTOMER, |text| Some(Name::new(text)))?,
        class: Name::new(required_header(headers, header::CLASS)?),
        request: optional_header(headers, header::REQUEST_ID, |text| text.parse().ok())?,
        left: optional_header(headers, header::DEADLINE, |text| text.parse().ok())?
            .map(Duration::from_millis),
        parent: optional_header(headers, header::PARENT, |text| text.parse().ok())?,
        binding: optional_header(headers, header::BINDING, parse_binding)?,
        first: optional_header(headers, header::FIRST_SEND, |text| text.parse().ok())?,
        body,
    })
}

fn required_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<&'a str, &'static str> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.filter(|text| !text.is_empty()).ok_or(name)
}

fn optional_header<T>(
    headers: &HeaderMap,
    name: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, &'static str> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| name)?;
    parse(text).map(Some).ok_or(name)
}

fn outcome_response(out: CallResponse) -> Response<Full<Bytes>> {
    let mut resp = match out.outcome {
        Outcome::Done(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut resp = Response::new(Full::new(answer.body));
            *resp.status_mut() = status;
            set_header(&mut resp, header::OUTCOME, "done");
            resp
        }
        Outcome::NotRun { kind, .. } => error_response("not-run", kind),
        Outcome::Unknown { kind } => error_response("unknown", kind),
    };
    if let Some(retry_after) = out.retry_after {
        set_retry_after(&mut resp, retry_after);
    }
    if let Some(binding) = out.binding {
        set_header(&mut resp, header::BINDING, &format_binding(&binding));
    }
    resp
}

fn error_response(outcome: &str, kind: ErrorKind) -> Response<Full<Bytes>> {
    let reply = kind.reply();
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut resp = text_response(status, &format!("{}\n", reply.text));
    set_header(&mut resp, header::OUTCOME, outcome);
    set_header(&mut resp, header::ERROR, kind.label());
    resp
}

/// Sets the retry-after time, in whole seconds in the standard header and in milliseconds in ours.
fn set_retry_after(resp: &mut Response<Full<Bytes>>, retry_after: Duration) {
    let seconds = retry_after.as_millis().div_ceil(1_000);
    set_header(resp, "retry-after", &seconds.to_string());
    set_header(resp, header::RETRY_AFTER, &retry_after.as_millis().to_string());
}

fn text_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *resp.status_mut() = status;
    resp
}

fn set_header(resp: &mut Response<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        resp.headers_mut().insert(name, value);
    }
}
