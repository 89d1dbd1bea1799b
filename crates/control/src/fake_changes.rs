//! Applies events to a simulated fleet and measures how long the resulting changes take.

use jy_types::member::AgentId;
use jy_types::time::Millis;

use crate::fake_agents::FleetEvent;
use crate::fake_agents::zone_name;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::PendingChange;
use crate::fake_tasks::FleetTask;

/// Delay of a message between agents.
const MESSAGE_DELAY_MS: u64 = 1;

impl FakeFleet {
    /// Records the durations of the changes that are complete.
    pub(crate) fn record_completed_changes(&mut self) {
        if self.pending_changes.is_empty() {
            return;
        }
        let units = self.checks.units_by_owner();
        let now = self.now;
        let times = &mut self.times;
        self.pending_changes.retain(|change| {
            let done = change.agents.iter().all(|id| !units.contains_key(id));
            if done {
                let time = times.entry(change.figure).or_default();
                *time = now.since(change.since).max(*time);
            }
            !done
        });
    }

    /// Returns the number of changes that are not complete.
    #[must_use]
    pub fn pending_change_count(&self) -> usize {
        self.pending_changes.len()
    }

    /// Stops agents and starts to measure the time until they own no units. During an outage of the store the
    /// time counts from the end of the outage.
    pub(crate) fn lose_agents(&mut self, numbers: &[usize], figure: &'static str) {
        let mut ids = Vec::new();
        for number in numbers {
            let agent = &mut self.agents[*number];
            if agent.lost_at.is_none() {
                agent.lost_at = Some(self.now);
                ids.push(agent.id.clone());
            }
        }
        let since = self.now.max(self.store.down_until);
        self.track_change(figure, since, ids);
    }

    /// Starts to measure the time of a change, which is complete once the agents own no units.
    pub(crate) fn track_change(
        &mut self,
        figure: &'static str,
        since: Millis,
        agents: Vec<AgentId>,
    ) {
        self.pending_changes.push(PendingChange {
            figure,
            since,
            agents,
        });
    }

    /// Returns the numbers of the running agents in an availability zone.
    pub(crate) fn agents_in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.agents.len())
            .filter(|number| self.agents[*number].zone == zone && self.agents[*number].is_up())
            .collect()
    }

    /// Applies an event at the current time.
    pub fn apply(&mut self, event: &FleetEvent) {
        match event {
            FleetEvent::LoseAgent { agent } => self.lose_agents(&[*agent], "takeover_ms"),
            FleetEvent::LoseZone { zone } => {
                self.lose_agents(&self.agents_in_zone(*zone), "takeover_ms");
            }
            FleetEvent::LoseController => {
                if let Some(candidate) = self.controller() {
                    self.lose_agents(&[candidate], "takeover_ms");
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
                self.track_change("leave_ms", self.now, vec![id]);
                let report = Box::new(self.report(*agent));
                self.schedule(MESSAGE_DELAY_MS, FleetTask::Report(report));
            }
            FleetEvent::Join { zone } => self.add_agent(*zone),
            FleetEvent::ZoneOut { zone } => {
                let numbers = self.agents_in_zone(*zone);
                let ids = numbers.iter().map(|number| self.agents[*number].id.clone());
                self.track_change("zone_out_ms", self.now, ids.collect());
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
                for change in &mut self.pending_changes {
                    change.since = change.since.max(self.store.down_until);
                }
            }
            FleetEvent::StoreDelay { millis } => self.store.delay_ms = *millis,
            FleetEvent::LoseAnswers { count } => self.store.answers_to_lose = *count,
            FleetEvent::ChangeHottest { count } => {
                for load in self.loads.values_mut() {
                    load.change_hottest(*count, &mut self.rng);
                }
            }
            FleetEvent::End => {}
        }
    }
}
