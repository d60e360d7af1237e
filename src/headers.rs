//! Forwarding of HTTP headers between callers and upstreams.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};

use crate::protocol::HeaderField;

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and those that the HTTP
/// library sets.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::CONTENT_LENGTH,
];

/// Returns the headers to forward: all but hop-by-hop headers and those named by `Connection`.
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name))
        .filter(|(name, _)| name.as_str() != "keep-alive")
        .filter(|(name, _)| !connection_options.iter().any(|other| other == name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Adds the fields to a header map; fields that are not valid in HTTP are skipped.
pub fn apply_headers(fields: &[HeaderField], headers: &mut HeaderMap) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
