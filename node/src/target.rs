//! The local target: its announcement and lease, and the HTTP requests to it.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use poplar_core::{Moment, RequestId, TargetResult};
use poplar_kernel::Service;
use poplar_wire::{Announcement, Answer, CallMeta, header};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a target that has not renewed its lease counts as gone.
pub(crate) const LEASE_TIME: Duration = Duration::from_secs(3);

/// Stage of the target: set by its own requests, by the node's stop, or on expiry of its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Serving,
    Draining,
    Left,
}

/// Announcement of the target, with its stage and the end of its lease.
#[derive(Debug, Clone)]
struct Lease {
    announced: Announcement,
    stage: Stage,
    expires: Moment,
}

/// Service that holds the target's lease and sends requests to the target.
#[derive(Debug)]
pub(crate) struct Target {
    lease: Mutex<Option<Lease>>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Target {
    /// Creates the service; no target has announced itself yet.
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { lease: Mutex::new(None), http }
    }

    /// Sets the announcement and starts a new lease, in stage `Serving`.
    pub(crate) fn announce(&self, now: Moment, announced: Announcement) {
        let lease = Lease { announced, stage: Stage::Serving, expires: now + LEASE_TIME };
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
    }

    /// Renews the lease; returns false if there is none or the target has left.
    pub(crate) fn renew(&self, now: Moment) -> bool {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        // A target whose lease was found expired has to announce itself again, so that the members
        // learn that it is back.
        let Some(lease) = lease.as_mut().filter(|lease| lease.stage != Stage::Left) else {
            return false;
        };
        lease.expires = now + LEASE_TIME;
        true
    }

    /// Sets the stage; returns false if no target has announced itself.
    pub(crate) fn set_stage(&self, stage: Stage) -> bool {
        self.update_lease(|lease| lease.stage = stage)
    }

    /// Ends the lease of a target that was found to be gone.
    pub(crate) fn expire(&self, now: Moment) {
        self.update_lease(|lease| lease.expires = lease.expires.min(now));
    }

    /// Whether the lease of a serving target has expired.
    pub(crate) fn is_overdue(&self, now: Moment) -> bool {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.as_ref().is_some_and(|lease| lease.stage == Stage::Serving && lease.expires <= now)
    }

    /// Announcement of the target if it is serving and its lease holds at `now`.
    pub(crate) fn serving(&self, now: Moment) -> Option<Announcement> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let lease = lease.as_ref().filter(|lease| lease.stage == Stage::Serving)?;
        (lease.expires > now).then(|| lease.announced.clone())
    }

    /// Latest announcement, whatever the stage.
    pub(crate) fn announced(&self) -> Option<Announcement> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.as_ref().map(|lease| lease.announced.clone())
    }

    /// Sends one request to the target at `address` and returns the result of the run.
    ///
    /// `token` identifies the run; the target returns it with its answer and sends it with calls of
    /// its own. An answer of more than `answer_limit` bytes is discarded. The number of calls in
    /// the result is 0: the caller of this method fills it in.
    pub(crate) async fn run(
        &self,
        address: &str,
        meta: &CallMeta,
        token: RequestId,
        answer_limit: u64,
        body: Bytes,
    ) -> TargetResult<Answer> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/"))
            .header(header::REQUEST_ID, meta.request.to_string())
            .header(header::CUSTOMER, meta.customer.as_str())
            .header(header::CLASS, meta.class.as_str())
            .header(header::PARENT, token.to_string())
            .header(header::DEADLINE, meta.left.as_millis().to_string())
            .body(Full::new(body));
        let Ok(req) = req else { return TargetResult::NotConnected };
        let resp = match self.http.request(req).await {
            Ok(resp) => resp,
            Err(error) if error.is_connect() => return TargetResult::NotConnected,
            Err(_) => return TargetResult::ConnectionLost,
        };
        if !echoes_token(&resp, token) {
            return TargetResult::BadAnswer;
        }
        let shed = shed_signal(&resp);
        let status = resp.status().as_u16();
        match Limited::new(resp.into_body(), answer_limit as usize).collect().await {
            Ok(collected) => {
                let body = collected.to_bytes();
                let checksum = xxh3_64(&body);
                TargetResult::Answer { answer: Answer { status, body, checksum }, shed, calls: 0 }
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => TargetResult::TooLarge,
            Err(_) => TargetResult::BadAnswer,
        }
    }

    fn update_lease(&self, apply: impl FnOnce(&mut Lease)) -> bool {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.as_mut().map(apply).is_some()
    }
}

/// Shed signal of the target; ignored unless the status is 503.
fn shed_signal<B>(resp: &http::Response<B>) -> Option<String> {
    let value = resp.headers().get(header::SHED).filter(|_| resp.status().as_u16() == 503)?;
    value.to_str().ok().map(str::to_owned)
}

/// Whether the response carries the token of its run, as every answer of a target must.
fn echoes_token<B>(resp: &http::Response<B>, token: RequestId) -> bool {
    resp.headers().get(header::PARENT).is_some_and(|echo| echo == token.to_string().as_str())
}

impl Service for Target {
    fn name(&self) -> &'static str {
        "target"
    }

    fn dump(&self, now: Moment) -> Value {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(lease) = lease.as_ref() else { return Value::Null };
        json!({
            "announced": lease.announced,
            "stage": format!("{:?}", lease.stage),
            "lease_left_ms": lease.expires.since(now).as_millis() as u64,
        })
    }
}
