use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{KeyDigest, Priority};

/// Settings of one client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Account {
    /// Digests of the keys that name this client account.
    pub keys: Vec<KeyDigest>,
    /// Share of a contended upstream, against the weights of the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Most requests a second over all entries, no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Most requests in flight at one entry, no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
    /// Which requests go first at a contended upstream.
    #[serde(default)]
    pub priority: Priority,
}

const fn default_weight() -> f64 {
    1.0
}
