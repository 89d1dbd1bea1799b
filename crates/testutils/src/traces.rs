//! Replays the recorded traces of one area and compares their figures with the recorded outcomes.

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

/// The directory that holds an area's traces and their outcomes.
#[derive(Clone, Debug)]
pub struct TraceDirectory {
    path: PathBuf,
    replay: ReplayFn,
}

impl TraceDirectory {
    /// Refers to the directory of an area, without reading it.
    #[must_use]
    pub fn new(area: &str, replay: ReplayFn) -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../traces")
            .join(area);
        Self { path, replay }
    }

    /// Returns the names of all traces, sorted.
    ///
    /// # Panics
    ///
    /// Panics if the directory can't be read.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        let entries =
            fs::read_dir(&self.path).expect("the traces directory of the area must be readable");
        let mut names: Vec<String> = entries
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .filter_map(|name| name.strip_suffix(".jsonl").map(str::to_owned))
            .collect();
        names.sort();
        names
    }

    /// Replays a trace whose text `change` may alter, and returns the figures that are out of the outcome's
    /// bounds.
    ///
    /// # Panics
    ///
    /// Panics if the trace or its outcome is missing or malformed, or if the outcome has no bounds.
    #[must_use]
    pub fn differences(
        &self,
        name: &str,
        change: impl FnOnce(String) -> String,
    ) -> Vec<FigureDifference> {
        let read_file = |extension: &str| {
            let path = self.path.join(format!("{name}.{extension}"));
            fs::read_to_string(path).expect("the trace and its outcome must be readable")
        };
        let bounds: Vec<FigureBound> = serde_json::from_str(&read_file("outcome.json"))
            .expect("the outcome must be a JSON list of bounds");
        assert!(
            !bounds.is_empty(),
            "the outcome of trace {name} has no bounds"
        );
        let text = change(read_file("jsonl"));
        let figures = (self.replay)(name, &text).expect("the trace must be well formed");
        compare(&figures, &bounds)
    }

    /// Replays a trace with `rule` broken in its settings, and returns the names of the figures that are out
    /// of bounds as a result.
    ///
    /// # Panics
    ///
    /// Panics in the same cases as [`Self::differences`].
    #[must_use]
    pub fn broken_figures(&self, name: &str, rule: &str) -> Vec<String> {
        let broken_settings = format!("\"settings\":{{\"broken\":\"{rule}\",");
        let change = |text: String| text.replacen("\"settings\":{", &broken_settings, 1);
        self.differences(name, change)
            .iter()
            .map(|difference| difference.bound.figure.to_string())
            .collect()
    }

    /// Replays each trace with each of its listed rules broken, and describes every replay that leaves all of
    /// `violation_figures` within their bounds.
    ///
    /// # Panics
    ///
    /// Panics in the same cases as [`Self::differences`].
    #[must_use]
    pub fn undetected_rules(
        &self,
        traces: &[(&str, &[&str])],
        violation_figures: &[&str],
    ) -> Vec<String> {
        let mut undetected = Vec::new();
        for (name, rules) in traces {
            for rule in *rules {
                let worsened = self.broken_figures(name, rule);
                if !worsened
                    .iter()
                    .any(|figure| violation_figures.contains(&figure.as_str()))
                {
                    undetected.push(format!("{name} {rule}: {worsened:?}"));
                }
            }
        }
        undetected
    }
}
