use serde::Deserialize;
use serde_json::Value;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of messages of one prompt that are looked at.
const MAX_PARTS: usize = 64;

/// The field of a chat request that holds its prompt.
#[derive(Deserialize)]
struct ChatPrompt {
    #[serde(default)]
    messages: Vec<Value>,
}

/// Returns the ids of the parts of a chat request's prompt that other requests may share: hashes of
/// its messages but the last one, which belongs to the request.
pub(super) fn prompt_parts(body: &[u8]) -> SmallVec<[u64; 4]> {
    let prompt = serde_json::from_slice::<ChatPrompt>(body);
    let messages = prompt.map(|prompt| prompt.messages).unwrap_or_default();
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let hash = |message: &Value| xxh3_64(message.to_string().as_bytes());
    shared.iter().take(MAX_PARTS).map(hash).collect()
}
