use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// Tokens of an answer where the request bounds none.
const DEFAULT_OUTPUT_TOKENS: f64 = 256.0;
const BYTES_PER_TOKEN: f64 = 4.0;
/// Cost of a token read, against one written.
const PROMPT_TOKEN_COST: f64 = 0.05;
/// Bytes at the start of a body that name its prompt prefix.
const PREFIX_BYTES: usize = 512;

/// What routing has to know of a chat request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestEstimate {
    /// Estimated cost in tokens.
    pub(super) cost: f64,
    /// Name of the prompt prefix.
    pub(super) prefix: Option<u64>,
}

#[derive(Deserialize)]
struct ChatFields {
    max_tokens: Option<u32>,
}

impl RequestEstimate {
    /// Estimates from a request body in the chat format.
    pub(super) fn from_chat(body: &[u8]) -> Self {
        let fields = serde_json::from_slice::<ChatFields>(body).ok();
        let output_tokens =
            fields.and_then(|fields| fields.max_tokens).map_or(DEFAULT_OUTPUT_TOKENS, f64::from);
        let prompt = body.len() as f64 / BYTES_PER_TOKEN * PROMPT_TOKEN_COST;
        let prefix = (body.len() >= PREFIX_BYTES).then(|| xxh3_64(&body[..PREFIX_BYTES]));
        Self { cost: output_tokens + prompt, prefix }
    }

    /// The cost of a request to a plain service.
    pub(super) const fn plain() -> Self {
        Self { cost: 1.0, prefix: None }
    }
}
