//! Parses contract files. One YAML file holds the contract of one customer; every error names its
//! line.
//!
//! Units and ranges are checked while a term is parsed, contradictions between classes afterwards.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use poplar_core::{ClassTerms, Contract, ContractError, Goal, Importance, Name};
use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, Visitor};

use crate::quantity::{BoundedCount, BoundedDuration, BoundedSize, ScalarVisitor, format_duration};

/// Largest contract file, in bytes.
pub const FILE_LIMIT_BYTES: usize = 256 << 10;

/// Error in a contract file, with its line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContractFileError {
    /// The file is not YAML, or a term is missing, unknown, of the wrong unit or out of range.
    #[error("line {line}: {message}")]
    Term {
        /// Line, counted from one.
        line: usize,
        /// What is wrong and what is allowed.
        message: String,
    },
    /// The classes contradict each other.
    #[error("line {line}: {error}; {allowed}")]
    Contradiction {
        /// Line of the wrong term, counted from one.
        line: usize,
        /// Contradiction that was found.
        error: ContractError,
        /// Values that resolve the contradiction.
        allowed: String,
    },
    /// The file exceeds [`FILE_LIMIT_BYTES`].
    #[error("line 1: the file has {0} bytes; allowed are up to {FILE_LIMIT_BYTES}")]
    TooLarge(usize),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ContractFile {
    customer: ParsedName,
    goal: ParsedGoal,
    services: Services,
    classes: Classes,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFields {
    service: ParsedName,
    importance: BoundedCount<1, 100>,
    repeatable: bool,
    deadline: BoundedDuration<10, 300_000>,
    retries: BoundedCount<0, 16>,
    #[serde(default)]
    repeat_window: Option<BoundedDuration<1_000, 86_400_000>>,
    largest_answer: BoundedSize<1, 1_048_576>,
    #[serde(default)]
    calls: Vec<ParsedName>,
}

/// Goal of a contract, `goodput` or `recovery`.
struct ParsedGoal(Goal);

/// Name of a customer, service or class. Its characters are restricted because it is sent in HTTP
/// headers and appears in metrics.
#[derive(PartialEq, Eq)]
struct ParsedName(Name);

/// Services of a contract: at least one, without duplicates.
struct Services(Vec<Name>);

/// Classes of a contract in file order: at least one. Duplicates are rejected by
/// [`convert_classes`].
struct Classes(Vec<ClassEntry>);

/// Class name with the fields of its section.
struct ClassEntry {
    name: Name,
    fields: ClassFields,
}

/// Parses the text of a contract file.
///
/// # Errors
///
/// The first error that was found, with its line and what is allowed instead.
pub fn parse_contract(text: &str) -> Result<Contract, ContractFileError> {
    if text.len() > FILE_LIMIT_BYTES {
        return Err(ContractFileError::TooLarge(text.len()));
    }
    let file: ContractFile =
        serde_norway::from_str(text).map_err(|error| locate_yaml_error(&error))?;
    let contract = Contract {
        customer: file.customer.0,
        goal: file.goal.0,
        services: file.services.0,
        classes: convert_classes(text, file.classes)?,
    };
    match contract.verify() {
        Ok(()) => Ok(contract),
        Err(error) => {
            let lines = find_key_lines(text, &["classes", error.class().as_str(), error.term()]);
            let allowed = allowed_values(&contract, &error);
            Err(ContractFileError::Contradiction { line: lines.first, error, allowed })
        }
    }
}

/// Converts a YAML error, moving its location from the message text into the line.
fn locate_yaml_error(error: &serde_norway::Error) -> ContractFileError {
    let message = error.to_string();
    let Some(location) = error.location() else {
        return ContractFileError::Term { line: 1, message };
    };
    let suffix = format!(" at line {} column {}", location.line(), location.column());
    let message = message.replace(&suffix, "");
    ContractFileError::Term { line: location.line(), message }
}

fn convert_classes(
    text: &str,
    entries: Classes,
) -> Result<BTreeMap<Name, ClassTerms>, ContractFileError> {
    let mut classes = BTreeMap::new();
    for ClassEntry { name, fields } in entries.0 {
        let class = name.as_str();
        let terms = fields.into_terms().map_err(|(term, message)| {
            let line = find_key_lines(text, &["classes", class, term]).first;
            ContractFileError::Term { line, message: format!("class {class}: {message}") }
        })?;
        if classes.contains_key(&name) {
            let line = find_key_lines(text, &["classes", class]).last;
            let message = format!("class {class} stands twice, allowed is each class once");
            return Err(ContractFileError::Term { line, message });
        }
        classes.insert(name, terms);
    }
    Ok(classes)
}

/// Describes which values would resolve a contradiction.
fn allowed_values(contract: &Contract, error: &ContractError) -> String {
    let list = |names: Vec<&str>| format!("allowed are {}", names.join(", "));
    let terms = contract.classes.get(error.class());
    match error {
        ContractError::UnknownService { .. } => {
            list(contract.services.iter().map(Name::as_str).collect())
        }
        ContractError::UnknownCallee { .. } => {
            list(contract.classes.keys().map(Name::as_str).collect())
        }
        ContractError::OnceInRepeatable { class, .. } => {
            format!("allowed are calls to repeatable classes, or make {class} not repeatable")
        }
        ContractError::Cycle { .. } => {
            "allowed are calls to classes that do not lead back here".to_owned()
        }
        ContractError::ShortWindow { .. } => {
            let deadline = terms.map(|terms| format_duration(terms.deadline)).unwrap_or_default();
            format!("allowed is {deadline} or more")
        }
        ContractError::ShortDeadline { min_deadline, .. } => {
            format!("allowed is {} or more", format_duration(*min_deadline))
        }
    }
}

/// First and last line on which a key occurs, counted from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KeyLines {
    first: usize,
    last: usize,
}

/// Finds the lines of the key at `path`, by the indentation of block mappings.
///
/// If the file uses another YAML style, returns the lines of the deepest key of `path` that was
/// found, or line 1 if none was.
fn find_key_lines(text: &str, path: &[&str]) -> KeyLines {
    let mut indents = Vec::<usize>::new();
    let mut deepest = 0;
    let mut lines = KeyLines { first: 1, last: 1 };
    for (number, line) in text.lines().enumerate() {
        let key = line.trim_start();
        let indent = line.len() - key.len();
        if key.is_empty() || key.starts_with('#') {
            continue;
        }
        while indents.last().is_some_and(|last| indent <= *last) {
            indents.pop();
        }
        if path.get(indents.len()).is_some_and(|name| starts_with_key(key, name)) {
            indents.push(indent);
            if indents.len() > deepest {
                deepest = indents.len();
                lines.first = number + 1;
            }
            if indents.len() == deepest {
                lines.last = number + 1;
            }
        }
    }
    lines
}

/// Whether `line` starts with the key `name`, quoted or not.
fn starts_with_key(line: &str, name: &str) -> bool {
    let quotes = ['"', '\''];
    let rest = line.trim_start_matches(quotes).strip_prefix(name);
    rest.is_some_and(|rest| rest.trim_start_matches(quotes).trim_start().starts_with(':'))
}

impl ClassFields {
    /// Converts the fields to terms; the error holds the name of the wrong term and the message.
    fn into_terms(self) -> Result<ClassTerms, (&'static str, &'static str)> {
        let repeat_window = match (self.repeatable, self.repeat_window) {
            (false, Some(window)) => window.duration(),
            (true, None) => Duration::ZERO,
            (false, None) => {
                return Err(("repeatable", "no repeat_window, allowed are 1 s to 24 h"));
            }
            (true, Some(_)) => {
                let message = "a repeat_window, allowed only where repeatable is false";
                return Err(("repeat_window", message));
            }
        };
        Ok(ClassTerms {
            service: self.service.0,
            importance: Importance(self.importance.get()),
            repeatable: self.repeatable,
            deadline: self.deadline.duration(),
            retries: u32::from(self.retries.get()),
            repeat_window,
            largest_answer: self.largest_answer.get(),
            calls: self.calls.into_iter().map(|name| name.0).collect(),
        })
    }
}

impl<'de> Deserialize<'de> for ParsedGoal {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let parse = |text: &str| match text {
            "goodput" => Ok(Self(Goal::Goodput)),
            "recovery" => Ok(Self(Goal::Recovery)),
            _ => Err("allowed are goodput and recovery".to_owned()),
        };
        deserializer.deserialize_any(ScalarVisitor { parse })
    }
}

impl<'de> Deserialize<'de> for ParsedName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let parse = |text: &str| match text.chars().all(allowed) && (1..=64).contains(&text.len()) {
            true => Ok(Self(Name::new(text))),
            false => Err("allowed are names of 1 to 64 of a-z, 0-9 and -".to_owned()),
        };
        deserializer.deserialize_any(ScalarVisitor { parse })
    }
}

impl<'de> Deserialize<'de> for Services {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let parsed_names = Vec::<ParsedName>::deserialize(deserializer)?;
        let mut names = Vec::new();
        for ParsedName(name) in parsed_names {
            if names.contains(&name) {
                let error = format!("service {name} stands twice, allowed is each service once");
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
        deserializer.deserialize_map(ClassesVisitor)
    }
}

struct ClassesVisitor;

impl<'de> Visitor<'de> for ClassesVisitor {
    type Value = Classes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("classes by name, each with its terms")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Classes, A::Error> {
        let mut classes = Vec::new();
        while let Some(ParsedName(name)) = map.next_key()? {
            classes.push(ClassEntry { name, fields: map.next_value()? });
        }
        if classes.is_empty() {
            return Err(A::Error::custom("no classes, allowed are one or more"));
        }
        Ok(Classes(classes))
    }
}
