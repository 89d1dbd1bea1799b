//! Choice of the monitors of an agent.

use std::collections::BTreeMap;

use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::name::Name;

/// How many agents each monitor watches.
pub type WatchCounts = BTreeMap<AgentId, usize>;

/// Counts how many agents each monitor watches, or will watch.
#[must_use]
pub fn count_watches<'a>(members: impl Iterator<Item = &'a MemberRecord>) -> WatchCounts {
    let mut counts = WatchCounts::new();
    for member in members {
        let set = member.next_monitors.as_ref().unwrap_or(&member.monitors);
        for monitor in &set.monitors {
            *counts.entry(monitor.clone()).or_default() += 1;
        }
    }
    counts
}

/// Returns the largest odd number of monitors that a fleet allows. An even set stops its agent as
/// soon as one more than half minus one is lost, so the next smaller odd one is never worse.
#[must_use]
pub const fn set_size(wanted: u32, others: usize) -> usize {
    let size = if (wanted as usize) < others {
        wanted as usize
    } else {
        others
    };
    if size.is_multiple_of(2) && size > 0 {
        size - 1
    } else {
        size
    }
}

/// What a set of monitors lacks; the smaller, the better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SetDefects {
    /// Monitors that are over or leaving, or unknown.
    pub lost: usize,
    /// Monitors missing from the size wanted.
    pub missing: usize,
    /// Monitors in places that a better choice would avoid.
    pub misplaced: usize,
}

/// Chooses a set for `target`: one monitor in its own availability zone but another rack, each
/// other in a zone of its own within the region. Keeps what it can of `old`, so that few supports
/// change at once.
#[must_use]
pub fn choose_set(
    target: &MemberRecord,
    candidates: &[&MemberRecord],
    counts: &WatchCounts,
    wanted: u32,
    old: &MonitorSet,
) -> Vec<AgentId> {
    let others: Vec<&MemberRecord> = candidates
        .iter()
        .copied()
        .filter(|other| other.id.name != target.id.name)
        .collect();
    let size = set_size(wanted, others.len());
    let mut chosen: Vec<&MemberRecord> = Vec::with_capacity(size);
    while chosen.len() < size {
        let best = others
            .iter()
            .copied()
            .filter(|other| {
                chosen
                    .iter()
                    .all(|monitor| monitor.id.name != other.id.name)
            })
            .min_by_key(|other| {
                let kept = old.monitors.contains(&other.id);
                let count = counts.get(&other.id).copied().unwrap_or_default();
                let burden = count.saturating_sub(usize::from(kept) * (1 + KEEP_SLACK));
                let penalty = place_penalty(target, other, &chosen);
                let unready = other.state != MemberState::Live;
                (penalty, burden, unready, &other.id)
            });
        let Some(best) = best else {
            break;
        };
        chosen.push(best);
    }
    chosen
        .into_iter()
        .map(|monitor| monitor.id.clone())
        .collect()
}

/// A monitor already in the set is kept although it watches this many more agents than another.
const KEEP_SLACK: usize = 2;

/// Tells how far `other` is from the best place for the next monitor after `chosen`.
fn place_penalty(target: &MemberRecord, other: &MemberRecord, chosen: &[&MemberRecord]) -> u32 {
    let place = &other.place;
    let near = |monitor: &&MemberRecord| {
        monitor.place.zone == target.place.zone && monitor.place.region == target.place.region
    };
    let has_near = chosen.iter().any(near);
    let same_region = place.region == target.place.region;
    let same_zone = same_region && place.zone == target.place.zone;
    let same_rack = same_zone && place.rack == target.place.rack;
    let zone_taken = chosen
        .iter()
        .any(|monitor| monitor.place.zone == place.zone);
    let rack_taken = chosen
        .iter()
        .any(|monitor| monitor.place.zone == place.zone && monitor.place.rack == place.rack);
    match (same_zone, has_near, same_rack) {
        (true, false, false) => 0,
        (true, true, _) => 5 + u32::from(same_rack) + u32::from(rack_taken),
        (true, false, true) => 3,
        (false, false, _) => 4 + u32::from(!same_region) + u32::from(zone_taken),
        (false, true, _) => {
            let spread = u32::from(zone_taken) * 2 + u32::from(rack_taken);
            spread + u32::from(!same_region) * 3
        }
    }
}

/// Returns what a set lacks, measured against what the fleet allows.
#[must_use]
pub fn find_defects(
    target: &MemberRecord,
    set: &MonitorSet,
    present: &BTreeMap<&AgentId, &MemberRecord>,
    size: usize,
) -> SetDefects {
    let usable = |id: &&AgentId| {
        present
            .get(id)
            .is_some_and(|member| member.state != MemberState::Leaving)
    };
    let lost = set.monitors.iter().filter(|id| !usable(id)).count();
    let zones: Vec<&Name> = set
        .monitors
        .iter()
        .filter_map(|id| present.get(id))
        .map(|member| &member.place.zone)
        .collect();
    let distinct = zones
        .iter()
        .enumerate()
        .filter(|(index, zone)| zones[..*index].contains(zone))
        .count();
    let far_only = usize::from(!zones.contains(&&target.place.zone));
    SetDefects {
        lost,
        missing: size.saturating_sub(set.monitors.len()),
        misplaced: distinct + far_only,
    }
}
