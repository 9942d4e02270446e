//! Tests that goodput, waste and recovery stay within their bounds for fixed seeds.

use std::time::Duration;

use super::deployment::ALL;
use super::queue::Policy;
use super::simulation::{LoadShape, Simulation};

fn check(seed: u64, surge: f64) {
    let phase = Duration::from_secs(20);
    let shape = LoadShape { seed, surge, calm: 0.6, slowdown: 2.0, overstated: 1.0, phase };
    for deployment in ALL {
        let stats = Simulation::new(deployment, Policy::Bridge, shape).run();
        let figures = stats.figures(deployment);
        assert!(figures.goodput_share >= 0.95, "{}: {figures:?}", deployment.name);
        assert!(figures.wasted_share < 0.03, "{}: {figures:?}", deployment.name);
        assert!(figures.recovery_s < 1.0, "{}: {figures:?}", deployment.name);
        assert_eq!(stats.violations, 0, "{}", deployment.name);
        assert!(stats.max_resends <= 3, "{}", deployment.name);
    }
}

#[test]
fn goodput_waste_and_recovery_stay_within_bounds_at_three_times_the_capacity() {
    check(5, 3.0);
}

#[test]
fn goodput_waste_and_recovery_stay_within_bounds_at_one_and_a_half_times_the_capacity() {
    check(6, 1.5);
}
