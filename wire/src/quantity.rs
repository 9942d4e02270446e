//! Quantities of a contract file: a whole number with a unit, checked against a range.

use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::de::{Deserializer, Error, Visitor};

/// Unit of a quantity, and its size as a multiple of the smallest unit of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unit {
    name: &'static str,
    factor: u64,
}

/// Units of time with their length in milliseconds, smallest first.
const TIME_UNITS: [Unit; 4] = [
    Unit { name: "ms", factor: 1 },
    Unit { name: "s", factor: 1_000 },
    Unit { name: "min", factor: 60_000 },
    Unit { name: "h", factor: 3_600_000 },
];

/// Units of size with their number of bytes, smallest first.
const SIZE_UNITS: [Unit; 3] = [
    Unit { name: "B", factor: 1 },
    Unit { name: "KiB", factor: 1 << 10 },
    Unit { name: "MiB", factor: 1 << 20 },
];

/// Duration from `MIN` to `MAX` milliseconds, for example `2 s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BoundedDuration<const MIN: u64, const MAX: u64>(u64);

/// Size from `MIN` to `MAX` bytes, for example `64 KiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BoundedSize<const MIN: u64, const MAX: u64>(u64);

/// Whole number from `MIN` to `MAX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BoundedCount<const MIN: u8, const MAX: u8>(u8);

impl<const MIN: u64, const MAX: u64> BoundedDuration<MIN, MAX> {
    pub(crate) fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl<const MIN: u64, const MAX: u64> BoundedSize<MIN, MAX> {
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}

impl<const MIN: u8, const MAX: u8> BoundedCount<MIN, MAX> {
    pub(crate) fn get(self) -> u8 {
        self.0
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for BoundedDuration<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let parse = |text: &str| parse_quantity(text, &TIME_UNITS, MIN..=MAX);
        deserializer.deserialize_any(ScalarVisitor { parse }).map(Self)
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for BoundedSize<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let parse = |text: &str| parse_quantity(text, &SIZE_UNITS, MIN..=MAX);
        deserializer.deserialize_any(ScalarVisitor { parse }).map(Self)
    }
}

impl<'de, const MIN: u8, const MAX: u8> Deserialize<'de> for BoundedCount<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let parse = |text: &str| {
            let number = text.parse().ok().filter(|number| (MIN..=MAX).contains(number));
            number.ok_or_else(|| format!("allowed are whole numbers from {MIN} to {MAX}"))
        };
        deserializer.deserialize_any(ScalarVisitor { parse }).map(Self)
    }
}

fn parse_quantity(text: &str, units: &[Unit], range: RangeInclusive<u64>) -> Result<u64, String> {
    let value = parse_with_unit(text, units).filter(|value| range.contains(value));
    value.ok_or_else(|| {
        let (min, max) =
            (format_quantity(*range.start(), units), format_quantity(*range.end(), units));
        let names: Vec<_> = units.iter().map(|unit| unit.name).collect();
        format!("allowed are {min} to {max}, in units {}", names.join(", "))
    })
}

fn parse_with_unit(text: &str, units: &[Unit]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, name) = text.split_at(digits);
    let unit = units.iter().find(|unit| unit.name == name.trim())?;
    number.parse::<u64>().ok()?.checked_mul(unit.factor)
}

/// Formats a duration, in whole milliseconds, as a contract file writes it.
pub(crate) fn format_duration(time: Duration) -> String {
    format_quantity(time.as_millis() as u64, &TIME_UNITS)
}

/// Formats a size in bytes as a contract file writes it.
pub(crate) fn format_size(bytes: u64) -> String {
    format_quantity(bytes, &SIZE_UNITS)
}

/// Formats a value in the largest unit that divides it without remainder.
fn format_quantity(value: u64, units: &[Unit]) -> String {
    let fitting = units.iter().rev().find(|unit| value.is_multiple_of(unit.factor));
    fitting.map_or_else(String::new, |unit| format!("{} {}", value / unit.factor, unit.name))
}

/// Parses a YAML scalar from its text.
///
/// The error is raised inside the visitor, because only there the YAML parser still knows the line
/// of the scalar.
pub(crate) struct ScalarVisitor<R> {
    /// Parses the text, or returns a description of the allowed values.
    pub(crate) parse: R,
}

/// Largest number of characters of a rejected value that an error message quotes.
const MAX_QUOTED_CHARS: usize = 40;

impl<R, T> Visitor<'_> for ScalarVisitor<R>
where
    R: Fn(&str) -> Result<T, String>,
{
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.parse)("") {
            Err(allowed) => f.write_str(&allowed),
            Ok(_) => f.write_str("a text"),
        }
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        let text = text.trim();
        (self.parse)(text).map_err(|allowed| {
            let quoted: String = text.escape_debug().take(MAX_QUOTED_CHARS).collect();
            E::custom(format!("`{quoted}`, {allowed}"))
        })
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<T, E> {
        self.visit_str(&value.to_string())
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
}
