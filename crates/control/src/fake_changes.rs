//! What happens to a fake fleet from outside, and how long it takes until that is over.

use jy_types::member::AgentId;
use jy_types::time::Millis;

use crate::fake_agents::FleetEvent;
use crate::fake_agents::zone_name;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::OpenChange;
use crate::fake_tasks::FleetTask;

/// A message between agents takes this long, in milliseconds.
const MESSAGE_MS: u64 = 1;

impl FakeFleet {
    /// Notes the time of changes that have ended.
    pub(crate) fn close_changes(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let units = self.checks.units_by_owner();
        let now = self.now;
        let times = &mut self.times;
        self.open.retain(|change| {
            let done = change.agents.iter().all(|id| !units.contains_key(id));
            if done {
                let time = times.entry(change.figure).or_default();
                *time = now.since(change.since).max(*time);
            }
            !done
        });
    }

    /// Changes whose end has not come.
    #[must_use]
    pub fn open_changes(&self) -> usize {
        self.open.len()
    }

    /// Loses agents, and waits for their units' new owners.
    pub(crate) fn lose(&mut self, numbers: &[usize], figure: &'static str) {
        let mut ids = Vec::new();
        for number in numbers {
            let agent = &mut self.agents[*number];
            if agent.lost_at.is_none() {
                agent.lost_at = Some(self.now);
                ids.push(agent.id.clone());
            }
        }
        let since = self.now.max(self.store.down_until);
        self.watch(figure, since, ids);
    }

    /// Times a change until the agents own nothing.
    pub(crate) fn watch(&mut self, figure: &'static str, since: Millis, agents: Vec<AgentId>) {
        self.open.push(OpenChange {
            figure,
            since,
            agents,
        });
    }

    /// Returns the numbers of the agents in a zone that run.
    pub(crate) fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.agents.len())
            .filter(|number| self.agents[*number].zone == zone && self.agents[*number].is_up())
            .collect()
    }

    /// Lets something happen now.
    pub fn apply(&mut self, event: &FleetEvent) {
        match event {
            FleetEvent::LoseAgent { agent } => self.lose(&[*agent], "takeover_ms"),
            FleetEvent::LoseZone { zone } => self.lose(&self.in_zone(*zone), "takeover_ms"),
            FleetEvent::LoseController => {
                if let Some(candidate) = self.controller() {
                    self.lose(&[candidate], "takeover_ms");
                }
            }
            FleetEvent::PauseController { millis } => {
                if let Some(candidate) = self.controller() {
                    self.candidates[candidate].paused_until = self.now.plus(*millis);
                }
            }
            FleetEvent::Leave { agent } => {
                self.agents[*agent].leaving_at = Some(self.now);
                let id = self.agents[*agent].id.clone();
                self.watch("leave_ms", self.now, vec![id]);
                let report = Box::new(self.report(*agent));
                self.plan(MESSAGE_MS, FleetTask::Report(report));
            }
            FleetEvent::Join { zone } => self.add_agent(*zone),
            FleetEvent::ZoneOut { zone } => {
                let gone = self.in_zone(*zone);
                let ids = gone.iter().map(|number| self.agents[*number].id.clone());
                self.watch("zone_out_ms", self.now, ids.collect());
                self.workspace.zones_out.push(zone_name(*zone));
                self.write_workspace();
            }
            FleetEvent::ZoneIn { zone } => {
                let name = zone_name(*zone);
                self.workspace.zones_out.retain(|out| *out != name);
                self.write_workspace();
            }
            FleetEvent::StoreDown { millis } => {
                self.store.down_until = self.now.plus(*millis);
                for change in &mut self.open {
                    change.since = change.since.max(self.store.down_until);
                }
            }
            FleetEvent::StoreDelay { millis } => self.store.delay_ms = *millis,
            FleetEvent::LoseAnswers { count } => self.store.lost_answers = *count,
            FleetEvent::ChangeHottest { count } => {
                for load in self.loads.values_mut() {
                    load.change_hottest(*count, &mut self.rng);
                }
            }
            FleetEvent::End => {}
        }
    }
}
