//! Record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Self { file: Mutex::new(file), began: Instant::now() })
    }

    pub fn began(&self) -> Instant {
        self.began
    }

    /// Writes a line with the time since the start of the case.
    pub fn line(&self, text: &str) {
        let line = format!("{:8} ms  {text}\n", self.began.elapsed().as_millis());
        // The exit code tells the result; a line that cannot be written is only missing.
        let _ = self.file.lock().expect("no holder panics").write_all(line.as_bytes());
    }
}
