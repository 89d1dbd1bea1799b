//! The gate's decision.

use jy_types::time::Millis;

use crate::api::GateAction;
use crate::api::GateEvent;
use crate::api::GateSettings;

/// State of a gate.
#[derive(Clone, Debug)]
pub struct GateState {
    settings: GateSettings,
}

impl GateState {
    /// Makes a gate that owns nothing and knows of no backend server.
    #[must_use]
    pub const fn new(settings: GateSettings) -> Self {
        Self { settings }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(self, _now: Millis, _event: GateEvent) -> (Self, Vec<GateAction>) {
        (self, Vec::new())
    }

    /// The limits in force.
    #[must_use]
    pub const fn settings(&self) -> &GateSettings {
        &self.settings
    }

    /// Requests in flight at the backend server.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        0
    }

    /// Requests waiting.
    #[must_use]
    pub const fn queued(&self) -> u32 {
        0
    }

    /// Whether nothing is in flight and nothing waits.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.queued() == 0
    }

    /// When [`GateEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        Millis::MAX
    }
}
