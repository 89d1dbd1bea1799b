//! The controller's decision.

use jy_types::time::Millis;

use crate::api::ControlAction;
use crate::api::ControlEvent;
use crate::api::ControlSettings;

/// State of a controller.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "the decision is not written yet")]
pub struct ControlState {
    settings: ControlSettings,
    seed: u64,
}

impl ControlState {
    /// Makes a controller that does not hold the role.
    #[must_use]
    pub const fn new(settings: ControlSettings, seed: u64) -> Self {
        Self { settings, seed }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(self, _now: Millis, _event: ControlEvent) -> (Self, Vec<ControlAction>) {
        (self, Vec::new())
    }

    /// When [`ControlEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        Millis::MAX
    }
}
