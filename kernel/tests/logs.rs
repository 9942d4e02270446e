//! Logging never stands in the way of the process.

use std::io::{Error, ErrorKind, Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use poplar_kernel::{LogFormat, logger_with_output};
use slog::info;

/// Output whose reader is gone.
struct Closed(Arc<AtomicUsize>);

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> Result<usize> {
        self.0.fetch_add(1, Ordering::SeqCst);
        Err(Error::from(ErrorKind::BrokenPipe))
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// The writer of lines used to panic at the first one, and the captured backtrace took 85 MB.
#[test]
fn a_logger_outlives_the_reader_of_its_output() {
    for format in [LogFormat::Text, LogFormat::Json] {
        let writes = Arc::new(AtomicUsize::new(0));
        let logger = logger_with_output(format, Closed(writes.clone()));
        info!(logger, "first line");
        info!(logger, "second line");
        // Dropping the logger waits until its lines are written.
        drop(logger);
        assert!(writes.load(Ordering::SeqCst) >= 2, "{format:?}: the second line was not tried");
    }
}
