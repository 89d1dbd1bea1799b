//! Recording of a schedule.

use super::controller::ControllerInput;
use super::recorder::TraceRecorder;
use super::settings::CheckSettings;
use super::world::World;
use crate::seeds;

/// Runs a schedule and returns the trace of the first agent of an instance.
///
/// # Errors
///
/// If a line has no JSON form.
pub fn record_random(
    settings: &CheckSettings,
    slot: usize,
    seed: u64,
) -> serde_json::Result<String> {
    let mut rng = seeds::rng(seed);
    let faults = (settings.draw)(settings, &mut rng);
    let mut world = World::new(settings.clone(), faults, rng);
    world.recorded_slot = Some(slot);
    world.play();
    let text = |recorder: &TraceRecorder| recorder.text(settings, seed);
    world.recorder.as_ref().map_or(Ok(String::new()), text)
}

impl World {
    /// Makes a new node keep its steps if a trace is recorded.
    pub(super) fn record_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.recorded_slot.is_some() {
            node.steps = Some(Vec::new());
        }
        if self.recorded_slot == Some(node.slot) && self.recorder.is_none() {
            self.recorder = Some(TraceRecorder::new(node.id.clone()));
        }
    }

    /// Records a node's last steps.
    pub(super) fn record_steps(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(steps) = &mut node.steps else { return };
        let steps = std::mem::take(steps);
        if let Some(recorder) = &mut self.recorder {
            for step in steps {
                recorder.step(self.now, &node.id, step);
            }
        }
    }

    /// Records what reaches the controller, its decision, and a request to the agent then.
    pub(super) fn record_controller(&mut self, index: usize, input: &ControllerInput) {
        let Some(recorder) = &mut self.recorder else {
            return;
        };
        let controller = &self.controllers[index];
        let local = controller.clock.local(self.now);
        recorder.controller(self.now, local, input);
        if !matches!(input, ControllerInput::Tick) {
            return;
        }
        let target = recorder.target().clone();
        if let Some(stored) = controller.open_record(&target) {
            recorder.judge(self.now, local, stored);
        }
        let node = self.nodes.iter().find(|node| node.id == target);
        if let Some(node) = node.filter(|node| node.runs && self.now >= node.frozen_until) {
            let local = node.clock.local(self.now);
            recorder.request(self.now, local);
        }
    }
}
