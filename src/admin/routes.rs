/// One operation of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiRoute {
    /// Method in capitals.
    pub method: &'static str,
    /// Path with parameters in braces.
    pub path: &'static str,
}

/// Description of the administration API in the OpenAPI format.
pub const OPENAPI: &str = include_str!("openapi.json");

const fn line(method: &'static str, path: &'static str) -> ApiRoute {
    ApiRoute { method, path }
}

/// All operations of the administration API.
pub const ROUTES: [ApiRoute; 14] = [
    line("GET", "/livez"),
    line("GET", "/readyz"),
    line("GET", "/v1/openapi.json"),
    line("GET", "/v1/schema"),
    line("GET", "/v1/metrics"),
    line("GET", "/v1/status"),
    line("GET", "/v1/teams/{team}/settings"),
    line("PUT", "/v1/teams/{team}/settings"),
    line("PATCH", "/v1/teams/{team}/settings"),
    line("POST", "/v1/teams/{team}/settings/check"),
    line("GET", "/v1/teams/{team}/revisions"),
    line("GET", "/v1/teams/{team}/requests/{account}/{service}/{key}"),
    line("POST", "/v1/upstreams/{name}/drain"),
    line("POST", "/v1/upstreams/{name}/undrain"),
];
