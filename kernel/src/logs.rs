//! Structured logs: text for people or JSON, with a fixed prefix for each part.

use std::io::Write;
use std::str::FromStr;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

/// Lines that may wait for a slow reader of the output; further ones are dropped and counted, so
/// that no process ever waits for its log.
const QUEUE_LINES: usize = 1_024;

/// Shape of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON document per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("log format {other} is not one of text, json")),
        }
    }
}

/// Logger that writes to standard output in the given shape, from level `info` up.
///
/// A line that cannot be written is dropped: when the reader of the output is gone there is nowhere
/// left to say so, and the process must go on.
pub fn root_logger(format: LogFormat) -> Logger {
    logger_with_output(format, std::io::stdout())
}

/// Like [`root_logger`], to another output.
pub fn logger_with_output(format: LogFormat, output: impl Write + Send + 'static) -> Logger {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(output);
            let lines = slog_term::FullFormat::new(decorator).build();
            async_logger(Mutex::new(lines).ignore_res())
        }
        LogFormat::Json => {
            let lines = slog_json::Json::default(output);
            async_logger(Mutex::new(lines).ignore_res())
        }
    }
}

/// Logger of one part; `name` stands in each line of JSON, and as a prefix in each sentence.
pub fn component_logger(root: &Logger, name: &'static str) -> Logger {
    root.new(o!("part" => name))
}

fn async_logger<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .ignore_res();
    Logger::root(slog::LevelFilter::new(queue, Level::Info).fuse(), o!())
}
