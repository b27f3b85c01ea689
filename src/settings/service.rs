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
    /// Kind of the service's upstreams.
    pub kind: Kind,
    /// Number of requests that one upstream runs concurrently.
    pub slots: u32,
    /// Time limit for the complete response if the caller sets none.
    pub deadline: Span,
    /// Maximum wait for a slot before a request is refused; the deadline if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue_wait: Option<Span>,
    /// Maximum size of a request body.
    #[serde(default = "default_body")]
    pub max_body: Size,
    /// Whether a broken stream is resumed at another upstream.
    #[serde(default)]
    pub resume: bool,
    /// Whether a slow idempotent request is also sent to a second upstream.
    #[serde(default)]
    pub hedge: bool,
    /// Maximum number of retries and hedges, as a share of requests.
    #[serde(default = "default_retry")]
    pub retry_share: f64,
    /// Settings of the expert-parallel group, if the service's upstreams form one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Group>,
    /// Model and adapters that the service's upstreams should load.
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
    /// Returns the maximum wait for a slot.
    pub fn max_queue_wait(&self) -> std::time::Duration {
        self.queue_wait.unwrap_or(self.deadline).get()
    }
}
