//! HTTP client and server that the stand-ins share.

use std::future::Future;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Failure of an HTTP exchange.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The exchange failed before an answer arrived.
    #[error("no answer: {0}")]
    Exchange(#[from] hyper_util::client::legacy::Error),
    /// The body ended early.
    #[error("the body ended early: {0}")]
    Body(#[from] hyper::Error),
    /// The request could not be built.
    #[error("bad request: {0}")]
    Build(#[from] http::Error),
    /// The body is not the JSON that was expected.
    #[error("unexpected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The answer's status is not a success.
    #[error("status {0}")]
    Status(u16),
}

/// Answer of an HTTP exchange.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// Decodes the body of a successful answer as JSON.
    ///
    /// # Errors
    ///
    /// `Status` if the status is not in 200 to 299, `Json` if the body is not of type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        if !(200..300).contains(&self.status) {
            return Err(HttpError::Status(self.status));
        }
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// HTTP client with pooled connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(HttpConnector::new());
        Self { inner }
    }
}

impl HttpClient {
    /// Sends `request` and reads the whole answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, HttpError> {
        let response = self.inner.request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply { status: parts.status.as_u16(), headers: parts.headers, body })
    }

    /// Sends a GET request for `path` to `address`, `ip:port`.
    pub async fn get(&self, address: &str, path: &str) -> Result<Reply, HttpError> {
        self.send(Request::get(format!("http://{address}{path}")).body(Full::default())?).await
    }

    /// Posts `value` as JSON to `path` at `address`, `ip:port`.
    pub async fn post<T: Serialize>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> Result<Reply, HttpError> {
        let body = Full::from(serde_json::to_vec(value)?);
        let request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        self.send(request.body(body)?).await
    }
}

/// Error with which a handler closes the connection without an answer.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("closed without an answer")]
pub(crate) struct CloseConnection;

/// Result of a handler: a response, or closing the connection.
pub(crate) type HandlerResult = Result<Response<Full<Bytes>>, CloseConnection>;

/// Request with its whole body.
pub(crate) struct IncomingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl IncomingRequest {
    /// Value of a header, if it is present and visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Value of a key in the query string, if it is a number.
    pub(crate) fn query_number(&self, key: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(name, _)| *name == key).find_map(|(_, value)| value.parse().ok())
    }
}

/// Serves connections until `stop` turns true, then finishes those in flight.
pub(crate) async fn serve<H, F>(listener: TcpListener, handler: H, mut stop: watch::Receiver<bool>)
where
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let graceful = hyper_util::server::graceful::GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| read_and_handle(handler.clone(), request));
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn read_and_handle<H, F>(handler: H, request: Request<Incoming>) -> HandlerResult
where
    H: Fn(IncomingRequest) -> F,
    F: Future<Output = HandlerResult>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| CloseConnection)?.to_bytes();
    let request = IncomingRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    handler(request).await
}

/// Response with a JSON body.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let body = serde_json::to_vec(value).map_err(|_| CloseConnection)?;
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

/// Response with a plain-text body.
pub(crate) fn text_response(status: StatusCode, text: &str) -> HandlerResult {
    let mut response = Response::new(Full::from(text.to_owned()));
    *response.status_mut() = status;
    Ok(response)
}

/// Resolves at the first SIGTERM or interrupt from the terminal.
pub async fn stop_signal() -> Result<(), std::io::Error> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        interrupt = tokio::signal::ctrl_c() => interrupt,
    }
}
