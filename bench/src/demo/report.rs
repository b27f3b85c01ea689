use serde::Serialize;

/// What one run of the demo saw.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct DemoReport {
    /// Whether everything is as it should be.
    pub ok: bool,
    /// The streamed chat.
    pub chat: ChatReport,
    /// The look-up.
    pub lookup: LookupReport,
    /// The order, sent twice under one key.
    pub order: OrderReport,
    /// The settings.
    pub settings: SettingsReport,
}

/// A streamed chat.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ChatReport {
    /// Whether the stream ended with its last event.
    pub complete: bool,
    /// Tokens that came.
    pub tokens: usize,
    /// Time to the first one.
    pub first_token_ms: f64,
}

/// A look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LookupReport {
    /// Status of the answer.
    pub status: u16,
}

/// An order that was sent twice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct OrderReport {
    /// How often it ran.
    pub runs: u32,
    /// Whether both answers were the same.
    pub same_answer: bool,
}

/// How settings came into force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SettingsReport {
    /// Revision in force.
    pub revision: u64,
    /// Time until it was in force in every process.
    pub spread_ms: f64,
}
