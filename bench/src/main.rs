//! Measurements that print the figures quoted in the pages.
//!
//! `overload` drives the decisions of `poplar-core` on a fake clock against fake targets. Each
//! measure prints a table, then one last line of `key=value` pairs.

mod overload;

use bpaf::Bpaf;

/// Measures of poplarbridge.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Measure {
    /// Goodput, waste and recovery under a surge with a slow deep service, on a fake clock.
    #[bpaf(command)]
    Overload(#[bpaf(external(overload::options))] overload::Options),
}

fn main() {
    match measure().run() {
        Measure::Overload(options) => overload::run(&options),
    }
}
