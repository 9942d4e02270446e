//! HTTP/1.1 client for the target beside this node, with a pool of idle connections.
//!
//! A connection serves one request at a time. It is reused only after an answer that was complete,
//! delimited by its length or by chunked encoding, and carried the identifier of the request that
//! it answers. In any other case it is closed, so that a late or extra answer is never taken for
//! the answer to another request.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use poplar_core::{InstanceId, Moment, Name, SHED_NOT_RUN, TargetResult, is_final_status};
use poplar_kernel::Clock;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::proxy::fields;
use crate::proxy::frame::{Call, TargetResponse};
use crate::proxy::memory::AnswerShare;
use crate::proxy::ports::HeaderNames;
use crate::proxy::statement::{Health, TargetStatement};
use crate::proxy::target::limited_stream::{LimitedStream, ReadBudget};
use crate::servers::body_reader::{BodyError, BodyReader};

/// Timeout for connecting to the target, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not reused, if the target sends no idle timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);
/// Divisor of the target's idle timeout that gives the idle time up to which a connection is
/// reused. The target may start counting earlier than this node does.
const IDLE_DIVISOR: u32 = 2;
/// Bytes that a target may send until the head of its answer is complete, including interim (1xx)
/// responses.
const HEAD_LIMIT_BYTES: usize = 128 << 10;
/// Largest read buffer of a connection, in bytes; a larger response head fails the exchange.
const BUFFER_BYTES: usize = 64 << 10;
/// Timeout for the answer to a health check; a slow target answers it as slowly as any request.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(5);
/// Divisor of the memory of the process that gives the memory for answers being read.
const ANSWERS_MEMORY_DIVISOR: u64 = 4;
/// Divisor of that memory that gives the largest size of one answer, so that one endless answer
/// does not block the others.
const ANSWER_DIVISOR: usize = 4;

/// Connection to the target, closed on drop.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    read_budget: ReadBudget,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connection in the idle pool.
struct IdleConnection {
    connection: Connection,
    expires: Moment,
}

/// HTTP client for one target.
pub(crate) struct TargetClient {
    clock: Clock,
    header_names: Arc<HeaderNames>,
    address: Name,
    /// Reader of answer bodies, limited to the memory for answers.
    body_reader: BodyReader,
    /// Largest answer, in bytes.
    reply_limit: usize,
    idle: Mutex<Vec<IdleConnection>>,
}

impl TargetClient {
    /// Client for the target at `address`, in a process that may use `memory` bytes.
    pub(crate) fn new(
        clock: Clock,
        header_names: Arc<HeaderNames>,
        address: Name,
        memory: u64,
    ) -> Self {
        let memory = usize::try_from(memory / ANSWERS_MEMORY_DIVISOR).unwrap_or(usize::MAX);
        let (body_reader, reply_limit) = (BodyReader::new(memory), memory / ANSWER_DIVISOR);
        Self { clock, header_names, address, body_reader, reply_limit, idle: Mutex::default() }
    }

    /// Sends the request of `call` to the target for `instance` to run, and reads the answer;
    /// `left` is the time until the deadline.
    ///
    /// A reused connection that turns out to be closed before any of the request was written is
    /// replaced by another one.
    pub(crate) async fn run(
        &self,
        call: &Call,
        instance: &InstanceId,
        left: Duration,
    ) -> TargetResult<TargetResponse> {
        let Some(mut req) = self.build_request(call, instance, left) else {
            return TargetResult::NotConnected;
        };
        loop {
            let idle = self.take_idle(self.clock.now());
            let reused = idle.is_some();
            let connection = match idle {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(_) => return TargetResult::NotConnected,
                },
            };
            match self.send(connection, req, &call.request, left).await {
                Err(Unsent(returned)) if reused => req = *returned,
                Err(Unsent(_)) => return TargetResult::NotConnected,
                Ok(end) => return end,
            }
        }
    }

    /// Asks the target at `path`, its health check, whether it is leaving.
    ///
    /// The check uses a connection of its own, as its answer need not carry an identifier by which
    /// a kept connection could be trusted.
    pub(crate) async fn check_health(&self, path: &Name) -> Health {
        match tokio::time::timeout(HEALTH_TIMEOUT, self.request_health(path)).await {
            Ok(Some(resp)) => Health::of(&resp, &self.header_names),
            Ok(None) | Err(_) => Health::Unknown,
        }
    }

    /// Head of the answer to a health check; none if there is none.
    async fn request_health(&self, path: &Name) -> Option<Response<()>> {
        let mut req = Request::new(Full::default());
        *req.uri_mut() = path.as_str().parse().ok()?;
        let host = HeaderValue::from_str(self.address.as_str()).ok()?;
        req.headers_mut().insert(header::HOST, host);
        req.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        let mut connection = self.connect().await.ok()?;
        connection.read_budget.set(HEAD_LIMIT_BYTES);
        let resp = connection.sender.send_request(req).await.ok()?;
        Some(resp.map(|_| ()))
    }

    /// What the target states about itself in `answer`; none if another instance answered.
    pub(crate) fn statement(&self, answer: &TargetResponse) -> Option<TargetStatement> {
        TargetStatement::of(answer, &self.header_names)
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    async fn send(
        &self,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
        id: &[u8],
        left: Duration,
    ) -> Result<TargetResult<TargetResponse>, Unsent> {
        connection.read_budget.set(HEAD_LIMIT_BYTES);
        let resp = match connection.sender.try_send_request(req).await {
            Ok(resp) => resp,
            Err(mut error) => {
                // A target that sends something else than an answer has not ended.
                let answered = error.error().is_parse() || connection.read_budget.is_exceeded();
                return match error.take_message() {
                    Some(req) => Err(Unsent(Box::new(req))),
                    None if answered => Ok(TargetResult::BadAnswer),
                    None => Ok(TargetResult::ConnectionLost),
                };
            }
        };
        if !is_final_status(resp.status().as_u16()) {
            return Ok(TargetResult::BadAnswer);
        }
        if resp
            .headers()
            .get(&self.header_names.request_id)
            .is_none_or(|echo| echo.as_bytes() != id)
        {
            return Ok(TargetResult::BadAnswer);
        }
        Ok(self.read_answer(connection, resp, left).await)
    }

    async fn read_answer(
        &self,
        connection: Connection,
        resp: Response<Incoming>,
        left: Duration,
    ) -> TargetResult<TargetResponse> {
        // The body reader enforces `reply_limit` itself; this wider limit leaves room for the
        // overhead of chunked encoding.
        connection.read_budget.set(self.reply_limit.saturating_mul(2));
        let (head, body) = resp.into_parts();
        let framed = body.is_end_stream() || body.size_hint().exact().is_some();
        let body = match self.body_reader.read(body, self.reply_limit, left).await {
            Ok(read) => read,
            Err(BodyError::TooLarge(_) | BodyError::NoMemory) => return TargetResult::TooLarge,
            Err(BodyError::Incomplete) => return TargetResult::BadAnswer,
            Err(BodyError::Timeout) => return TargetResult::Deadline,
        };
        let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        if (framed || chunked) && !wants_close(&head.headers) {
            self.put_idle(connection, idle_time(&head.headers));
        }
        let shed = head.headers.contains_key(&self.header_names.not_run)
            || head.status == http::StatusCode::MISDIRECTED_REQUEST;
        let fields = fields::end_to_end(&head.headers, &[&header::DATE]);
        let (body, permit) = body.into_parts();
        let share = permit.map(|permit| Arc::new(AnswerShare::Target { _permit: permit }));
        let answer = TargetResponse { status: head.status.as_u16(), fields, body, share };
        TargetResult::Answer { answer, shed: shed.then(|| SHED_NOT_RUN.to_owned()), calls: 0 }
    }

    fn build_request(
        &self,
        call: &Call,
        instance: &InstanceId,
        left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = Method::from_bytes(call.method.as_bytes()).ok()?;
        *req.uri_mut() = call.path.parse::<Uri>().ok()?;
        let headers = req.headers_mut();
        fields::append(&call.fields, headers);
        headers.insert(
            self.header_names.request_id.clone(),
            HeaderValue::from_maybe_shared(call.request.clone()).ok()?,
        );
        headers.insert(self.header_names.deadline.clone(), (left.as_millis() as u64).into());
        headers.insert(
            self.header_names.instance.clone(),
            HeaderValue::from_str(instance.0.as_str()).ok()?,
        );
        headers.insert(
            self.header_names.caller_service.clone(),
            HeaderValue::from_str(call.caller.as_str()).ok()?,
        );
        Some(req)
    }

    fn take_idle(&self, now: Moment) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(last) = idle.pop() {
            if last.expires > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: Connection, idle: Duration) {
        let expires = self.clock.now() + idle;
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(IdleConnection { connection, expires });
    }

    async fn connect(&self) -> std::io::Result<Connection> {
        let connecting = TcpStream::connect(self.address.as_str());
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        socket.set_nodelay(true)?;
        let read_budget = ReadBudget::default();
        let socket = LimitedStream::new(socket, read_budget.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The request's future returns the same error.
            let _ = driver.await;
        });
        Ok(Connection { sender, read_budget, driver: driver.abort_handle() })
    }
}

/// Request of which nothing was written to the connection.
struct Unsent(Box<Request<Full<Bytes>>>);

fn wants_close(headers: &http::HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case("close")))
}

/// Time for which an idle connection may be reused, from the `timeout` parameter of the answer's
/// `Keep-Alive` field.
fn idle_time(headers: &http::HeaderMap) -> Duration {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| {
        let parts = text.split(',');
        parts.filter_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok()).next()
    });
    seconds.map_or(DEFAULT_IDLE_TIME, |seconds| Duration::from_secs(seconds) / IDLE_DIVISOR)
}
