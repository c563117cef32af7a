//! Routes requests of callers to queues by host name and path prefix.
//!
//! Invariant: of the matching prefixes, the longest wins.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use indexmap::IndexMap;
use model::{ConfigVersion, QueueCatalog, QueueId};

#[derive(Debug, Clone)]
struct PrefixRoute {
    prefix: CompactString,
    queue: QueueId,
    timeout: Duration,
}

/// Routing table from host name and path prefix to queue.
#[derive(Debug, Clone)]
pub struct QueueRoutes {
    version: ConfigVersion,
    body_limit_bytes: u64,
    /// Routes of each lower-case host name, longest prefix first.
    hosts: IndexMap<CompactString, Vec<PrefixRoute>>,
}

/// Route that matches a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMatch<'a> {
    /// Queue that the request goes to.
    pub queue: &'a QueueId,
    /// Part of the path after the prefix.
    pub path_suffix: &'a str,
    /// Time limit of the call.
    pub timeout: Duration,
}

impl QueueRoutes {
    /// Builds the routing table of a catalog.
    pub fn new(catalog: &QueueCatalog) -> QueueRoutes {
        let mut hosts: IndexMap<CompactString, Vec<PrefixRoute>> = IndexMap::new();
        for (name, queue) in &catalog.queues {
            let host = queue.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(PrefixRoute {
                prefix: queue.path_prefix.clone(),
                queue: name.clone(),
                timeout: Duration::from_millis(queue.timeout_ms),
            });
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        QueueRoutes { version: catalog.version, body_limit_bytes: catalog.body_limit_bytes, hosts }
    }

    /// Version of the catalog that the routes were built from.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Maximum size of a request body, in bytes.
    pub fn body_limit_bytes(&self) -> u64 {
        self.body_limit_bytes
    }

    /// Finds the route of a request; a port in `host` is ignored.
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<RouteMatch<'a>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        let route = routes.iter().find(|route| path.starts_with(route.prefix.as_str()))?;
        let path_suffix = &path[route.prefix.len()..];
        Some(RouteMatch { queue: &route.queue, path_suffix, timeout: route.timeout })
    }
}

/// Result of the search for a request's route.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteLookup<'a> {
    /// The request goes to this queue.
    Found(RouteMatch<'a>),
    /// The catalog in force has no route for it.
    NoRoute,
    /// The known catalog has no route for it, but a newer one may be in force.
    Unconfirmed,
}

/// The routes of the newest known catalog, and how long they are known to be in force.
#[derive(Debug, Clone)]
pub struct ConfirmedRoutes {
    /// The routes.
    pub routes: Arc<QueueRoutes>,
    confirmed_at: Instant,
    max_age: Duration,
}

impl ConfirmedRoutes {
    /// Creates the routes of a catalog that was in force at `confirmed_at`. For `max_age`
    /// after it, what is missing there is taken not to exist.
    pub fn new(routes: QueueRoutes, confirmed_at: Instant, max_age: Duration) -> ConfirmedRoutes {
        ConfirmedRoutes { routes: Arc::new(routes), confirmed_at, max_age }
    }

    /// Records that no newer catalog was in force at this time.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Finds the route of a request. Known routes are used however old the catalog is:
    /// callers are served also while no leader can be reached.
    pub fn find<'a>(&'a self, now: Instant, host: &str, path: &'a str) -> RouteLookup<'a> {
        match self.routes.find(host, path) {
            Some(route) => RouteLookup::Found(route),
            None if now > self.confirmed_at + self.max_age => RouteLookup::Unconfirmed,
            None => RouteLookup::NoRoute,
        }
    }
}
