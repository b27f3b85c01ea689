use http::HeaderMap;

use crate::direct::HeaderNames;
use crate::net::header_str;

/// Sizes of a request in tokens, as far as its caller states them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: Option<u32>,
    /// Maximum number of output tokens.
    pub max_output: Option<u32>,
    /// The caller's estimate of the output tokens.
    pub length_hint: Option<u32>,
}

impl RequestSize {
    /// Reads the sizes from the headers of a request.
    pub fn read(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let tokens = header_str(headers, &names.tokens).unwrap_or_default();
        let mut numbers = tokens.split(',').map(|number| number.trim().parse().ok());
        let (prompt, max_output) = (numbers.next().flatten(), numbers.next().flatten());
        let hint = header_str(headers, &names.length_hint);
        let length_hint = hint.and_then(|hint| hint.trim().parse().ok());
        Self { prompt, max_output, length_hint }
    }
}
