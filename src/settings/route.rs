use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::Repeat;

/// Sends matching requests to a service. If several routes match, the one with the longest path is
/// used; of two with equally long paths, one with a host takes precedence.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Route {
    /// Host of the request, any host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the path, starting with `/`.
    pub path: String,
    /// HTTP methods, any method if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Name of one of the team's services.
    pub service: String,
    /// Whether these requests may run more than once.
    #[serde(default)]
    pub repeat: Repeat,
}

impl Route {
    /// Returns whether a request matches this route.
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
        let host_matches = self.host.as_deref().is_none_or(|want| want.eq_ignore_ascii_case(host));
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        host_matches && method_matches && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        path.strip_prefix(self.path.as_str()).is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/')
        })
    }
}
