//! The record of a run: what was sent, answered and run, with the time of each.

use std::cell::RefCell;
use std::path::Path;
use std::time::Instant;

/// Collects the lines of a run.
pub struct Record {
    started: Instant,
    lines: RefCell<Vec<String>>,
}

impl Record {
    /// Creates an empty record. Times count from now.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: RefCell::default(),
        }
    }

    /// Returns the milliseconds since the record was created.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a line with the present time.
    pub fn add(&self, line: &str) {
        let now_ms = self.now_ms();
        self.lines
            .borrow_mut()
            .push(format!("{now_ms:>6} ms  {line}"));
    }

    /// Writes all lines to a file.
    ///
    /// # Errors
    ///
    /// The I/O error if the file can't be written.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut text = self.lines.borrow().join("\n");
        text.push('\n');
        std::fs::write(path, text)
    }
}
