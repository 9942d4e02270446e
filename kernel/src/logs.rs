//! Structured logs, as text or JSON, with the name of the component that wrote each line.

use std::io::Write;
use std::str::FromStr;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

/// Capacity of the queue of log lines. If the reader of the output is slow and the queue is full,
/// further lines are dropped and counted, so that the process never blocks on its log.
const QUEUE_LINES: usize = 1_024;

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
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

/// Creates a logger that writes to standard output in the given format, from level `info` up.
///
/// A line that cannot be written is dropped: if the reader of the output is gone, there is no place
/// left to report it, and the process must continue.
pub fn root_logger(format: LogFormat) -> Logger {
    logger_with_output(format, std::io::stdout())
}

/// Like [`root_logger`], but writes to `output`.
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

/// Creates the logger of one component; each line has `name` under the key `part`.
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
