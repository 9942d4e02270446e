//! Who reads the store for whom, as decided by all nodes of a fleet without a network.
//!
//! Pattern: control that grows with the fleet. What a node does for news must be the same among
//! thirty nodes and among three hundred.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};

use poplar_core::{LOCAL_HEARTBEAT, Moment, Name, ReadPlan, ReadPlanner, Reads};

/// Pause between two plans of a node, in milliseconds.
const TICK_MS: u64 = 150;
/// Zones of the fleets.
const ZONES: usize = 6;

/// Nodes that plan and give each other signs of life.
struct Fleet {
    now: u64,
    nodes: BTreeMap<Name, Node>,
    /// Zones that no sign leaves or enters.
    cut: BTreeSet<Name>,
}

struct Node {
    zone: Name,
    readers: ReadPlanner,
    plan: ReadPlan,
    /// Dead and frozen nodes do nothing.
    up: bool,
    /// Whether the store answers it.
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
            let mut readers = ReadPlanner::new(name.clone(), zone.clone());
            readers.set_members(zoned.iter().map(|(peer, zone)| (peer, zone)));
            let plan = ReadPlan::default();
            (name.clone(), Node { zone: zone.clone(), readers, plan, up: true, store: true })
        });
        Self { now: 0, nodes: nodes.collect(), cut: BTreeSet::new() }
    }

    /// Lets time pass: each node plans, asks its sources and hears from them.
    fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            let now = Moment::from_millis(self.now);
            for node in self.nodes.values_mut().filter(|node| node.up) {
                node.plan = node.readers.plan(now);
            }
            let asked: Vec<(Name, Name)> = self.pairs().collect();
            let beats = self.now.is_multiple_of(LOCAL_HEARTBEAT.as_millis() as u64);
            for (asker, source) in asked {
                if !self.reaches(&asker, &source) {
                    // A dead process refuses, a frozen or cut one says nothing.
                    continue;
                }
                let node = self.nodes.get_mut(&source).unwrap();
                node.readers.on_subscribe(now);
                let plan = node.plan.reads;
                let reads =
                    Reads { rules: node.store && plan.rules, targets: node.store && plan.targets };
                if beats {
                    self.nodes.get_mut(&asker).unwrap().readers.on_heartbeat(now, &source, reads);
                }
            }
        }
    }

    /// Subscriptions: who asks whom.
    fn pairs(&self) -> impl Iterator<Item = (Name, Name)> + '_ {
        let up = self.nodes.iter().filter(|(_, node)| node.up);
        up.flat_map(|(name, node)| node.plan.sources.iter().map(|s| (name.clone(), s.clone())))
    }

    fn reaches(&self, one: &Name, two: &Name) -> bool {
        let (one, two) = (&self.nodes[one], &self.nodes[two]);
        let apart =
            one.zone != two.zone && (self.cut.contains(&one.zone) || self.cut.contains(&two.zone));
        two.up && !apart
    }

    /// Nodes that read the rules.
    fn readers(&self) -> Vec<&Name> {
        self.reading(|reads| reads.rules)
    }

    fn reading(&self, what: fn(&Reads) -> bool) -> Vec<&Name> {
        let up = self.nodes.iter().filter(|(_, node)| node.up && what(&node.plan.reads));
        up.map(|(name, _)| name).collect()
    }

    /// Nodes that neither read with an answer from the store nor hear from one that does.
    fn unfed(&self) -> Vec<&Name> {
        let unfed = |what| self.nodes.iter().filter(move |(n, node)| node.up && !self.fed(n, what));
        unfed(|reads| reads.rules).chain(unfed(|reads| reads.targets)).map(|(n, _)| n).collect()
    }

    fn fed(&self, name: &Name, what: fn(&Reads) -> bool) -> bool {
        let reads = |node: &Node| node.up && node.store && what(&node.plan.reads);
        let mut sources = self.nodes[name].plan.sources.iter();
        reads(&self.nodes[name]) || sources.any(|s| reads(&self.nodes[s]) && self.reaches(name, s))
    }

    fn most_links(&self) -> usize {
        let mut links: BTreeMap<Name, usize> = BTreeMap::new();
        for (asker, source) in self.pairs() {
            *links.entry(asker).or_default() += 1;
            *links.entry(source).or_default() += 1;
        }
        links.into_values().max().unwrap()
    }
}

#[test]
fn readers_and_links_do_not_grow_with_the_fleet() {
    for size in [30, 100, 300] {
        let mut fleet = Fleet::start(size);
        fleet.pass(6_000);
        assert_eq!(fleet.readers().len(), 2 * ZONES, "{size} nodes");
        assert_eq!(fleet.reading(|reads| reads.targets).len(), ZONES, "{size} nodes");
        assert_eq!(fleet.unfed(), Vec::<&Name>::new(), "{size} nodes");
        let most = fleet.nodes.values().map(|node| node.plan.sources.len()).max().unwrap();
        assert!(most < 2 + ZONES, "{most} sources at {size} nodes");
    }
}

#[test]
fn large_zone_has_more_readers_so_that_each_has_few_subscribers() {
    let mut fleet = Fleet::start(1_200);
    fleet.pass(6_000);
    assert!(fleet.most_links() <= 2 * 64 + 20, "{}", fleet.most_links());
    assert!(fleet.readers().len() <= 6 * ZONES, "{}", fleet.readers().len());
}

#[test]
fn others_take_over_within_two_seconds_when_all_readers_die_at_once() {
    let mut fleet = Fleet::start(100);
    fleet.pass(6_000);
    let dead: Vec<Name> = fleet.readers().into_iter().cloned().collect();
    for name in &dead {
        fleet.nodes.get_mut(name).unwrap().up = false;
    }
    fleet.pass(1_200);
    assert_eq!(fleet.unfed(), Vec::<&Name>::new());
    fleet.pass(12_000);
    assert!(fleet.readers().len() <= 2 * ZONES, "{:?}", fleet.readers());
}

#[test]
fn readers_that_the_store_refuses_are_left_for_others() {
    let mut fleet = Fleet::start(100);
    fleet.pass(6_000);
    let refused: Vec<Name> = fleet.readers().into_iter().cloned().collect();
    for name in &refused {
        fleet.nodes.get_mut(name).unwrap().store = false;
    }
    fleet.pass(1_350);
    assert_eq!(fleet.unfed(), Vec::<&Name>::new());
}

#[test]
fn every_node_tries_the_store_while_it_answers_nobody_and_few_do_once_it_is_back() {
    let mut fleet = Fleet::start(100);
    fleet.pass(6_000);
    fleet.nodes.values_mut().for_each(|node| node.store = false);
    fleet.pass(9_000);
    assert_eq!(fleet.readers().len(), 100);
    fleet.nodes.values_mut().for_each(|node| node.store = true);
    fleet.pass(450);
    assert_eq!(fleet.unfed(), Vec::<&Name>::new());
    fleet.pass(20_000);
    assert_eq!(fleet.readers().len(), 2 * ZONES);
}

#[test]
fn zone_that_is_cut_off_keeps_its_own_readers() {
    let mut fleet = Fleet::start(100);
    fleet.pass(6_000);
    fleet.cut.insert(Name::new("zone-2"));
    fleet.pass(10_000);
    assert_eq!(fleet.unfed(), Vec::<&Name>::new());
    assert_eq!(fleet.readers().len(), 2 * ZONES);
}

#[test]
fn node_that_knows_nobody_reads_for_itself() {
    let mut readers = ReadPlanner::new(Name::new("10.0.0.1:7"), Name::new("zone-1"));
    let plan = readers.plan(Moment::from_millis(0));
    let reads = Reads { rules: false, targets: true };
    assert_eq!(plan, ReadPlan { sources: Vec::new(), reads });
    let plan = readers.plan(Moment::from_millis(1_200));
    let reads = Reads { rules: true, targets: true };
    assert_eq!(plan, ReadPlan { sources: Vec::new(), reads });
}

/// A reader that hears of nothing itself is not trusted for the time since.
#[test]
fn node_whose_sources_fall_silent_is_fed_again_within_a_second_and_a_half() {
    let mut fleet = Fleet::start(30);
    fleet.pass(6_000);
    let reads = |fleet: &Fleet, name: &Name| fleet.nodes[name].plan.reads.rules;
    let quiet = fleet.nodes.keys().find(|name| !reads(&fleet, name)).unwrap().clone();
    for source in fleet.nodes[&quiet].plan.sources.clone() {
        fleet.nodes.get_mut(&source).unwrap().up = false;
    }
    assert!(!fleet.fed(&quiet, |reads| reads.rules));
    fleet.pass(1_350);
    assert_eq!(fleet.unfed(), Vec::<&Name>::new());
}

/// Pattern: all processes start at once, as after a loss of power, and all call the store.
#[test]
fn start_of_all_at_once_has_few_read_the_rules() {
    let mut fleet = Fleet::start(100);
    let mut read = BTreeSet::new();
    for _ in 0..20 {
        fleet.pass(TICK_MS);
        read.extend(fleet.readers().into_iter().cloned());
    }
    assert!(read.len() <= 3 * ZONES, "{} nodes read the rules", read.len());
    assert_eq!(fleet.unfed(), Vec::<&Name>::new());
}

/// Pattern: all processes start at once but not at the same moment; the readers of one may not be up.
#[test]
fn starting_node_does_not_wait_for_readers_that_refuse_it() {
    let names: Vec<Name> = (0..4).map(|idx| Name::new(&format!("10.0.0.{idx}:7"))).collect();
    let zone = Name::new("zone-1");
    let mut fleet: Vec<_> =
        names.iter().map(|name| ReadPlanner::new(name.clone(), zone.clone())).collect();
    for readers in &mut fleet {
        readers.set_members(names.iter().map(|name| (name, &zone)));
    }
    let now = Moment::from_millis(0);
    let quiet = fleet.iter_mut().find_map(|readers| {
        let plan = readers.plan(now);
        (!plan.reads.rules).then_some((readers, plan.sources))
    });
    let (quiet, sources) = quiet.unwrap();
    quiet.on_unreachable(now, &sources[0]);
    assert!(quiet.plan(Moment::from_millis(20)).reads.rules);
}

/// A node that is alone in its zone, by records that it reads at its start, has nobody to wait for.
#[test]
fn starting_node_that_is_alone_in_its_zone_reads_at_once() {
    let (own, zone) = (Name::new("10.0.0.1:7"), Name::new("zone-1"));
    let mut readers = ReadPlanner::new(own.clone(), zone.clone());
    let now = Moment::from_millis(0);
    assert!(!readers.plan(now).reads.rules);
    readers.set_members([(&own, &zone), (&Name::new("10.0.0.2:7"), &Name::new("zone-2"))]);
    assert!(readers.plan(now).reads.rules);
}
