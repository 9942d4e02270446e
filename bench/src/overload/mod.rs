//! Measures overload: a surge of load while a service deep in the call graph is slow and callers
//! re-send often.
//!
//! The same load runs under three policies on a simulated clock. See
//! [overload](../../../docs/design/overload.md).

mod clock;
mod deployment;
mod queue;
mod simulation;
mod stats;
#[cfg(test)]
mod tests;

use std::time::Duration;

use bpaf::Bpaf;

use deployment::{ALL, Deployment};
use queue::Policy;
use simulation::{LoadShape, Simulation};
use stats::Figures;

/// Error message for a factor on the command line that is out of range.
const FACTOR_RANGE: &str = "must be between 0.1 and 20";

fn is_factor(factor: &f64) -> bool {
    (0.1..=20.0).contains(factor)
}

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Seed of every random number
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Load in the surge, in multiples of the capacity at full speed
    #[bpaf(argument("X"), guard(is_factor, FACTOR_RANGE), fallback(3.0), display_fallback)]
    surge: f64,
    /// Load before and after the surge, in multiples of the same capacity
    #[bpaf(argument("X"), guard(is_factor, FACTOR_RANGE), fallback(0.6), display_fallback)]
    calm: f64,
    /// Factor on the service time of the slow service during the surge
    #[bpaf(argument("X"), guard(is_factor, FACTOR_RANGE), fallback(2.0), display_fallback)]
    slowdown: f64,
    /// Factor by which the slow service's targets announce more slots than they have
    #[bpaf(argument("X"), guard(is_factor, FACTOR_RANGE), fallback(1.0), display_fallback)]
    overstated: f64,
    /// Deployment to run: armor or vatuvale; both if absent
    #[bpaf(argument("NAME"))]
    deployment: Option<String>,
    /// Run only with poplarbridge
    only: bool,
}

/// Runs the measurement and prints its tables and summary lines. The summary line with the lowest
/// goodput is printed last.
pub(crate) fn run(options: &Options) {
    let chosen = ALL.iter().filter(|deployment| match &options.deployment {
        Some(name) => deployment.name == name,
        None => true,
    });
    let lines: Vec<_> = chosen.map(|deployment| measure(deployment, options)).collect();
    if lines.is_empty() {
        eprintln!("overload: unknown deployment; the deployments are armor and vatuvale");
        std::process::exit(2);
    }
    for line in &lines {
        println!("{}", line.text);
    }
    let worse = lines.iter().min_by(|a, b| a.share.total_cmp(&b.share));
    if let (Some(worse), Some(last)) = (worse, lines.last())
        && worse.text != last.text
    {
        println!("{}", worse.text);
    }
}

/// Summary line of one deployment, and its goodput as a fraction of the best.
struct Line {
    share: f64,
    text: String,
}

fn measure(deployment: &Deployment, options: &Options) -> Line {
    let Options { seed, surge, calm, slowdown, overstated, .. } = *options;
    let phase = Duration::from_secs(20);
    let shape = LoadShape { seed, surge, calm, slowdown, overstated, phase };
    println!("{}: capacity {:.0}/s, surge {surge}, seed {seed}", deployment.name, {
        deployment.capacity()
    });
    let mut line = Line { share: 0.0, text: String::new() };
    for policy in Policy::ALL {
        if options.only && policy != Policy::Bridge {
            continue;
        }
        let stats = Simulation::new(deployment, policy, shape).run();
        let figures = stats.figures(deployment);
        println!(
            "  {:<13} goodput {:.3} (through the slow service {:.3})  wasted {:.3}  recovery {:.2} s  most re-sends {}  \
             lesser spared {}  refused with room {}",
            policy.name(),
            figures.goodput_share,
            figures.slow_service_share,
            figures.wasted_share,
            figures.recovery_s,
            stats.max_resends,
            stats.violations,
            stats.refused_with_room,
        );
        print_classes(deployment, &figures);
        line = Line {
            share: figures.goodput_share,
            text: format!(
                "goodput_share={:.3} wasted_share={:.3} recovery_s={:.2} violations={} seed={seed}",
                figures.goodput_share, figures.wasted_share, figures.recovery_s, stats.violations,
            ),
        };
    }
    line
}

fn print_classes(deployment: &Deployment, figures: &Figures) {
    for class in deployment.class_indices() {
        let spec = deployment.class(class);
        if spec.load_percent == 0 {
            continue;
        }
        println!(
            "    {:<10} importance {}  offered {:>7.1}/s  best {:>7.1}/s  whole {:>7.1}/s",
            spec.name,
            spec.importance,
            figures.offered[class.0],
            figures.best[class.0],
            figures.succeeded[class.0],
        );
    }
}
