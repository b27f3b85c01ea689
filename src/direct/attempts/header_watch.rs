use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};

use http::header::{
    CACHE_CONTROL, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, DATE, RETRY_AFTER,
    SERVER, TRANSFER_ENCODING,
};
use http::{HeaderMap, HeaderName};
use smallvec::SmallVec;

use crate::direct::HeaderNames;

/// Maximum number of names on record; beyond it none is reported.
const MAX_NAMES: usize = 64;

/// Reports each header of responses that this version does not know, once.
#[derive(Debug)]
pub(in crate::direct) struct HeaderWatch(Mutex<HashSet<HeaderName>>);

impl HeaderWatch {
    /// Creates a watch for headers other than those of HTTP and these.
    pub(in crate::direct) fn new(names: &HeaderNames) -> Self {
        let http = [
            CACHE_CONTROL,
            CONNECTION,
            CONTENT_ENCODING,
            CONTENT_LENGTH,
            CONTENT_TYPE,
            DATE,
            RETRY_AFTER,
            SERVER,
            TRANSFER_ENCODING,
            HeaderName::from_static("keep-alive"),
        ];
        Self(Mutex::new(http.into_iter().chain(names.in_responses().cloned()).collect()))
    }

    /// Returns the names that have not been seen before.
    pub(in crate::direct) fn new_names(&self, headers: &HeaderMap) -> SmallVec<[HeaderName; 2]> {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut new = SmallVec::new();
        for name in headers.keys() {
            if known.len() < MAX_NAMES && !known.contains(name) {
                known.insert(name.clone());
                new.push(name.clone());
            }
        }
        new
    }
}
