use http::{HeaderMap, HeaderName};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::quarantine::hex;

/// Maximum number of parts that are read of one prompt.
const MAX_PARTS: usize = 256;

/// Ids of the parts of a request's prompt that other requests may share, in their order in the
/// prompt. The last part belongs to the request or to its session, so it is left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts(SmallVec<[u64; 4]>);

impl PromptParts {
    /// Reads the parts from a header that lists them as `id:tokens`, separated by commas.
    ///
    /// ```
    /// # use ebonyusher::direct::PromptParts;
    /// # use http::{HeaderMap, HeaderName, HeaderValue};
    /// let name = HeaderName::from_static("prompt");
    /// let list = HeaderValue::from_static("5c1e07a2:800, 91bd3f06:410, e4402b7d:250");
    /// let headers: HeaderMap = [(name.clone(), list)].into_iter().collect();
    /// let parts = PromptParts::read(&headers, &name);
    /// assert_eq!(parts.ids(), [0x5c1e_07a2, 0x91bd_3f06]);
    /// assert_eq!(parts.to_string(), "5c1e07a2,91bd3f06");
    /// ```
    pub fn read(headers: &HeaderMap, name: &HeaderName) -> Self {
        let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
        let parts = values.flat_map(|value| value.split(','));
        let mut ids: SmallVec<[u64; 4]> = parts.take(MAX_PARTS + 1).map(part_id).collect();
        ids.pop();
        Self(ids)
    }

    /// Returns the ids.
    pub fn ids(&self) -> &[u64] {
        &self.0
    }
}

impl std::fmt::Display for PromptParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (at, id) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{}", hex(*id))?;
        }
        Ok(())
    }
}

/// Returns the id of one part. One that is no hexadecimal number is hashed.
fn part_id(part: &str) -> u64 {
    let id = part.split(':').next().unwrap_or_default().trim();
    u64::from_str_radix(id, 16).unwrap_or_else(|_| xxh3_64(id.as_bytes()))
}
