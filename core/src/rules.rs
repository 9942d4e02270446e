//! Routing rules: the services that may serve a request, and the terms of the request.
//!
//! A [`RuleSet`] is one revision of an operator's configuration for the transparent data plane. It
//! is immutable; a node replaces it as a whole, and never by an older revision. See
//! [platform](../../docs/design/platform.md).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Importance, Name, Revision};
use crate::workspace::Workspace;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Several runs have the same effect as one.
    Idempotent,
    /// A request id may run at most once.
    Once,
}

/// One of the services of a route, with its weight in the distribution of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service that runs this share of the requests.
    pub service: Name,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Route: the terms of the requests that match one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route; the class of its requests in limits, logs and metrics.
    pub name: Name,
    /// Host name, in lower case and without a port.
    pub host: Name,
    /// Path prefix that starts and ends with a slash.
    pub prefix: Name,
    /// Services that run the requests; never empty.
    pub shares: Vec<Share>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Maximum time for which a caller waits for its answer.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value.
    pub objective: Duration,
    /// Importance relative to other requests.
    pub importance: Importance,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Whether a request needs no key although there are workspaces. Not encoded if false, so that
    /// nodes of earlier versions can read rules without workspaces.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Settings of a service that apply to all its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Path of the health check; none if the operator names none.
    pub health: Option<Name>,
    /// Maximum number of connections to each target.
    pub connections: u32,
}

/// Size and time limits for the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub head: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body: usize,
    /// Maximum time for receiving the head of a request.
    pub head_time: Duration,
    /// Maximum time for which a connection may stay idle between requests.
    pub idle_time: Duration,
}

/// One revision of the routes, services, limits and workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleSet {
    /// Revision; a larger one is newer.
    pub revision: Revision,
    /// Routes, in the order of the operator's configuration.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceRule>,
    /// Limits for the requests of callers.
    pub limits: CallerLimits,
    /// Workspaces; none if requests carry no keys. Not encoded if none, so that nodes of earlier
    /// versions can read the rules.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<Vec<Workspace>>,
}

/// Index that finds the route of a request; built once for each [`RuleSet`].
#[derive(Debug, Default)]
pub struct RouteIndex {
    /// Indexes into [`RuleSet::routes`] by host, longest prefix first.
    hosts: HashMap<Name, Vec<usize>>,
}

impl RouteIndex {
    /// Builds the index for the routes of `rules`.
    pub fn new(rules: &RuleSet) -> Self {
        let mut hosts: HashMap<Name, Vec<usize>> = HashMap::new();
        for (idx, route) in rules.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(idx);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|idx| std::cmp::Reverse(rules.routes[*idx].prefix.as_str().len()));
        }
        Self { hosts }
    }

    /// Index into [`RuleSet::routes`] of the route with the longest prefix of `path`.
    ///
    /// `host` is compared without its port and case-insensitively.
    pub fn find(&self, rules: &RuleSet, host: &str, path: &str) -> Option<usize> {
        let host = host_name(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().copied().find(|idx| path.starts_with(rules.routes[*idx].prefix.as_str()))
    }
}

impl RouteRule {
    /// Picks the service for a request; `draw` is a uniformly distributed random number.
    ///
    /// The choice depends on the weights alone: a share whose targets are overloaded refuses
    /// requests and does not redirect them to another share.
    pub fn pick(&self, draw: u32) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut offset = (u64::from(draw) * total) >> u32::BITS;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        None
    }

    /// Whether a request of this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Idempotent
    }
}

/// Host of an authority, without its port.
fn host_name(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    }
}
