use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::direct::{Route, Service};
use crate::settings::KeyDigest;

/// A client account, identified by any of its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name, which is forwarded to upstreams.
    pub name: String,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on what callers may send. `idle_time` is not applied; the direct entry has a fixed limit
/// instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

/// All routes, services and client accounts of one settings revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Revision number, which grows with each change.
    pub revision: u64,
    /// Limits on what callers may send.
    pub limits: Limits,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    /// Accounts by API key; `None` if requests need no key.
    accounts: Option<HashMap<KeyDigest, Arc<Account>>>,
    has_engine_priorities: bool,
}

impl Routing {
    /// Indexes routes by host, services by name and accounts by API key. Without a list of
    /// accounts, requests need no key.
    pub fn new(
        revision: u64,
        limits: Limits,
        routes: impl IntoIterator<Item = (String, Route)>,
        services: impl IntoIterator<Item = Service>,
        accounts: Option<Vec<(KeyDigest, Arc<Account>)>>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in routes {
            hosts.entry(host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service.into()));
        let services = services.collect();
        Self {
            revision,
            limits,
            has_engine_priorities: has_engine_priorities(&hosts, &services),
            hosts,
            services,
            accounts: accounts.map(|accounts| accounts.into_iter().collect()),
        }
    }

    /// Returns the route with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the client account of an API key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.get(&KeyDigest::of(key))
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns whether the routes of some engine service have more than one priority.
    pub const fn has_engine_priorities(&self) -> bool {
        self.has_engine_priorities
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns whether requests need an API key, unless their route is anonymous.
    pub const fn needs_key(&self) -> bool {
        self.accounts.is_some()
    }
}

fn has_engine_priorities(
    hosts: &HashMap<String, Vec<Arc<Route>>>,
    services: &HashMap<String, Arc<Service>>,
) -> bool {
    let engines = services.values().filter(|service| service.engine.is_some());
    let priorities = |service: &Service| {
        let reaches = |route: &&Arc<Route>| {
            route.splits.iter().any(|split| split.weight > 0 && split.service == service.name)
        };
        let routes = hosts.values().flatten().filter(reaches);
        routes.map(|route| route.priority).collect::<HashSet<u8>>().len()
    };
    engines.into_iter().any(|service| priorities(service) > 1)
}
