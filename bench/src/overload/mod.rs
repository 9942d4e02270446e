//! Overload: a surge while the deep service runs slow and callers re-send hard.
//!
//! Three ways to handle the same load run side by side on a fake clock. See
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

/// What a factor on the command line has to be.
const FACTOR: &str = "must lie between 0.1 and 20";

fn is_factor(factor: &f64) -> bool {
    (0.1..=20.0).contains(factor)
}

/// Settings of the measure.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Seed of every random number
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Load under pressure, in multiples of the capacity at full speed
    #[bpaf(argument("X"), guard(is_factor, FACTOR), fallback(3.0), display_fallback)]
    surge: f64,
    /// Load in calm, in multiples of the same capacity
    #[bpaf(argument("X"), guard(is_factor, FACTOR), fallback(0.6), display_fallback)]
    calm: f64,
    /// Factor on the service time of the deep service under pressure
    #[bpaf(argument("X"), guard(is_factor, FACTOR), fallback(2.0), display_fallback)]
    slowdown: f64,
    /// Factor by which the deep service's targets announce more slots than they have
    #[bpaf(argument("X"), guard(is_factor, FACTOR), fallback(1.0), display_fallback)]
    overstated: f64,
    /// Deployment to run: armor or vatuvale; both without it
    #[bpaf(argument("NAME"))]
    deployment: Option<String>,
    /// Run poplarbridge only
    only: bool,
}

/// Runs the measure and prints its tables and last lines.
pub(crate) fn run(options: &Options) {
    let chosen = ALL.iter().filter(|deployment| match &options.deployment {
        Some(name) => deployment.name == name,
        None => true,
    });
    let lines: Vec<_> = chosen.map(|deployment| measure(deployment, options)).collect();
    if lines.is_empty() {
        eprintln!("overload: no such deployment; there are armor and vatuvale");
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

/// Last line of one deployment.
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
