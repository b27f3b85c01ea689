use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Repeat;

/// Sends matching requests to a service. The longest matching path wins.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Route {
    /// Host that the request must name, any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the path, starting with `/`.
    pub path: String,
    /// Methods, any if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Name of one of the team's services.
    pub service: String,
    /// Whether these requests may run again.
    #[serde(default)]
    pub repeat: Repeat,
}

impl Route {
    /// Whether a request falls under this route.
    ///
    /// ```
    /// # use ebonyusher::settings::{Repeat, Route};
    /// let route = Route {
    ///     host: None,
    ///     path: "/ledger".into(),
    ///     methods: vec!["GET".into()],
    ///     service: "members-ledger".into(),
    ///     repeat: Repeat::Free,
    /// };
    /// assert!(route.matches("any", "/ledger/7", "GET"));
    /// assert!(!route.matches("any", "/ledgers", "GET"));
    /// ```
    pub fn matches(&self, host: &str, path: &str, method: &str) -> bool {
        let host_fits = self.host.as_deref().is_none_or(|want| want.eq_ignore_ascii_case(host));
        let method_fits = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        host_fits && method_fits && self.covers(path)
    }

    fn covers(&self, path: &str) -> bool {
        path.strip_prefix(self.path.as_str()).is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/')
        })
    }
}
