use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

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
    /// Returns the keys of a request with this fingerprint whose prompt has shared parts with these
    /// ids.
    ///
    /// ```
    /// # use ebonyusher::entry::CrashKeys;
    /// let keys = CrashKeys::new(7, "drafts", &[]);
    /// assert_eq!(keys.iter().collect::<Vec<_>>(), [7]);
    /// ```
    pub fn new(request: u64, service: &str, part_ids: &[u64]) -> Self {
        let part_key = |id: &u64| xxh3_64_with_seed(service.as_bytes(), *id);
        Self { request, parts: part_ids.iter().map(part_key).collect() }
    }

    /// Returns all keys, that of the request first.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        [self.request].into_iter().chain(self.parts.iter().copied())
    }
}
