//! Records a schedule as a trace of one agent's lease.

use super::controller::ControllerInput;
use super::recorder::TraceRecorder;
use super::settings::CheckSettings;
use super::world::World;
use crate::seeds;

/// Runs a schedule and returns the trace of the first incarnation on an instance.
///
/// # Errors
///
/// Returns an error if a line can't be serialized as JSON.
pub fn record_random(
    settings: &CheckSettings,
    slot: usize,
    seed: u64,
) -> serde_json::Result<String> {
    let mut rng = seeds::rng(seed);
    let faults = (settings.draw_faults)(settings, &mut rng);
    let mut world = World::new(settings.clone(), faults, rng);
    world.recorded_slot = Some(slot);
    world.run_events();
    let text = |recorder: &TraceRecorder| recorder.to_json_lines(settings, seed);
    world.recorder.as_ref().map_or(Ok(String::new()), text)
}

impl World {
    /// Makes a new node keep its steps if a trace is recorded, and starts the recorder with the first
    /// incarnation on the recorded instance.
    pub(super) fn record_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.recorded_slot.is_some() {
            node.steps = Some(Vec::new());
        }
        if self.recorded_slot == Some(node.slot) && self.recorder.is_none() {
            self.recorder = Some(TraceRecorder::new(node.id.clone()));
        }
    }

    /// Moves a node's latest steps to the recorder.
    pub(super) fn record_steps(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(steps) = &mut node.steps else { return };
        let steps = std::mem::take(steps);
        if let Some(recorder) = &mut self.recorder {
            for step in steps {
                recorder.push_step(self.now, &node.id, step);
            }
        }
    }

    /// Records an input of a controller. For a tick, also records the controller's decision on the recorded
    /// agent, and a request that reaches the agent at that time if it is running.
    pub(super) fn record_controller(&mut self, index: usize, input: &ControllerInput) {
        let Some(recorder) = &mut self.recorder else {
            return;
        };
        let controller = &self.controllers[index];
        let local = controller.clock.local(self.now);
        recorder.push_input(self.now, local, input);
        if !matches!(input, ControllerInput::Tick) {
            return;
        }
        let target = recorder.target().clone();
        if let Some(stored) = controller.active_record(&target) {
            recorder.push_decision(self.now, local, stored);
        }
        let node = self.nodes.iter().find(|node| node.id == target);
        if let Some(node) = node.filter(|node| node.is_alive && self.now >= node.frozen_until) {
            let local = node.clock.local(self.now);
            recorder.push_request(self.now, local);
        }
    }
}
