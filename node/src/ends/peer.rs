//! HTTP/2 end for other nodes, with rmp-serde messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use poplar_wire::{CodecError, MESSAGE_LIMIT_BYTES};
use tokio::net::TcpStream;

use crate::route::CALL_PATH;
use crate::work::Work;

/// Calls that one connection may carry at once.
const STREAMS: u32 = 4_096;
/// Flow-control window of one connection, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;
/// Pause between pings of an idle connection, so that a dead peer's connection is dropped.
const PING_EVERY: Duration = Duration::from_secs(30);

/// Serves one connection.
pub(crate) fn connection(
    socket: TcpStream,
    graceful: &GracefulShutdown,
    work: Arc<Work>,
) -> impl Future<Output = ()> + Send + use<> {
    let service = service_fn(move |req| {
        let work = work.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(&work, req).await) }
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .keep_alive_interval(PING_EVERY)
        .serve_connection(TokioIo::new(socket), service);
    let watched = graceful.watch(connection);
    async move {
        // An error here is the peer's: it left, or it sent no HTTP/2.
        let _ = watched.await;
    }
}

async fn answer(work: &Arc<Work>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    let Ok(body) = Limited::new(req.into_body(), MESSAGE_LIMIT_BYTES).collect().await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let body = body.to_bytes();
    let answer = match path.as_str() {
        CALL_PATH => match poplar_wire::decode(&body) {
            Ok(call) => poplar_wire::encode(&work.serve(call).await),
            Err(error) => Err(error),
        },
        _ => return status(StatusCode::NOT_FOUND),
    };
    encoded(answer)
}

fn encoded(answer: Result<Bytes, CodecError>) -> Response<Full<Bytes>> {
    match answer {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(Bytes::new()));
    *resp.status_mut() = status;
    resp
}
