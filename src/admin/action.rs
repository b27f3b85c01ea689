/// An operation that an operator requests, parsed from the method and path of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action<'a> {
    /// Liveness check of the process.
    Live,
    /// Readiness check of the process.
    Ready,
    /// Read the OpenAPI description of this API.
    OpenApi,
    /// Read the JSON schema of a team's settings.
    Schema,
    /// Read the metrics.
    Metrics,
    /// Read the settings in force and the state of upstreams.
    Status,
    /// Read a team's settings.
    Read { team: &'a str },
    /// Replace a team's settings.
    Replace { team: &'a str },
    /// Change a team's settings by a merge patch.
    Patch { team: &'a str },
    /// Check settings without storing them.
    Check { team: &'a str },
    /// List the accepted changes of a team's settings.
    Revisions { team: &'a str },
    /// Look up the state of an idempotency key.
    Lookup { team: &'a str, account: &'a str, service: &'a str, key: &'a str },
    /// Stop new work at an upstream, or allow it again.
    Drain { name: &'a str, drain: bool },
}

impl<'a> Action<'a> {
    /// Parses a method and path. Returns `None` if there is no such operation.
    ///
    /// ```
    /// # use ebonyusher::admin::Action;
    /// let action = Action::parse("GET", "/v1/teams/petrov/settings");
    /// assert_eq!(action, Some(Action::Read { team: "petrov" }));
    /// ```
    pub fn parse(method: &str, path: &'a str) -> Option<Self> {
        let parts: smallvec::SmallVec<[&str; 8]> = path.trim_matches('/').split('/').collect();
        Some(match (method, parts.as_slice()) {
            ("GET", ["livez"]) => Self::Live,
            ("GET", ["readyz"]) => Self::Ready,
            ("GET", ["v1", "openapi.json"]) => Self::OpenApi,
            ("GET", ["v1", "schema"]) => Self::Schema,
            ("GET", ["v1", "metrics"]) => Self::Metrics,
            ("GET", ["v1", "status"]) => Self::Status,
            ("GET", ["v1", "teams", team, "settings"]) => Self::Read { team },
            ("PUT", ["v1", "teams", team, "settings"]) => Self::Replace { team },
            ("PATCH", ["v1", "teams", team, "settings"]) => Self::Patch { team },
            ("POST", ["v1", "teams", team, "settings", "check"]) => Self::Check { team },
            ("GET", ["v1", "teams", team, "revisions"]) => Self::Revisions { team },
            ("GET", ["v1", "teams", team, "requests", account, service, key]) => {
                Self::Lookup { team, account, service, key }
            }
            ("POST", ["v1", "upstreams", name, "drain"]) => Self::Drain { name, drain: true },
            ("POST", ["v1", "upstreams", name, "undrain"]) => Self::Drain { name, drain: false },
            _ => return None,
        })
    }

    /// Returns whether the operation is allowed without an operator's key.
    pub const fn is_public(&self) -> bool {
        matches!(self, Self::Live | Self::Ready | Self::OpenApi | Self::Schema)
    }

    /// Returns the team to whose operators the operation is restricted, if any.
    pub const fn team(&self) -> Option<&'a str> {
        match self {
            Self::Read { team }
            | Self::Replace { team }
            | Self::Patch { team }
            | Self::Check { team }
            | Self::Revisions { team }
            | Self::Lookup { team, .. } => Some(team),
            _ => None,
        }
    }
}
