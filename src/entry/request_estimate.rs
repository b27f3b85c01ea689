use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// Expected output tokens of a request that doesn't limit them.
const DEFAULT_OUTPUT_TOKENS: f64 = 256.0;
const BYTES_PER_TOKEN: f64 = 4.0;
/// Cost of a prompt token relative to an output token.
const PROMPT_TOKEN_COST: f64 = 0.05;
/// Bytes at the start of a body whose hash identifies its prompt prefix.
const PREFIX_BYTES: usize = 512;

/// Estimated cost and prompt prefix of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestEstimate {
    /// Estimated cost in output tokens; 1 for a request to a plain service.
    pub(super) cost: f64,
    /// Hash of the prompt prefix, `None` if the body is too short.
    pub(super) prefix: Option<u64>,
}

/// The fields of a chat request that the estimate needs.
#[derive(Deserialize)]
struct ChatFields {
    max_tokens: Option<u32>,
}

impl RequestEstimate {
    /// Estimates a chat request from its body.
    pub(super) fn from_chat(body: &[u8]) -> Self {
        let fields = serde_json::from_slice::<ChatFields>(body).ok();
        let output_tokens =
            fields.and_then(|fields| fields.max_tokens).map_or(DEFAULT_OUTPUT_TOKENS, f64::from);
        let prompt = body.len() as f64 / BYTES_PER_TOKEN * PROMPT_TOKEN_COST;
        let prefix = (body.len() >= PREFIX_BYTES).then(|| xxh3_64(&body[..PREFIX_BYTES]));
        Self { cost: output_tokens + prompt, prefix }
    }

    /// Returns the estimate of any request to a plain service.
    pub(super) const fn plain() -> Self {
        Self { cost: 1.0, prefix: None }
    }
}
