use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Account, Route, Service};

/// The subtree of settings that one team owns.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Team {
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Routes of requests to services.
    pub routes: Vec<Route>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
}
