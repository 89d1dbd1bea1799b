//! Records the events that are passed to the decision logic, for replay.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::PathBuf;

use jy_kernel::clock;
use jy_kernel::trace::TraceHeader;
use jy_kernel::trace::TraceLine;
use jy_types::name::Name;
use serde::Serialize;

/// Name of this service.
pub const SERVICE: &str = "tracing";

/// Writes one trace file per area, or nothing if no folder is set.
#[derive(Debug)]
pub struct TraceWriters {
    folder: Option<PathBuf>,
    agent: Name,
    files: RefCell<BTreeMap<&'static str, BufWriter<File>>>,
}

impl TraceWriters {
    /// Creates writers for traces in `folder`, or writers that write nothing if it is `None`.
    #[must_use]
    pub fn new(folder: Option<PathBuf>, agent: Name) -> Self {
        Self {
            folder,
            agent,
            files: RefCell::default(),
        }
    }

    /// Creates the trace file of an area and writes its header.
    pub fn start(&self, area: &'static str, seed: u64, settings: &impl Serialize) {
        let Some(folder) = &self.folder else {
            return;
        };
        let header = TraceHeader {
            area: area.into(),
            seed,
            settings: serde_json::to_value(settings).unwrap_or_default(),
        };
        let path = folder.join(format!("{}.{area}.jsonl", self.agent));
        let opened = fs::create_dir_all(folder).and_then(|()| File::create(&path));
        match opened {
            Ok(file) => {
                self.files.borrow_mut().insert(area, BufWriter::new(file));
                self.write(area, &header);
            }
            Err(error) => log::warn!("could not create the trace file of {area}: {error}"),
        }
    }

    /// Records one event of an area with the current time.
    pub fn record(&self, area: &'static str, event: &impl Serialize) {
        if self.folder.is_none() {
            return;
        }
        let line = TraceLine {
            at: clock::now(),
            event,
        };
        self.write(area, &line);
    }

    /// Writes one line. If that fails, ends the trace of the area.
    fn write(&self, area: &'static str, line: &impl Serialize) {
        let mut files = self.files.borrow_mut();
        let Some(file) = files.get_mut(area) else {
            return;
        };
        let text = serde_json::to_string(line).unwrap_or_default();
        let written = writeln!(file, "{text}").and_then(|()| file.flush());
        if let Err(error) = written {
            log::warn!("could not write to the trace file of {area}, trace ended: {error}");
            files.remove(area);
        }
    }
}
