use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The model and adapters that the upstreams of a service should load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Models {
    /// Model to load.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<String>,
}
