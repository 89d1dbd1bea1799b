//! Faults of a schedule and the counts of its outcome.

use super::controller::ControllerInput;
use super::fault::Fault;
use super::network::Machine;
use super::network::NetworkPartition;
use super::node::NodeInput;
use super::world::World;
use super::world::WorldEvent;

/// Time between samples.
pub(super) const SAMPLE_MS: u64 = 250;
/// Faults of this recent past excuse a verdict on a running agent.
const EXCUSE_MS: u64 = 8_000;

impl World {
    /// Begins a fault.
    pub(super) fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill {
                slot,
                restart_after,
            } => self.kill(slot, restart_after),
            Fault::Freeze { slot, lasts } => self.freeze(slot, lasts),
            Fault::Leave { slot } => {
                if let Some(index) = self.running_on(slot) {
                    self.give_node(index, NodeInput::Leave);
                }
            }
            Fault::Cut { from, to, lasts } => self.cuts.push(NetworkPartition {
                from,
                to,
                begin: self.now,
                end: self.now + lasts,
            }),
            Fault::Behind { slot, lasts } => {
                if let Some(index) = self.running_on(slot) {
                    self.nodes[index].behind_until = self.now + lasts;
                }
            }
            Fault::FreezeController { controller, lasts } => {
                self.controllers[controller].frozen_until = self.now + lasts;
            }
            Fault::StoreOutage { lasts } => self.store_down_until = self.now + lasts,
            Fault::ChangeMonitors { count } => {
                for index in 0..self.controllers.len() {
                    self.give_controller(index, ControllerInput::Change { count });
                }
            }
        }
    }

    fn running_on(&self, slot: usize) -> Option<usize> {
        self.nodes
            .iter()
            .rposition(|node| node.slot == slot && node.runs)
    }

    fn kill(&mut self, slot: usize, restart_after: Option<u64>) {
        if let Some(index) = self.running_on(slot) {
            self.nodes[index].runs = false;
            self.killed_at[index] = Some(self.now);
            if let Some(later) = restart_after {
                let at = self.now + later;
                self.queue.push(at, WorldEvent::Start(slot));
            }
        }
    }

    fn freeze(&mut self, slot: usize, lasts: u64) {
        if let Some(index) = self.running_on(slot) {
            let until = self.now + lasts;
            self.nodes[index].frozen_until = until;
            self.queue
                .push(until, WorldEvent::Node(index, NodeInput::Tick));
        }
    }

    /// Notes an incarnation that would admit after it was over.
    pub(super) fn check(&mut self, index: usize) {
        if self.verdict_at[index].is_some() && self.nodes[index].admits(self.now) {
            self.is_unsafe = true;
        }
    }

    pub(super) fn count_verdict(&mut self, index: usize) {
        self.outcome.verdicts += 1;
        if let Some(killed) = self.killed_at[index] {
            self.outcome.detections.push(self.now - killed);
        } else if !self.is_excused(index) {
            self.outcome.false_verdicts += 1;
        }
    }

    /// Whether a running agent was frozen or cut off from anything shortly before.
    fn is_excused(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let machine = Machine::Slot(node.slot);
        let recent = |end: u64| end + EXCUSE_MS > self.now;
        let is_cut = |cut: &NetworkPartition| {
            let touches = cut.from.contains(machine) || cut.to.contains(machine);
            touches && recent(cut.end)
        };
        let was_frozen = node.frozen_until > 0 && recent(node.frozen_until);
        node.leaves || was_frozen || self.cuts.iter().any(is_cut)
    }

    /// Lets agents report and adds up their time with and without a lease.
    pub(super) fn sample(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.runs || self.now < node.frozen_until {
                continue;
            }
            let input = ControllerInput::Report {
                from: node.id.clone(),
                epoch: node.counted_epoch(),
            };
            let from = Machine::Slot(node.slot);
            if node.had_lease() && !node.leaves {
                self.outcome.running_ms += SAMPLE_MS;
                let lapsed = !node.admits(self.now) && !self.is_excused(index);
                self.outcome.unleased_ms += SAMPLE_MS * u64::from(lapsed);
            }
            self.notify_controllers(from, &input);
            self.check(index);
        }
        self.queue.push(self.now + SAMPLE_MS, WorldEvent::Sample);
    }
}
