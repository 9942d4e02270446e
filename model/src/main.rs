//! Runs the exhaustive checks, and verifies that they detect every mutation.

use std::panic::resume_unwind;
use std::process::ExitCode;
use std::thread::{self, ScopedJoinHandle};

use bpaf::Bpaf;
use poplar_model::{CHECKS, Check, Report};

/// Visits every state of the core protocol's models within their bounds.
///
/// Exit code 0: every invariant holds, every witness is reached and every mutation is caught.
/// 1: one of these fails. 2: invalid arguments.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Check only this model
    #[bpaf(argument("NAME"))]
    model: Option<String>,
    /// Apply this mutation, and print the shortest run that violates an invariant
    #[bpaf(argument("NAME"))]
    mutate: Option<String>,
}

fn main() -> ExitCode {
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let wanted = |check: &&Check| options.model.as_deref().is_none_or(|name| name == check.name);
    let checks: Vec<&Check> = CHECKS.iter().filter(wanted).collect();
    if checks.is_empty() {
        return report_unknown_name("model", CHECKS.iter().map(|check| check.name));
    }
    match &options.mutate {
        None => run_all(&checks),
        Some(name) => run_mutated(&checks, name),
    }
}

fn report_unknown_name(what: &str, allowed: impl Iterator<Item = &'static str>) -> ExitCode {
    let allowed: Vec<_> = allowed.collect();
    eprintln!("unknown {what}; allowed: {}", allowed.join(", "));
    ExitCode::from(2)
}

fn run_all(checks: &[&Check]) -> ExitCode {
    let mut sound = true;
    for (check, report) in checks.iter().zip(run_in_parallel(checks)) {
        print_report(check, &report);
        sound &= report.is_ok();
    }
    println!("mutations:");
    for check in checks {
        sound &= run_mutations(check);
    }
    ExitCode::from(u8::from(!sound))
}

/// Runs each check on its own thread, because a few of them take most of the time.
fn run_in_parallel(checks: &[&Check]) -> Vec<Report> {
    thread::scope(|scope| {
        let start = |check: &&Check| {
            let run = check.run;
            scope.spawn(move || run(None))
        };
        let threads: Vec<_> = checks.iter().map(start).collect();
        let finish = |thread: ScopedJoinHandle<'_, Report>| match thread.join() {
            Ok(report) => report,
            Err(panic) => resume_unwind(panic),
        };
        threads.into_iter().map(finish).collect()
    })
}

fn run_mutations(check: &Check) -> bool {
    let mut caught = true;
    for mutation in check.mutations {
        let report = (check.run)(Some(mutation.name));
        let result = match &report.failure {
            Some(failure) => {
                format!("caught in {} steps: {}", failure.trace.len(), failure.invariant)
            }
            None => "NOT CAUGHT".to_owned(),
        };
        println!("  {} ({}): {result}", mutation.name, mutation.description);
        caught &= report.failure.is_some();
    }
    caught
}

fn run_mutated(checks: &[&Check], name: &str) -> ExitCode {
    let named = |check: &&&Check| check.mutations.iter().any(|mutation| mutation.name == name);
    let Some(check) = checks.iter().find(named) else {
        let mutations = checks.iter().flat_map(|check| check.mutations);
        return report_unknown_name("mutation", mutations.map(|mutation| mutation.name));
    };
    let report = (check.run)(Some(name));
    print_report(check, &report);
    ExitCode::from(u8::from(!report.is_ok()))
}

fn print_report(check: &Check, report: &Report) {
    println!("model {}: {} states, depth {}", check.name, report.states, report.depth);
    println!("  bounds: {}", check.bounds);
    for assumption in check.assumptions {
        println!("  assumes: {assumption}");
    }
    for invariant in &report.invariants {
        println!("  invariant: {invariant}");
    }
    for witness in &report.unreached {
        println!("  NOT SEEN: {witness}");
    }
    match &report.failure {
        Some(failure) => println!("{failure}"),
        None => println!("  {}", if report.is_ok() { "ok" } else { "FAILED" }),
    }
}
