//! Read plans of all nodes of a simulated fleet, which exchange subscriptions and heartbeats.
//!
//! The tests guard against control traffic that grows with the fleet: the number of readers and
//! the links of a node must be the same for 30 nodes and for 300.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};

use poplar_core::{LOCAL_HEARTBEAT, Moment, Name, ReadPlan, ReadPlanner, Reads};

/// Time between two plans of a node, in milliseconds.
const TICK_MS: u64 = 150;
/// Number of availability zones of a fleet.
const ZONES: usize = 6;

/// Nodes that make plans and send each other heartbeats.
struct Fleet {
    /// Current time, in milliseconds.
    now: u64,
    nodes: BTreeMap<Name, Node>,
    /// Zones that are cut off from all others.
    cut: BTreeSet<Name>,
}

struct Node {
    zone: Name,
    planner: ReadPlanner,
    plan: ReadPlan,
    /// Whether the node runs; dead and frozen nodes do not.
    up: bool,
    /// Whether the store answers the node.
    store: bool,
}

impl Fleet {
    fn start(size: usize) -> Self {
        let names = (0..size).map(|idx| Name::new(&format!("10.0.{}.{}:7", idx / 250, idx % 250)));
        let zoned: Vec<_> = names
            .enumerate()
            .map(|(idx, name)| (name, Name::new(&format!("zone-{}", idx % ZONES))))
            .collect();
        let nodes = zoned.iter().map(|(name, zone)| {
            let mut planner = ReadPlanner::new(name.clone(), zone.clone());
            planner.set_members(zoned.iter().map(|(peer, zone)| (peer, zone)));
            let plan = ReadPlan::default();
            (name.clone(), Node { zone: zone.clone(), planner, plan, up: true, store: true })
        });
        Self { now: 0, nodes: nodes.collect(), cut: BTreeSet::new() }
    }

    /// Advances the clock by `ms`: each node makes a plan, renews its subscriptions and gets
    /// heartbeats from its sources.
    fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            let now = Moment::from_millis(self.now);
            for node in self.nodes.values_mut().filter(|node| node.up) {
                node.plan = node.planner.plan(now);
            }
            let subscriptions: Vec<(Name, Name)> = self.subscriptions().collect();
            let sends_heartbeats = self.now.is_multiple_of(LOCAL_HEARTBEAT.as_millis() as u64);
            for (subscriber, source) in subscriptions {
                if !self.reaches(&subscriber, &source) {
                    // A dead process refuses the connection, and a frozen or partitioned one does
                    // not answer. The simulation reports neither to the planner.
                    continue;
                }
                let node = self.nodes.get_mut(&source).unwrap();
                node.planner.on_subscribe(now);
                let plan = node.plan.reads;
                let reads =
                    Reads { rules: node.store && plan.rules, targets: node.store && plan.targets };
                if sends_heartbeats {
                    self.nodes
                        .get_mut(&subscriber)
                        .unwrap()
                        .planner
                        .on_heartbeat(now, &source, reads);
                }
            }
        }
    }

    /// Subscriptions, as pairs of subscriber and source.
    fn subscriptions(&self) -> impl Iterator<Item = (Name, Name)> + '_ {
        let up = self.nodes.iter().filter(|(_, node)| node.up);
        up.flat_map(|(name, node)| node.plan.sources.iter().map(|s| (name.clone(), s.clone())))
    }

    fn reaches(&self, one: &Name, two: &Name) -> bool {
        let (one, two) = (&self.nodes[one], &self.nodes[two]);
        let separated =
            one.zone != two.zone && (self.cut.contains(&one.zone) || self.cut.contains(&two.zone));
        two.up && !separated
    }

    /// Nodes that read the rules.
    fn readers(&self) -> Vec<&Name> {
        self.reading(|reads| reads.rules)
    }

    fn reading(&self, what: fn(&Reads) -> bool) -> Vec<&Name> {
        let up = self.nodes.iter().filter(|(_, node)| node.up && what(&node.plan.reads));
        up.map(|(name, _)| name).collect()
    }

    /// Nodes that for the rules or the records of targets neither get answers from the store nor
    /// subscribe to a node that does.
    fn without_updates(&self) -> Vec<&Name> {
        let without_updates = |what| {
            self.nodes.iter().filter(move |(n, node)| node.up && !self.gets_updates(n, what))
        };
        without_updates(|reads| reads.rules)
            .chain(without_updates(|reads| reads.targets))
            .map(|(n, _)| n)
            .collect()
    }

    fn gets_updates(&self, name: &Name, what: fn(&Reads) -> bool) -> bool {
        let reads = |node: &Node| node.up && node.store && what(&node.plan.reads);
        let mut sources = self.nodes[name].plan.sources.iter();
        reads(&self.nodes[name]) || sources.any(|s| reads(&self.nodes[s]) && self.reaches(name, s))
    }

    fn max_links(&self) -> usize {
        let mut links: BTreeMap<Name, usize> = BTreeMap::new();
        for (subscriber, source) in self.subscriptions() {
            *links.entry(subscriber).or_default() += 1;
            *links.entry(source).or_default() += 1;
        }
        links.into_values().max().unwrap()
    }
}

#[test]
fn numbers_of_readers_and_links_do_not_grow_with_the_fleet() {
    for size in [30, 100, 300] {
        let mut fleet = Fleet::start(size);
        fleet.advance(6_000);
        assert_eq!(fleet.readers().len(), 2 * ZONES, "{size} nodes");
        assert_eq!(fleet.reading(|reads| reads.targets).len(), ZONES, "{size} nodes");
        assert_eq!(fleet.without_updates(), Vec::<&Name>::new(), "{size} nodes");
        let max_sources = fleet.nodes.values().map(|node| node.plan.sources.len()).max().unwrap();
        assert!(max_sources < 2 + ZONES, "{max_sources} sources at {size} nodes");
    }
}

#[test]
fn large_zone_has_more_readers_so_that_each_has_few_subscribers() {
    let mut fleet = Fleet::start(1_200);
    fleet.advance(6_000);
    assert!(fleet.max_links() <= 2 * 64 + 20, "{}", fleet.max_links());
    assert!(fleet.readers().len() <= 6 * ZONES, "{}", fleet.readers().len());
}

#[test]
fn other_nodes_replace_all_readers_within_two_seconds_if_they_die_at_once() {
    let mut fleet = Fleet::start(100);
    fleet.advance(6_000);
    let dead: Vec<Name> = fleet.readers().into_iter().cloned().collect();
    for name in &dead {
        fleet.nodes.get_mut(name).unwrap().up = false;
    }
    fleet.advance(1_200);
    assert_eq!(fleet.without_updates(), Vec::<&Name>::new());
    fleet.advance(12_000);
    assert!(fleet.readers().len() <= 2 * ZONES, "{:?}", fleet.readers());
}

#[test]
fn readers_that_the_store_does_not_answer_are_replaced() {
    let mut fleet = Fleet::start(100);
    fleet.advance(6_000);
    let refused: Vec<Name> = fleet.readers().into_iter().cloned().collect();
    for name in &refused {
        fleet.nodes.get_mut(name).unwrap().store = false;
    }
    fleet.advance(1_350);
    assert_eq!(fleet.without_updates(), Vec::<&Name>::new());
}

#[test]
fn all_nodes_read_while_the_store_is_down_and_few_once_it_is_back() {
    let mut fleet = Fleet::start(100);
    fleet.advance(6_000);
    fleet.nodes.values_mut().for_each(|node| node.store = false);
    fleet.advance(9_000);
    assert_eq!(fleet.readers().len(), 100);
    fleet.nodes.values_mut().for_each(|node| node.store = true);
    fleet.advance(450);
    assert_eq!(fleet.without_updates(), Vec::<&Name>::new());
    fleet.advance(20_000);
    assert_eq!(fleet.readers().len(), 2 * ZONES);
}

#[test]
fn zone_that_is_cut_off_keeps_its_readers() {
    let mut fleet = Fleet::start(100);
    fleet.advance(6_000);
    fleet.cut.insert(Name::new("zone-2"));
    fleet.advance(10_000);
    assert_eq!(fleet.without_updates(), Vec::<&Name>::new());
    assert_eq!(fleet.readers().len(), 2 * ZONES);
}

#[test]
fn node_that_knows_no_other_node_reads_the_store_itself() {
    let mut planner = ReadPlanner::new(Name::new("10.0.0.1:7"), Name::new("zone-1"));
    let plan = planner.plan(Moment::from_millis(0));
    let reads = Reads { rules: false, targets: true };
    assert_eq!(plan, ReadPlan { sources: Vec::new(), reads });
    let plan = planner.plan(Moment::from_millis(1_200));
    let reads = Reads { rules: true, targets: true };
    assert_eq!(plan, ReadPlan { sources: Vec::new(), reads });
}

/// A source without fresh heartbeats is not trusted: its subscriber selects another source or reads
/// the store itself.
#[test]
fn node_whose_sources_stop_gets_another_source_within_a_second_and_a_half() {
    let mut fleet = Fleet::start(30);
    fleet.advance(6_000);
    let reads = |fleet: &Fleet, name: &Name| fleet.nodes[name].plan.reads.rules;
    let non_reader = fleet.nodes.keys().find(|name| !reads(&fleet, name)).unwrap().clone();
    for source in fleet.nodes[&non_reader].plan.sources.clone() {
        fleet.nodes.get_mut(&source).unwrap().up = false;
    }
    assert!(!fleet.gets_updates(&non_reader, |reads| reads.rules));
    fleet.advance(1_350);
    assert_eq!(fleet.without_updates(), Vec::<&Name>::new());
}

/// Guards against a burst of calls to the store when all processes start at once, as after a power
/// failure.
#[test]
fn few_nodes_read_the_rules_when_all_start_at_once() {
    let mut fleet = Fleet::start(100);
    let mut read = BTreeSet::new();
    for _ in 0..20 {
        fleet.advance(TICK_MS);
        read.extend(fleet.readers().into_iter().cloned());
    }
    assert!(read.len() <= 3 * ZONES, "{} nodes read the rules", read.len());
    assert_eq!(fleet.without_updates(), Vec::<&Name>::new());
}

/// If all processes start at about the same time, the sources of a node may not run yet. The node
/// must not wait for them before it reads the rules.
#[test]
fn starting_node_does_not_wait_for_unreachable_readers() {
    let names: Vec<Name> = (0..4).map(|idx| Name::new(&format!("10.0.0.{idx}:7"))).collect();
    let zone = Name::new("zone-1");
    let mut planners: Vec<_> =
        names.iter().map(|name| ReadPlanner::new(name.clone(), zone.clone())).collect();
    for planner in &mut planners {
        planner.set_members(names.iter().map(|name| (name, &zone)));
    }
    let now = Moment::from_millis(0);
    let non_reader = planners.iter_mut().find_map(|planner| {
        let plan = planner.plan(now);
        (!plan.reads.rules).then_some((planner, plan.sources))
    });
    let (non_reader, sources) = non_reader.unwrap();
    non_reader.on_unreachable(now, &sources[0]);
    assert!(non_reader.plan(Moment::from_millis(20)).reads.rules);
}

/// A node that reads at its start that no other node is in its zone has no reader to wait for.
#[test]
fn starting_node_that_is_alone_in_its_zone_reads_at_once() {
    let (own, zone) = (Name::new("10.0.0.1:7"), Name::new("zone-1"));
    let mut planner = ReadPlanner::new(own.clone(), zone.clone());
    let now = Moment::from_millis(0);
    assert!(!planner.plan(now).reads.rules);
    planner.set_members([(&own, &zone), (&Name::new("10.0.0.2:7"), &Name::new("zone-2"))]);
    assert!(planner.plan(now).reads.rules);
}
