//! Members: verdicts, joins, departures and changes of monitors.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_feed::view::FleetView;
use jy_feed::view::Versioned;
use jy_lease::tally::VoteTally;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::peer::AgentReport;
use jy_types::time::Millis;

use crate::api::ControlSettings;
use crate::watches::FleetWatch;
use crate::watches::change;
use crate::writes::WriteBody;

/// An agent that reported within this time still answers, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 5_000;

/// A joining agent waits this long for others to choose its monitors from, in milliseconds.
const JOIN_GATHER_MS: u64 = 300;

/// Records of agents that are over are kept at least this long, in milliseconds.
const OVER_KEEP_MS: u64 = 600_000;

/// Changes of monitors that only improve a complete set, under way at once.
const IMPROVEMENTS_AT_ONCE: usize = 8;

/// Last word of an agent.
#[derive(Clone, Copy, Debug)]
pub struct LastReport {
    /// Epoch of the newest monitor set that it counts on alone.
    pub epoch: u64,
    /// Whether it wants to leave.
    pub leaving: bool,
    /// When it came.
    pub at: Millis,
}

/// What the controller keeps of members besides their records.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    reports: BTreeMap<AgentId, LastReport>,
    /// Counts votes, and monitors that are over as votes.
    tally: VoteTally,
    /// Counts votes alone.
    votes: VoteTally,
    /// Agents that somebody voted against, with the time of the first vote.
    suspects: BTreeMap<AgentId, Millis>,
    joining_since: BTreeMap<AgentId, Millis>,
    over_since: BTreeMap<AgentId, Millis>,
    /// When replaced incarnations were first read. As monitors they support nobody any more.
    replaced_since: BTreeMap<AgentId, Millis>,
}

/// A wanted change of a member's record.
pub type MemberWrite = (AgentId, WriteBody);

impl MemberTracker {
    /// Makes empty notes.
    #[must_use]
    pub fn new(settings: &ControlSettings) -> Self {
        Self {
            reports: BTreeMap::new(),
            tally: VoteTally::new(settings.lease),
            votes: VoteTally::new(settings.lease),
            suspects: BTreeMap::new(),
            joining_since: BTreeMap::new(),
            over_since: BTreeMap::new(),
            replaced_since: BTreeMap::new(),
        }
    }

    /// Takes a report in.
    pub fn take_report(&mut self, now: Millis, report: &AgentReport) {
        let note = LastReport {
            epoch: report.monitors_epoch,
            leaving: report.leaving,
            at: now,
        };
        self.reports.insert(report.from.clone(), note);
    }

    /// Whether a report says nothing new of its agent.
    #[must_use]
    pub fn is_routine(&self, report: &AgentReport) -> bool {
        self.reports.get(&report.from).is_some_and(|note| {
            note.epoch == report.monitors_epoch && note.leaving == report.leaving
        })
    }

    /// Takes a vote in.
    #[must_use]
    pub fn with_vote(mut self, now: Millis, from: &AgentId, target: &AgentId) -> Self {
        self.tally = self.tally.with_vote(from, target);
        self.votes = self.votes.with_vote(from, target);
        self.suspects.entry(target.clone()).or_insert(now);
        self
    }

    /// Takes the members' states in.
    #[must_use]
    pub fn with_members(mut self, now: Millis, view: &FleetView) -> Self {
        for member in view.members.values().map(|member| &member.value) {
            if member.state.has_ended() {
                if !self.over_since.contains_key(&member.id) {
                    self = self.with_ended(now, member);
                }
                self.suspects.remove(&member.id);
                self.reports.remove(&member.id);
            }
            if member.state == MemberState::Joining {
                self.joining_since.entry(member.id.clone()).or_insert(now);
            }
        }
        for id in replaced(view) {
            if !self.replaced_since.contains_key(&id) {
                self.tally = self.tally.with_ended(now, &id);
                self.replaced_since.insert(id, now);
            }
        }
        let known = |id: &AgentId| view.members.contains_key(id);
        self.replaced_since.retain(|id, _| known(id));
        self.over_since.retain(|id, _| known(id));
        self.reports.retain(|id, _| known(id));
        self.suspects.retain(|id, _| known(id));
        self.joining_since.retain(|id, _| known(id));
        self
    }

    /// Notes that a member is over. Only a dead one counts as a vote later on: one that left may
    /// support others for as long as its own lease lives.
    #[must_use]
    fn with_ended(mut self, now: Millis, member: &MemberRecord) -> Self {
        if member.state == MemberState::Dead {
            self.tally = self.tally.with_ended(now, &member.id);
        }
        self.over_since.insert(member.id.clone(), now);
        self
    }

    /// Whether somebody voted against an agent after `since` and no verdict has come yet.
    #[must_use]
    pub fn has_suspects(&self, since: Millis) -> bool {
        self.suspects.values().any(|first| *first >= since)
    }

    /// Whether somebody is leaving.
    #[must_use]
    pub fn has_leaving(&self, view: &FleetView) -> bool {
        view.present()
            .any(|member| member.state == MemberState::Leaving)
    }

    /// Whether an agent still answers.
    fn answers(&self, now: Millis, id: &AgentId) -> bool {
        self.reports
            .get(id)
            .is_some_and(|note| now.since(note.at) < ANSWER_TIMEOUT_MS)
    }

    /// Returns the verdicts that the votes have decided. Monitors that are over count as votes
    /// only against an agent that no longer answers.
    #[must_use]
    pub fn verdicts(&self, now: Millis, view: &FleetView, term: u64) -> Vec<MemberWrite> {
        let decided = |member: &&Versioned<MemberRecord>| {
            let member = &member.value;
            let by_votes = self.votes.is_decided(now, member);
            let by_all = || !self.answers(now, &member.id) && self.tally.is_decided(now, member);
            !member.state.has_ended() && (by_votes || by_all())
        };
        view.members
            .values()
            .filter(decided)
            .map(|member| change(member, term, |record| record.state = MemberState::Dead))
            .collect()
    }

    /// Returns the next states of joining and leaving agents.
    #[must_use]
    pub fn transitions(
        &self,
        now: Millis,
        view: &FleetView,
        fleet: &FleetWatch<'_>,
        owns: impl Fn(&AgentId) -> bool,
    ) -> Vec<MemberWrite> {
        let mut writes = Vec::new();
        let mut counts = fleet.counts.clone();
        for member in view.members.values() {
            let record = &member.value;
            let leaving = self
                .reports
                .get(&record.id)
                .is_some_and(|note| note.leaving);
            match record.state {
                MemberState::Joining if self.has_gathered(now, &record.id) => {
                    writes.extend(fleet.admit(member, &mut counts));
                }
                MemberState::Live if leaving => {
                    let leave = |record: &mut MemberRecord| record.state = MemberState::Leaving;
                    writes.push(change(member, fleet.term, leave));
                }
                MemberState::Leaving if !owns(&record.id) => {
                    let leave = |record: &mut MemberRecord| record.state = MemberState::Left;
                    writes.push(change(member, fleet.term, leave));
                }
                _ => {}
            }
        }
        writes
    }

    /// Whether a joining agent has waited long enough for others.
    fn has_gathered(&self, now: Millis, id: &AgentId) -> bool {
        self.joining_since
            .get(id)
            .is_some_and(|since| now.since(*since) >= JOIN_GATHER_MS)
    }

    /// Returns changes of monitors: ends of changes that the agent acknowledged, then sets that
    /// lost monitors, then sets that are too small or badly placed. At most `most` of them.
    #[must_use]
    pub fn monitor_changes(
        &self,
        now: Millis,
        view: &FleetView,
        fleet: &FleetWatch<'_>,
        most: usize,
    ) -> Vec<MemberWrite> {
        let mut ends = Vec::new();
        let mut losses = Vec::new();
        let mut improvements = Vec::new();
        let mut under_way = 0;
        for member in view.members.values() {
            let record = &member.value;
            let settled = fleet
                .present
                .get(&record.id)
                .is_some_and(|newest| newest.next_monitors == record.next_monitors);
            if !settled || !matches!(record.state, MemberState::Live | MemberState::Leaving) {
                continue;
            }
            if let Some(next) = &record.next_monitors {
                under_way += 1;
                let note = self.reports.get(&record.id);
                if note.is_some_and(|note| note.epoch >= next.epoch) {
                    ends.push(change(member, fleet.term, end_change));
                }
            } else if self.answers(now, &record.id) {
                let defects = fleet.defects(record, &record.monitors);
                if defects.lost > 0 {
                    losses.push(member);
                } else if defects.missing > 0 || defects.misplaced > 0 {
                    improvements.push((defects, member));
                }
            }
        }
        improvements.sort_by_key(|(defects, _)| std::cmp::Reverse(*defects));
        let room = IMPROVEMENTS_AT_ONCE.saturating_sub(under_way);
        let mut counts = fleet.counts.clone();
        let better = improvements.into_iter().map(|(_, member)| member);
        let mut improved = 0;
        for member in losses {
            if ends.len() >= most {
                break;
            }
            ends.extend(fleet.replace(member, &mut counts));
        }
        for member in better {
            if improved >= room || ends.len() >= most {
                break;
            }
            let write = fleet.replace(member, &mut counts);
            improved += usize::from(write.is_some());
            ends.extend(write);
        }
        ends
    }

    /// Returns deletions of members that have been over for long and that nothing names.
    #[must_use]
    pub fn removals(&self, now: Millis, view: &FleetView) -> Vec<MemberWrite> {
        let named = |id: &AgentId| is_named(view, id);
        self.over_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= OVER_KEEP_MS)
            .filter(|(id, _)| !named(id))
            .map(|(id, _)| (id.clone(), WriteBody::Delete))
            .collect()
    }
}

/// Returns the incarnations that a present one replaces at their addresses.
#[must_use]
pub fn replaced(view: &FleetView) -> BTreeSet<AgentId> {
    view.present()
        .flat_map(|member| member.replaces.iter().cloned())
        .collect()
}

/// Whether a page or a present member's monitor set names an agent.
fn is_named(view: &FleetView, id: &AgentId) -> bool {
    let in_set = |set: &MonitorSet| set.monitors.contains(id);
    let by_member = view.present().any(|member| {
        in_set(&member.monitors) || member.next_monitors.as_ref().is_some_and(in_set)
    });
    let by_page = || {
        view.pages
            .values()
            .flat_map(|pages| pages.values())
            .any(|page| page.value.owners.contains(id))
    };
    by_member || by_page()
}

/// The next set replaces the one in force.
fn end_change(record: &mut MemberRecord) {
    if let Some(next) = record.next_monitors.take() {
        record.monitors = next;
    }
}
