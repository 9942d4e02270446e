//! Routing: longest prefix, host names, and distribution by weight.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    CallerLimits, Importance, Name, Repeat, Revision, RouteIndex, RouteRule, RuleSet, Share,
};

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    let shares = shares
        .iter()
        .map(|(service, weight)| Share { service: Name::new(service), weight: *weight });
    RouteRule {
        name: Name::new(name),
        host: Name::new(host),
        prefix: Name::new(prefix),
        shares: shares.collect(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        importance: Importance(1),
        attempts: 2,
        public: false,
    }
}

fn rules(routes: Vec<RouteRule>) -> RuleSet {
    let limits = CallerLimits {
        head: 1,
        body: 1,
        head_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    RuleSet { revision: Revision(1), routes, services: BTreeMap::new(), limits, workspaces: None }
}

fn found<'a>(rules: &'a RuleSet, host: &str, path: &str) -> Option<&'a str> {
    let idx = RouteIndex::new(rules).find(rules, host, path)?;
    Some(rules.routes[idx].name.as_str())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let rules = rules(vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1)]),
    ]);
    assert_eq!(found(&rules, "a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(found(&rules, "a.example", "/x/yy"), Some("short"));
    assert_eq!(found(&rules, "A.Example:8080", "/x/1"), Some("short"));
    assert_eq!(found(&rules, "a.example", "/x"), None);
    assert_eq!(found(&rules, "c.example", "/x/1"), None);
}

#[test]
fn shares_follow_their_weights() {
    let route = route("split", "a.example", "/x/", &[("s", 90), ("t", 10), ("never", 0)]);
    let draws = 10_000_u32;
    let step = u32::MAX / draws;
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for draw in 0..draws {
        *counts.entry(route.pick(draw * step).unwrap().as_str()).or_default() += 1;
    }
    assert_eq!(counts.get("never"), None);
    assert!((8_990..=9_010).contains(&counts["s"]), "{counts:?}");
}
