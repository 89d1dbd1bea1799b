//! Formats the report as text for a terminal.

use std::fmt::Write;

use crate::report::BurnReport;
use crate::report::ObjectiveBurn;
use crate::report::ServiceBurn;
use crate::report::WindowBurn;

/// Maximum number of causes shown for each service.
const MAX_CAUSES_SHOWN: usize = 5;

/// Formats the report.
#[must_use]
pub fn write(report: &BurnReport) -> String {
    let mut text = header(report);
    for service in &report.services {
        text.push_str(&service_text(service));
    }
    text
}

/// Formats the covered time, the settings and the notes.
fn header(report: &BurnReport) -> String {
    let covered = report.at.0.saturating_sub(report.since.0);
    let mut text = format!(
        "{} agents over {}; pages at a burn rate of {} over {} and {}\n",
        report.agents.len(),
        duration_text(covered),
        report.settings.page_at,
        duration_text(report.settings.short_ms),
        duration_text(report.settings.long_ms)
    );
    for note in notes(report) {
        text.push_str("note: ");
        text.push_str(&note);
        text.push('\n');
    }
    text
}

/// Returns notes on gaps in the samples, which make the figures incomplete.
#[must_use]
pub fn notes(report: &BurnReport) -> Vec<String> {
    let mut notes = Vec::new();
    for (agent, count) in &report.missed {
        let never_answered = !report.agents.contains(agent);
        let suffix = if never_answered {
            "; nothing of it is counted"
        } else {
            ""
        };
        notes.push(format!("{agent} did not answer {count} time(s){suffix}"));
    }
    for (agent, count) in &report.restarts {
        notes.push(format!(
            "{agent} restarted {count} time(s); what it counted after its last answer is not seen"
        ));
    }
    if !report.gone.is_empty() {
        notes.push(format!(
            "left meanwhile: {}; what they counted after their last answer is not seen",
            report.gone.join(", ")
        ));
    }
    let covered = report.at.0.saturating_sub(report.since.0);
    if covered < report.settings.long_ms {
        notes.push(format!(
            "the samples cover {} of the long window of {}; `--samples FILE` keeps them for the next run",
            duration_text(covered),
            duration_text(report.settings.long_ms)
        ));
    }
    notes
}

fn service_text(service: &ServiceBurn) -> String {
    let name = &service.name;
    let mut text = format!(
        "\n{}/{}{}\n",
        name.workspace,
        name.service,
        page_alert(service)
    );
    if !service.zones_out.is_empty() {
        let _ = writeln!(text, "  zones out     {}", service.zones_out.join(", "));
    }
    let latency_bound = service
        .latency_bound_ms
        .map(|bound| format!(" (within {bound} ms)"));
    text.push_str(&objective_text("availability", &service.availability, ""));
    text.push_str(&objective_text(
        "latency",
        &service.latency,
        &latency_bound.unwrap_or_default(),
    ));
    let keys = &service.unavailable;
    let _ = writeln!(
        text,
        "  keys          unavailable {:.2} s in all, longest stretch {:.2} s, target {} s",
        keys.total_s, keys.longest_s, keys.target_s
    );
    let causes = service.causes.iter().take(MAX_CAUSES_SHOWN);
    let causes: Vec<_> = causes
        .map(|cause| {
            format!(
                "{} {:.0} ({:.2} %)",
                cause.cause, cause.count, cause.share_percent
            )
        })
        .collect();
    if !causes.is_empty() {
        let _ = writeln!(text, "  top causes    {}", causes.join(", "));
    }
    text
}

/// Returns a text that lists the objectives that page, or an empty string if none does.
#[must_use]
pub fn page_alert(service: &ServiceBurn) -> String {
    let objectives = [
        ("availability", service.availability.pages),
        ("latency", service.latency.pages),
        ("keys unavailable", service.unavailable.pages),
    ];
    let names: Vec<_> = objectives
        .iter()
        .filter(|(_, pages)| *pages)
        .map(|(name, _)| *name)
        .collect();
    if names.is_empty() {
        String::new()
    } else {
        format!("  PAGE: {}", names.join(", "))
    }
}

/// Formats one objective. `target_suffix` follows the target.
fn objective_text(name: &str, objective: &ObjectiveBurn, target_suffix: &str) -> String {
    let budget_left = objective
        .budget_left_percent
        .map_or_else(|| "-".to_owned(), |left| format!("{left:.1} %"));
    format!(
        "  {name:<13} target {} %{target_suffix}, measured {}; burn rate {} short, {} long; budget left {budget_left}\n",
        objective.target_percent,
        percent_text(&objective.long),
        rate_text(&objective.short),
        rate_text(&objective.long),
    )
}

/// Formats the share of good requests.
#[must_use]
pub fn percent_text(window: &WindowBurn) -> String {
    if window.total > 0.0 {
        format!(
            "{:.3} % of {:.0}",
            100.0 * window.good / window.total,
            window.total
        )
    } else {
        "no requests".to_owned()
    }
}

/// Formats a burn rate, or `-` without requests.
#[must_use]
pub fn rate_text(window: &WindowBurn) -> String {
    window
        .burn_rate
        .map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}

/// Formats a duration in the largest unit of which it is exactly one or at least two, rounded down.
#[must_use]
pub fn duration_text(millis: u64) -> String {
    let units = [
        (86_400_000, "d"),
        (3_600_000, "h"),
        (60_000, "min"),
        (1_000, "s"),
    ];
    let fitting_unit = units
        .iter()
        .find(|(unit, _)| millis >= 2 * unit || millis == *unit);
    fitting_unit.map_or_else(
        || format!("{millis} ms"),
        |(unit, name)| format!("{} {name}", millis / unit),
    )
}
