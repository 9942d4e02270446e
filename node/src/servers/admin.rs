//! Admin server: the target's announcements, the state dump and the metrics.

use std::sync::Arc;
use std::time::Duration;

use poem::http::StatusCode;
use poem::http::header::CONTENT_LENGTH;
use poem::web::{Data, Json, Path};
use poem::{Body, EndpointExt, IntoResponse, Request, Route, get, handler, post};
use poplar_core::Name;
use poplar_kernel::{Clock, Registry};
use poplar_wire::MemberState;
use serde_json::{Value, json};

use crate::announcer::Announcer;
use crate::contracts::Contracts;
use crate::metrics::Metrics;
use crate::target::Stage;

/// Maximum size of an announcement, in bytes.
const BODY_LIMIT_BYTES: usize = 16 << 10;
/// Time within which the body of an announcement must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a connection without traffic is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// State that the handlers share.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) clock: Clock,
    pub(crate) registry: Arc<Registry>,
    pub(crate) announcer: Arc<Announcer>,
    pub(crate) contracts: Arc<Contracts>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) customer: Name,
}

/// Routes of the admin server.
pub(crate) fn routes(admin: Admin) -> impl poem::Endpoint {
    Route::new()
        .at("/state", get(state))
        .at("/metrics", get(metrics))
        .at("/contracts/:customer/publications/:id", get(publish_status))
        .at("/target/announce", post(announce))
        .at("/target/renew", post(renew))
        .at("/target/drain", post(drain))
        .at("/target/leave", post(leave))
        .data(admin)
}

#[handler]
fn state(admin: Data<&Admin>) -> Json<Value> {
    Json(admin.registry.dump(admin.clock.now()))
}

#[handler]
fn metrics(admin: Data<&Admin>) -> String {
    admin.metrics.text(&admin.customer)
}

/// Reports the status of one publication; an operator's tool reports "accepted" only on this basis.
#[handler]
fn publish_status(admin: Data<&Admin>, path: Path<(String, String)>) -> poem::Response {
    let Path((customer, id)) = path;
    let Ok(id) = id.parse() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    Json(admin.contracts.publish_status(&Name::new(&customer), id)).into_response()
}

#[handler]
async fn announce(admin: Data<&Admin>, req: &Request, body: Body) -> poem::Response {
    let length = req.header(CONTENT_LENGTH).and_then(|text| text.parse().ok());
    if length.is_none_or(|length: usize| length > BODY_LIMIT_BYTES) {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let read = tokio::time::timeout(BODY_TIMEOUT, body.into_bytes_limit(BODY_LIMIT_BYTES));
    let Ok(read) = read.await else {
        return StatusCode::REQUEST_TIMEOUT.into_response();
    };
    match read.ok().and_then(|body| serde_json::from_slice(&body).ok()) {
        Some(announcement) => {
            admin.announcer.announce(announcement);
            let lease_ms = crate::target::LEASE_TIME.as_millis() as u64;
            Json(json!({ "lease_ms": lease_ms })).into_response()
        }
        None => StatusCode::BAD_REQUEST.into_response(),
    }
}

#[handler]
fn renew(admin: Data<&Admin>) -> poem::Response {
    target_response(admin.announcer.renew())
}

#[handler]
fn drain(admin: Data<&Admin>) -> poem::Response {
    target_response(admin.announcer.change_stage(Stage::Draining, MemberState::Draining))
}

/// Publishes the member as draining, not as left: this node still answers for its bindings until
/// it hands them over.
#[handler]
fn leave(admin: Data<&Admin>) -> poem::Response {
    target_response(admin.announcer.change_stage(Stage::Left, MemberState::Draining))
}

/// Response to a target's request: an error if the target has to announce itself first.
fn target_response(known: bool) -> poem::Response {
    if known {
        return Json(json!({})).into_response();
    }
    let body = Json(json!({ "error": "announce first" }));
    body.with_status(StatusCode::CONFLICT).into_response()
}
