//! The fleet as the choice of monitors sees it, and the records that a choice changes.

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
use crate::members::replaced;
use crate::monitors::SetDefects;
use crate::monitors::WatchCounts;
use crate::monitors::choose_set;
use crate::monitors::count_watches;
use crate::monitors::find_defects;
use crate::monitors::set_size;
use crate::writes::PendingWrites;
use crate::writes::WriteBody;

/// Returns the write of a changed record.
#[must_use]
pub fn change(
    member: &Versioned<MemberRecord>,
    term: u64,
    edit: impl FnOnce(&mut MemberRecord),
) -> MemberWrite {
    let mut record = (*member.value).clone();
    edit(&mut record);
    record.term = term;
    (record.id.clone(), WriteBody::Member(Arc::new(record)))
}

/// The fleet as the choice of monitors sees it, writes under way included.
#[derive(Debug)]
pub struct FleetWatch<'a> {
    /// Settings.
    pub settings: &'a ControlSettings,
    /// The controller's term.
    pub term: u64,
    /// Agents that are not over.
    pub present: BTreeMap<&'a AgentId, &'a MemberRecord>,
    /// How many agents each monitor watches.
    pub counts: WatchCounts,
    /// Agents that may become monitors, by name.
    names: BTreeMap<&'a Name, usize>,
    /// Agents that may become monitors.
    candidates: Vec<&'a MemberRecord>,
}

impl<'a> FleetWatch<'a> {
    /// Reads the fleet.
    #[must_use]
    pub fn new(
        settings: &'a ControlSettings,
        term: u64,
        view: &'a FleetView,
        ledger: &'a PendingWrites,
    ) -> Self {
        let newest = |member: &'a MemberRecord| {
            let pending = ledger.pending(&member_key(&member.id));
            match pending.map(|write| &write.body) {
                Some(WriteBody::Member(member)) => &**member,
                _ => member,
            }
        };
        let replaced = replaced(view);
        let members = view
            .present()
            .filter(|member| !replaced.contains(&member.id))
            .map(newest);
        let present: BTreeMap<&AgentId, &MemberRecord> = members
            .filter(|member| !member.state.has_ended())
            .map(|member| (&member.id, member))
            .collect();
        let counts = count_watches(present.values().copied());
        let candidates: Vec<&MemberRecord> = present
            .values()
            .copied()
            .filter(|member| member.state != MemberState::Leaving)
            .collect();
        let mut names = BTreeMap::new();
        for member in &candidates {
            *names.entry(&member.id.name).or_default() += 1;
        }
        Self {
            settings,
            term,
            present,
            counts,
            names,
            candidates,
        }
    }

    /// Returns the number of monitors that an agent should have.
    fn wanted_size(&self, target: &MemberRecord) -> usize {
        let own = self.names.get(&target.id.name).copied();
        let others = self.candidates.len() - own.unwrap_or_default();
        set_size(self.settings.monitors, others)
    }

    /// Returns what a set of monitors lacks.
    #[must_use]
    pub fn defects(&self, target: &MemberRecord, set: &MonitorSet) -> SetDefects {
        find_defects(target, set, &self.present, self.wanted_size(target))
    }

    /// Appoints monitors of a joining agent and makes it live, or returns none while it is alone.
    pub fn admit(
        &self,
        member: &Versioned<MemberRecord>,
        counts: &mut WatchCounts,
    ) -> Option<MemberWrite> {
        let record = &member.value;
        let wanted = self.settings.monitors;
        let chosen = choose_set(record, &self.candidates, counts, wanted, &record.monitors);
        if chosen.is_empty() {
            return None;
        }
        for monitor in &chosen {
            *counts.entry(monitor.clone()).or_default() += 1;
        }
        let epoch = record.monitors.epoch + 1;
        Some(change(member, self.term, |record| {
            record.state = MemberState::Live;
            record.monitors = MonitorSet {
                epoch,
                monitors: chosen,
            };
        }))
    }

    /// Starts the change to a better set, or returns none if there is no better one.
    pub fn replace(
        &self,
        member: &Versioned<MemberRecord>,
        counts: &mut WatchCounts,
    ) -> Option<MemberWrite> {
        let record = &member.value;
        let wanted = self.settings.monitors;
        let chosen = choose_set(record, &self.candidates, counts, wanted, &record.monitors);
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
            if let Some(count) = counts.get_mut(monitor) {
                *count = count.saturating_sub(1);
            }
        }
        for monitor in &next.monitors {
            *counts.entry(monitor.clone()).or_default() += 1;
        }
        Some(change(member, self.term, |record| {
            record.next_monitors = Some(next);
        }))
    }
}
