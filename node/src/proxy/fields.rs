//! Header fields that travel from end to end, and those that concern one connection only.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::proxy::frame::Field;

/// Fields that concern one connection, by RFC 9110 section 7.6.1 and common use.
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

/// Field that old clients and servers use beside `Connection`.
const KEEP_ALIVE: &str = "keep-alive";
/// Field of the same kind that some clients send to proxies.
const PROXY_CONNECTION: &str = "proxy-connection";

/// Fields that travel on, without those in `own`, which the sender sets anew.
pub(crate) fn end_to_end(headers: &HeaderMap, own: &[&HeaderName]) -> Vec<Field> {
    let named = named_by_connection(headers);
    let mut fields = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = is_connection_field(name)
            || *name == header::CONTENT_LENGTH
            || own.contains(&name)
            || named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !dropped {
            let value = Bytes::copy_from_slice(value.as_bytes());
            fields.push(Field(Bytes::copy_from_slice(name.as_str().as_bytes()), value));
        }
    }
    fields
}

/// Appends fields that travelled; one that is no valid field is left out.
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

/// Fields that a `Connection` field declares to concern this connection only.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION);
    let texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_owned()).collect()
}
