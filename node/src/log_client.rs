//! HTTP client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use poplar_core::Offset;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Maximum number of records in one read, which bounds the memory that one answer takes.
const READ_RECORDS: usize = 256;
/// Maximum size of an answer of the log, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;
/// Time after which an append counts as unconfirmed; a read may take this long beyond its wait.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client of the log at one address.
#[derive(Debug, Clone)]
pub(crate) struct LogClient {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Answer of the log to a read.
#[derive(Debug, Deserialize)]
pub(crate) struct ReadBatch {
    /// Oldest offset that the log still holds.
    pub(crate) start: Offset,
    /// Offset that the next append will get.
    pub(crate) next: Offset,
    /// Records in order of their offsets.
    pub(crate) records: Vec<LogRecord>,
}

/// One record of a stream.
#[derive(Debug, Deserialize)]
pub(crate) struct LogRecord {
    /// Position in the stream.
    pub(crate) offset: Offset,
    /// Content, which the reader of the stream decodes.
    pub(crate) body: serde_json::Value,
}

/// Answer to an append.
#[derive(Debug, Deserialize)]
pub(crate) struct Appended {
    /// Position of the appended record in the stream.
    pub(crate) offset: Offset,
}

/// Error of a request to the log; a failed append may still have taken effect.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogError {
    #[error("log did not answer in time")]
    Timeout,
    #[error("request to the log failed: {0}")]
    Connect(#[from] hyper_util::client::legacy::Error),
    #[error("log answered with status {0}")]
    Status(u16),
    #[error("log's answer cannot be read: {0}")]
    Body(String),
}

impl LogClient {
    /// Creates a client of the log at `address`, which connects on first use.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let http =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        Self { address, http }
    }

    /// Reads records of `stream` from offset `from` on.
    ///
    /// If there are none yet, the log may hold the read for up to `wait` until one is appended.
    pub(crate) async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<ReadBatch, LogError> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/streams/{stream}/records?from={from}&wait_ms={wait_ms}&limit={READ_RECORDS}");
        self.exchange(Method::GET, &path, Bytes::new(), wait + APPEND_TIMEOUT).await
    }

    /// Appends one record to `stream` and returns its offset.
    pub(crate) async fn append(&self, stream: &str, body: Bytes) -> Result<Offset, LogError> {
        let path = format!("/streams/{stream}/records");
        let appended: Appended = self.exchange(Method::POST, &path, body, APPEND_TIMEOUT).await?;
        Ok(appended.offset)
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, LogError> {
        let exchange = self.exchange_without_timeout(method, path, body);
        tokio::time::timeout(timeout, exchange).await.map_err(|_| LogError::Timeout)?
    }

    async fn exchange_without_timeout<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, LogError> {
        let uri = format!("http://{}{path}", self.address);
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|error| LogError::Body(error.to_string()))?;
        let resp = self.http.request(req).await?;
        if !resp.status().is_success() {
            return Err(LogError::Status(resp.status().as_u16()));
        }
        let body = Limited::new(resp.into_body(), ANSWER_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|error| LogError::Body(error.to_string()))?
            .to_bytes();
        serde_json::from_slice(&body).map_err(|error| LogError::Body(error.to_string()))
    }
}
