//! Draws plots as inline SVG.

use std::fmt::Write;

use crate::report::SeriesPoint;

/// Width of the plotted area, in pixels.
const WIDTH: f64 = 560.0;
/// Height of the plotted area, in pixels.
const HEIGHT: f64 = 90.0;
/// Width of the area for axis labels to the left of the plotted area, in pixels.
const LABEL_WIDTH: f64 = 60.0;
/// Margin above, below and to the right of the plotted area, in pixels.
const MARGIN: f64 = 18.0;

/// One line of a plot.
pub struct PlotLine<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// CSS class that sets the color.
    pub class: &'a str,
    /// Values at equal distances on the horizontal axis.
    pub values: Vec<f64>,
}

/// Draws the number of requests of a service, and the shares of failed and slow ones, over time.
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

/// Draws lines with a common vertical axis that starts at zero.
fn draw(title: &str, unit: &str, lines: &[PlotLine<'_>]) -> String {
    let all_values = lines.iter().flat_map(|line| &line.values);
    let max_value = all_values.copied().fold(0.0, f64::max);
    let axis_max = if max_value > 0.0 { max_value } else { 1.0 };
    let legend: Vec<_> = lines
        .iter()
        .map(|line| format!("<tspan class=\"{}\">{}</tspan>", line.class, line.name))
        .collect();
    let (full_width, full_height) = (WIDTH + LABEL_WIDTH + MARGIN, HEIGHT + 2.0 * MARGIN);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {full_width} {full_height}\" role=\"img\" aria-label=\"{title}\">\
         <text x=\"{LABEL_WIDTH}\" y=\"12\">{}</text>\
         <text x=\"{}\" y=\"{}\" class=\"axis\">{axis_max:.1}{unit}</text>\
         <text x=\"{}\" y=\"{}\" class=\"axis\">0</text>\
         <path class=\"frame\" d=\"M{LABEL_WIDTH},{MARGIN}V{}H{}\"/>",
        legend.join(", "),
        LABEL_WIDTH - 6.0,
        MARGIN + 8.0,
        LABEL_WIDTH - 6.0,
        MARGIN + HEIGHT,
        MARGIN + HEIGHT,
        LABEL_WIDTH + WIDTH,
    );
    for line in lines {
        let _ = write!(
            svg,
            "<path class=\"line {}\" d=\"{}\"/>",
            line.class,
            line_path(&line.values, axis_max)
        );
    }
    svg + "</svg>\n"
}

/// Returns the SVG path of a line.
#[expect(clippy::cast_precision_loss, reason = "a plot has only tens of points")]
fn line_path(values: &[f64], axis_max: f64) -> String {
    let x_step = WIDTH / (values.len().max(2) - 1) as f64;
    let mut path = String::new();
    for (index, value) in values.iter().enumerate() {
        let command = if index == 0 { 'M' } else { 'L' };
        let x = LABEL_WIDTH + x_step * index as f64;
        let y = MARGIN + HEIGHT * (1.0 - value / axis_max);
        let _ = write!(path, "{command}{x:.1},{y:.1}");
    }
    path
}
