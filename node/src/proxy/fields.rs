//! Separates end-to-end header fields, which are forwarded, from fields that apply to one
//! connection.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::proxy::frame::Field;

/// Fields that apply to one connection only, by RFC 9110 section 7.6.1 and common use.
const CONNECTION_FIELDS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Connection field that older clients and servers send together with `Connection`.
const KEEP_ALIVE: &str = "keep-alive";
/// Connection field that some clients send to proxies.
const PROXY_CONNECTION: &str = "proxy-connection";

/// Returns the end-to-end fields, without `Content-Length` and without those in `replaced`, which
/// the sender sets itself.
pub(crate) fn end_to_end(headers: &HeaderMap, replaced: &[&HeaderName]) -> Vec<Field> {
    let named = named_by_connection(headers);
    let mut fields = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = is_connection_field(name)
            || *name == header::CONTENT_LENGTH
            || replaced.contains(&name)
            || named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !dropped {
            let value = Bytes::copy_from_slice(value.as_bytes());
            fields.push(Field(Bytes::copy_from_slice(name.as_str().as_bytes()), value));
        }
    }
    fields
}

/// Appends forwarded fields to `headers`, skipping invalid ones.
pub(crate) fn append(fields: &[Field], headers: &mut HeaderMap) {
    for Field(name, value) in fields {
        let name = HeaderName::from_bytes(name);
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

fn is_connection_field(name: &HeaderName) -> bool {
    CONNECTION_FIELDS.contains(name)
        || name.as_str() == KEEP_ALIVE
        || name.as_str() == PROXY_CONNECTION
}

/// Names of the fields that the `Connection` field lists as applying to this connection only.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION);
    let texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_owned()).collect()
}
