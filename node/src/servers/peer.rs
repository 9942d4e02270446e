//! HTTP/2 server for other nodes, with MessagePack messages as rmp-serde encodes them.

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
use poplar_core::{InstanceId, Name, SuspectReport};
use poplar_wire::{
    CallRequest, CodecError, HANDOVER_LIMIT_BYTES, MESSAGE_LIMIT_BYTES, MemberRecord,
    RunStatusReply, TargetBindingRequest, decode, encode,
};
use tokio::net::TcpStream;

use crate::closing::Closer;
use crate::contracts::Contracts;
use crate::directory::Directory;
use crate::executor::Executor;
use crate::handover::SUCCEED_PATH;
use crate::log_sync::{CONTRACTS_PATH, MEMBERS_PATH};
use crate::members::{FIND_MEMBER_PATH, MEMBER_PATH, Members, SAMPLE_PATH};
use crate::request_owner::{BINDING_PATH, CLOSE_PATH, OPEN_PATH, RequestOwner};
use crate::router::{BIND_PATH, CALL_PATH, RUN_STATUS_PATH};
use crate::suspects::{SUSPECTS_PATH, Suspects};

/// Maximum number of concurrent messages on one connection.
const STREAMS_MAX: u32 = 4_096;
/// Flow-control window of a connection, and of each of its streams, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;
/// Interval between pings of a connection, so that a dead peer's connection is dropped.
const PING_INTERVAL: Duration = Duration::from_secs(30);

/// Services that handle messages from other nodes.
pub(crate) struct PeerServices {
    pub(crate) executor: Arc<Executor>,
    pub(crate) contracts: Arc<Contracts>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) members: Arc<Members>,
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) request_owner: Arc<RequestOwner>,
}

/// Why a message is not answered.
#[derive(Debug, thiserror::Error)]
enum MessageError {
    /// The path is that of no message.
    #[error("unknown message path")]
    UnknownPath,
    /// The message could not be decoded, or its answer could not be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Serves one connection until it closes or `graceful` shuts it down.
pub(crate) fn serve_connection(
    socket: TcpStream,
    closer: &Arc<Closer>,
    graceful: &GracefulShutdown,
    services: Arc<PeerServices>,
) -> impl Future<Output = ()> + Send + use<> {
    let service = service_fn(move |req| {
        let services = services.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(&services, req).await) }
    });
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_MAX)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .serve_connection(TokioIo::new(closer.peer(socket)), service);
    let connection = graceful.watch(connection);
    async move {
        // An error comes from the peer: it closed the connection or did not send valid HTTP/2.
        let _ = connection.await;
    }
}

async fn answer(services: &PeerServices, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    let limit = if path == SUCCEED_PATH { HANDOVER_LIMIT_BYTES } else { MESSAGE_LIMIT_BYTES };
    let Ok(body) = Limited::new(req.into_body(), limit).collect().await else {
        return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let body = body.to_bytes();
    response(dispatch(services, &path, &body).await)
}

/// Handles one message, whose path names its kind, and returns the encoded answer.
async fn dispatch(services: &PeerServices, path: &str, body: &[u8]) -> Result<Bytes, MessageError> {
    let PeerServices { executor, contracts, directory, members, suspects, request_owner } =
        services;
    let answer = match path {
        CALL_PATH => {
            let call: CallRequest = decode(body)?;
            contracts.on_revision_hint(
                &call.meta.customer,
                call.meta.revision,
                &call.sender.address,
            );
            encode(&executor.serve(call).await)
        }
        RUN_STATUS_PATH => {
            encode(&RunStatusReply { fate: executor.query_status(decode(body)?).await })
        }
        BIND_PATH => {
            decode::<TargetBindingRequest>(body)?;
            encode(&executor.offer_binding())
        }
        SUCCEED_PATH => encode(&executor.accept_handover(decode(body)?)),
        CONTRACTS_PATH => encode(&contracts.state()),
        MEMBERS_PATH => {
            let records: Vec<MemberRecord> = decode(body)?;
            records.into_iter().for_each(|member| directory.apply_record(member));
            encode(&directory.all_records())
        }
        MEMBER_PATH => {
            members.receive(decode(body)?);
            encode(&())
        }
        FIND_MEMBER_PATH => {
            let (service, instance): (Name, InstanceId) = decode(body)?;
            encode(&directory.member(&service, &instance))
        }
        SAMPLE_PATH => encode(&members.sample(&decode(body)?)),
        SUSPECTS_PATH => {
            suspects.merge(&decode::<Vec<SuspectReport>>(body)?);
            encode(&())
        }
        OPEN_PATH => encode(&request_owner.serve_open(decode(body)?).await),
        CLOSE_PATH => {
            request_owner.serve_close(decode(body)?).await;
            encode(&())
        }
        BINDING_PATH => encode(&request_owner.serve_binding(decode(body)?).await),
        _ => return Err(MessageError::UnknownPath),
    };
    Ok(answer?)
}

fn response(answer: Result<Bytes, MessageError>) -> Response<Full<Bytes>> {
    match answer {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(MessageError::UnknownPath) => empty_response(StatusCode::NOT_FOUND),
        Err(MessageError::Codec(_)) => empty_response(StatusCode::BAD_REQUEST),
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(Bytes::new()));
    *resp.status_mut() = status;
    resp
}
