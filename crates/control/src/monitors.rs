//! Selection of an agent's monitors by place and by how many agents each already monitors.

use std::collections::BTreeMap;

use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::name::Name;

/// Number of agents that each monitor watches.
pub type WatchCounts = BTreeMap<AgentId, usize>;

/// Counts the agents that each monitor watches. An agent whose set is being changed counts for its next set.
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

/// Returns the largest odd number of monitors up to `wanted` that a fleet with `others` other agents allows.
/// An agent with an even set already stops when half of its monitors are lost, so the next smaller odd set is
/// never worse.
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

/// Defects of a monitor set. A smaller value is a better set; lost monitors weigh most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SetDefects {
    /// Monitors that have ended, are leaving or are unknown.
    pub lost: usize,
    /// Monitors missing to the wanted size.
    pub missing: usize,
    /// Monitors in an availability zone that already has one, plus one if none is in the agent's own zone.
    pub misplaced: usize,
}

/// Chooses monitors for `target`: one in its own availability zone but in another rack, and each of the others
/// in a further zone of the region. Keeps as many monitors of `old` as it can, so that few change at once.
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
                let watch_count = count.saturating_sub(usize::from(kept) * (1 + KEEP_SLACK));
                let penalty = placement_penalty(target, other, &chosen);
                let not_live = other.state != MemberState::Live;
                (penalty, watch_count, not_live, &other.id)
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

/// A monitor already in the set is kept even if it watches up to this many more agents than another candidate.
const KEEP_SLACK: usize = 2;

/// Returns a penalty for the place of `other` as the next monitor after `chosen`; zero is the best place.
fn placement_penalty(target: &MemberRecord, other: &MemberRecord, chosen: &[&MemberRecord]) -> u32 {
    let place = &other.place;
    let is_in_target_zone = |monitor: &&MemberRecord| {
        monitor.place.zone == target.place.zone && monitor.place.region == target.place.region
    };
    let has_local = chosen.iter().any(is_in_target_zone);
    let same_region = place.region == target.place.region;
    let same_zone = same_region && place.zone == target.place.zone;
    let same_rack = same_zone && place.rack == target.place.rack;
    let zone_taken = chosen
        .iter()
        .any(|monitor| monitor.place.zone == place.zone);
    let rack_taken = chosen
        .iter()
        .any(|monitor| monitor.place.zone == place.zone && monitor.place.rack == place.rack);
    match (same_zone, has_local, same_rack) {
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

/// Returns the defects of a set. `size` is the wanted size, see [`set_size`].
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
    let repeated_zones = zones
        .iter()
        .enumerate()
        .filter(|(index, zone)| zones[..*index].contains(zone))
        .count();
    let none_local = usize::from(!zones.contains(&&target.place.zone));
    SetDefects {
        lost,
        missing: size.saturating_sub(set.monitors.len()),
        misplaced: repeated_zones + none_local,
    }
}
