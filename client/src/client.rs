//! Sends calls to nodes over HTTP and parses their answers.

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

/// Time after the deadline for which a send still waits for the outcome that the node reports.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Pause before the next node is tried after a connection could not be made.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Client of one deployment; cheap to clone, and clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient,
    nodes: Nodes,
    origin: Instant,
}

impl Client {
    /// Creates a client that sends through `nodes`, given by their caller addresses, `ip:port`.
    pub fn new(nodes: Vec<String>) -> Self {
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(HttpConnector::new());
        Self { http, nodes: Nodes::new(nodes), origin: Instant::now() }
    }

    /// Sends a call until its outcome is known, its sends are used up or its deadline has passed.
    ///
    /// At most [`Call::max_sends`] sends are made, not counting those that only obtained a binding
    /// or whose binding came back unused. A node that cannot be connected to does not count either,
    /// since nothing was sent.
    pub async fn call(&self, call: Call) -> Outcome<Answer> {
        let mut attempts = Attempts::new(&call, self.now());
        let mut position = usize::from(call.request.tiebreak());
        let mut connect_failures = 0;
        loop {
            let Some(node) = self.nodes.pick(self.now(), position) else {
                return attempts.connect_failure();
            };
            position = position.wrapping_add(1);
            let Some(result) = self.send(&node.address, &call, &attempts).await else {
                node.avoid(self.now());
                connect_failures += 1;
                if connect_failures >= self.nodes.len() || attempts.time_left(self.now()).is_zero()
                {
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

    /// Avoids a node for a while if it reports that it accepts no calls at present.
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

    /// Makes one send; `None` if no connection could be made, so that nothing was sent.
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

/// Reason why a send got no answer.
#[derive(Debug)]
enum SendError {
    /// No connection was made; nothing was sent.
    Connect,
    /// The connection failed later; the node may have received the request.
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

/// Reads a whole answer; a body that ends early counts as a lost connection.
async fn read_response(response: Response<Incoming>) -> Result<SendResult, SendError> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| SendError::ConnectionLost)?.to_bytes();
    let binding = header_text(&parts.headers, header::BINDING).map(str::to_owned);
    let outcome = parse_outcome(&parts.headers, parts.status.as_u16(), body);
    Ok(SendResult { outcome, binding })
}

/// Outcome according to the headers; an answer without a valid outcome counts as `Unknown`.
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
