//! Measurements that print the figures quoted in the pages.
//!
//! `overload` runs the decisions of `poplar-core` against simulated targets on a simulated clock;
//! `membership` simulates the members of one service, which exchange the real messages. `cost`
//! times single decisions. `faults`, `operators`, `latency` and `footprint` start the real programs
//! on loopback. Each measurement ends its output with a line of `key=value` pairs.

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

/// Measurements of poplarbridge.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Measure {
    /// Goodput, waste and recovery in a surge with a slow nested service, on a simulated clock.
    #[bpaf(command)]
    Overload(#[bpaf(external(overload::options))] overload::Options),
    /// Faults injected into running processes under load.
    #[bpaf(command)]
    Faults(#[bpaf(external(faults::options))] faults::Options),
    /// Latency that two nodes add to a call, compared with direct calls.
    #[bpaf(command)]
    Latency(#[bpaf(external(latency::options))] latency::Options),
    /// Two operators that publish in a loop, with lost acknowledgements of the log and killed
    /// nodes.
    #[bpaf(command)]
    Operators(#[bpaf(external(operators::options))] operators::Options),
    /// Processor time and memory of idle nodes.
    #[bpaf(command)]
    Footprint(#[bpaf(external(footprint::options))] footprint::Options),
    /// Detection time, false suspicions and traffic of membership, on a simulated clock.
    #[bpaf(command)]
    Membership(#[bpaf(external(membership::options))] membership::Options),
    /// Time and memory of one decision, and their growth with size.
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
