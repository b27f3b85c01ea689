use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that speaks the chat format.
    Engine,
    /// An ordinary HTTP service.
    Plain,
}
