//! Replays recorded traces against real candidates and controllers in a simulated fleet.

use std::collections::BTreeMap;

use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::TraceError;
use jy_kernel::trace::read_events;
use jy_kernel::trace::read_header;

use crate::fake_agents::FleetEvent;
use crate::fake_agents::FleetSettings;
use crate::fake_fleet::FakeFleet;

/// Replays a trace and returns the figures of its run.
///
/// # Errors
///
/// Returns [`TraceError`] if the trace is empty, or with the line that can't be parsed. Invalid settings are an
/// error of the header's line.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = read_header(source, text)?;
    let settings: FleetSettings = serde_json::from_value(header.settings)
        .map_err(|cause| TraceError::invalid_settings(source, cause))?;
    let events = read_events::<FleetEvent>(source, text)?;
    let mut fleet = FakeFleet::new(settings, header.seed);
    for line in events {
        fleet.run_to(line.at);
        fleet.apply(&line.event);
    }
    Ok(figures(&fleet))
}

/// Returns the counts of violated invariants, the state of the units and the duration of each kind of
/// change.
#[must_use]
pub fn figures(fleet: &FakeFleet) -> FigureMap {
    let checks = &fleet.checks;
    let mut figures = FigureMap::new();
    let mut set = |name: &str, value: f64| {
        figures.insert(name.into(), value);
    };
    set("units_with_two_owners", checks.ownership_overlaps as f64);
    set("assignments_lost", checks.units_lost as f64);
    set("fences_not_grown", checks.fences_not_grown as f64);
    set("writes_over_higher_term", checks.outdated_writes as f64);
    set("verdicts_changed", checks.verdicts_changed as f64);
    set("granted_to_lost", checks.granted_to_lost as f64);
    set("moves", checks.moves as f64);
    set("unowned_units", checks.unowned_slices() as f64);
    set("moving_units", checks.moving_units() as f64);
    set("changes_not_ended", fleet.pending_change_count() as f64);
    set("imbalance_over_limit", imbalance_over_limit(fleet));
    let (lost_monitors, max_watched) = monitor_figures(fleet);
    set("monitors_lost", lost_monitors);
    set("watched_by_one", max_watched);
    set("writes", f64::from(fleet.store().write_count()));
    for (name, millis) in &fleet.times {
        set(name, *millis as f64);
    }
    figures
}

/// Allowed ratio of peak load to mean load.
const IMBALANCE_LIMIT: f64 = 1.10;

/// Allowed imbalance as a multiple of the load of the hottest key over the mean load. No placement can go
/// below that ratio, because a key has one owner.
const HOTTEST_KEY_LIMIT: f64 = 1.05;

/// Returns the worst imbalance of any service, as a multiple of the allowed one. Only owners with units
/// are counted.
fn imbalance_over_limit(fleet: &FakeFleet) -> f64 {
    let mut worst = 0.0_f64;
    for (service, load) in fleet.loads() {
        let Some(pages) = fleet.checks.pages.get(service) else {
            continue;
        };
        let owners = load.loads_by_owner(pages, None);
        let mean = load.total_rate() / owners.len().max(1) as f64;
        if mean > 0.0 {
            let peak = owners.values().map(|owner| owner.rate).fold(0.0, f64::max);
            let limit = IMBALANCE_LIMIT.max(load.hottest_rate() / mean * HOTTEST_KEY_LIMIT);
            worst = worst.max(peak / mean / limit);
        }
    }
    worst
}

/// Returns how many monitors of active members have ended, and the largest number of agents that one
/// monitor watches.
fn monitor_figures(fleet: &FakeFleet) -> (f64, f64) {
    let checks = &fleet.checks;
    let members = checks.members.values();
    let active = members.filter(|member| !member.state.has_ended());
    let mut watched_counts = BTreeMap::new();
    let mut lost = 0_u32;
    for monitor in active.flat_map(|member| &member.monitors.monitors) {
        lost += u32::from(checks.has_ended(monitor));
        *watched_counts.entry(monitor).or_insert(0_u32) += 1;
    }
    let max_watched = watched_counts.into_values().max().unwrap_or_default();
    (f64::from(lost), f64::from(max_watched))
}
