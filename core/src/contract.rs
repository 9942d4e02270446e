//! What a customer signs: services, request classes and their terms, and never a limit.
//!
//! Limits are derived; see [contracts](../../docs/design/contracts.md).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Importance, Name};

/// Contract of one customer, as published on the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Customer that signs.
    pub customer: Name,
    /// Which of the two measures weighs more.
    pub goal: Goal,
    /// Names of the services.
    pub services: Vec<Name>,
    /// Terms of each request class, by name.
    pub classes: BTreeMap<Name, ClassTerms>,
}

/// Measure that weighs more for a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Goal {
    /// Whole requests completed under overload.
    Goodput,
    /// Time until service is back after overload.
    Recovery,
}

/// Terms of one request class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// Service that takes requests of the class.
    pub service: Name,
    /// Importance against the other classes of the customer.
    pub importance: Importance,
    /// Whether a request of the class may run more than once.
    pub repeatable: bool,
    /// Time within which a whole answer is of use.
    pub deadline: Duration,
    /// Largest number of re-sends that one request may cause in its whole chain.
    pub retries: u32,
    /// Time for which a re-send of a once-only request finds the first one's answer.
    pub repeat_window: Duration,
    /// Largest answer, in bytes.
    pub largest_answer: u64,
    /// Classes of the calls that a run of this class makes.
    pub calls: Vec<Name>,
}

/// What is wrong with a contract that parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContractError {
    /// A class names a service that the contract lacks.
    #[error("class {class}: unknown service {service}")]
    UnknownService {
        /// Class with the fault.
        class: Name,
        /// Service that it names.
        service: Name,
    },
    /// A class calls a class that the contract lacks.
    #[error("class {class}: calls unknown class {callee}")]
    UnknownCallee {
        /// Class with the fault.
        class: Name,
        /// Class that it names.
        callee: Name,
    },
    /// A repeatable class calls a once-only class.
    #[error("class {class} may be repeated but calls {callee}, which may not")]
    OnceInRepeatable {
        /// Class with the fault.
        class: Name,
        /// Once-only class that it calls.
        callee: Name,
    },
    /// The calls of a class lead back to it, or further down than any chain may go.
    #[error("class {class}: its calls run in a circle or more than {MAX_CHAIN_DEPTH} deep")]
    Cycle {
        /// Class with the fault.
        class: Name,
    },
    /// A re-send within the deadline could outlive the memory of the first send.
    #[error("class {class}: the repeat window is shorter than the deadline")]
    ShortWindow {
        /// Class with the fault.
        class: Name,
    },
    /// No answer can pass all hops of the chain within the deadline.
    #[error("class {class}: a chain {depth} deep needs a deadline of {min_deadline:?} or more")]
    ShortDeadline {
        /// Class with the fault.
        class: Name,
        /// Calls on the longest chain, the class itself included.
        depth: u32,
        /// Shortest deadline that is possible.
        min_deadline: Duration,
    },
}

/// Largest number of calls on one chain, the first included.
pub const MAX_CHAIN_DEPTH: u32 = 18;
/// Time that each call of a chain takes at least, for its way there and back.
pub const MIN_HOP_TIME: Duration = Duration::from_millis(5);

impl ContractError {
    /// Class with the fault.
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

    /// Term of the class that is at fault, by its name in a contract file.
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
    /// Checks the references between the classes and that their terms can be met together.
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

    /// Calls on the longest chain that starts with each class, the class itself included.
    ///
    /// Each round settles the classes whose callees are settled, so the work is bounded by the
    /// number of classes times [`MAX_CHAIN_DEPTH`].
    pub fn depths(&self) -> Result<BTreeMap<Name, u32>, ContractError> {
        let mut depths = BTreeMap::new();
        for depth in 1..=MAX_CHAIN_DEPTH {
            let open = self.classes.iter().filter(|(class, _)| !depths.contains_key(*class));
            let ready = open
                .filter(|(_, terms)| terms.calls.iter().all(|callee| depths.contains_key(callee)));
            let ready: Vec<_> = ready.map(|(class, _)| (class.clone(), depth)).collect();
            depths.extend(ready);
        }
        match self.classes.keys().find(|class| !depths.contains_key(*class)) {
            Some(class) => Err(ContractError::Cycle { class: self.find_on_cycle(class, &depths) }),
            None => Ok(depths),
        }
    }

    /// Class on the circle that `class` leads to: after as many steps as there are classes, a
    /// walk along unsettled callees has left whatever leads into the circle.
    fn find_on_cycle(&self, class: &Name, settled: &BTreeMap<Name, u32>) -> Name {
        let mut at = class;
        for _ in 0..self.classes.len() {
            let callees = self.classes.get(at).map_or(&[][..], |terms| &terms.calls);
            at = callees.iter().find(|callee| !settled.contains_key(*callee)).unwrap_or(at);
        }
        at.clone()
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
    let least = MIN_HOP_TIME * depth;
    if terms.deadline < least {
        return Err(ContractError::ShortDeadline {
            class: class.clone(),
            depth,
            min_deadline: least,
        });
    }
    if !terms.repeatable && terms.repeat_window < terms.deadline {
        return Err(ContractError::ShortWindow { class: class.clone() });
    }
    Ok(())
}
