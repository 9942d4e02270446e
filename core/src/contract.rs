//! Contract of a customer: its services, request classes and their terms.
//!
//! A contract contains no limits of the system; they are derived from it. See
//! [contracts](../../docs/design/contracts.md).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Importance, Name};

/// Contract of one customer, as published on the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Customer that the contract belongs to.
    pub customer: Name,
    /// Measure that has priority for the customer.
    pub goal: Goal,
    /// Names of the services.
    pub services: Vec<Name>,
    /// Terms of each request class, by name.
    pub classes: BTreeMap<Name, ClassTerms>,
}

/// Measure that has priority for a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Goal {
    /// Number of whole requests completed under overload.
    Goodput,
    /// Time until normal service is restored after an overload.
    Recovery,
}

/// Terms of one request class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// Service that runs requests of the class.
    pub service: Name,
    /// Importance relative to the other classes of the customer.
    pub importance: Importance,
    /// Whether a request of the class may run more than once.
    pub repeatable: bool,
    /// Time within which a complete answer is useful to the caller.
    pub deadline: Duration,
    /// Maximum number of re-sends that one request may cause in its whole chain.
    pub retries: u32,
    /// Time for which a re-send of a once-only request gets the answer of the first send.
    pub repeat_window: Duration,
    /// Maximum size of an answer, in bytes.
    pub largest_answer: u64,
    /// Classes of the calls that a run of this class makes.
    pub calls: Vec<Name>,
}

/// Error in a contract that was parsed successfully.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContractError {
    /// A class names a service that the contract does not define.
    #[error("class {class}: unknown service {service}")]
    UnknownService {
        /// Class with the error.
        class: Name,
        /// Service that it names.
        service: Name,
    },
    /// A class calls a class that the contract does not define.
    #[error("class {class}: calls unknown class {callee}")]
    UnknownCallee {
        /// Class with the error.
        class: Name,
        /// Class that it names.
        callee: Name,
    },
    /// A repeatable class calls a once-only class.
    #[error("class {class} may be repeated but calls {callee}, which may not")]
    OnceInRepeatable {
        /// Class with the error.
        class: Name,
        /// Once-only class that it calls.
        callee: Name,
    },
    /// The calls of a class form a cycle or a chain of more than [`MAX_CHAIN_DEPTH`] calls.
    #[error("class {class}: its calls form a cycle or are more than {MAX_CHAIN_DEPTH} deep")]
    Cycle {
        /// Class with the error.
        class: Name,
    },
    /// A once-only class could be re-sent within its deadline after the first answer has expired.
    #[error("class {class}: the repeat window is shorter than the deadline")]
    ShortWindow {
        /// Class with the error.
        class: Name,
    },
    /// The deadline is too short for an answer to pass all hops of the chain.
    #[error("class {class}: a chain {depth} deep needs a deadline of {min_deadline:?} or more")]
    ShortDeadline {
        /// Class with the error.
        class: Name,
        /// Number of calls on the longest chain, the class itself included.
        depth: u32,
        /// Shortest deadline that the chain permits.
        min_deadline: Duration,
    },
}

/// Maximum number of calls on one chain, the first included.
pub const MAX_CHAIN_DEPTH: u32 = 18;
/// Minimum time that each call of a chain takes for its way there and back.
pub const MIN_HOP_TIME: Duration = Duration::from_millis(5);

impl ContractError {
    /// Class with the error.
    pub fn class(&self) -> &Name {
        match self {
            Self::UnknownService { class, .. }
            | Self::UnknownCallee { class, .. }
            | Self::OnceInRepeatable { class, .. }
            | Self::Cycle { class }
            | Self::ShortWindow { class }
            | Self::ShortDeadline { class, .. } => class,
        }
    }

    /// Name, in a contract file, of the term of the class that has the error.
    pub const fn term(&self) -> &'static str {
        match self {
            Self::UnknownService { .. } => "service",
            Self::UnknownCallee { .. } | Self::OnceInRepeatable { .. } | Self::Cycle { .. } => {
                "calls"
            }
            Self::ShortWindow { .. } => "repeat_window",
            Self::ShortDeadline { .. } => "deadline",
        }
    }
}

impl Contract {
    /// Checks the references between services and classes, and that the terms of the classes are
    /// compatible with each other.
    ///
    /// # Errors
    ///
    /// The first error found.
    pub fn verify(&self) -> Result<(), ContractError> {
        for (class, terms) in &self.classes {
            if !self.services.contains(&terms.service) {
                let service = terms.service.clone();
                return Err(ContractError::UnknownService { class: class.clone(), service });
            }
            self.verify_calls(class, terms)?;
        }
        let depths = self.depths()?;
        self.classes.iter().try_for_each(|(class, terms)| {
            verify_times(class, terms, depths.get(class).copied().unwrap_or(1))
        })
    }

    /// Number of calls on the longest chain that starts with each class, the class itself included.
    ///
    /// Each round determines the depth of the classes whose callees have one, so that there are at
    /// most [`MAX_CHAIN_DEPTH`] rounds over all classes.
    ///
    /// # Errors
    ///
    /// [`ContractError::Cycle`] if the calls of a class form a cycle or a chain that is too long.
    pub fn depths(&self) -> Result<BTreeMap<Name, u32>, ContractError> {
        let mut depths = BTreeMap::new();
        for depth in 1..=MAX_CHAIN_DEPTH {
            let pending = self.classes.iter().filter(|(class, _)| !depths.contains_key(*class));
            let ready = pending
                .filter(|(_, terms)| terms.calls.iter().all(|callee| depths.contains_key(callee)));
            let ready: Vec<_> = ready.map(|(class, _)| (class.clone(), depth)).collect();
            depths.extend(ready);
        }
        match self.classes.keys().find(|class| !depths.contains_key(*class)) {
            Some(class) => Err(ContractError::Cycle { class: self.find_on_cycle(class, &depths) }),
            None => Ok(depths),
        }
    }

    /// Class on the cycle that `class` leads to. Following callees without a depth for as many
    /// steps as there are classes leaves any path that leads into the cycle.
    fn find_on_cycle(&self, class: &Name, depths: &BTreeMap<Name, u32>) -> Name {
        let mut current = class;
        for _ in 0..self.classes.len() {
            let callees = self.classes.get(current).map_or(&[][..], |terms| &terms.calls);
            current =
                callees.iter().find(|callee| !depths.contains_key(*callee)).unwrap_or(current);
        }
        current.clone()
    }

    fn verify_calls(&self, class: &Name, terms: &ClassTerms) -> Result<(), ContractError> {
        for callee in &terms.calls {
            let (class, callee) = (class.clone(), callee.clone());
            let Some(called) = self.classes.get(&callee) else {
                return Err(ContractError::UnknownCallee { class, callee });
            };
            if terms.repeatable && !called.repeatable {
                return Err(ContractError::OnceInRepeatable { class, callee });
            }
        }
        Ok(())
    }
}

fn verify_times(class: &Name, terms: &ClassTerms, depth: u32) -> Result<(), ContractError> {
    let min_deadline = MIN_HOP_TIME * depth;
    if terms.deadline < min_deadline {
        return Err(ContractError::ShortDeadline { class: class.clone(), depth, min_deadline });
    }
    if !terms.repeatable && terms.repeat_window < terms.deadline {
        return Err(ContractError::ShortWindow { class: class.clone() });
    }
    Ok(())
}
