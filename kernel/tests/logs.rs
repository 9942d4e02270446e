//! A logger keeps working, and the process with it, when nobody reads the log output any more.

use std::io::{Error, ErrorKind, Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use poplar_kernel::{LogFormat, logger_with_output};
use slog::info;

/// Output whose reader is gone: counts the writes, and each one fails.
struct ClosedOutput(Arc<AtomicUsize>);

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> Result<usize> {
        self.0.fetch_add(1, Ordering::SeqCst);
        Err(Error::from(ErrorKind::BrokenPipe))
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// The thread that writes the lines once panicked at the first failed write, and the backtrace that
/// it captured took 85 MB.
#[test]
fn a_logger_continues_after_its_output_is_closed() {
    for format in [LogFormat::Text, LogFormat::Json] {
        let writes = Arc::new(AtomicUsize::new(0));
        let logger = logger_with_output(format, ClosedOutput(writes.clone()));
        info!(logger, "first line");
        info!(logger, "second line");
        // Dropping the logger waits until its lines are written.
        drop(logger);
        assert!(
            writes.load(Ordering::SeqCst) >= 2,
            "{format:?}: writing the second line was not attempted"
        );
    }
}
