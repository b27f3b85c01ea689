use std::time::Duration;

use http::{HeaderMap, HeaderName};

/// Reads a header as text; `None` if it is absent or not visible ASCII.
///
/// ```
/// # use ebonyusher::net::{ACCOUNT, header_str};
/// let mut headers = http::HeaderMap::new();
/// headers.insert(ACCOUNT, "akwaaba/osu".parse().unwrap());
/// assert_eq!(header_str(&headers, &ACCOUNT), Some("akwaaba/osu"));
/// ```
pub fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads a header as a whole number of milliseconds; `None` if it is absent or not a number.
pub fn header_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    header_str(headers, name)?.parse().ok().map(Duration::from_millis)
}
