//! Formats the report as a self-contained HTML page.

use std::fmt::Write;

use crate::plot;
use crate::report::BurnReport;
use crate::report::ObjectiveBurn;
use crate::report::ServiceBurn;
use crate::text;

const STYLE: &str = "body{font:14px/1.5 system-ui,sans-serif;margin:2em auto;max-width:52em;\
padding:0 1em;color:#222;background:#fff}table{border-collapse:collapse;margin:.5em 0}\
th,td{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\
th:first-child,td:first-child{text-align:left}.page{color:#fff;background:#b00020;\
padding:.1em .5em;border-radius:.2em;font-size:.8em}svg{width:100%;height:auto;display:block}\
svg text{font:11px system-ui,sans-serif;fill:#222}svg .axis{text-anchor:end}\
.frame{fill:none;stroke:#999}.line{fill:none;stroke-width:1.5}\
.requests{stroke:#1f5fa8;fill:#1f5fa8}.bad{stroke:#b00020;fill:#b00020}\
.slow{stroke:#b36b00;fill:#b36b00}path.line{fill:none}tspan{stroke:none}";

/// Formats the report.
#[must_use]
pub fn write(report: &BurnReport) -> String {
    let notes: String = text::notes(report)
        .iter()
        .map(|note| format!("<li>{}</li>", escape(note)))
        .collect();
    let services: String = report.services.iter().map(service_section).collect();
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\n<body>\
         <h1>Service-level burn</h1>\n<p>{} agents over {}. Pages at a burn rate of {} over {} \
         and {}.</p>\n<ul>{notes}</ul>\n{services}</body></html>\n",
        report.agents.len(),
        text::duration_text(report.at.0.saturating_sub(report.since.0)),
        report.settings.page_at,
        text::duration_text(report.settings.short_ms),
        text::duration_text(report.settings.long_ms),
    )
}

fn service_section(service: &ServiceBurn) -> String {
    let name = format!("{}/{}", service.name.workspace, service.name.service);
    let page_alert = text::page_alert(service);
    let badge = match page_alert.trim() {
        "" => String::new(),
        alert => format!(" <span class=\"page\">{}</span>", escape(alert)),
    };
    let mut html = format!("<h2>{}{badge}</h2>\n", escape(&name));
    if !service.zones_out.is_empty() {
        let zones = escape(&service.zones_out.join(", "));
        let _ = writeln!(html, "<p>Zones taken out: {zones}</p>");
    }
    html += "<table><tr><th>Objective</th><th>Target</th><th>Measured</th><th>Burn short</th>\
             <th>Burn long</th><th>Budget left</th></tr>";
    html += &objective_row("Availability", &service.availability);
    html += &objective_row("Latency", &service.latency);
    let keys = &service.unavailable;
    let _ = writeln!(
        html,
        "</table>\n<p>Keys unavailable {:.2} s in all, longest stretch {:.2} s, target {} s.</p>",
        keys.total_s, keys.longest_s, keys.target_s
    );
    html += &cause_table(service);
    html + &plot::series(&service.series)
}

/// Formats the table row of one objective.
fn objective_row(name: &str, objective: &ObjectiveBurn) -> String {
    let budget_left = objective.budget_left_percent;
    format!(
        "<tr><td>{name}</td><td>{} %</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
        objective.target_percent,
        text::percent_text(&objective.long),
        text::rate_text(&objective.short),
        text::rate_text(&objective.long),
        budget_left.map_or_else(|| "-".to_owned(), |left| format!("{left:.1} %"))
    )
}

/// Formats the table of causes. Returns an empty string if there are none.
fn cause_table(service: &ServiceBurn) -> String {
    if service.causes.is_empty() {
        return String::new();
    }
    let row = |cause: &crate::report::CauseCount| {
        let name = escape(&cause.cause);
        format!(
            "<tr><td>{name}</td><td>{:.0}</td><td>{:.2} %</td></tr>",
            cause.count, cause.share_percent
        )
    };
    let rows: String = service.causes.iter().map(row).collect();
    format!("<table><tr><th>Cause</th><th>Requests</th><th>Share</th></tr>{rows}</table>\n")
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
