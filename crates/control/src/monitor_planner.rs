//! Plans monitor sets: finds the defects of a member's set and builds the record with a better one.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_feed::view::Versioned;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::name::Name;
use jy_types::record::member_key;

use crate::api::ControlSettings;
use crate::members::MemberWrite;
use crate::members::replaced_incarnations;
use crate::monitors::SetDefects;
use crate::monitors::WatchCounts;
use crate::monitors::choose_set;
use crate::monitors::count_watches;
use crate::monitors::find_defects;
use crate::monitors::set_size;
use crate::writes::PendingWrites;
use crate::writes::WriteBody;

/// Returns the write of a member's record with an edit applied, under a term.
#[must_use]
pub fn member_write(
    member: &Versioned<MemberRecord>,
    term: u64,
    edit: impl FnOnce(&mut MemberRecord),
) -> MemberWrite {
    let mut record = (*member.value).clone();
    edit(&mut record);
    record.term = term;
    (record.id.clone(), WriteBody::Member(Arc::new(record)))
}

/// State of the fleet from which monitors are chosen, with pending writes applied.
#[derive(Debug)]
pub struct MonitorPlanner<'a> {
    pub settings: &'a ControlSettings,
    pub term: u64,
    /// Agents that have neither ended nor been replaced by a newer incarnation.
    pub present: BTreeMap<&'a AgentId, &'a MemberRecord>,
    pub watch_counts: WatchCounts,
    /// Number of candidates by name.
    name_counts: BTreeMap<&'a Name, usize>,
    /// Agents that may be chosen as monitors.
    candidates: Vec<&'a MemberRecord>,
}

impl<'a> MonitorPlanner<'a> {
    #[must_use]
    pub fn new(
        settings: &'a ControlSettings,
        term: u64,
        view: &'a FleetView,
        pending_writes: &'a PendingWrites,
    ) -> Self {
        let newest = |member: &'a MemberRecord| {
            let pending = pending_writes.pending(&member_key(&member.id));
            match pending.map(|write| &write.body) {
                Some(WriteBody::Member(member)) => &**member,
                _ => member,
            }
        };
        let replaced = replaced_incarnations(view);
        let members = view
            .present()
            .filter(|member| !replaced.contains(&member.id))
            .map(newest);
        let present: BTreeMap<&AgentId, &MemberRecord> = members
            .filter(|member| !member.state.has_ended())
            .map(|member| (&member.id, member))
            .collect();
        let watch_counts = count_watches(present.values().copied());
        let candidates: Vec<&MemberRecord> = present
            .values()
            .copied()
            .filter(|member| member.state != MemberState::Leaving)
            .collect();
        let mut name_counts = BTreeMap::new();
        for member in &candidates {
            *name_counts.entry(&member.id.name).or_default() += 1;
        }
        Self {
            settings,
            term,
            present,
            watch_counts,
            name_counts,
            candidates,
        }
    }

    /// Returns the number of monitors that an agent should have. Incarnations of its own name cannot monitor
    /// it.
    fn wanted_size(&self, target: &MemberRecord) -> usize {
        let same_name = self.name_counts.get(&target.id.name).copied();
        let others = self.candidates.len() - same_name.unwrap_or_default();
        set_size(self.settings.monitors, others)
    }

    #[must_use]
    pub fn defects(&self, target: &MemberRecord, set: &MonitorSet) -> SetDefects {
        find_defects(target, set, &self.present, self.wanted_size(target))
    }

    /// Makes a joining agent live with its first monitors, or returns `None` if no other agent can monitor it.
    pub fn admit(
        &self,
        member: &Versioned<MemberRecord>,
        watch_counts: &mut WatchCounts,
    ) -> Option<MemberWrite> {
        let record = &member.value;
        let wanted = self.settings.monitors;
        let chosen = choose_set(
            record,
            &self.candidates,
            watch_counts,
            wanted,
            &record.monitors,
        );
        if chosen.is_empty() {
            return None;
        }
        for monitor in &chosen {
            *watch_counts.entry(monitor.clone()).or_default() += 1;
        }
        let epoch = record.monitors.epoch + 1;
        Some(member_write(member, self.term, |record| {
            record.state = MemberState::Live;
            record.monitors = MonitorSet {
                epoch,
                monitors: chosen,
            };
        }))
    }

    /// Starts the change to a better monitor set, or returns `None` if there is none.
    pub fn replace_monitors(
        &self,
        member: &Versioned<MemberRecord>,
        watch_counts: &mut WatchCounts,
    ) -> Option<MemberWrite> {
        let record = &member.value;
        let wanted = self.settings.monitors;
        let chosen = choose_set(
            record,
            &self.candidates,
            watch_counts,
            wanted,
            &record.monitors,
        );
        let next = MonitorSet {
            epoch: record.monitors.epoch + 1,
            monitors: chosen,
        };
        let old = self.defects(record, &record.monitors);
        let new = self.defects(record, &next);
        if next.monitors.is_empty() || new >= old {
            return None;
        }
        for monitor in &record.monitors.monitors {
            if let Some(count) = watch_counts.get_mut(monitor) {
                *count = count.saturating_sub(1);
            }
        }
        for monitor in &next.monitors {
            *watch_counts.entry(monitor.clone()).or_default() += 1;
        }
        Some(member_write(member, self.term, |record| {
            record.next_monitors = Some(next);
        }))
    }
}
