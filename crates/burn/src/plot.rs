//! Plots as inline SVG.

use std::fmt::Write;

use crate::report::SeriesPoint;

/// Width of a plot, in pixels.
const WIDTH: f64 = 560.0;
/// Height of the plotted area, in pixels.
const HEIGHT: f64 = 90.0;
/// Room for the labels on the left, in pixels.
const LEFT: f64 = 60.0;
/// Room above and below the plotted area, in pixels.
const MARGIN: f64 = 18.0;

/// One line of a plot.
pub struct PlotLine<'a> {
    /// Its name.
    pub name: &'a str,
    /// Class for its colour.
    pub class: &'a str,
    /// Its values.
    pub values: Vec<f64>,
}

/// Draws a service's requests and its bad shares over time.
#[must_use]
pub fn series(points: &[SeriesPoint]) -> String {
    if points.is_empty() {
        return "<p>Not enough samples for a plot.</p>".to_owned();
    }
    let values = |value: fn(&SeriesPoint) -> f64| points.iter().map(value).collect();
    let requests = PlotLine {
        name: "requests",
        class: "requests",
        values: values(|point| point.total),
    };
    let bad = PlotLine {
        name: "not served",
        class: "bad",
        values: values(|point| point.bad_percent),
    };
    let slow = PlotLine {
        name: "slow",
        class: "slow",
        values: values(|point| point.slow_percent),
    };
    draw("Requests", "", &[requests]) + &draw("Share", " %", &[bad, slow])
}

/// Draws lines over a common axis that begins at zero.
fn draw(title: &str, unit: &str, lines: &[PlotLine<'_>]) -> String {
    let all = lines.iter().flat_map(|line| &line.values);
    let top = all.copied().fold(0.0, f64::max);
    let top = if top > 0.0 { top } else { 1.0 };
    let names: Vec<_> = lines
        .iter()
        .map(|line| format!("<tspan class=\"{}\">{}</tspan>", line.class, line.name))
        .collect();
    let (full_width, full_height) = (WIDTH + LEFT + MARGIN, HEIGHT + 2.0 * MARGIN);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {full_width} {full_height}\" role=\"img\" aria-label=\"{title}\">\
         <text x=\"{LEFT}\" y=\"12\">{}</text>\
         <text x=\"{}\" y=\"{}\" class=\"axis\">{top:.1}{unit}</text>\
         <text x=\"{}\" y=\"{}\" class=\"axis\">0</text>\
         <path class=\"frame\" d=\"M{LEFT},{MARGIN}V{}H{}\"/>",
        names.join(", "),
        LEFT - 6.0,
        MARGIN + 8.0,
        LEFT - 6.0,
        MARGIN + HEIGHT,
        MARGIN + HEIGHT,
        LEFT + WIDTH,
    );
    for line in lines {
        let _ = write!(
            svg,
            "<path class=\"line {}\" d=\"{}\"/>",
            line.class,
            path(&line.values, top)
        );
    }
    svg + "</svg>\n"
}

/// Returns the path of a line.
#[expect(clippy::cast_precision_loss, reason = "a plot has tens of points")]
fn path(values: &[f64], top: f64) -> String {
    let step = WIDTH / (values.len().max(2) - 1) as f64;
    let mut path = String::new();
    for (index, value) in values.iter().enumerate() {
        let letter = if index == 0 { 'M' } else { 'L' };
        let x = LEFT + step * index as f64;
        let y = MARGIN + HEIGHT * (1.0 - value / top);
        let _ = write!(path, "{letter}{x:.1},{y:.1}");
    }
    path
}
