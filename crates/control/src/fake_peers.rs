//! Behaviour of the agents of a simulated fleet: they report, vote and release units.

use std::collections::BTreeMap;

use jy_feed::view::ServiceKey;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::peer::AgentReport;
use jy_types::peer::ReleaseNotice;
use jy_types::peer::ReleasedUnit;
use jy_types::peer::VoteNotice;
use jy_types::time::Millis;
use rand::Rng;

use crate::api::ControlEvent;
use crate::fake_fleet::FakeFleet;
use crate::fake_tasks::FleetTask;

const REPORT_INTERVAL_MS: u64 = 2_000;

const VOTE_AND_RELEASE_INTERVAL_MS: u64 = 100;

impl FakeFleet {
    /// Schedules the report of every running agent at a random time within the interval.
    pub(crate) fn report_all(&mut self) {
        self.schedule(REPORT_INTERVAL_MS, FleetTask::Reports);
        let mut by_owner = BTreeMap::new();
        for (service, load) in &self.loads {
            let Some(pages) = self.checks.pages.get(service) else {
                continue;
            };
            let rng: Option<&mut dyn rand::RngCore> = if self.settings.noise {
                Some(&mut self.rng)
            } else {
                None
            };
            by_owner.extend(load.loads_by_owner(pages, rng));
        }
        for number in 0..self.agents.len() {
            let load = by_owner.remove(&self.agents[number].id).unwrap_or_default();
            let mut report = self.report(number);
            report.slices = load.slices;
            report.keys = load.keys;
            let agent = &self.agents[number];
            if agent.is_up() && !self.checks.has_ended(&agent.id) {
                let after = self.rng.random_range(0..REPORT_INTERVAL_MS);
                self.schedule(after, FleetTask::Report(Box::new(report)));
            }
        }
    }

    /// Returns an agent's report without loads. An agent acknowledges its next monitor set only some time after
    /// the set was written.
    pub(crate) fn report(&self, number: usize) -> AgentReport {
        let agent = &self.agents[number];
        let member = self.checks.members.get(&agent.id);
        let changed_at = self
            .monitor_sets_changed_at
            .get(&agent.id)
            .copied()
            .unwrap_or_default();
        let is_notified = self.now.since(changed_at) > self.settings.spread_ms + 100;
        let epoch = member.map_or(0, |member| match &member.next_monitors {
            Some(next) if is_notified => next.epoch,
            _ => member.monitors.epoch,
        });
        AgentReport {
            from: agent.id.clone(),
            monitors_epoch: epoch,
            leaving: agent.leaving_at.is_some(),
            revision: self.store.revision(),
            slices: Vec::new(),
            keys: Vec::new(),
        }
    }

    /// Sends the votes against lost agents and the releases of moving units, and deletes the controller's key
    /// once its lease has ended.
    pub(crate) fn vote_and_release(&mut self) {
        self.schedule(VOTE_AND_RELEASE_INTERVAL_MS, FleetTask::VoteAndRelease);
        if self.store.expire(self.now) {
            self.notify_alive(None);
        }
        for number in 0..self.agents.len() {
            if let Some(lost_at) = self.agents[number].lost_at {
                self.send_votes(number, lost_at);
            } else {
                self.send_releases(number);
            }
        }
    }

    /// Sends the votes of a lost agent's running monitors whose promises to it have expired. The votes are
    /// repeated until the member record has a verdict.
    pub(crate) fn send_votes(&mut self, number: usize, lost_at: Millis) {
        let target = self.agents[number].id.clone();
        let Some(member) = self.checks.members.get(&target) else {
            return;
        };
        if !matches!(member.state, MemberState::Live | MemberState::Leaving) {
            return;
        }
        let lease = self.settings.control.lease;
        let next = member.next_monitors.iter().flat_map(|set| &set.monitors);
        let monitors: Vec<AgentId> = member
            .monitors
            .monitors
            .iter()
            .chain(next)
            .cloned()
            .collect();
        for (index, monitor) in monitors.into_iter().enumerate() {
            let running = self
                .agents
                .iter()
                .any(|agent| agent.id == monitor && agent.is_up());
            let phase = (number as u64 * 7 + index as u64 * 131) % lease.renew_every_ms;
            let expires_at = lost_at
                .minus(phase)
                .plus(lease.ttl_ms + lease.drift_margin_ms);
            if running && self.now >= expires_at {
                let vote = VoteNotice {
                    from: monitor,
                    target: target.clone(),
                };
                self.notify_controller(ControlEvent::Vote(vote));
            }
        }
    }

    /// Sends an owner's releases of the units that it no longer serves. The releases are repeated until the
    /// records show the new owner.
    pub(crate) fn send_releases(&mut self, number: usize) {
        let now = self.now;
        let due: Vec<(ServiceKey, Unit)> = self.agents[number]
            .pending_releases
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(unit, _)| unit.clone())
            .collect();
        let mut notices: BTreeMap<ServiceKey, Vec<ReleasedUnit>> = BTreeMap::new();
        for (service, unit) in due {
            let id = &self.agents[number].id;
            match self.checks.current_grant(&service, unit) {
                Some((owner, grant)) if owner == *id && grant.next_owner.is_some() => {
                    let fence = grant.fence;
                    let released = (service.clone(), unit, fence);
                    self.checks.released.insert(released);
                    let notice = ReleasedUnit { unit, fence };
                    notices.entry(service).or_default().push(notice);
                }
                _ => {
                    self.agents[number]
                        .pending_releases
                        .remove(&(service, unit));
                }
            }
        }
        for (service, units) in notices {
            let notice = ReleaseNotice {
                from: self.agents[number].id.clone(),
                workspace: service.0,
                service: service.1,
                units,
            };
            self.notify_controller(ControlEvent::Released(notice));
        }
    }
}
