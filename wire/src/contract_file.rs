//! Reads a contract as its customer signs it: one YAML file, every fault with its line.
//!
//! Units and ranges are checked while a term is read, contradictions between classes afterwards.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

use poplar_core::{ClassTerms, Contract, ContractError, Goal, Importance, Name};
use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, Visitor};

use crate::quantity::{Bytes, Count, Span};

/// Largest contract file, in bytes.
pub const FILE_LIMIT_BYTES: usize = 256 << 10;

/// What is wrong with a contract file, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContractFileError {
    /// The file is not YAML, or a term is missing, unknown, of the wrong unit or out of range.
    #[error("line {line}: {what}")]
    Term {
        /// Line, counted from one.
        line: usize,
        /// What is wrong and what is allowed.
        what: String,
    },
    /// The classes contradict each other.
    #[error("line {line}: {fault}")]
    Contradiction {
        /// Line of the term at fault, counted from one.
        line: usize,
        /// What is wrong.
        fault: ContractError,
    },
    /// The file exceeds [`FILE_LIMIT_BYTES`].
    #[error("line 1: the file has {0} bytes; allowed are up to {FILE_LIMIT_BYTES}")]
    TooLarge(usize),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ContractFile {
    customer: Word,
    goal: Goal,
    services: Services,
    classes: Classes,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFile {
    service: Word,
    importance: Count<1, 100>,
    repeatable: bool,
    deadline: Span<10, 300_000>,
    retries: Count<0, 16>,
    #[serde(default)]
    repeat_window: Option<Span<1_000, 86_400_000>>,
    largest_answer: Bytes<1, 1_048_576>,
    #[serde(default)]
    calls: Vec<Word>,
}

/// Name of a customer, service or class: it travels in headers and stands in metrics.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Word(Name);

/// Services of a contract: at least one, none twice.
struct Services(Vec<Name>);

/// Classes of a contract: at least one, none twice.
struct Classes(BTreeMap<Name, ClassTerms>);

/// Reads the contract that `text` holds.
///
/// # Errors
///
/// The first fault, with its line and what is allowed in its place.
pub fn parse_contract(text: &str) -> Result<Contract, ContractFileError> {
    if text.len() > FILE_LIMIT_BYTES {
        return Err(ContractFileError::TooLarge(text.len()));
    }
    let file: ContractFile = serde_norway::from_str(text).map_err(|error| located(&error))?;
    let contract = Contract {
        customer: file.customer.0,
        goal: file.goal,
        services: file.services.0,
        classes: file.classes.0,
    };
    match contract.verify() {
        Ok(()) => Ok(contract),
        Err(fault) => {
            let line = line_of(text, &["classes", fault.class().as_str(), fault.term()]);
            Err(ContractFileError::Contradiction { line, fault })
        }
    }
}

/// Splits the parser's own message into line and text.
fn located(error: &serde_norway::Error) -> ContractFileError {
    let message = error.to_string();
    let Some(location) = error.location() else {
        return ContractFileError::Term { line: 1, what: message };
    };
    let suffix = format!(" at line {} column {}", location.line(), location.column());
    let what = message.replace(&suffix, "");
    ContractFileError::Term { line: location.line(), what }
}

/// Line on which a key stands, found by the indentation of block mappings; the line of the last
/// key that was found if the file is written in another style.
fn line_of(text: &str, path: &[&str]) -> usize {
    let (mut found, mut depth, mut indents) = (1, 0, Vec::new());
    for (number, line) in text.lines().enumerate() {
        let key = line.trim_start();
        let indent = line.len() - key.len();
        if key.is_empty() || key.starts_with('#') {
            continue;
        }
        if indents.get(depth.max(1) - 1).is_some_and(|last| depth > 0 && indent <= *last) {
            return found;
        }
        let is_key = path.get(depth).is_some_and(|name| {
            let bare = key.trim_start_matches(['"', '\'']);
            let rest = bare.strip_prefix(name).map(|rest| rest.trim_start_matches(['"', '\'']));
            rest.is_some_and(|rest| rest.trim_start().starts_with(':'))
        });
        if is_key {
            found = number + 1;
            indents.push(indent);
            depth += 1;
        }
    }
    found
}

impl ClassFile {
    fn terms(self) -> Result<ClassTerms, &'static str> {
        let repeat_window = match (self.repeatable, self.repeat_window) {
            (false, None) => {
                return Err("missing field `repeat_window`, which a class that may not be \
                            repeated needs, such as `10 min`");
            }
            (true, Some(_)) => {
                return Err("unknown field `repeat_window`, allowed only where `repeatable` is \
                            false");
            }
            (false, Some(window)) => window.duration(),
            (true, None) => Duration::ZERO,
        };
        Ok(ClassTerms {
            service: self.service.0,
            importance: Importance(self.importance.get()),
            repeatable: self.repeatable,
            deadline: self.deadline.duration(),
            retries: u32::from(self.retries.get()),
            repeat_window,
            largest_answer: self.largest_answer.get(),
            calls: self.calls.into_iter().map(|word| word.0).collect(),
        })
    }
}

impl<'de> Deserialize<'de> for Word {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if (1..=64).contains(&text.len()) && text.chars().all(fits) {
            return Ok(Self(Name::new(&text)));
        }
        let error = format!(
            "name `{}` is not usable, allowed are 1 to 64 of a-z, 0-9 and -",
            text.escape_debug().take(64).collect::<String>()
        );
        Err(D::Error::custom(error))
    }
}

impl<'de> Deserialize<'de> for Services {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let words = Vec::<Word>::deserialize(deserializer)?;
        let mut names = Vec::new();
        for Word(name) in words {
            if names.contains(&name) {
                let error = format!("service `{name}` stands twice, allowed is each service once");
                return Err(D::Error::custom(error));
            }
            names.push(name);
        }
        if names.is_empty() {
            return Err(D::Error::custom("no services, allowed are one or more names"));
        }
        Ok(Self(names))
    }
}

impl<'de> Deserialize<'de> for Classes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ClassesVisitor(PhantomData))
    }
}

struct ClassesVisitor(PhantomData<Classes>);

impl<'de> Visitor<'de> for ClassesVisitor {
    type Value = Classes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("classes by name, each with its terms")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Classes, A::Error> {
        let mut classes = BTreeMap::new();
        while let Some(Word(name)) = map.next_key()? {
            let class: Checked = map.next_value()?;
            if classes.insert(name.clone(), class.0).is_some() {
                let error = format!("class `{name}` stands twice, allowed is each class once");
                return Err(A::Error::custom(error));
            }
        }
        if classes.is_empty() {
            return Err(A::Error::custom("no classes, allowed are one or more"));
        }
        Ok(Classes(classes))
    }
}

/// Terms of a class, checked while the parser still knows their line.
struct Checked(ClassTerms);

impl<'de> Deserialize<'de> for Checked {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let file = ClassFile::deserialize(deserializer)?;
        file.terms().map(Self).map_err(D::Error::custom)
    }
}
