/// One operation of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiRoute {
    /// HTTP method in capitals.
    pub method: &'static str,
    /// Path with parameters in braces.
    pub path: &'static str,
}

/// Description of the administration API in the OpenAPI format.
pub const OPENAPI: &str = include_str!("openapi.json");

const fn route(method: &'static str, path: &'static str) -> ApiRoute {
    ApiRoute { method, path }
}

/// All operations of the administration API.
pub const ROUTES: [ApiRoute; 14] = [
    route("GET", "/livez"),
    route("GET", "/readyz"),
    route("GET", "/v1/openapi.json"),
    route("GET", "/v1/schema"),
    route("GET", "/v1/metrics"),
    route("GET", "/v1/status"),
    route("GET", "/v1/teams/{team}/settings"),
    route("PUT", "/v1/teams/{team}/settings"),
    route("PATCH", "/v1/teams/{team}/settings"),
    route("POST", "/v1/teams/{team}/settings/check"),
    route("GET", "/v1/teams/{team}/revisions"),
    route("GET", "/v1/teams/{team}/requests/{account}/{service}/{key}"),
    route("POST", "/v1/upstreams/{name}/drain"),
    route("POST", "/v1/upstreams/{name}/undrain"),
];
