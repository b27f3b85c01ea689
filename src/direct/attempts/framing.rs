use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::body::{Body, Incoming};

/// Returns whether a response that was not read yet has neither a length nor chunks, so that its
/// body ends with the connection (RFC 9112, 6.3).
pub(in crate::direct) fn is_close_delimited(headers: &HeaderMap, body: &Incoming) -> bool {
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !is_framed && !body.is_end_stream()
}
