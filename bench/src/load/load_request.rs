use bytes::Bytes;
use ebonyusher_standin::token;
use http::Method;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::client::Reply;

/// Prompt prefixes that chats share.
const PREFIXES: u32 = 24;
/// Length of a shared prompt.
const PROMPT_CHARS: usize = 600;
const MIN_TOKENS: u32 = 8;
const MAX_TOKENS: u32 = 32;

/// One request of the load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// RequestKind of request.
    pub kind: RequestKind,
    /// Account that sends it.
    pub account: usize,
    /// Body, unlike any other request's.
    pub body: Bytes,
    /// Path.
    pub path: String,
    /// Idempotency key of an order.
    pub key: Option<String>,
}

/// RequestKind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed chat of so many tokens.
    Chat {
        /// Tokens of the answer.
        tokens: u32,
    },
    /// An idempotent look-up.
    Lookup,
    /// An order that must not run twice.
    Order,
}

/// What an answer says, against what it should say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// It is whole and the request's own.
    Correct,
    /// It is cut short, and the caller can see that.
    TruncatedWithError,
    /// It is cut short, and the caller can't see that.
    TruncatedSilently,
    /// It is another request's.
    Mismatched,
}

impl LoadRequest {
    /// Draws a request of an account.
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

    /// Method of the request.
    pub const fn method(&self) -> Method {
        match self.kind {
            RequestKind::Lookup => Method::GET,
            RequestKind::Chat { .. } | RequestKind::Order => Method::POST,
        }
    }

    /// Judges an answer that the upstream gave.
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
