//! Table of the figures of a subcommand, printed and optionally written as JSON.

use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use serde::Serialize;

/// One figure with its bounds.
#[derive(Clone, Debug, Serialize)]
pub struct FigureRow {
    /// What was measured.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value, empty for a plain count.
    pub unit: &'static str,
    /// Smallest value allowed.
    pub at_least: Option<f64>,
    /// Largest value allowed.
    pub at_most: Option<f64>,
}

impl FigureRow {
    /// Creates a figure without bounds, such as a baseline.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            at_least: None,
            at_most: None,
        }
    }

    /// Creates a figure of a count, without a unit.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
    pub fn of_count(name: impl Into<String>, count: u64) -> Self {
        Self::new(name, count as f64, "")
    }

    /// Creates a figure of a time in milliseconds.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one run are small")]
    pub fn of_ms(name: impl Into<String>, millis: u64) -> Self {
        Self::new(name, millis as f64, "ms")
    }

    /// Sets the largest value allowed.
    #[must_use]
    pub const fn with_at_most(mut self, bound: f64) -> Self {
        self.at_most = Some(bound);
        self
    }

    /// Sets the smallest value allowed.
    #[must_use]
    pub const fn with_at_least(mut self, bound: f64) -> Self {
        self.at_least = Some(bound);
        self
    }

    /// Returns whether the value is finite and within its bounds.
    fn is_within_bounds(&self) -> bool {
        let is_above_min = self.at_least.is_none_or(|bound| self.value >= bound);
        let is_below_max = self.at_most.is_none_or(|bound| self.value <= bound);
        self.value.is_finite() && is_above_min && is_below_max
    }
}

/// Figures of one run of a subcommand.
#[derive(Clone, Debug, Serialize)]
pub struct FigureTable {
    /// Name of the run, with its seed.
    pub title: String,
    /// Figures in the order in which they are printed.
    pub rows: Vec<FigureRow>,
    /// File to write the figures to as JSON.
    #[serde(skip)]
    pub out: Option<PathBuf>,
}

impl FigureTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(title: impl Into<String>, out: Option<PathBuf>) -> Self {
        Self {
            title: title.into(),
            rows: Vec::new(),
            out,
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, row: FigureRow) {
        self.rows.push(row);
    }

    /// Prints the table, writes it as JSON if a file is set, and returns whether every figure is within
    /// its bounds.
    ///
    /// # Errors
    ///
    /// If the JSON file cannot be written.
    pub fn finish(self) -> Result<bool> {
        println!("{}", self.title);
        for row in &self.rows {
            let result = if row.is_within_bounds() {
                "ok"
            } else {
                "BROKEN"
            };
            let bound = format_bounds(row);
            println!(
                "  {:<58} {:>14.3} {:<10} {bound:<18} {result}",
                row.name, row.value, row.unit
            );
        }
        if let Some(path) = &self.out {
            let text = serde_json::to_string_pretty(&self)?;
            fs::write(path, text)
                .with_context(|| format!("could not write figures to {}", path.display()))?;
        }
        Ok(self.rows.iter().all(FigureRow::is_within_bounds))
    }
}

/// Formats the bounds of a figure.
fn format_bounds(row: &FigureRow) -> String {
    let min = row.at_least.map(|bound| format!(">= {bound}"));
    let max = row.at_most.map(|bound| format!("<= {bound}"));
    [min, max]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()
        .join(" ")
}
