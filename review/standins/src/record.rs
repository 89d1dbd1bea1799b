//! What was sent, answered and run, for `record.txt` and for the checks.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufWriter;
use std::io::Result;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::endpoint::KeyRow;

struct RecordState {
    file: BufWriter<File>,
    /// When and where each request was run.
    runs: BTreeMap<String, Vec<(u64, String)>>,
    /// Keys that were given to an endpoint while another one worked on them.
    given_at_work: usize,
}

/// The record of one case.
pub struct Record {
    started_at: Instant,
    state: Mutex<RecordState>,
    endpoints: Mutex<Vec<Weak<Endpoint>>>,
}

impl Record {
    /// Creates the file.
    pub fn new(path: &Path) -> Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        let state = RecordState {
            file,
            runs: BTreeMap::new(),
            given_at_work: 0,
        };
        Ok(Self {
            started_at: Instant::now(),
            state: Mutex::new(state),
            endpoints: Mutex::default(),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{:>8.3} {text}", now_ms as f64 / 1_000.0);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }

    /// Records that an endpoint begins to run a request.
    pub fn run(&self, id: &str, endpoint: &str, body: &[u8]) {
        let at_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let runs = state.runs.entry(id.into()).or_default();
        runs.push((at_ms, endpoint.into()));
        let length = body.len();
        let at = at_ms as f64 / 1_000.0;
        let _ = writeln!(
            state.file,
            "{at:>8.3} run {id} at {endpoint}, body of {length} bytes"
        );
    }

    /// Returns when, in milliseconds, and at which endpoint each request was run.
    pub fn runs(&self) -> BTreeMap<String, Vec<(u64, String)>> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Adds an endpoint to those whose work is compared with the keys that others are given.
    pub fn register(&self, endpoint: &Arc<Endpoint>) {
        self.endpoints
            .lock()
            .unwrap()
            .push(Arc::downgrade(endpoint));
    }

    /// Checks that no other endpoint works on keys that an endpoint has just been given.
    pub fn check_given(&self, id: &str, row: KeyRow) {
        let endpoints = self.endpoints.lock().unwrap().clone();
        for other in endpoints.iter().filter_map(Weak::upgrade) {
            if other.config.id == id {
                continue;
            }
            if let Some((request, left)) = other.work_on(row) {
                self.say(&format!(
                    "{id} is given keys {} to {} while {} still works on request {request}; its hold would \
                     last for {} ms more",
                    row.0,
                    row.1,
                    other.config.id,
                    left.as_millis()
                ));
                self.state.lock().unwrap().given_at_work += 1;
            }
        }
    }

    /// Returns how often keys were given to an endpoint while another one worked on them.
    pub fn given_at_work(&self) -> usize {
        self.state.lock().unwrap().given_at_work
    }

    /// Writes everything to the file.
    pub fn flush(&self) {
        let _ = self.state.lock().unwrap().file.flush();
    }
}
