//! What a target states about itself in the header fields of an answer.

use http::{HeaderName, Response, StatusCode};
use poplar_core::Rate;

use crate::proxy::frame::{Field, TargetResponse};
use crate::proxy::ports::HeaderNames;

/// Value by which a target states that it is leaving.
const LEAVING: &[u8] = b"1";

/// Statements of a target about itself in one answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TargetStatement {
    /// Its rate limit.
    pub(crate) limit: LimitStatement,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
}

/// What the answer to a health check shows about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// It is not leaving.
    Serving,
    /// It is leaving.
    Leaving,
    /// It did not answer, or it reports a failure, which may be that it is leaving.
    Unknown,
}

impl Health {
    /// What the head of an answer shows.
    pub(crate) fn of<B>(answer: &Response<B>, names: &HeaderNames) -> Self {
        let headers = answer.headers();
        if headers.get_all(&names.leaving).iter().any(|value| is_leaving(value.as_bytes())) {
            Self::Leaving
        } else if answer.status().is_server_error() {
            Self::Unknown
        } else {
            Self::Serving
        }
    }
}

/// Statement of a target about its rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LimitStatement {
    /// It has this limit, or none.
    Limit(Option<Rate>),
    /// The field cannot be read, so the limit is unknown.
    Malformed,
}

impl TargetStatement {
    /// Statements in an answer; none if another instance than the requested one gave the answer.
    pub(crate) fn of(answer: &TargetResponse, names: &HeaderNames) -> Option<Self> {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        let mut limit = LimitStatement::Limit(None);
        for value in values(&answer.fields, &names.rate_limit) {
            limit = limit.stricter(parse_rate(value));
        }
        let leaving = values(&answer.fields, &names.leaving).any(is_leaving);
        Some(Self { limit, leaving })
    }

    /// Whether the target states neither a limit nor that it is leaving.
    pub(crate) fn is_empty(&self) -> bool {
        self.limit == LimitStatement::Limit(None) && !self.leaving
    }
}

impl LimitStatement {
    /// The stricter of two fields of one answer; a field that can be read comes first.
    fn stricter(self, field: Option<Rate>) -> Self {
        match (self, field) {
            (Self::Limit(Some(known)), Some(rate)) if known <= rate => self,
            (_, Some(rate)) => Self::Limit(Some(rate)),
            (Self::Limit(Some(_)), None) => self,
            (_, None) => Self::Malformed,
        }
    }
}

fn is_leaving(value: &[u8]) -> bool {
    value.trim_ascii() == LEAVING
}

fn values<'a>(fields: &'a [Field], name: &'a HeaderName) -> impl Iterator<Item = &'a [u8]> {
    let name = name.as_str().as_bytes();
    let named = fields.iter().filter(move |Field(other, _)| other.eq_ignore_ascii_case(name));
    named.map(|Field(_, value)| value.trim_ascii())
}

fn parse_rate(value: &[u8]) -> Option<Rate> {
    let per_second: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    Rate::try_from(per_second).ok()
}
