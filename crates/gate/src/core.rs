//! The gate's decision.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_types::key::Unit;
use jy_types::request::Refusal;
use jy_types::time::Millis;
use jy_types::time::WallMillis;

use crate::api::Arrival;
use crate::api::BackendEvent;
use crate::api::GateAction;
use crate::api::GateEvent;
use crate::api::GateSettings;
use crate::api::GrantMap;
use crate::grants::OwnedGrants;
use crate::queue::WaitQueue;
use crate::ramp::ConcurrencyRamp;
use crate::ramp::RampPace;
use crate::refusals;
use crate::window::RequestWindow;
use crate::window::WindowBounds;

/// Whether the backend server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendState {
    /// It has not announced itself, or is gone.
    Absent,
    /// It serves.
    Serving,
    /// It ends what runs and takes nothing new.
    Draining,
}

/// A request at the backend server.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) arrival: Arrival,
    pub(crate) sent: Millis,
    pub(crate) deadline: Millis,
    /// The start of the backend server in which it was sent.
    pub(crate) epoch: u64,
    pub(crate) cancelled: bool,
}

/// State of a gate.
#[derive(Clone, Debug)]
pub struct GateState {
    pub(crate) settings: GateSettings,
    pub(crate) lease: Millis,
    pub(crate) ledger: OwnedGrants,
    pub(crate) window: RequestWindow,
    pub(crate) queue: WaitQueue,
    pub(crate) ramp: ConcurrencyRamp,
    pub(crate) running: BTreeMap<u64, RunningRequest>,
    /// Waiting and running requests by unit.
    pub(crate) open: BTreeMap<Unit, u32>,
    /// Requests without an answer that may run on until their deadline, with their units.
    pub(crate) lingering: BTreeMap<(Millis, u64), Unit>,
    /// Moving mean of the time that the backend server takes, in milliseconds.
    pub(crate) mean_ms: f64,
    pub(crate) backend: BackendState,
    pub(crate) draining: bool,
    /// The wall clock at a point of the other clock.
    pub(crate) wall: Option<(Millis, WallMillis)>,
}

impl GateState {
    /// Makes a gate that owns nothing and knows of no backend server.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        let bounds = window_bounds(&settings);
        let ramp = ConcurrencyRamp::new(ramp_pace(&settings));
        Self {
            settings,
            lease: Millis::default(),
            ledger: OwnedGrants::new(),
            window: RequestWindow::new(bounds),
            queue: WaitQueue::new(),
            ramp,
            running: BTreeMap::new(),
            open: BTreeMap::new(),
            lingering: BTreeMap::new(),
            mean_ms: 0.0,
            backend: BackendState::Absent,
            draining: false,
            wall: None,
        }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(mut self, now: Millis, event: GateEvent) -> (Self, Vec<GateAction>) {
        let mut actions = Vec::new();
        match event {
            GateEvent::Arrive(arrival) => self.arrive(now, arrival, &mut actions),
            GateEvent::Ended { ticket, end } => self.ended(now, ticket, end, &mut actions),
            GateEvent::CallerGone { ticket } => self.caller_gone(ticket, &mut actions),
            GateEvent::Lease { until } => self.lease = until,
            GateEvent::Grants(grants) => self.replace_grants(now, grants, &mut actions),
            GateEvent::Handover { entries, .. } => self.window.take_over(now, entries),
            GateEvent::Backend(notice) => self.backend_changed(now, &notice, &mut actions),
            GateEvent::Settings(settings) => self.configure(settings),
            GateEvent::Clock { wall } => self.wall = Some((now, wall)),
            GateEvent::Drain => self.draining = true,
            GateEvent::Tick => {}
        }
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.release(now, &mut actions);
        (self, actions)
    }

    /// The limits in force.
    #[must_use]
    pub const fn settings(&self) -> &GateSettings {
        &self.settings
    }

    /// Requests in flight at the backend server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests waiting.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Whether nothing is in flight and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Requests that may be in flight at the backend server at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.ramp.limit()
    }

    /// Ids in the window and bytes of answers kept for them.
    #[must_use]
    pub fn window_size(&self) -> (usize, u64) {
        (self.window.len(), self.window.bytes())
    }

    /// When [`GateEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        let owned = |running: &RunningRequest| running.arrival.unit.is_some();
        let cancels = self
            .running
            .values()
            .any(|running| owned(running) && !running.cancelled);
        let waits = self.queue.any(|arrival| arrival.unit.is_some());
        let lease = (cancels || waits).then_some(self.lease);
        let deadline = self.queue.first_deadline();
        let serve = waits.then(|| self.ledger.next_serve()).flatten();
        let lingering = self.lingering.first_key_value();
        let linger = lingering.map(|((until, _), _)| *until);
        [lease, deadline, serve, linger]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Millis::MAX)
    }

    /// Takes new limits.
    fn configure(&mut self, settings: GateSettings) {
        self.ramp.configure(ramp_pace(&settings));
        self.window.configure(window_bounds(&settings));
        self.settings = settings;
    }

    /// Replaces the grants: what runs or waits of units that are gone is stopped.
    fn replace_grants(
        &mut self,
        now: Millis,
        grants: Arc<GrantMap>,
        actions: &mut Vec<GateAction>,
    ) {
        let margin_ms = self.settings.dispatch_margin_ms;
        let gone = self.ledger.replace(now, margin_ms, grants);
        self.window.drop_slices(&gone);
        let ledger = &self.ledger;
        let lost = |arrival: &Arrival| arrival.unit.is_some_and(|unit| !ledger.holds(unit));
        let waiting = self.queue.take_matching(lost);
        for running in self.running.values_mut() {
            if lost(&running.arrival) && !running.cancelled {
                running.cancelled = true;
                let ticket = running.arrival.ticket;
                actions.push(GateAction::Cancel { ticket });
            }
        }
        self.refuse_waiting(waiting, refusals::not_owner, actions);
    }

    /// Takes news of the backend server.
    fn backend_changed(
        &mut self,
        now: Millis,
        notice: &BackendEvent,
        actions: &mut Vec<GateAction>,
    ) {
        match *notice {
            BackendEvent::Announced {
                start_stamp,
                slots,
                cold,
                draining,
            } => {
                self.ramp.announced(now, start_stamp, slots, cold);
                self.backend = if draining {
                    BackendState::Draining
                } else {
                    BackendState::Serving
                };
            }
            BackendEvent::Gone => {
                self.ramp.suspect_restart(now);
                self.backend = BackendState::Absent;
                let waiting = self.queue.take_matching(|_| true);
                self.refuse_waiting(waiting, refusals::no_backend, actions);
            }
        }
    }

    /// Refuses requests that were waiting.
    pub(crate) fn refuse_waiting(
        &mut self,
        waiting: Vec<Arrival>,
        refusal: impl Fn() -> Refusal,
        actions: &mut Vec<GateAction>,
    ) {
        for arrival in waiting {
            self.close(arrival.unit);
            self.withdraw(&arrival);
            let (ticket, refusal) = (arrival.ticket, refusal());
            actions.push(GateAction::Refuse { ticket, refusal });
        }
    }

    /// Counts a request of a unit as done with.
    pub(crate) fn close(&mut self, unit: Option<Unit>) {
        let Some(unit) = unit else {
            return;
        };
        if let Some(open) = self.open.get_mut(&unit) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&unit);
            }
        }
    }

    /// Forgets the id of a request that did not run.
    pub(crate) fn withdraw(&mut self, arrival: &Arrival) {
        if let Some(id) = window_id(arrival) {
            self.window.withdraw(id);
        }
    }

    /// Hands over the units that are leaving and idle.
    fn release(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        let open = &self.open;
        let units = self.ledger.release_idle(|unit| !open.contains_key(&unit));
        if units.is_empty() {
            return;
        }
        let memory_from = |unit| self.ledger.memory_from(unit);
        let entries = self.window.entries(now, &units, memory_from);
        actions.push(GateAction::Release { units, entries });
    }
}

/// Returns the pace of a cold start.
const fn ramp_pace(settings: &GateSettings) -> RampPace {
    RampPace {
        slots: settings.slots,
        start: settings.ramp_start,
        step_answers: settings.ramp_answers,
        step_ms: settings.ramp_step_ms,
    }
}

/// Returns the bounds of the window.
const fn window_bounds(settings: &GateSettings) -> WindowBounds {
    WindowBounds {
        age_ms: settings.window_ms,
        entries: settings.window_entries as usize,
        bytes: settings.window_bytes,
    }
}

/// Returns the id under which a request is remembered.
pub(crate) fn window_id(arrival: &Arrival) -> Option<&jy_types::name::Name> {
    let id = arrival.idempotency_key.as_ref()?;
    (!arrival.idempotent).then_some(id)
}
