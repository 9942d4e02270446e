//! HTTP client for the log and the nodes.

use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::CtlError;

/// Largest answer that is accepted, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;
/// Time within which the whole answer must arrive, beyond any time that a read of the log waits.
const TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client that one command uses for all its requests.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new() -> Self {
        let inner =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http();
        Self { inner }
    }

    /// Reads a JSON document; `wait` is the time that the server may delay its answer.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        wait: Duration,
    ) -> Result<T, CtlError> {
        self.exchange(Method::GET, address, path, Bytes::new(), TIMEOUT + wait).await
    }

    /// Posts a JSON document and reads the one in the answer.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        self.exchange(Method::POST, address, path, body, TIMEOUT).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, CtlError> {
        let unreachable =
            |reason: String| CtlError::Unreachable { address: address.into(), reason };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|error| unreachable(error.to_string()))?;
        let bytes = tokio::time::timeout(timeout, self.read_body(request))
            .await
            .map_err(|_| unreachable(format!("no answer within {timeout:?}")))?
            .map_err(unreachable)?;
        serde_json::from_slice(&bytes).map_err(|error| CtlError::UnexpectedAnswer {
            address: address.into(),
            reason: error.to_string(),
        })
    }

    /// Returns the body of a successful answer, or a description of the failure.
    async fn read_body(&self, request: Request<Full<Bytes>>) -> Result<Bytes, String> {
        let response =
            self.inner.request(request).await.map_err(|error| format_error_chain(&error))?;
        let status = response.status();
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await;
        Ok(body.map_err(|error| error.to_string())?.to_bytes())
    }
}

/// Formats an error with its causes; the outer error of the HTTP client names no cause.
fn format_error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
