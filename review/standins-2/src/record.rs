//! The record of a run: what was sent, answered and run, one line each.

use std::cell::RefCell;
use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;
use jy_kernel::clock;
use jy_types::time::Millis;

/// Writes lines to `record.txt`, each with the time since the start of the run, and keeps the violations.
pub struct RunRecord {
    started_at: Millis,
    file: RefCell<BufWriter<File>>,
    violations: RefCell<Vec<String>>,
}

impl RunRecord {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// If it can't be created.
    pub fn create(path: &Path) -> Result<Self> {
        let file = File::create(path).with_context(|| format!("create {}", path.display()))?;
        Ok(Self {
            started_at: clock::now(),
            file: RefCell::new(BufWriter::new(file)),
            violations: RefCell::default(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at_ms = clock::now().since(self.started_at);
        let mut file = self.file.borrow_mut();
        // A record that can't be written shows as missing lines; the verdict does not depend on it.
        let _written = writeln!(file, "{:>9.3} s  {text}", at_ms as f64 / 1_000.0);
    }

    /// Returns the time since the start of the run, in milliseconds.
    pub fn at_ms(&self, time: Millis) -> u64 {
        time.since(self.started_at)
    }

    /// Writes a line and keeps it as a violation of the rule.
    pub fn violation(&self, text: &str) {
        self.line(&format!("RULE BROKEN: {text}"));
        self.violations.borrow_mut().push(text.to_owned());
    }

    /// Returns the number of violations.
    pub fn violation_count(&self) -> usize {
        self.violations.borrow().len()
    }

    /// Ends the record: writes the verdict and prints it with the first violations.
    pub fn finish(&self) {
        let violations = self.violations.borrow();
        let verdict = format!("{} violations", violations.len());
        self.line(&verdict);
        let _flushed = self.file.borrow_mut().flush();
        println!("{verdict}");
        for violation in violations.iter().take(5) {
            println!("  {violation}");
        }
    }
}
