//! The limits that follow from a contract, for the operator who is about to sign it.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use poplar_core::{ClassLimits, Contract, Goal, Name, TargetLimits};
use poplar_wire::ContractFileError;
use serde::Serialize;

use crate::error::CtlError;
use crate::options::TargetOption;

/// Limits that follow from a contract and from what targets would announce.
#[derive(Debug, Serialize)]
pub(crate) struct Derived {
    customer: Name,
    goal: Goal,
    classes: BTreeMap<Name, ClassLimits>,
    targets: BTreeMap<Name, TargetLimits>,
}

/// Derives the limits of a contract that was read from `file`.
pub(crate) fn derive(
    file: &Path,
    contract: &Contract,
    targets: Vec<TargetOption>,
) -> Result<Derived, CtlError> {
    let classes = ClassLimits::derive(contract).map_err(|fault| {
        let fault = ContractFileError::Contradiction { line: 1, fault };
        CtlError::Contract { file: file.display().to_string(), fault }
    })?;
    let unknown = targets.iter().find(|target| !contract.services.contains(&target.service));
    if let Some(target) = unknown {
        return Err(CtlError::Service { service: target.service.clone() });
    }
    let targets = targets.into_iter().map(|target| (target.service, target.limits)).collect();
    Ok(Derived { customer: contract.customer.clone(), goal: contract.goal, classes, targets })
}

impl fmt::Display for Derived {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let goal = match self.goal {
            Goal::Goodput => "goodput",
            Goal::Recovery => "recovery",
        };
        writeln!(f, "customer {}: the contract is sound; {goal} weighs more", self.customer)?;
        writeln!(f)?;
        writeln!(
            f,
            "{:<24}{:>6}{:>7}{:>7}{:>7}{:>12}{:>12}{:>14}",
            "class", "step", "depth", "calls", "sends", "deadline", "window", "answer B"
        )?;
        let mut rows: Vec<_> = self.classes.iter().collect();
        rows.sort_by_key(|(_, limits)| limits.step);
        for (class, limits) in rows {
            let (deadline, window) = (limits.deadline, limits.window);
            writeln!(
                f,
                "{:<24}{:>6}{:>7}{:>7}{:>7}{:>12}{:>12}{:>14}",
                class.as_str(),
                limits.step,
                limits.depth,
                limits.calls,
                limits.sends,
                format!("{deadline:?}"),
                if window.is_zero() { "-".to_owned() } else { format!("{window:?}") },
                limits.answer
            )?;
        }
        writeln!(f)?;
        write!(
            f,
            "step: shed from 0 upwards; depth: calls on the longest chain; calls: in the whole\n\
             request; sends: most sends in the whole request, re-sends included; window: time for\n\
             which the answer of a once-only request is kept"
        )?;
        for (service, limits) in &self.targets {
            let TargetLimits { slots, cold, queue, connections } = limits;
            write!(
                f,
                "\ntarget of {service}: {slots} at once, {cold} when cold, {queue} queued, \
                 {connections} connections"
            )?;
        }
        Ok(())
    }
}
