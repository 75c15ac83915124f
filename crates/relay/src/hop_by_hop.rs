//! Hop-by-hop headers, which concern one connection only and are never forwarded (RFC 9110, section
//! 7.6.1).

use http::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// The header that accompanied `Connection` in HTTP/1.0. The `http` crate has no constant for it.
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
];

/// Removes the headers of one connection, including those that `Connection` names.
pub(crate) fn strip_headers(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect()
}

/// Whole seconds for which a server keeps an idle connection, if it says so.
pub(crate) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE).map(HeaderValue::to_str)?.ok()?;
    value
        .split(',')
        .filter_map(|parameter| parameter.trim().split_once('='))
        .find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
        .and_then(|(_, seconds)| seconds.trim().parse().ok())
}
