use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What the workers of a service should hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Models {
    /// Model to load.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters beside it.
    #[serde(default)]
    pub adapters: Vec<String>,
}
