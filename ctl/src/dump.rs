//! Formats the state dump of a node as indented text.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// State dump of a node; its [`Display`](fmt::Display) text is for people.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Dump(pub(crate) Value);

impl fmt::Display for Dump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_value(f, &self.0, 0)
    }
}

/// Writes nested keys and items indented, and flat values on one line.
fn write_value(f: &mut fmt::Formatter<'_>, value: &Value, depth: usize) -> fmt::Result {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (number, (key, value)) in fields.iter().enumerate() {
                if number > 0 {
                    writeln!(f)?;
                }
                write!(f, "{indent}{key}:")?;
                write_nested(f, value, depth)?;
            }
            Ok(())
        }
        Value::Array(items) => {
            for (number, item) in items.iter().enumerate() {
                if number > 0 {
                    writeln!(f)?;
                }
                write!(f, "{indent}-")?;
                write_nested(f, item, depth)?;
            }
            Ok(())
        }
        Value::String(text) => write!(f, "{indent}{text}"),
        other => write!(f, "{indent}{other}"),
    }
}

fn write_nested(f: &mut fmt::Formatter<'_>, value: &Value, depth: usize) -> fmt::Result {
    if is_flat(value) {
        f.write_str(" ")?;
        return write_flat(f, value);
    }
    writeln!(f)?;
    write_value(f, value, depth + 1)
}

/// Whether a value fits on one line: a scalar, or at most 9 scalars in an object or array.
fn is_flat(value: &Value) -> bool {
    let scalar = |value: &Value| !value.is_object() && !value.is_array();
    match value {
        Value::Object(fields) => fields.len() <= 9 && fields.values().all(scalar),
        Value::Array(items) => items.len() <= 9 && items.iter().all(scalar),
        _ => true,
    }
}

fn write_flat(f: &mut fmt::Formatter<'_>, value: &Value) -> fmt::Result {
    match value {
        Value::Object(fields) if fields.is_empty() => f.write_str("none"),
        Value::Array(items) if items.is_empty() => f.write_str("none"),
        Value::Object(fields) => {
            for (number, (key, value)) in fields.iter().enumerate() {
                let gap = if number > 0 { " " } else { "" };
                write!(f, "{gap}{key}=")?;
                write_flat(f, value)?;
            }
            Ok(())
        }
        Value::Array(items) => {
            for (number, item) in items.iter().enumerate() {
                f.write_str(if number > 0 { ", " } else { "" })?;
                write_flat(f, item)?;
            }
            Ok(())
        }
        Value::String(text) => f.write_str(text),
        other => write!(f, "{other}"),
    }
}
