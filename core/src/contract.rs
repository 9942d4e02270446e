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
}

impl Contract {
    /// Checks the references and the once-only rule between the classes.
    pub fn verify(&self) -> Result<(), ContractError> {
        for (class, terms) in &self.classes {
            if !self.services.contains(&terms.service) {
                let service = terms.service.clone();
                return Err(ContractError::UnknownService { class: class.clone(), service });
            }
            self.verify_calls(class, terms)?;
        }
        Ok(())
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
