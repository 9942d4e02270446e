//! Derives the limits that follow from a contract, for operators to check before they publish it.

use std::fmt;

use poplar_core::{ClassLimits, Contract, Goal, Name, TargetLimits};
use serde::Serialize;

use crate::error::CtlError;
use crate::options::TargetOption;

/// Explanation of the table's columns.
const LEGEND: &str = "\
step: shed from 0 upwards; depth: calls on the longest chain; calls: in the whole request;
sends: most sends in the whole request, re-sends included; window: time for which the
answer of a once-only request is kept";

/// Limits derived from a contract and from the announcements of hypothetical targets.
#[derive(Debug, Serialize)]
pub(crate) struct DerivedLimits {
    customer: Name,
    goal: Goal,
    classes: Vec<ClassRow>,
    targets: Vec<TargetRow>,
}

/// Limits of one class, as a row of the table.
#[derive(Debug, Serialize)]
struct ClassRow {
    class: Name,
    step: usize,
    depth: u32,
    calls: u64,
    sends: u64,
    deadline_ms: u64,
    window_ms: u64,
    answer_bytes: u64,
}

/// Limits of one target that announces the given slots and connections.
#[derive(Debug, Serialize)]
struct TargetRow {
    service: Name,
    slots: u32,
    cold: u32,
    queue: u32,
    connections: u32,
}

/// Derives the limits of every class of a contract and of the given targets.
///
/// # Errors
///
/// `InconsistentClasses` if the limits of the classes cannot be derived, `UnknownService` if a
/// target is of a service that the contract lacks.
pub(crate) fn derive_limits(
    contract: &Contract,
    targets: Vec<TargetOption>,
) -> Result<DerivedLimits, CtlError> {
    let classes = ClassLimits::derive(contract)?;
    let unknown = targets.iter().find(|target| !contract.services.contains(&target.service));
    if let Some(target) = unknown {
        return Err(CtlError::UnknownService { service: target.service.clone() });
    }
    let targets = targets.into_iter().map(target_row).collect();
    let mut classes: Vec<_> = classes.into_iter().map(class_row).collect();
    classes.sort_by_key(|row| row.step);
    Ok(DerivedLimits { customer: contract.customer.clone(), goal: contract.goal, classes, targets })
}

fn class_row((class, limits): (Name, ClassLimits)) -> ClassRow {
    let ClassLimits { step, depth, calls, sends, deadline, repeat_window, answer_bytes } = limits;
    let (deadline_ms, window_ms) = (deadline.as_millis() as u64, repeat_window.as_millis() as u64);
    ClassRow { class, step, depth, calls, sends, deadline_ms, window_ms, answer_bytes }
}

fn target_row(target: TargetOption) -> TargetRow {
    let TargetLimits { slots, cold, queue, connections } = target.limits;
    TargetRow { service: target.service, slots, cold, queue, connections }
}

impl fmt::Display for DerivedLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let goal = match self.goal {
            Goal::Goodput => "goodput",
            Goal::Recovery => "recovery",
        };
        writeln!(f, "customer {}: the contract is valid; its goal is {goal}", self.customer)?;
        writeln!(f)?;
        writeln!(
            f,
            "{:<24}{:>6}{:>7}{:>7}{:>7}{:>13}{:>13}{:>14}",
            "class", "step", "depth", "calls", "sends", "deadline ms", "window ms", "answer bytes"
        )?;
        self.classes.iter().try_for_each(|row| writeln!(f, "{row}"))?;
        write!(f, "\n{LEGEND}")?;
        self.targets.iter().try_for_each(|row| write!(f, "\n{row}"))
    }
}

impl fmt::Display for ClassRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { class, step, depth, calls, sends, deadline_ms, window_ms, answer_bytes } = self;
        write!(f, "{:<24}{step:>6}{depth:>7}{calls:>7}{sends:>7}", class.as_str())?;
        write!(f, "{deadline_ms:>13}{window_ms:>13}{answer_bytes:>14}")
    }
}

impl fmt::Display for TargetRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, slots, cold, queue, connections } = self;
        write!(
            f,
            "target of {service}: {slots} requests at once, {cold} when cold, {queue} queued"
        )?;
        write!(f, ", {connections} connections")
    }
}
