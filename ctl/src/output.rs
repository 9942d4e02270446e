//! Prints results as text or JSON.

use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;

use crate::error::CtlError;
use crate::options::Format;

/// Prints a result and a newline in the requested format.
pub(crate) fn print<T: Serialize + Display>(format: Format, value: &T) -> Result<(), CtlError> {
    let mut out = io::stdout().lock();
    match format {
        Format::Text => writeln!(out, "{value}")?,
        Format::Json => {
            serde_json::to_writer(&mut out, value).map_err(io::Error::from)?;
            writeln!(out)?;
        }
    }
    Ok(out.flush()?)
}
