//! Injects the faults of a schedule and updates its outcome.

use super::controller::ControllerInput;
use super::fault::Fault;
use super::network::Machine;
use super::network::NetworkPartition;
use super::node::NodeInput;
use super::world::World;
use super::world::WorldEvent;

/// Interval between samples, in real milliseconds.
pub(super) const SAMPLE_INTERVAL_MS: u64 = 250;
/// How long after a fault a verdict on an affected agent that is running does not count as false.
const RECENT_FAULT_MS: u64 = 8_000;

impl World {
    /// Starts a fault.
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill {
                slot,
                restart_after,
            } => self.kill(slot, restart_after),
            Fault::Freeze { slot, duration_ms } => self.freeze(slot, duration_ms),
            Fault::Leave { slot } => {
                if let Some(index) = self.running_node(slot) {
                    self.deliver_to_node(index, NodeInput::Leave);
                }
            }
            Fault::Partition {
                from,
                to,
                duration_ms,
            } => self.partitions.push(NetworkPartition {
                from,
                to,
                begin: self.now,
                end: self.now + duration_ms,
            }),
            Fault::DelayRecords { slot, duration_ms } => {
                if let Some(index) = self.running_node(slot) {
                    self.nodes[index].records_delayed_until = self.now + duration_ms;
                }
            }
            Fault::FreezeController {
                controller,
                duration_ms,
            } => {
                self.controllers[controller].frozen_until = self.now + duration_ms;
            }
            Fault::StoreOutage { duration_ms } => self.store_down_until = self.now + duration_ms,
            Fault::ChangeMonitors { count } => {
                for index in 0..self.controllers.len() {
                    self.deliver_to_controller(index, ControllerInput::ChangeMonitors { count });
                }
            }
        }
    }

    /// Returns the incarnation that runs on an instance.
    fn running_node(&self, slot: usize) -> Option<usize> {
        self.nodes
            .iter()
            .rposition(|node| node.slot == slot && node.is_alive)
    }

    fn kill(&mut self, slot: usize, restart_after: Option<u64>) {
        if let Some(index) = self.running_node(slot) {
            self.nodes[index].is_alive = false;
            self.killed_at[index] = Some(self.now);
            if let Some(delay) = restart_after {
                let at = self.now + delay;
                self.queue.push(at, WorldEvent::Start(slot));
            }
        }
    }

    fn freeze(&mut self, slot: usize, duration_ms: u64) {
        if let Some(index) = self.running_node(slot) {
            let until = self.now + duration_ms;
            self.nodes[index].frozen_until = until;
            self.queue
                .push(until, WorldEvent::Node(index, NodeInput::Tick));
        }
    }

    /// Marks the schedule as unsafe if an incarnation would admit requests after its verdict.
    pub(super) fn check_invariant(&mut self, index: usize) {
        if self.verdict_at[index].is_some() && self.nodes[index].admits(self.now) {
            self.is_unsafe = true;
        }
    }

    /// Counts a verdict, and either its delay after the loss of the agent or that it is false.
    pub(super) fn count_verdict(&mut self, index: usize) {
        self.outcome.verdicts += 1;
        if let Some(killed) = self.killed_at[index] {
            self.outcome.detection_times_ms.push(self.now - killed);
        } else if !self.had_recent_fault(index) {
            self.outcome.false_verdicts += 1;
        }
    }

    /// Whether a running agent is leaving, or was recently frozen or affected by a partition.
    fn had_recent_fault(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let machine = Machine::Slot(node.slot);
        let is_recent = |end: u64| end + RECENT_FAULT_MS > self.now;
        let is_affecting = |partition: &NetworkPartition| {
            let touches = partition.from.contains(machine) || partition.to.contains(machine);
            touches && is_recent(partition.end)
        };
        let was_frozen = node.frozen_until > 0 && is_recent(node.frozen_until);
        node.is_leaving || was_frozen || self.partitions.iter().any(is_affecting)
    }

    /// Sends the reports of running agents, and adds to their running time and their time without a lease.
    pub(super) fn sample(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.is_alive || self.now < node.frozen_until {
                continue;
            }
            let input = ControllerInput::Report {
                from: node.id.clone(),
                epoch: node.sole_epoch(),
            };
            let from = Machine::Slot(node.slot);
            if node.had_lease() && !node.is_leaving {
                self.outcome.running_ms += SAMPLE_INTERVAL_MS;
                let is_unleased = !node.admits(self.now) && !self.had_recent_fault(index);
                self.outcome.unleased_ms += SAMPLE_INTERVAL_MS * u64::from(is_unleased);
            }
            self.notify_controllers(from, &input);
            self.check_invariant(index);
        }
        self.queue
            .push(self.now + SAMPLE_INTERVAL_MS, WorldEvent::Sample);
    }
}
