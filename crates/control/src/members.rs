//! Membership: tracks reports and votes, and decides on verdicts, joins, departures, changes of monitors and
//! removals.

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
use crate::monitor_planner::MonitorPlanner;
use crate::monitor_planner::member_write;
use crate::writes::WriteBody;

/// An agent without a report for this time counts as unresponsive.
const REPORT_TIMEOUT_MS: u64 = 5_000;

/// Time that a joining agent waits, so that more agents are there to choose its monitors from.
const JOIN_DELAY_MS: u64 = 300;

/// Shortest time for which the records of dead agents and of agents that left are kept.
const ENDED_RETENTION_MS: u64 = 600_000;

/// Number of monitor changes in progress from which no change is started for a set that has lost no monitor.
/// Changes that replace lost monitors are not limited by it.
const MAX_CONCURRENT_IMPROVEMENTS: usize = 8;

/// Contents of an agent's last report.
#[derive(Clone, Copy, Debug)]
pub struct LastReport {
    /// Epoch of the newest monitor set that the agent relies on alone.
    pub epoch: u64,
    /// Whether the agent wants to leave.
    pub leaving: bool,
    /// When the report arrived.
    pub received_at: Millis,
}

/// State of the members that is not in their records.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    reports: BTreeMap<AgentId, LastReport>,
    /// Counts votes, and counts a monitor that has ended as a vote.
    votes_and_ended: VoteTally,
    /// Counts only votes.
    votes: VoteTally,
    /// Agents that a monitor voted against and that have no verdict yet, with the time of the first vote.
    suspects: BTreeMap<AgentId, Millis>,
    joining_since: BTreeMap<AgentId, Millis>,
    ended_since: BTreeMap<AgentId, Millis>,
    /// When incarnations were first seen to be replaced. As monitors they no longer support any agent.
    replaced_since: BTreeMap<AgentId, Millis>,
}

/// A write to a member's record.
pub type MemberWrite = (AgentId, WriteBody);

impl MemberTracker {
    /// Creates a tracker without reports or votes.
    #[must_use]
    pub fn new(settings: &ControlSettings) -> Self {
        Self {
            reports: BTreeMap::new(),
            votes_and_ended: VoteTally::new(settings.lease),
            votes: VoteTally::new(settings.lease),
            suspects: BTreeMap::new(),
            joining_since: BTreeMap::new(),
            ended_since: BTreeMap::new(),
            replaced_since: BTreeMap::new(),
        }
    }

    pub fn record_report(&mut self, now: Millis, report: &AgentReport) {
        let last_report = LastReport {
            epoch: report.monitors_epoch,
            leaving: report.leaving,
            received_at: now,
        };
        self.reports.insert(report.from.clone(), last_report);
    }

    /// Returns whether a report repeats the last one of its agent.
    #[must_use]
    pub fn is_routine(&self, report: &AgentReport) -> bool {
        self.reports.get(&report.from).is_some_and(|last_report| {
            last_report.epoch == report.monitors_epoch && last_report.leaving == report.leaving
        })
    }

    /// Counts a vote and makes its target a suspect.
    #[must_use]
    pub fn with_vote(mut self, now: Millis, from: &AgentId, target: &AgentId) -> Self {
        self.votes_and_ended = self.votes_and_ended.with_vote(from, target);
        self.votes = self.votes.with_vote(from, target);
        self.suspects.entry(target.clone()).or_insert(now);
        self
    }

    /// Updates the tracked times and votes from the members' records, and drops members without a record.
    #[must_use]
    pub fn with_members(mut self, now: Millis, view: &FleetView) -> Self {
        for member in view.members.values().map(|member| &member.value) {
            if member.state.has_ended() {
                if !self.ended_since.contains_key(&member.id) {
                    self = self.with_ended(now, member);
                }
                self.suspects.remove(&member.id);
                self.reports.remove(&member.id);
            }
            if member.state == MemberState::Joining {
                self.joining_since.entry(member.id.clone()).or_insert(now);
            }
        }
        for id in replaced_incarnations(view) {
            if !self.replaced_since.contains_key(&id) {
                self.votes_and_ended = self.votes_and_ended.with_ended(now, &id);
                self.replaced_since.insert(id, now);
            }
        }
        let known = |id: &AgentId| view.members.contains_key(id);
        self.replaced_since.retain(|id, _| known(id));
        self.ended_since.retain(|id, _| known(id));
        self.reports.retain(|id, _| known(id));
        self.suspects.retain(|id, _| known(id));
        self.joining_since.retain(|id, _| known(id));
        self
    }

    /// Records that a member has ended. Only a dead member later counts as a vote: one that left may support
    /// others until its own lease ends.
    #[must_use]
    fn with_ended(mut self, now: Millis, member: &MemberRecord) -> Self {
        if member.state == MemberState::Dead {
            self.votes_and_ended = self.votes_and_ended.with_ended(now, &member.id);
        }
        self.ended_since.insert(member.id.clone(), now);
        self
    }

    /// Returns whether an agent got its first vote at or after `since` and has no verdict yet.
    #[must_use]
    pub fn has_suspects(&self, since: Millis) -> bool {
        self.suspects.values().any(|first| *first >= since)
    }

    /// Returns whether any agent is leaving.
    #[must_use]
    pub fn has_leaving(&self, view: &FleetView) -> bool {
        view.present()
            .any(|member| member.state == MemberState::Leaving)
    }

    /// Returns whether an agent has reported recently.
    fn is_responsive(&self, now: Millis, id: &AgentId) -> bool {
        self.reports
            .get(id)
            .is_some_and(|last_report| now.since(last_report.received_at) < REPORT_TIMEOUT_MS)
    }

    /// Returns the verdicts that the votes have decided. Monitors that have ended count as votes only against
    /// an agent that no longer reports.
    #[must_use]
    pub fn verdicts(&self, now: Millis, view: &FleetView, term: u64) -> Vec<MemberWrite> {
        let decided = |member: &&Versioned<MemberRecord>| {
            let member = &member.value;
            let by_votes = self.votes.is_decided(now, member);
            let by_votes_and_ended = || {
                !self.is_responsive(now, &member.id) && self.votes_and_ended.is_decided(now, member)
            };
            !member.state.has_ended() && (by_votes || by_votes_and_ended())
        };
        view.members
            .values()
            .filter(decided)
            .map(|member| member_write(member, term, |record| record.state = MemberState::Dead))
            .collect()
    }

    /// Returns the next states of joining and leaving agents.
    #[must_use]
    pub fn transitions(
        &self,
        now: Millis,
        view: &FleetView,
        planner: &MonitorPlanner<'_>,
        owns: impl Fn(&AgentId) -> bool,
    ) -> Vec<MemberWrite> {
        let mut writes = Vec::new();
        let mut watch_counts = planner.watch_counts.clone();
        for member in view.members.values() {
            let record = &member.value;
            let leaving = self
                .reports
                .get(&record.id)
                .is_some_and(|last_report| last_report.leaving);
            match record.state {
                MemberState::Joining if self.has_join_delay_passed(now, &record.id) => {
                    writes.extend(planner.admit(member, &mut watch_counts));
                }
                MemberState::Live if leaving => {
                    let leave = |record: &mut MemberRecord| record.state = MemberState::Leaving;
                    writes.push(member_write(member, planner.term, leave));
                }
                MemberState::Leaving if !owns(&record.id) => {
                    let leave = |record: &mut MemberRecord| record.state = MemberState::Left;
                    writes.push(member_write(member, planner.term, leave));
                }
                _ => {}
            }
        }
        writes
    }

    /// Returns whether a joining agent has waited long enough to get its monitors.
    fn has_join_delay_passed(&self, now: Millis, id: &AgentId) -> bool {
        self.joining_since
            .get(id)
            .is_some_and(|since| now.since(*since) >= JOIN_DELAY_MS)
    }

    /// Returns changes of monitors: first completions of changes that the agent acknowledged, then new sets
    /// for those that lost monitors, then for those that are too small or badly placed. No new set is added
    /// once there are `limit` changes.
    #[must_use]
    pub fn monitor_changes(
        &self,
        now: Millis,
        view: &FleetView,
        planner: &MonitorPlanner<'_>,
        limit: usize,
    ) -> Vec<MemberWrite> {
        let mut changes = Vec::new();
        let mut losses = Vec::new();
        let mut improvements = Vec::new();
        let mut in_progress = 0;
        for member in view.members.values() {
            let record = &member.value;
            let is_up_to_date = planner
                .present
                .get(&record.id)
                .is_some_and(|newest| newest.next_monitors == record.next_monitors);
            if !is_up_to_date || !matches!(record.state, MemberState::Live | MemberState::Leaving) {
                continue;
            }
            if let Some(next) = &record.next_monitors {
                in_progress += 1;
                let last_report = self.reports.get(&record.id);
                if last_report.is_some_and(|last_report| last_report.epoch >= next.epoch) {
                    changes.push(member_write(member, planner.term, finish_monitor_change));
                }
            } else if self.is_responsive(now, &record.id) {
                let defects = planner.defects(record, &record.monitors);
                if defects.lost > 0 {
                    losses.push(member);
                } else if defects.missing > 0 || defects.misplaced > 0 {
                    improvements.push((defects, member));
                }
            }
        }
        improvements.sort_by_key(|(defects, _)| std::cmp::Reverse(*defects));
        let free_slots = MAX_CONCURRENT_IMPROVEMENTS.saturating_sub(in_progress);
        let mut watch_counts = planner.watch_counts.clone();
        let improvable = improvements.into_iter().map(|(_, member)| member);
        let mut improved = 0;
        for member in losses {
            if changes.len() >= limit {
                break;
            }
            changes.extend(planner.replace_monitors(member, &mut watch_counts));
        }
        for member in improvable {
            if improved >= free_slots || changes.len() >= limit {
                break;
            }
            let write = planner.replace_monitors(member, &mut watch_counts);
            improved += usize::from(write.is_some());
            changes.extend(write);
        }
        changes
    }

    /// Returns deletions of members that ended long ago and that no page or monitor set refers to.
    #[must_use]
    pub fn removals(&self, now: Millis, view: &FleetView) -> Vec<MemberWrite> {
        let referenced = |id: &AgentId| is_referenced(view, id);
        self.ended_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= ENDED_RETENTION_MS)
            .filter(|(id, _)| !referenced(id))
            .map(|(id, _)| (id.clone(), WriteBody::Delete))
            .collect()
    }
}

/// Returns the incarnations that a present incarnation replaces at their addresses.
#[must_use]
pub fn replaced_incarnations(view: &FleetView) -> BTreeSet<AgentId> {
    view.present()
        .flat_map(|member| member.replaces.iter().cloned())
        .collect()
}

/// Returns whether a page or a present member's monitor set refers to an agent.
fn is_referenced(view: &FleetView, id: &AgentId) -> bool {
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

/// Replaces the monitor set in force by the next one.
fn finish_monitor_change(record: &mut MemberRecord) {
    if let Some(next) = record.next_monitors.take() {
        record.monitors = next;
    }
}
