//! Carries a call to a node and back over HTTP.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use poplar_core::{ErrorKind, Moment, Outcome};
use poplar_wire::header;

use crate::attempts::{Attempts, NextStep, SendResult};
use crate::call::{Answer, Call};
use crate::nodes::{Node, Nodes};

type HttpClient = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// Time beyond its deadline for which a send waits for the node's own last word.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Pause before the next node is tried when one refuses the connection.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Caller of one deployment; cheap to clone, and clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient,
    nodes: Nodes,
    origin: Instant,
}

impl Client {
    /// Caller through the nodes with these caller addresses, `ip:port`.
    pub fn new(nodes: Vec<String>) -> Self {
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(HttpConnector::new());
        Self { http, nodes: Nodes::new(nodes), origin: Instant::now() }
    }

    /// Sends a call until its outcome is known, its sends are spent or its deadline has passed.
    ///
    /// Requests stay within [`Call::sends`]; a node that cannot be connected to costs none, since
    /// nothing was sent.
    pub async fn call(&self, call: Call) -> Outcome<Answer> {
        let mut attempts = Attempts::new(&call, self.now());
        let mut position = usize::from(call.request.tiebreak());
        let mut refused = 0;
        loop {
            let Some(node) = self.nodes.pick(self.now(), position) else {
                return attempts.connect_failure();
            };
            position = position.wrapping_add(1);
            let Some(result) = self.send(&node.address, &call, &attempts).await else {
                node.avoid(self.now());
                refused += 1;
                if refused >= self.nodes.len() || attempts.time_left(self.now()).is_zero() {
                    return attempts.connect_failure();
                }
                tokio::time::sleep(CONNECT_PAUSE).await;
                continue;
            };
            self.avoid_if_unavailable(node, &result);
            match attempts.on_send_result(self.now(), result) {
                NextStep::Finish(outcome) => return outcome,
                NextStep::Send(after) => tokio::time::sleep(after).await,
            }
        }
    }

    /// Passes over a node that takes no calls at present.
    fn avoid_if_unavailable(&self, node: &Node, result: &SendResult) {
        if let Outcome::NotRun { kind: ErrorKind::Draining | ErrorKind::NoContract, .. } =
            result.outcome
        {
            node.avoid(self.now());
        }
    }

    fn now(&self) -> Moment {
        Moment::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// One send; `None` if no connection could be made, so that nothing was sent.
    async fn send(&self, node: &str, call: &Call, attempts: &Attempts) -> Option<SendResult> {
        let left = attempts.time_left(self.now());
        let Some(request) = build_request(node, call, attempts, left) else {
            let retry_after = Duration::ZERO;
            let outcome = Outcome::NotRun { kind: ErrorKind::BadRequest, retry_after };
            return Some(SendResult { outcome, binding: None });
        };
        match tokio::time::timeout(left + ANSWER_GRACE, self.exchange(request)).await {
            Err(_) => Some(unknown_outcome(ErrorKind::Deadline)),
            Ok(Ok(result)) => Some(result),
            Ok(Err(SendError::Connect)) => None,
            Ok(Err(SendError::ConnectionLost)) => Some(unknown_outcome(ErrorKind::Connection)),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<SendResult, SendError> {
        let expected = request.headers().get(header::REQUEST_ID).cloned();
        let response = self.http.request(request).await.map_err(SendError::from)?;
        let matches_request = response.headers().get(header::REQUEST_ID) == expected.as_ref();
        let result = read_response(response).await?;
        Ok(if matches_request { result } else { unknown_outcome(ErrorKind::BadAnswer) })
    }
}

/// Why a send brought no answer.
#[derive(Debug)]
enum SendError {
    /// No connection was made; nothing was sent.
    Connect,
    /// The connection failed later; the node may have the request.
    ConnectionLost,
}

impl From<hyper_util::client::legacy::Error> for SendError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        if error.is_connect() { Self::Connect } else { Self::ConnectionLost }
    }
}

fn build_request(
    node: &str,
    call: &Call,
    attempts: &Attempts,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::post(format!("http://{node}/call"))
        .header(header::CUSTOMER, call.customer.as_str())
        .header(header::CLASS, call.class.as_str())
        .header(header::REQUEST_ID, call.request.to_string())
        .header(header::DEADLINE, left.as_millis().to_string())
        .header(header::FIRST_SEND, if attempts.is_first_send() { "true" } else { "false" });
    if let Some(binding) = attempts.binding() {
        builder = builder.header(header::BINDING, binding);
    }
    builder.body(Full::new(call.body.clone())).ok()
}

/// Reads a whole answer; a body that ends early is an error of the connection.
async fn read_response(response: Response<Incoming>) -> Result<SendResult, SendError> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| SendError::ConnectionLost)?.to_bytes();
    let binding = header_text(&parts.headers, header::BINDING).map(str::to_owned);
    let outcome = parse_outcome(&parts.headers, parts.status.as_u16(), body);
    Ok(SendResult { outcome, binding })
}

/// Outcome that the headers tell; an answer without a known outcome counts as unknown.
fn parse_outcome(headers: &HeaderMap, status: u16, body: Bytes) -> Outcome<Answer> {
    let label = header_text(headers, header::ERROR).unwrap_or_default();
    let kind = ErrorKind::ALL.into_iter().find(|kind| kind.label() == label);
    match (header_text(headers, header::OUTCOME), kind) {
        (Some("done"), _) => Outcome::Done(Answer { status, body }),
        (Some("not-run"), Some(kind)) => {
            let millis =
                header_text(headers, header::RETRY_AFTER).and_then(|text| text.parse().ok());
            Outcome::NotRun { kind, retry_after: Duration::from_millis(millis.unwrap_or(0)) }
        }
        (_, kind) => Outcome::Unknown { kind: kind.unwrap_or(ErrorKind::BadAnswer) },
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn unknown_outcome(kind: ErrorKind) -> SendResult {
    SendResult { outcome: Outcome::Unknown { kind }, binding: None }
}
