//! State machine of the gate.

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
    /// It has not announced itself yet, or was reported as gone.
    Absent,
    /// It accepts requests.
    Serving,
    /// It finishes running requests and accepts no new ones.
    Draining,
}

/// A request that was dispatched to the backend server.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) arrival: Arrival,
    pub(crate) sent_at: Millis,
    pub(crate) deadline: Millis,
    /// Epoch of the ramp in which the request was sent.
    pub(crate) epoch: u64,
    pub(crate) cancelled: bool,
}

/// State of a gate.
#[derive(Clone, Debug)]
pub struct GateState {
    pub(crate) settings: GateSettings,
    pub(crate) lease_end: Millis,
    pub(crate) owned_grants: OwnedGrants,
    pub(crate) window: RequestWindow,
    pub(crate) queue: WaitQueue,
    pub(crate) ramp: ConcurrencyRamp,
    pub(crate) running: BTreeMap<u64, RunningRequest>,
    /// Number of waiting and running requests by unit.
    pub(crate) open_requests: BTreeMap<Unit, u32>,
    /// Units of requests that ended without an answer and may run until their deadline, by deadline and
    /// ticket.
    pub(crate) maybe_running: BTreeMap<(Millis, u64), Unit>,
    /// Exponential moving average of the service time, in milliseconds.
    pub(crate) mean_service_ms: f64,
    pub(crate) backend: BackendState,
    pub(crate) draining: bool,
    /// Last reading of the wall clock, with the monotonic time at which it was taken.
    pub(crate) wall_reading: Option<(Millis, WallMillis)>,
}

impl GateState {
    /// Creates a gate without grants and without a backend server.
    #[must_use]
    pub fn new(settings: GateSettings) -> Self {
        let bounds = window_bounds(&settings);
        let ramp = ConcurrencyRamp::new(ramp_pace(&settings));
        Self {
            settings,
            lease_end: Millis::default(),
            owned_grants: OwnedGrants::new(),
            window: RequestWindow::new(bounds),
            queue: WaitQueue::new(),
            ramp,
            running: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            maybe_running: BTreeMap::new(),
            mean_service_ms: 0.0,
            backend: BackendState::Absent,
            draining: false,
            wall_reading: None,
        }
    }

    /// Handles an event and returns the next state and the actions to carry out.
    #[must_use]
    pub fn step(mut self, now: Millis, event: GateEvent) -> (Self, Vec<GateAction>) {
        let mut actions = Vec::new();
        match event {
            GateEvent::Arrive(arrival) => self.arrive(now, arrival, &mut actions),
            GateEvent::Ended { ticket, end } => self.ended(now, ticket, end, &mut actions),
            GateEvent::CallerGone { ticket } => self.caller_gone(ticket, &mut actions),
            GateEvent::Lease { until } => self.lease_end = until,
            GateEvent::Grants(grants) => self.replace_grants(now, grants, &mut actions),
            GateEvent::Handover { entries, .. } => self.window.merge_handover(now, entries),
            GateEvent::Backend(change) => self.backend_changed(now, &change, &mut actions),
            GateEvent::Settings(settings) => self.configure(settings),
            GateEvent::Clock { wall } => self.wall_reading = Some((now, wall)),
            GateEvent::Drain => self.draining = true,
            GateEvent::Tick => {}
        }
        self.expire(now, &mut actions);
        self.dispatch(now, &mut actions);
        self.release(now, &mut actions);
        (self, actions)
    }

    /// Returns the settings in force.
    #[must_use]
    pub const fn settings(&self) -> &GateSettings {
        &self.settings
    }

    /// Returns the number of requests in flight at the backend server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Whether no request is in flight or waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns how many requests may be in flight at the backend server at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.ramp.limit()
    }

    /// Returns the number of ids in the window and the size of their answers in bytes.
    #[must_use]
    pub fn window_size(&self) -> (usize, u64) {
        (self.window.len(), self.window.bytes())
    }

    /// Returns when the next [`GateEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        let is_owned = |running: &RunningRequest| running.arrival.unit.is_some();
        let has_cancellable = self
            .running
            .values()
            .any(|running| is_owned(running) && !running.cancelled);
        let has_waiting = self.queue.any(|arrival| arrival.unit.is_some());
        let lease_end = (has_cancellable || has_waiting).then_some(self.lease_end);
        let deadline = self.queue.first_deadline();
        let serve_start = has_waiting
            .then(|| self.owned_grants.next_start())
            .flatten();
        let first_maybe_running = self.maybe_running.first_key_value();
        let unit_free = first_maybe_running.map(|((until, _), _)| *until);
        [lease_end, deadline, serve_start, unit_free]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Millis::MAX)
    }

    /// Applies new settings.
    fn configure(&mut self, settings: GateSettings) {
        self.ramp.configure(ramp_pace(&settings));
        self.window.configure(window_bounds(&settings));
        self.settings = settings;
    }

    /// Replaces the grants; refuses waiting and cancels running requests for units that are no longer owned.
    fn replace_grants(
        &mut self,
        now: Millis,
        grants: Arc<GrantMap>,
        actions: &mut Vec<GateAction>,
    ) {
        let margin_ms = self.settings.dispatch_margin_ms;
        let lost_slices = self.owned_grants.replace(now, margin_ms, grants);
        self.window.remove_slices(&lost_slices);
        let owned_grants = &self.owned_grants;
        let is_lost = |arrival: &Arrival| arrival.unit.is_some_and(|unit| !owned_grants.owns(unit));
        let waiting = self.queue.take_matching(is_lost);
        for running in self.running.values_mut() {
            if is_lost(&running.arrival) && !running.cancelled {
                running.cancelled = true;
                let ticket = running.arrival.ticket;
                actions.push(GateAction::Cancel { ticket });
            }
        }
        self.refuse_waiting(waiting, refusals::not_owner, actions);
    }

    /// Handles a change of the backend server.
    fn backend_changed(
        &mut self,
        now: Millis,
        change: &BackendEvent,
        actions: &mut Vec<GateAction>,
    ) {
        match *change {
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

    /// Refuses requests that were removed from the queue.
    pub(crate) fn refuse_waiting(
        &mut self,
        waiting: Vec<Arrival>,
        refusal: impl Fn() -> Refusal,
        actions: &mut Vec<GateAction>,
    ) {
        for arrival in waiting {
            self.close_request(arrival.unit);
            self.forget_id(&arrival);
            let (ticket, refusal) = (arrival.ticket, refusal());
            actions.push(GateAction::Refuse { ticket, refusal });
        }
    }

    /// Removes a request from the open requests of its unit.
    pub(crate) fn close_request(&mut self, unit: Option<Unit>) {
        let Some(unit) = unit else {
            return;
        };
        if let Some(count) = self.open_requests.get_mut(&unit) {
            *count -= 1;
            if *count == 0 {
                self.open_requests.remove(&unit);
            }
        }
    }

    /// Removes the id of a request that did not run from the window.
    pub(crate) fn forget_id(&mut self, arrival: &Arrival) {
        if let Some(id) = window_id(arrival) {
            self.window.remove_request(id);
        }
    }

    /// Releases the leaving units that are idle, with their window entries.
    fn release(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        let open_requests = &self.open_requests;
        let units = self
            .owned_grants
            .release_idle(|unit| !open_requests.contains_key(&unit));
        if units.is_empty() {
            return;
        }
        let complete_from = |unit| self.owned_grants.complete_from(unit);
        let entries = self.window.entries(now, &units, complete_from);
        actions.push(GateAction::Release { units, entries });
    }
}

/// Returns the pace of a cold start from the settings.
const fn ramp_pace(settings: &GateSettings) -> RampPace {
    RampPace {
        slots: settings.slots,
        start_limit: settings.ramp_start,
        step_answers: settings.ramp_answers,
        step_ms: settings.ramp_step_ms,
    }
}

/// Returns the bounds of the window from the settings.
const fn window_bounds(settings: &GateSettings) -> WindowBounds {
    WindowBounds {
        age_ms: settings.window_ms,
        entries: settings.window_entries as usize,
        bytes: settings.window_bytes,
    }
}

/// Returns the id under which a request is kept in the window, if it is non-idempotent and has one.
pub(crate) fn window_id(arrival: &Arrival) -> Option<&jy_types::name::Name> {
    let id = arrival.idempotency_key.as_ref()?;
    (!arrival.idempotent).then_some(id)
}
