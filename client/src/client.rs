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

use crate::attempts::{Attempts, Received, Step};
use crate::call::{Answer, Call};
use crate::nodes::{Node, Nodes};

type Http = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// Time beyond its deadline for which a send waits for the node's own last word.
const GRACE: Duration = Duration::from_millis(500);
/// Pause before the next node is tried when one refuses the connection.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Time for which an idle connection is kept.
const IDLE: Duration = Duration::from_secs(20);

/// Caller of one deployment; cheap to clone, and clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: Http,
    nodes: Nodes,
    origin: Instant,
}

impl Client {
    /// Caller through the nodes with these caller addresses, `ip:port`.
    pub fn new(nodes: Vec<String>) -> Self {
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(HttpConnector::new());
        Self { http, nodes: Nodes::new(nodes), origin: Instant::now() }
    }

    /// Sends a call until its outcome is known, its sends are spent or its deadline has passed.
    ///
    /// Requests stay within [`Call::sends`]; a node that cannot be connected to costs none, since
    /// nothing was sent.
    pub async fn call(&self, call: Call) -> Outcome<Answer> {
        let mut attempts = Attempts::new(&call, self.now());
        let mut turn = usize::from(call.request.tiebreak());
        let mut refused = 0;
        loop {
            let Some(node) = self.nodes.pick(self.now(), turn) else {
                return attempts.give_up();
            };
            turn = turn.wrapping_add(1);
            let Some(received) = self.send(&node.address, &call, &attempts).await else {
                node.avoid(self.now());
                refused += 1;
                if refused >= self.nodes.len() || attempts.time_left(self.now()).is_zero() {
                    return attempts.give_up();
                }
                tokio::time::sleep(CONNECT_PAUSE).await;
                continue;
            };
            self.note(node, &received);
            match attempts.receive(self.now(), received) {
                Step::Finish(outcome) => return outcome,
                Step::Send(after) => tokio::time::sleep(after).await,
            }
        }
    }

    /// Passes over a node that takes no calls at present.
    fn note(&self, node: &Node, received: &Received) {
        if let Outcome::NotRun { kind: ErrorKind::Draining | ErrorKind::NoContract, .. } =
            received.outcome
        {
            node.avoid(self.now());
        }
    }

    fn now(&self) -> Moment {
        Moment::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// One send; `None` if no connection could be made, so that nothing was sent.
    async fn send(&self, node: &str, call: &Call, attempts: &Attempts) -> Option<Received> {
        let left = attempts.time_left(self.now());
        let Some(request) = request(node, call, attempts, left) else {
            let retry_after = Duration::ZERO;
            let outcome = Outcome::NotRun { kind: ErrorKind::BadRequest, retry_after };
            return Some(Received { outcome, binding: None });
        };
        match tokio::time::timeout(left + GRACE, self.exchange(request)).await {
            Err(_) => Some(unknown(ErrorKind::Deadline)),
            Ok(Ok(received)) => Some(received),
            Ok(Err(SendError::Connect)) => None,
            Ok(Err(SendError::Broken)) => Some(unknown(ErrorKind::Connection)),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Received, SendError> {
        let expected = request.headers().get(header::REQUEST).cloned();
        let response = self.http.request(request).await.map_err(SendError::from)?;
        let own = response.headers().get(header::REQUEST) == expected.as_ref();
        let received = read(response).await?;
        Ok(if own { received } else { unknown(ErrorKind::BadAnswer) })
    }
}

/// Why a send brought no answer.
#[derive(Debug)]
enum SendError {
    /// No connection was made; nothing was sent.
    Connect,
    /// The connection failed later; the node may have the request.
    Broken,
}

impl From<hyper_util::client::legacy::Error> for SendError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        if error.is_connect() { Self::Connect } else { Self::Broken }
    }
}

fn request(
    node: &str,
    call: &Call,
    attempts: &Attempts,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::post(format!("http://{node}/call"))
        .header(header::CUSTOMER, call.customer.as_str())
        .header(header::CLASS, call.class.as_str())
        .header(header::REQUEST, call.request.to_string())
        .header(header::DEADLINE, left.as_millis().to_string())
        .header(header::FIRST, if attempts.is_first() { "true" } else { "false" });
    if let Some(binding) = attempts.binding() {
        builder = builder.header(header::BINDING, binding);
    }
    builder.body(Full::new(call.body.clone())).ok()
}

/// Reads a whole answer; a body that ends early is an error of the connection.
async fn read(response: Response<Incoming>) -> Result<Received, SendError> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| SendError::Broken)?.to_bytes();
    let binding = text(&parts.headers, header::BINDING).map(str::to_owned);
    let outcome = outcome(&parts.headers, parts.status.as_u16(), body);
    Ok(Received { outcome, binding })
}

/// Outcome that the headers tell; an answer without a known outcome counts as unknown.
fn outcome(headers: &HeaderMap, status: u16, body: Bytes) -> Outcome<Answer> {
    let label = text(headers, header::ERROR).unwrap_or_default();
    let kind = ErrorKind::ALL.into_iter().find(|kind| kind.label() == label);
    match (text(headers, header::OUTCOME), kind) {
        (Some("done"), _) => Outcome::Done(Answer { status, body }),
        (Some("not-run"), Some(kind)) => {
            let millis = text(headers, header::RETRY_AFTER).and_then(|text| text.parse().ok());
            Outcome::NotRun { kind, retry_after: Duration::from_millis(millis.unwrap_or(0)) }
        }
        (_, kind) => Outcome::Unknown { kind: kind.unwrap_or(ErrorKind::BadAnswer) },
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn unknown(kind: ErrorKind) -> Received {
    Received { outcome: Outcome::Unknown { kind }, binding: None }
}
