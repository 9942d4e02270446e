//! Why a caller's connection ended, and which end closed it.

use std::io::ErrorKind;

use prometheus_client::encoding::EncodeLabelSet;

/// End of a connection that closed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClosedBy {
    /// The caller.
    Caller,
    /// This node.
    Node,
}

impl ClosedBy {
    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Node => "node",
        }
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndCause {
    /// The caller closed it or its sending side.
    Closed,
    /// The caller reset it, or the network lost it.
    Reset,
    /// Its last answer said that it closes.
    LastAnswer,
    /// No request came within the idle timeout.
    IdleTimeout,
    /// A limit for callers closed it.
    Limit,
    /// The process stops, and no request was in progress.
    Stop,
    /// A request could not be parsed.
    BadRequest,
    /// The server failed otherwise, for example because an answer could not be encoded.
    ServerError,
    /// Its task ended without a reason: it panicked, or the process ended.
    Dropped,
}

/// Labels of the counter of connections that ended with requests unanswered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabels {
    by: &'static str,
    cause: &'static str,
}

impl EndCause {
    /// Cause of an end that the HTTP server reported with `error`.
    pub(crate) fn of_error(error: &hyper::Error) -> Self {
        if error.is_timeout() {
            return Self::IdleTimeout;
        }
        if error.is_parse() {
            return Self::BadRequest;
        }
        if error.is_incomplete_message() {
            return Self::Closed;
        }
        let source = std::error::Error::source(error);
        match source.and_then(|source| source.downcast_ref::<std::io::Error>()) {
            Some(error) if is_peer_error(error.kind()) => Self::Reset,
            _ => Self::ServerError,
        }
    }

    /// End that closed the connection.
    pub(crate) fn by(self) -> ClosedBy {
        match self {
            Self::Closed | Self::Reset => ClosedBy::Caller,
            Self::LastAnswer
            | Self::IdleTimeout
            | Self::Limit
            | Self::Stop
            | Self::BadRequest
            | Self::ServerError
            | Self::Dropped => ClosedBy::Node,
        }
    }

    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Reset => "reset",
            Self::LastAnswer => "last-answer",
            Self::IdleTimeout => "idle-timeout",
            Self::Limit => "limit",
            Self::Stop => "stop",
            Self::BadRequest => "bad-request",
            Self::ServerError => "server-error",
            Self::Dropped => "dropped",
        }
    }

    /// Labels for metrics.
    pub(crate) fn labels(self) -> EndLabels {
        EndLabels { by: self.by().label(), cause: self.label() }
    }
}

/// Whether an error of the socket says that the other end or the network ended the connection.
fn is_peer_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::BrokenPipe
            | ErrorKind::NotConnected
            | ErrorKind::TimedOut
    )
}
