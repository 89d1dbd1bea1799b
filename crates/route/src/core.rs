//! The gateway's decision.

use jy_types::time::Millis;

use crate::api::RouteAction;
use crate::api::RouteEvent;
use crate::api::RouteSettings;

/// State of a gateway's routing.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "the decision is not written yet")]
pub struct RouteState {
    settings: RouteSettings,
    seed: u64,
}

impl RouteState {
    /// Makes a router that knows of no agent.
    #[must_use]
    pub const fn new(settings: RouteSettings, seed: u64) -> Self {
        Self { settings, seed }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(self, _now: Millis, _event: RouteEvent) -> (Self, Vec<RouteAction>) {
        (self, Vec::new())
    }

    /// Requests that have neither been answered nor refused.
    #[must_use]
    pub const fn open(&self) -> u32 {
        0
    }

    /// When [`RouteEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        Millis::MAX
    }
}
