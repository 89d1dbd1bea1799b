//! The table of figures that every subcommand ends with, printed and written as JSON.

use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use serde::Serialize;

/// One figure with its bound.
#[derive(Clone, Debug, Serialize)]
pub struct FigureRow {
    /// What was measured.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// Smallest value allowed.
    pub at_least: Option<f64>,
    /// Largest value allowed.
    pub at_most: Option<f64>,
}

impl FigureRow {
    /// Makes a figure without a bound, such as a baseline.
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

    /// Makes a figure of a count.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
    pub fn of_count(name: impl Into<String>, count: u64) -> Self {
        Self::new(name, count as f64, "")
    }

    /// Makes a figure of a time in milliseconds.
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

    /// Whether the figure is a number within its bounds.
    fn holds(&self) -> bool {
        let above = self.at_least.is_none_or(|bound| self.value >= bound);
        let below = self.at_most.is_none_or(|bound| self.value <= bound);
        self.value.is_finite() && above && below
    }
}

/// All figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct FigureTable {
    /// What ran, with its seed.
    pub title: String,
    /// The figures.
    pub rows: Vec<FigureRow>,
    /// Where to write them as JSON.
    #[serde(skip)]
    pub out: Option<PathBuf>,
}

impl FigureTable {
    /// Makes an empty table.
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

    /// Prints the table, writes it as JSON and returns whether every bound holds.
    ///
    /// # Errors
    ///
    /// If the JSON file can't be written.
    pub fn finish(self) -> Result<bool> {
        println!("{}", self.title);
        for row in &self.rows {
            let verdict = if row.holds() { "ok" } else { "BROKEN" };
            let bound = bound_text(row);
            println!(
                "  {:<58} {:>14.3} {:<10} {bound:<18} {verdict}",
                row.name, row.value, row.unit
            );
        }
        if let Some(path) = &self.out {
            let text = serde_json::to_string_pretty(&self)?;
            fs::write(path, text).with_context(|| format!("could not write {}", path.display()))?;
        }
        Ok(self.rows.iter().all(FigureRow::holds))
    }
}

/// Writes the bounds of a figure.
fn bound_text(row: &FigureRow) -> String {
    let least = row.at_least.map(|bound| format!(">= {bound}"));
    let most = row.at_most.map(|bound| format!("<= {bound}"));
    [least, most]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>()
        .join(" ")
}
