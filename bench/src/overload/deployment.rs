//! The two simulated deployments: services, classes, and the best goodput that their slots allow.

use poplar_core::Importance;

/// Index of a service in its deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServiceIdx(pub(crate) usize);

/// Index of a class in its deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClassIdx(pub(crate) usize);

/// One service: its number of targets, and the slots and connections of each target.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// One class of calls.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) service: ServiceIdx,
    pub(crate) importance: Importance,
    /// Mean time that the target works on a call without its nested calls, in milliseconds.
    pub(crate) work_ms: u64,
    /// Classes of the nested calls, which are made one after the other once that work is done.
    pub(crate) calls: &'static [ClassIdx],
    /// Percentage of the callers' requests that have this class.
    pub(crate) load_percent: u32,
    pub(crate) deadline_ms: u64,
}

/// One deployment.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) zones: usize,
    /// One-latency latency to the callers, in milliseconds.
    pub(crate) client_latency_ms: u64,
    pub(crate) services: &'static [Service],
    pub(crate) classes: &'static [Class],
    /// Service that slows down during the surge.
    pub(crate) slow_service: ServiceIdx,
}

/// One-latency latency between availability zones, in microseconds.
pub(crate) const CROSS_ZONE_MICROS: u64 = 1_000;
/// One-latency latency within an availability zone, in microseconds.
pub(crate) const SAME_ZONE_MICROS: u64 = 100;

const fn service(name: &'static str, targets: usize, slots: u32, connections: u32) -> Service {
    Service { name, targets, slots, connections }
}

const ARMOR: Deployment = Deployment {
    name: "armor",
    zones: 4,
    client_latency_ms: 8,
    services: &[
        service("archives", 5, 130, 900),
        service("reminders", 4, 160, 1_100),
        service("corrections", 4, 160, 1_100),
        service("listings", 4, 20, 230),
    ],
    classes: &[
        class("correct", 2, 9, 20, &[ClassIdx(5)], 10, 2_000),
        class("book", 1, 6, 20, &[ClassIdx(5)], 35, 2_000),
        class("history", 0, 3, 10, &[], 20, 1_000),
        class("guide", 3, 2, 40, &[ClassIdx(4)], 35, 1_000),
        class("archive-read", 0, 2, 10, &[], 0, 1_000),
        class("archive-search", 0, 6, 10, &[ClassIdx(6)], 0, 2_000),
        class("listing-read", 3, 6, 40, &[], 0, 2_000),
    ],
    slow_service: ServiceIdx(3),
};

const VATUVALE: Deployment = Deployment {
    name: "vatuvale",
    zones: 3,
    client_latency_ms: 3,
    services: &[
        service("policy-desk", 5, 200, 1_300),
        service("claims-office", 4, 260, 1_600),
        service("field-dispatch", 3, 340, 2_150),
        service("parts-counter", 3, 50, 400),
    ],
    classes: &[
        class("payout", 1, 9, 20, &[ClassIdx(5), ClassIdx(6)], 10, 3_000),
        class("dispatch", 2, 8, 20, &[ClassIdx(7)], 15, 2_000),
        class("parts", 3, 5, 60, &[], 35, 1_000),
        class("cover", 0, 4, 10, &[ClassIdx(8)], 20, 3_000),
        class("quote", 0, 2, 15, &[ClassIdx(6)], 20, 2_000),
        class("policy-read", 0, 4, 10, &[], 0, 2_000),
        class("assess", 2, 4, 15, &[ClassIdx(7)], 0, 2_000),
        class("parts-check", 3, 4, 60, &[], 0, 2_000),
        class("claim-status", 1, 4, 10, &[], 0, 2_000),
    ],
    slow_service: ServiceIdx(3),
};

const fn class(
    name: &'static str,
    service: usize,
    importance: u8,
    work_ms: u64,
    calls: &'static [ClassIdx],
    load_percent: u32,
    deadline_ms: u64,
) -> Class {
    let service = ServiceIdx(service);
    let importance = Importance(importance);
    Class { name, service, importance, work_ms, calls, load_percent, deadline_ms }
}

/// Both deployments, Armor's first.
pub(crate) const ALL: [&Deployment; 2] = [&ARMOR, &VATUVALE];

impl Deployment {
    pub(crate) fn class(&self, idx: ClassIdx) -> &Class {
        &self.classes[idx.0]
    }

    pub(crate) fn class_indices(&self) -> impl Iterator<Item = ClassIdx> + use<> {
        (0..self.classes.len()).map(ClassIdx)
    }

    /// Returns the class itself and every class that its runs call, directly or indirectly; a class
    /// that is called several times is repeated.
    pub(crate) fn reachable_classes(&self, class: ClassIdx) -> Vec<ClassIdx> {
        let mut all = vec![class];
        for callee in self.class(class).calls {
            all.extend(self.reachable_classes(*callee));
        }
        all
    }

    /// Returns whether calls of the class reach the service that slows down.
    pub(crate) fn uses_slow_service(&self, class: ClassIdx) -> bool {
        self.reachable_classes(class)
            .iter()
            .any(|reached| self.class(*reached).service == self.slow_service)
    }

    /// Returns the time in seconds for which one call of the class holds a slot of its service when
    /// nothing is queued, including the nested calls and their mean network latency.
    fn slot_seconds(&self, class: ClassIdx, slowdown: f64) -> f64 {
        let spec = self.class(class);
        let factor = if spec.service == self.slow_service { slowdown } else { 1.0 };
        let work = spec.work_ms as f64 / 1e3 * factor;
        let cross_zone_fraction = 1.0 - 1.0 / self.zones as f64;
        let latency = (SAME_ZONE_MICROS as f64
            + cross_zone_fraction * (CROSS_ZONE_MICROS - SAME_ZONE_MICROS) as f64)
            / 1e6;
        let calls =
            spec.calls.iter().map(|callee| self.slot_seconds(*callee, slowdown) + 2.0 * latency);
        work + calls.sum::<f64>()
    }

    /// Returns the slot time in seconds that one request of the class takes at each service.
    fn demand(&self, class: ClassIdx, slowdown: f64) -> Vec<f64> {
        let mut demand = vec![0.0; self.services.len()];
        for reached in self.reachable_classes(class) {
            demand[self.class(reached).service.0] += self.slot_seconds(reached, slowdown);
        }
        demand
    }

    fn total_slots(&self) -> Vec<f64> {
        self.services.iter().map(|s| s.targets as f64 * f64::from(s.slots)).collect()
    }

    /// Returns the requests per second that the deployment completes with its mix of classes and no
    /// slowdown.
    pub(crate) fn capacity(&self) -> f64 {
        let mut need = vec![0.0; self.services.len()];
        for class in self.class_indices() {
            let share = f64::from(self.class(class).load_percent) / 100.0;
            for (need, slot) in need.iter_mut().zip(self.demand(class, 1.0)) {
                *need += share * slot;
            }
        }
        let slots = self.total_slots();
        slots.iter().zip(need).map(|(slots, need)| slots / need).fold(f64::MAX, f64::min)
    }

    /// Returns the largest rate per class, in requests per second, that the slots allow if the most
    /// important classes are served first.
    ///
    /// Each class gets as much of its offered rate as fits in the slots that more important classes
    /// leave free, if no call is ever queued.
    pub(crate) fn best_rates(&self, offered: &[f64], slowdown: f64) -> Vec<f64> {
        let mut order: Vec<_> = self.class_indices().collect();
        order.sort_by_key(|class| std::cmp::Reverse(self.class(*class).importance));
        let mut left = self.total_slots();
        let mut best = vec![0.0; self.classes.len()];
        for class in order {
            let demand = self.demand(class, slowdown);
            let fits = left.iter().zip(&demand).filter(|(_, need)| **need > 0.0);
            let most = fits.map(|(left, need)| left / need).fold(f64::MAX, f64::min);
            best[class.0] = offered[class.0].min(most);
            for (left, need) in left.iter_mut().zip(&demand) {
                *left = (*left - best[class.0] * need).max(0.0);
            }
        }
        best
    }
}
