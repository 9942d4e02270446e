//! Admin HTTP server of the data plane: the state dump and the metrics.

use std::sync::Arc;

use poem::web::{Data, Json};
use poem::{EndpointExt, Route, get, handler};
use poplar_kernel::{Clock, Registry};
use serde_json::Value;
use tokio::net::TcpListener;

use super::metrics::Metrics;

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) clock: Clock,
    pub(crate) registry: Arc<Registry>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Serves the admin endpoints until the process exits.
pub(crate) async fn serve(listener: TcpListener, admin: Admin) {
    let routes = Route::new().at("/state", get(state)).at("/metrics", get(metrics)).data(admin);
    if let Ok(acceptor) = poem::listener::TcpAcceptor::from_tokio(listener) {
        // An error stops only the admin server.
        let _ = poem::Server::new_with_acceptor(acceptor).run(routes).await;
    }
}

#[handler]
fn state(admin: Data<&Admin>) -> Json<Value> {
    Json(admin.registry.dump(admin.clock.now()))
}

#[handler]
fn metrics(admin: Data<&Admin>) -> String {
    admin.metrics.render()
}
