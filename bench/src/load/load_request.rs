use bytes::Bytes;
use ebonyusher_standin::token;
use http::Method;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::client::Reply;

/// Number of distinct prompt prefixes that chats share.
const PREFIXES: u32 = 24;
/// Length of a shared prompt prefix.
const PROMPT_CHARS: usize = 600;
const MIN_TOKENS: u32 = 8;
const MAX_TOKENS: u32 = 32;

/// Request of the generated load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Kind of request.
    pub kind: RequestKind,
    /// Index of the account that sends it.
    pub account: usize,
    /// Body, unique to the request; empty for look-ups, whose path is unique.
    pub body: Bytes,
    /// Request path.
    pub path: String,
    /// Idempotency key of an order.
    pub key: Option<String>,
}

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Streamed chat.
    Chat {
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// Idempotent look-up.
    Lookup,
    /// Order, which must not run twice.
    Order,
}

/// Result of comparing an answer with the expected content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The answer is complete and belongs to the request.
    Correct,
    /// The answer is truncated, and an error shows that to the caller.
    TruncatedWithError,
    /// The answer is truncated, and nothing shows that to the caller.
    TruncatedSilently,
    /// The answer belongs to another request.
    Mismatched,
}

impl LoadRequest {
    /// Generates a random request of an account. The request is unique if `serial` is.
    pub fn generate(serial: u64, account: usize, chat_share: f64, rng: &mut SmallRng) -> Self {
        let draw: f64 = rng.random();
        if draw < chat_share {
            return Self::chat(serial, account, rng);
        }
        if draw < chat_share + (1.0 - chat_share) * 2.0 / 3.0 {
            let path = format!("/ledger/members/{serial}");
            return Self {
                kind: RequestKind::Lookup,
                account,
                body: Bytes::new(),
                path,
                key: None,
            };
        }
        let body = format!(r#"{{"order":{serial}}}"#).into();
        let path = "/ledger/orders".to_owned();
        Self { kind: RequestKind::Order, account, body, path, key: Some(format!("key-{serial}")) }
    }

    fn chat(serial: u64, account: usize, rng: &mut SmallRng) -> Self {
        let tokens = rng.random_range(MIN_TOKENS..=MAX_TOKENS);
        let prefix = rng.random_range(0..PREFIXES);
        let prompt = format!("{prefix:04}").repeat(PROMPT_CHARS / 4);
        let body = format!(
            r#"{{"messages":[{{"role":"system","content":"{prompt}"}},{{"role":"user","content":"{serial}"}}],"max_tokens":{tokens},"stream":true}}"#
        );
        let path = "/chat".to_owned();
        Self { kind: RequestKind::Chat { tokens }, account, body: body.into(), path, key: None }
    }

    /// Returns the HTTP method.
    pub const fn method(&self) -> Method {
        match self.kind {
            RequestKind::Lookup => Method::GET,
            RequestKind::Chat { .. } | RequestKind::Order => Method::POST,
        }
    }

    /// Checks an answer that reports that the request ran.
    pub fn check(&self, reply: &Reply) -> AnswerCheck {
        let text = String::from_utf8_lossy(&reply.body);
        match self.kind {
            RequestKind::Chat { tokens } => self.check_chat(&text, tokens, reply.ended_cleanly),
            RequestKind::Lookup => {
                check_text(&text, &format!("\"of\":\"{}\"", self.path), reply.ended_cleanly)
            }
            RequestKind::Order => {
                let body = String::from_utf8_lossy(&self.body).replace('"', "\\\"");
                check_text(&text, &format!("\"for\":\"{body}\""), reply.ended_cleanly)
            }
        }
    }

    fn check_chat(&self, text: &str, tokens: u32, ended_cleanly: bool) -> AnswerCheck {
        let mut seen = 0;
        for event in text.split_inclusive("\n\n").filter(|event| event.contains("\"content\"")) {
            if !event.ends_with("\n\n") {
                break;
            }
            if !event.contains(&token(&self.body, seen)) {
                return AnswerCheck::Mismatched;
            }
            seen += 1;
        }
        let done = text.ends_with("data: [DONE]\n\n");
        match (ended_cleanly, seen == tokens && done) {
            (true, true) => AnswerCheck::Correct,
            (true, false) => AnswerCheck::TruncatedSilently,
            (false, _) => AnswerCheck::TruncatedWithError,
        }
    }
}

fn check_text(text: &str, expected: &str, ended_cleanly: bool) -> AnswerCheck {
    if !ended_cleanly {
        return AnswerCheck::TruncatedWithError;
    }
    if text.contains(expected) {
        return AnswerCheck::Correct;
    }
    if text.ends_with('}') { AnswerCheck::Mismatched } else { AnswerCheck::TruncatedSilently }
}
