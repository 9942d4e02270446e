//! Admin end: the target's announcements, the state dump and the metrics.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Route, get, handler, post};
use poplar_core::Name;
use poplar_kernel::{Clock, Registry};
use poplar_wire::{Announcement, MemberState};
use serde_json::{Value, json};

use crate::announce::Announcer;
use crate::contracts::Contracts;
use crate::metrics::Metrics;
use crate::target::Stage;

/// What the handlers need.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) clock: Clock,
    pub(crate) registry: Arc<Registry>,
    pub(crate) announcer: Arc<Announcer>,
    pub(crate) contracts: Arc<Contracts>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) customer: Name,
}

/// Routes of the admin end.
pub(crate) fn routes(admin: Admin) -> impl poem::Endpoint {
    Route::new()
        .at("/state", get(state))
        .at("/metrics", get(metrics))
        .at("/contracts/:customer/publications/:id", get(word))
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

/// This node's word on one act of publishing; an operator is told "accepted" only with it.
#[handler]
fn word(admin: Data<&Admin>, path: Path<(String, String)>) -> poem::Response {
    let Path((customer, id)) = path;
    let Ok(id) = id.parse() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    Json(admin.contracts.word(&Name::new(&customer), id)).into_response()
}

#[handler]
fn announce(admin: Data<&Admin>, announcement: Json<Announcement>) -> Json<Value> {
    admin.announcer.announce(announcement.0);
    let lease_ms = crate::target::LEASE.as_millis() as u64;
    Json(json!({ "lease_ms": lease_ms }))
}

#[handler]
fn renew(admin: Data<&Admin>) -> poem::Response {
    known(admin.announcer.renew())
}

#[handler]
fn drain(admin: Data<&Admin>) -> poem::Response {
    known(admin.announcer.change(Stage::Draining, MemberState::Draining))
}

#[handler]
fn leave(admin: Data<&Admin>) -> poem::Response {
    known(admin.announcer.change(Stage::Left, MemberState::Left))
}

/// A target that this node does not know is told to announce itself first.
fn known(known: bool) -> poem::Response {
    if known {
        return Json(json!({})).into_response();
    }
    let body = Json(json!({ "error": "announce first" }));
    body.with_status(StatusCode::CONFLICT).into_response()
}
