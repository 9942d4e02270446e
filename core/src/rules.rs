//! Routes: which service may serve a request, and on what terms.
//!
//! A [`RuleSet`] is one revision of an operator's configuration for the transparent data plane. It
//! is immutable; a node replaces it as a whole and never by an older revision. See
//! [platform](../../docs/design/platform.md).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Importance, Name, Revision};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of runs has the effect of one.
    Idempotent,
    /// At most one run for each request id.
    Once,
}

/// One service among those that share a route, with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: Name,
    /// Part of the requests, relative to the other shares of the route.
    pub weight: u32,
}

/// Terms of the requests that match one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route; the class of its requests in limits, logs and metrics.
    pub name: Name,
    /// Host, in lower case and without port.
    pub host: Name,
    /// Prefix of the path, slash to slash.
    pub prefix: Name,
    /// Services that run the requests; never empty.
    pub shares: Vec<Share>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value.
    pub objective: Duration,
    /// Importance in the face of other requests.
    pub importance: Importance,
    /// Largest number of targets that one request may be sent to.
    pub attempts: u32,
}

/// What a node knows about a service apart from its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Path of the health check.
    pub health: Name,
    /// Connections that each target takes.
    pub connections: u32,
}

/// What a caller may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Longest time for the head of a request to come in.
    pub head_time: Duration,
    /// Longest time for which a connection may stay without a request.
    pub idle_time: Duration,
}

/// One revision of the routes, services and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleSet {
    /// Revision; a larger one is newer.
    pub revision: Revision,
    /// Routes, in the order in which the operator wrote them.
    pub routes: Vec<RouteRule>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceRule>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Finds the route of a request; built once for each [`RuleSet`].
#[derive(Debug, Default)]
pub struct RouteIndex {
    /// Positions of the routes of each host, longest prefix first.
    hosts: HashMap<Name, Vec<usize>>,
}

impl RouteIndex {
    /// Index over the routes of `rules`.
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

    /// Position of the route with the longest prefix that begins `path`.
    ///
    /// `host` is compared without its port and without regard to case.
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
    /// Service for a request; `draw` is uniform over all numbers.
    ///
    /// The choice depends on the weights alone: a share whose targets are short of room refuses
    /// requests, it does not pass them on to another share.
    pub fn pick(&self, draw: u32) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut place = (u64::from(draw) * total) >> u32::BITS;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if place < weight {
                return Some(&share.service);
            }
            place -= weight;
        }
        None
    }

    /// Whether a request of this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Idempotent
    }
}

/// Host of an authority, without the port.
fn host_name(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    }
}
