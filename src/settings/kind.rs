use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The kind of upstreams that a service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that serves the chat format.
    Engine,
    /// An ordinary HTTP service.
    Plain,
}
