//! The target beside this node: what it announced, and the HTTP exchange with it.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use poplar_core::{ErrorKind, Moment, RequestId};
use poplar_kernel::Service;
use poplar_wire::{Announcement, Answer, CallMeta, header};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a target that did not renew counts as gone.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// Stage of the target, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Serving,
    Draining,
    Left,
}

/// What the target announced, and until when that holds.
#[derive(Debug, Clone)]
struct Lease {
    announced: Announcement,
    stage: Stage,
    expires: Moment,
}

/// How the exchange with the target ended.
#[derive(Debug)]
pub(crate) enum Ran {
    /// The target's own whole answer.
    Answer(Answer),
    /// The target shed the request by its explicit signal.
    Shed,
    /// The target saw nothing of the request.
    NotRun(ErrorKind),
    /// The target may have run the request.
    Unknown(ErrorKind),
}

/// Service that speaks to the target beside this node.
#[derive(Debug)]
pub(crate) struct Target {
    lease: Mutex<Option<Lease>>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Target {
    /// Service without a target as yet.
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { lease: Mutex::new(None), http }
    }

    /// Takes an announcement in.
    pub(crate) fn announce(&self, now: Moment, announced: Announcement) {
        let lease = Lease { announced, stage: Stage::Serving, expires: now + LEASE };
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
    }

    /// Renews the lease; says whether there was one.
    pub(crate) fn renew(&self, now: Moment) -> bool {
        self.change(|lease| lease.expires = now + LEASE)
    }

    /// Sets the stage; says whether a target had announced itself.
    pub(crate) fn set_stage(&self, stage: Stage) -> bool {
        self.change(|lease| lease.stage = stage)
    }

    /// Announcement of a target that takes work at `now`.
    pub(crate) fn serving(&self, now: Moment) -> Option<Announcement> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let lease = lease.as_ref().filter(|lease| lease.stage == Stage::Serving)?;
        (lease.expires > now).then(|| lease.announced.clone())
    }

    /// Announcement, whatever the stage.
    pub(crate) fn announced(&self) -> Option<Announcement> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.as_ref().map(|lease| lease.announced.clone())
    }

    /// Has the target run one request.
    ///
    /// `token` names the run; the target sends it back with its answer and with further calls.
    pub(crate) async fn run(
        &self,
        address: &str,
        meta: &CallMeta,
        token: RequestId,
        largest: u64,
        body: Bytes,
    ) -> Ran {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/"))
            .header(header::REQUEST, meta.request.to_string())
            .header(header::CUSTOMER, meta.customer.as_str())
            .header(header::CLASS, meta.class.as_str())
            .header(header::PARENT, token.to_string())
            .header(header::DEADLINE, meta.left.as_millis().to_string())
            .body(Full::new(body));
        let Ok(req) = req else { return Ran::NotRun(ErrorKind::BadRequest) };
        let resp = match self.http.request(req).await {
            Ok(resp) => resp,
            Err(error) if error.is_connect() => return Ran::NotRun(ErrorKind::Connection),
            Err(_) => return Ran::Unknown(ErrorKind::Connection),
        };
        if sheds(&resp) {
            return Ran::Shed;
        }
        if !echoes(&resp, token) {
            return Ran::Unknown(ErrorKind::BadAnswer);
        }
        let status = resp.status().as_u16();
        match Limited::new(resp.into_body(), largest as usize).collect().await {
            Ok(whole) => {
                let body = whole.to_bytes();
                let checksum = xxh3_64(&body);
                Ran::Answer(Answer { status, body, checksum })
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                Ran::Unknown(ErrorKind::AnswerTooLarge)
            }
            Err(_) => Ran::Unknown(ErrorKind::BadAnswer),
        }
    }

    fn change(&self, apply: impl FnOnce(&mut Lease)) -> bool {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.as_mut().map(apply).is_some()
    }
}

fn sheds<B>(resp: &http::Response<B>) -> bool {
    resp.status().as_u16() == 503
        && resp.headers().get(header::SHED).is_some_and(|signal| signal == "not-run")
}

fn echoes<B>(resp: &http::Response<B>, token: RequestId) -> bool {
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
