use serde::Serialize;

/// Results of one run of the demo.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct DemoReport {
    /// Whether the chat was complete with all its tokens, the look-up succeeded, and the order ran
    /// once with the same answer from each entry.
    pub ok: bool,
    /// Streamed chat.
    pub chat: ChatReport,
    /// Look-up.
    pub lookup: LookupReport,
    /// Order, sent through each entry with the same key.
    pub order: OrderReport,
    /// Change of the settings.
    pub settings: SettingsReport,
}

/// Result of a streamed chat.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ChatReport {
    /// Whether the stream ended with its last event.
    pub complete: bool,
    /// Tokens received.
    pub tokens: usize,
    /// Time to the first byte of the body.
    pub first_token_ms: f64,
}

/// Result of a look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LookupReport {
    /// HTTP status.
    pub status: u16,
}

/// Result of an order sent through each entry with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct OrderReport {
    /// Number of times that it ran.
    pub runs: u32,
    /// Whether the answers of all entries report that it ran and have the same body.
    pub same_answer: bool,
}

/// How a settings change was applied.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SettingsReport {
    /// Applied revision.
    pub revision: u64,
    /// Time until every process had applied it.
    pub spread_ms: f64,
}
