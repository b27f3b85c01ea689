use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{KeyDigest, Priority};

/// Settings of one client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Account {
    /// Digests of the keys that authenticate this client account.
    pub keys: Vec<KeyDigest>,
    /// Share of a contended upstream, relative to the weights of the other accounts.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Maximum number of requests per second over all entries, no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Maximum number of requests in flight at one entry, no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
    /// Priority of the account's requests at a contended upstream.
    #[serde(default)]
    pub priority: Priority,
}

const fn default_weight() -> f64 {
    1.0
}
