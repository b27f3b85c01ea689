use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::PromptParts;

/// What the crashes under a request are counted against: the request as a whole, and each part that
/// its prompt may share with other requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashKeys {
    /// Fingerprint of the request.
    pub request: u64,
    /// Fingerprints of the shared parts of its prompt, at its service.
    pub parts: SmallVec<[u64; 4]>,
}

impl CrashKeys {
    /// Returns the keys of a request with this fingerprint.
    ///
    /// ```
    /// # use ebonyusher::direct::{CrashKeys, PromptParts};
    /// let keys = CrashKeys::new(7, "drafts", &PromptParts::default());
    /// assert_eq!(keys.iter().collect::<Vec<_>>(), [7]);
    /// ```
    pub fn new(request: u64, service: &str, prompt: &PromptParts) -> Self {
        let part_key = |id: &u64| xxh3_64_with_seed(service.as_bytes(), *id);
        Self { request, parts: prompt.ids().iter().map(part_key).collect() }
    }

    /// Returns all keys, that of the request first.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        [self.request].into_iter().chain(self.parts.iter().copied())
    }
}
