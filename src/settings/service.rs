use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Group, Kind, Models};
use crate::units::{Size, Span};

const DEFAULT_BODY_BYTES: u64 = 1 << 20;
const DEFAULT_RETRY_SHARE: f64 = 0.1;

/// Settings of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// Engine or plain.
    pub kind: Kind,
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// Time for a whole answer where the caller names none.
    pub deadline: Span,
    /// Longest wait for a slot before a request is refused; the deadline if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue_wait: Option<Span>,
    /// Largest request body.
    #[serde(default = "default_body")]
    pub max_body: Size,
    /// Whether a broken stream is taken up again at another upstream.
    #[serde(default)]
    pub resume: bool,
    /// Whether a slow look-up is sent to a second upstream.
    #[serde(default)]
    pub hedge: bool,
    /// Most retries and hedges, as a share of requests.
    #[serde(default = "default_retry")]
    pub retry_share: f64,
    /// The expert-parallel group, if the service is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Group>,
    /// What its workers should hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Models>,
}

const fn default_body() -> Size {
    Size::from_bytes(DEFAULT_BODY_BYTES)
}

const fn default_retry() -> f64 {
    DEFAULT_RETRY_SHARE
}

impl Service {
    /// Longest wait for a slot.
    pub fn max_queue_wait(&self) -> std::time::Duration {
        self.queue_wait.unwrap_or(self.deadline).get()
    }
}
