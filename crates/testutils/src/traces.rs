//! The recorded traces of one area, replayed against their outcomes.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use jy_kernel::trace::FigureBound;
use jy_kernel::trace::FigureDifference;
use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::compare;

/// Replays a trace and returns its figures.
pub type ReplayFn = fn(&str, &str) -> Result<FigureMap>;

/// The folder of an area's traces.
#[derive(Clone, Debug)]
pub struct TraceFolder {
    path: PathBuf,
    replay: ReplayFn,
}

impl TraceFolder {
    /// Opens the folder of an area.
    #[must_use]
    pub fn new(area: &str, replay: ReplayFn) -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../traces")
            .join(area);
        Self { path, replay }
    }

    /// Returns the names of all traces, in order.
    ///
    /// # Panics
    ///
    /// If the folder can't be read.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.path).expect("the area has a folder of traces");
        let mut names: Vec<String> = entries
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .filter_map(|name| name.strip_suffix(".jsonl").map(str::to_owned))
            .collect();
        names.sort();
        names
    }

    /// Replays a trace, changed by `change`, and returns what differs from its outcome.
    ///
    /// # Panics
    ///
    /// If the trace or its outcome is missing, malformed or states nothing.
    #[must_use]
    pub fn differences(
        &self,
        name: &str,
        change: impl FnOnce(String) -> String,
    ) -> Vec<FigureDifference> {
        let read = |ending: &str| {
            let path = self.path.join(format!("{name}.{ending}"));
            fs::read_to_string(path).expect("the trace and its outcome are there")
        };
        let bounds: Vec<FigureBound> =
            serde_json::from_str(&read("outcome.json")).expect("an outcome is a list of bounds");
        assert!(!bounds.is_empty(), "{name} states no outcome");
        let text = change(read("jsonl"));
        let figures = (self.replay)(name, &text).expect("the trace is well formed");
        compare(&figures, &bounds)
    }

    /// Replays a trace with a rule of its settings broken and returns the figures that show it.
    #[must_use]
    pub fn broken_figures(&self, name: &str, rule: &str) -> Vec<String> {
        let setting = format!("\"settings\":{{\"broken\":\"{rule}\",");
        let change = |text: String| text.replacen("\"settings\":{", &setting, 1);
        self.differences(name, change)
            .iter()
            .map(|found| found.bound.figure.to_string())
            .collect()
    }

    /// Breaks each listed rule in its trace and returns those that worsen none of the figures
    /// `harms`.
    #[must_use]
    pub fn silent_rules(&self, traces: &[(&str, &[&str])], harms: &[&str]) -> Vec<String> {
        let mut silent = Vec::new();
        for (name, rules) in traces {
            for rule in *rules {
                let found = self.broken_figures(name, rule);
                if !found.iter().any(|figure| harms.contains(&figure.as_str())) {
                    silent.push(format!("{name} {rule}: {found:?}"));
                }
            }
        }
        silent
    }
}
