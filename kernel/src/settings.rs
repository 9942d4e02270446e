//! Settings of a program, declared in one table that validation, help text and state dump all use.
//!
//! A settings file is a flat YAML mapping. An unknown, missing or invalid setting is an error that
//! names the file, the line and the allowed values, so that a process never starts with a guessed
//! value.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use poplar_core::{Moment, Name};
use serde_json::json;
use serde_norway::Value as Yaml;

use crate::registry::Service;

/// Largest settings file, in bytes.
const FILE_LIMIT_BYTES: u64 = 64 << 10;
/// Largest length of a name, and of a quoted value in an error message, in characters.
const MAX_NAME_CHARS: usize = 64;

/// Declaration of one setting.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Name of the setting in the file.
    pub name: &'static str,
    /// Kind of the value, with its range and unit.
    pub kind: SettingKind,
    /// Default value in the file's YAML syntax; a setting without default is mandatory.
    pub default: Option<&'static str>,
    /// Description for operators, one sentence.
    pub doc: &'static str,
}

/// Kind of value that a setting accepts.
#[derive(Debug, Clone, Copy)]
pub enum SettingKind {
    /// Name of 1 to 64 characters out of a-z, 0-9 and -.
    Name,
    /// Socket address, `ip:port`; with port 0 the operating system picks the port.
    Address,
    /// List of socket addresses, each `ip:port`.
    Addresses,
    /// Whole number of `unit` within a range.
    Count {
        /// Smallest number.
        min: u64,
        /// Largest number.
        max: u64,
        /// Unit in which the number counts, as the help and error messages name it.
        unit: &'static str,
    },
    /// One of the listed words.
    Choice(&'static [&'static str]),
}

/// Declarations of all settings of one program.
#[derive(Debug, Clone, Copy)]
pub struct SettingsTable(&'static [Setting]);

/// Values of all settings of a table, one for each setting.
#[derive(Debug, Clone)]
pub struct Settings {
    values: BTreeMap<&'static str, Value>,
}

/// Value of one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Value {
    Name(Name),
    Address(SocketAddr),
    Addresses(Vec<SocketAddr>),
    Count(u64),
    Choice(&'static str),
}

/// Error in a settings file or in the use of its settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file exceeds the size limit of settings files, 64 KiB.
    #[error("{file}: larger than {FILE_LIMIT_BYTES} bytes")]
    TooLarge {
        /// Path of the file.
        file: String,
    },
    /// The file is not a YAML mapping.
    #[error("{file}: line {line}: {message}; allowed is one `name: value` a line")]
    Yaml {
        /// Path of the file.
        file: String,
        /// Line, counted from one.
        line: usize,
        /// Message of the YAML parser, or why the file is not a mapping from names to values.
        message: String,
    },
    /// The file names a setting that the table does not declare.
    #[error("{file}: line {line}: unknown setting `{name}`; allowed are {allowed}")]
    Unknown {
        /// Path of the file.
        file: String,
        /// Line, counted from one.
        line: usize,
        /// Name of the setting in the file.
        name: String,
        /// Names of all settings, separated by commas.
        allowed: String,
    },
    /// A setting without default is missing from the file.
    #[error("{file}: setting `{name}` is missing; allowed are {allowed}")]
    Missing {
        /// Path of the file.
        file: String,
        /// Name of the setting.
        name: &'static str,
        /// Values that the setting accepts.
        allowed: String,
    },
    /// A value is of the wrong kind or out of range.
    #[error(
        "{file}: line {line}: setting `{name}`: `{value}` is not usable; allowed are {allowed}"
    )]
    Invalid {
        /// Path of the file.
        file: String,
        /// Line, counted from one.
        line: usize,
        /// Name of the setting.
        name: &'static str,
        /// Value in the file, shortened.
        value: String,
        /// Values that the setting accepts.
        allowed: String,
    },
    /// The program reads a setting that its table does not declare, or declares with another kind.
    #[error("setting `{0}` is not declared, or is declared with another kind")]
    Undeclared(&'static str),
}

impl SettingsTable {
    /// Creates a table of `settings`.
    pub const fn new(settings: &'static [Setting]) -> Self {
        Self(settings)
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// `Read` or `TooLarge` for the file, otherwise as for [`parse`](Self::parse).
    pub fn load(&self, path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let read_error = |source| SettingsError::Read { file: file.clone(), source };
        if std::fs::metadata(path).map_err(read_error)?.len() > FILE_LIMIT_BYTES {
            return Err(SettingsError::TooLarge { file });
        }
        self.parse(&file, &std::fs::read_to_string(path).map_err(read_error)?)
    }

    /// Parses and validates the text of a settings file; errors name the file as `file`.
    ///
    /// # Errors
    ///
    /// `Yaml` if the text is not a mapping, then `Unknown` for a setting that is not declared, then
    /// `Missing` or `Invalid` for the first wrong setting in the order of the table.
    pub fn parse(&self, file: &str, text: &str) -> Result<Settings, SettingsError> {
        let given = parse_mapping(file, text)?;
        if let Some(name) = given.keys().find(|name| self.find(name).is_none()) {
            let names: Vec<_> = self.0.iter().map(|setting| setting.name).collect();
            return Err(SettingsError::Unknown {
                file: file.to_owned(),
                line: find_line(text, name),
                name: name.clone(),
                allowed: names.join(", "),
            });
        }
        let values = self.0.iter().map(|setting| {
            let value = setting.value(file, text, given.get(setting.name))?;
            Ok((setting.name, value))
        });
        Ok(Settings { values: values.collect::<Result<_, _>>()? })
    }

    /// Lists every setting with its description, range and default, as a settings file to fill in.
    pub fn help(&self) -> String {
        let mut text = String::new();
        for setting in self.0 {
            let Setting { name, kind, default, doc } = setting;
            // Writing to a string cannot fail.
            let _ = writeln!(text, "# {doc}\n# Allowed: {}.", kind.allowed_values());
            let _ = match default {
                Some(default) => writeln!(text, "#{name}: {default}\n"),
                None => writeln!(text, "{name}:\n"),
            };
        }
        text
    }

    fn find(&self, name: &str) -> Option<&Setting> {
        self.0.iter().find(|setting| setting.name == name)
    }
}

impl Setting {
    fn value(&self, file: &str, text: &str, given: Option<&Yaml>) -> Result<Value, SettingsError> {
        let (file, allowed) = (file.to_owned(), self.kind.allowed_values());
        let default = self.default.and_then(|text| serde_norway::from_str(text).ok());
        let Some(yaml) = given.or(default.as_ref()) else {
            return Err(SettingsError::Missing { file, name: self.name, allowed });
        };
        self.kind.parse_value(yaml).ok_or_else(|| SettingsError::Invalid {
            file,
            line: find_line(text, self.name),
            name: self.name,
            value: quote(yaml),
            allowed,
        })
    }
}

impl SettingKind {
    fn allowed_values(&self) -> String {
        match self {
            Self::Name => format!("names of 1 to {MAX_NAME_CHARS} of a-z, 0-9 and -"),
            Self::Address => "addresses as in 10.0.0.7:7000".to_owned(),
            Self::Addresses => "lists of addresses as in [10.0.0.7:7000, 10.0.0.8:7000]".to_owned(),
            Self::Count { min, max, unit } => {
                format!("whole numbers from {min} to {max}, in {unit}")
            }
            Self::Choice(words) => words.join(", "),
        }
    }

    fn parse_value(&self, yaml: &Yaml) -> Option<Value> {
        match self {
            Self::Name => parse_name(yaml.as_str()?).map(Value::Name),
            Self::Address => parse_address(yaml).map(Value::Address),
            Self::Addresses => {
                let items = yaml.as_sequence()?.iter();
                items.map(parse_address).collect::<Option<_>>().map(Value::Addresses)
            }
            Self::Count { min, max, .. } => {
                let number = yaml.as_u64().filter(|number| (*min..=*max).contains(number));
                number.map(Value::Count)
            }
            Self::Choice(words) => {
                let word = yaml.as_str()?;
                words.iter().find(|allowed| **allowed == word).map(|word| Value::Choice(word))
            }
        }
    }
}

impl Settings {
    /// Value of a setting of kind [`SettingKind::Name`].
    ///
    /// # Errors
    ///
    /// `Undeclared` if the table has no such setting of that kind.
    pub fn name(&self, name: &'static str) -> Result<Name, SettingsError> {
        match self.values.get(name) {
            Some(Value::Name(value)) => Ok(value.clone()),
            _ => Err(SettingsError::Undeclared(name)),
        }
    }

    /// Value of a setting of kind [`SettingKind::Address`].
    ///
    /// # Errors
    ///
    /// `Undeclared` if the table has no such setting of that kind.
    pub fn address(&self, name: &'static str) -> Result<SocketAddr, SettingsError> {
        match self.values.get(name) {
            Some(Value::Address(value)) => Ok(*value),
            _ => Err(SettingsError::Undeclared(name)),
        }
    }

    /// Value of a setting of kind [`SettingKind::Addresses`].
    ///
    /// # Errors
    ///
    /// `Undeclared` if the table has no such setting of that kind.
    pub fn addresses(&self, name: &'static str) -> Result<Vec<SocketAddr>, SettingsError> {
        match self.values.get(name) {
            Some(Value::Addresses(value)) => Ok(value.clone()),
            _ => Err(SettingsError::Undeclared(name)),
        }
    }

    /// Value of a setting of kind [`SettingKind::Count`], in the unit that it was declared with.
    ///
    /// # Errors
    ///
    /// `Undeclared` if the table has no such setting of that kind.
    pub fn count(&self, name: &'static str) -> Result<u64, SettingsError> {
        match self.values.get(name) {
            Some(Value::Count(value)) => Ok(*value),
            _ => Err(SettingsError::Undeclared(name)),
        }
    }

    /// Value of a setting of kind [`SettingKind::Choice`].
    ///
    /// # Errors
    ///
    /// `Undeclared` if the table has no such setting of that kind.
    pub fn choice(&self, name: &'static str) -> Result<&'static str, SettingsError> {
        match self.values.get(name) {
            Some(Value::Choice(value)) => Ok(value),
            _ => Err(SettingsError::Undeclared(name)),
        }
    }
}

impl Service for Settings {
    fn name(&self) -> &'static str {
        "settings"
    }

    fn dump(&self, _now: Moment) -> serde_json::Value {
        let rows = self.values.iter().map(|(name, value)| {
            let value = match value {
                Value::Name(value) => json!(value),
                Value::Address(value) => json!(value),
                Value::Addresses(value) => json!(value),
                Value::Count(value) => json!(value),
                Value::Choice(value) => json!(value),
            };
            ((*name).to_owned(), value)
        });
        serde_json::Value::Object(rows.collect())
    }
}

/// Parses the names and values of a file; a duplicate name is an error of the YAML parser.
fn parse_mapping(file: &str, text: &str) -> Result<BTreeMap<String, Yaml>, SettingsError> {
    let yaml_error =
        |line, message: String| SettingsError::Yaml { file: file.to_owned(), line, message };
    let yaml: Yaml = serde_norway::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        yaml_error(line, error.to_string())
    })?;
    let Yaml::Mapping(mapping) = yaml else {
        return Err(yaml_error(1, "the file is not a mapping".to_owned()));
    };
    let entries = mapping.into_iter().map(|(name, value)| match name {
        Yaml::String(name) => Ok((name, value)),
        other => Err(yaml_error(1, format!("`{}` is not a name", quote(&other)))),
    });
    entries.collect()
}

/// Finds the line of a name in the flat mapping, counted from one; line 1 if it is not found.
fn find_line(text: &str, name: &str) -> usize {
    let quotes = ['"', '\''];
    let found = text.lines().position(|line| {
        let rest = line.trim_start_matches(quotes).strip_prefix(name);
        rest.is_some_and(|rest| rest.trim_start_matches(quotes).trim_start().starts_with(':'))
    });
    found.map_or(1, |index| index + 1)
}

/// Formats a value on one line, shortened to [`MAX_NAME_CHARS`] characters.
fn quote(yaml: &Yaml) -> String {
    let text = serde_norway::to_string(yaml).unwrap_or_default();
    text.trim().escape_debug().take(MAX_NAME_CHARS).collect()
}

fn parse_name(text: &str) -> Option<Name> {
    let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let usable = (1..=MAX_NAME_CHARS).contains(&text.len()) && text.chars().all(is_name_char);
    usable.then(|| Name::new(text))
}

fn parse_address(yaml: &Yaml) -> Option<SocketAddr> {
    yaml.as_str()?.parse().ok()
}
