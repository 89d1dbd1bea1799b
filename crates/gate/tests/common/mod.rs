//! Shared driver, events and settings of the gate tests.

use std::sync::Arc;

use jy_gate::api::Arrival;
use jy_gate::api::BackendEvent;
use jy_gate::api::DispatchOutcome;
use jy_gate::api::GateAction;
use jy_gate::api::GateEvent;
use jy_gate::api::GateSettings;
use jy_gate::api::OwnedUnit;
use jy_gate::core::GateState;
use jy_kernel::state::StateCell;
use jy_types::assign::Fence;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::peer::StoredAnswer;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::time::Millis;
use jy_types::time::WallMillis;
use jy_types::workspace::Urgency;

/// Unit that the requests of the tests belong to.
pub const UNIT: Unit = Unit::Slice(SliceId(7));

/// Monotonic time at which the driver starts.
pub const START: Millis = Millis(1_000_000);

/// Wall-clock time at [`START`].
pub const WALL: WallMillis = WallMillis(1_800_000_000_000);

/// Gate with a simulated clock.
pub struct GateDriver {
    state: StateCell<GateState>,
    pub now: Millis,
}

impl GateDriver {
    /// Creates a gate that owns [`UNIT`], with a lease of one hour and an announced backend server.
    pub fn serving(settings: GateSettings) -> Self {
        let mut driver = Self::new(settings);
        driver.step(GateEvent::Clock { wall: WALL });
        driver.step(GateEvent::Lease {
            until: START.plus(3_600_000),
        });
        driver.step(grants(false, true));
        driver.step(announced(1, false));
        driver
    }

    /// Creates a gate that has received no events.
    pub fn new(settings: GateSettings) -> Self {
        Self {
            state: StateCell::new(GateState::new(settings)),
            now: START,
        }
    }

    /// Applies an event at the current time.
    pub fn step(&mut self, event: GateEvent) -> Vec<GateAction> {
        let now = self.now;
        self.state.step(|state| state.step(now, event))
    }

    /// Advances the clock and applies a tick.
    pub fn tick(&mut self, millis: u64) -> Vec<GateAction> {
        self.now = self.now.plus(millis);
        self.step(GateEvent::Tick)
    }

    /// Reads a value from the state.
    pub fn read<T>(&self, read: impl FnOnce(&GateState) -> T) -> T {
        self.state.read(read)
    }
}

/// Returns settings of two slots without a cold start.
pub fn warm_settings() -> GateSettings {
    GateSettings {
        slots: 2,
        ramp_start: 2,
        queue_per_slot: 16,
        ..GateSettings::default()
    }
}

/// Returns an event that grants [`UNIT`].
pub fn grants(leaving: bool, handed_over: bool) -> GateEvent {
    let owned = OwnedUnit {
        fence: Fence(5),
        leaving,
        handed_over,
    };
    GateEvent::Grants(Arc::new([(UNIT, owned)].into()))
}

/// Returns an announcement of the backend server.
pub fn announced(start_stamp: u64, cold: bool) -> GateEvent {
    GateEvent::Backend(BackendEvent::Announced {
        start_stamp,
        slots: 2,
        cold,
        draining: false,
    })
}

/// Returns an idempotent request for [`UNIT`].
pub fn arrival(ticket: u64) -> Arrival {
    Arrival {
        ticket,
        unit: Some(UNIT),
        idempotent: true,
        idempotency_key: None,
        digest: 1,
        urgency: Urgency::Normal,
        deadline: START.plus(60_000),
        received: WallMillis(WALL.0 + 2_000),
    }
}

/// Returns the end of a dispatched request.
pub fn ended(ticket: u64, end: DispatchOutcome) -> GateEvent {
    GateEvent::Ended { ticket, end }
}

/// Returns the outcome of a complete answer.
pub fn answered(text: &str) -> DispatchOutcome {
    DispatchOutcome::Answered {
        shed: false,
        answer: Some(StoredAnswer {
            status: 200,
            content_type: None,
            body: text.into(),
        }),
    }
}

/// Returns the tickets of the dispatched requests.
pub fn dispatched(actions: &[GateAction]) -> Vec<u64> {
    let ticket = |action: &GateAction| match action {
        GateAction::Dispatch { ticket, .. } => Some(*ticket),
        _ => None,
    };
    actions.iter().filter_map(ticket).collect()
}

/// Returns the ticket, kind and run state of each refusal.
pub fn refused(actions: &[GateAction]) -> Vec<(u64, RefusalKind, RunState)> {
    let refusal = |action: &GateAction| match action {
        GateAction::Refuse { ticket, refusal } => Some((*ticket, refusal.kind, refusal.ran)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}
