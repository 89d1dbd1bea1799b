//! The fleet as the choice of monitors sees it, and the records that a choice changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_feed::view::Revised;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::record::member_key;

use crate::api::ControlSettings;
use crate::members::MemberWrite;
use crate::members::replaced;
use crate::monitors::WatchCounts;
use crate::monitors::choose_set;
use crate::monitors::count_watches;
use crate::monitors::find_defects;
use crate::writes::WriteBody;
use crate::writes::WriteLedger;

/// Returns the write of a changed record.
#[must_use]
pub fn change(
    member: &Revised<MemberRecord>,
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
}

impl<'a> FleetWatch<'a> {
    /// Reads the fleet.
    #[must_use]
    pub fn new(
        settings: &'a ControlSettings,
        term: u64,
        view: &'a FleetView,
        ledger: &'a WriteLedger,
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
            .filter(|member| !member.state.is_over())
            .map(|member| (&member.id, member))
            .collect();
        let counts = count_watches(present.values().copied());
        Self {
            settings,
            term,
            present,
            counts,
        }
    }

    /// Returns those that may become monitors.
    fn candidates(&self) -> Vec<&MemberRecord> {
        self.present
            .values()
            .copied()
            .filter(|member| member.state != MemberState::Leaving)
            .collect()
    }

    /// Appoints monitors of a joining agent and makes it live, or returns none while it is alone.
    pub fn admit(
        &self,
        member: &Revised<MemberRecord>,
        counts: &mut WatchCounts,
    ) -> Option<MemberWrite> {
        let record = &member.value;
        let wanted = self.settings.monitors;
        let chosen = choose_set(record, &self.candidates(), counts, wanted, &record.monitors);
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
        member: &Revised<MemberRecord>,
        counts: &mut WatchCounts,
    ) -> Option<MemberWrite> {
        let record = &member.value;
        let wanted = self.settings.monitors;
        let chosen = choose_set(record, &self.candidates(), counts, wanted, &record.monitors);
        let next = MonitorSet {
            epoch: record.monitors.epoch + 1,
            monitors: chosen,
        };
        let old = find_defects(record, &record.monitors, &self.present, wanted);
        let new = find_defects(record, &next, &self.present, wanted);
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
