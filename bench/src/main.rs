//! Measurements that print the figures quoted in the pages.
//!
//! `overload` drives the decisions of `poplar-core` on a fake clock against fake targets;
//! `membership` lets the members of one service exchange their real messages.
//! `faults`, `operators`, `latency` and `footprint` start the real programs on loopback.
//! Each measure prints a table, then one last line of `key=value` pairs.

mod cost;
mod deployment;
mod faults;
mod footprint;
mod group;
mod latency;
mod membership;
mod operators;
mod overload;

use bpaf::Bpaf;

/// Measures of poplarbridge.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Measure {
    /// Goodput, waste and recovery under a surge with a slow deep service, on a fake clock.
    #[bpaf(command)]
    Overload(#[bpaf(external(overload::options))] overload::Options),
    /// Faults against running processes while load runs.
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::options))] faults::Options),
    /// Time that two nodes add to a call, direct against through.
    #[bpaf(command)]
    Latency(#[bpaf(external(latency::options))] latency::Options),
    /// Two operators in a loop against a log that loses acknowledgements, while nodes are killed.
    #[bpaf(command)]
    Operators(#[bpaf(external(operators::options))] operators::Options),
    /// Processor time and memory of nodes that nobody calls.
    #[bpaf(command)]
    Footprint(#[bpaf(external(footprint::options))] footprint::Options),
    /// Time to notice, false suspicions and traffic of membership, on a fake clock.
    #[bpaf(command)]
    Membership(#[bpaf(external(membership::options))] membership::Options),
    /// Time and memory of one decision, and their slopes.
    #[bpaf(command)]
    Cost(#[bpaf(external(cost::options))] cost::Options),
}

fn main() {
    match measure().run() {
        Measure::Operators(options) => operators::run(&options),
        Measure::Footprint(options) => footprint::run(&options),
        Measure::Overload(options) => overload::run(&options),
        Measure::Cost(options) => cost::run(&options),
        Measure::Faults(options) => faults::run(&options),
        Measure::Latency(options) => latency::run(&options),
        Measure::Membership(options) => membership::run(&options),
    }
}
