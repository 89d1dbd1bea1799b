//! Admission: answers, refuses or queues an arriving request.

use jy_types::key::KeyHash;
use jy_types::key::Unit;
use jy_types::name::Name;
use jy_types::request::Refusal;
use jy_types::time::Millis;
use jy_types::time::WallMillis;

use crate::api::Arrival;
use crate::api::GateAction;
use crate::core::BackendState;
use crate::core::GateState;
use crate::core::window_id;
use crate::grants::UnitStatus;
use crate::refusals;
use crate::request_id::id_created_at;
use crate::window::WindowLookup;

impl GateState {
    /// Answers, refuses or queues an arriving request.
    pub(crate) fn arrive(&mut self, now: Millis, arrival: Arrival, actions: &mut Vec<GateAction>) {
        let ticket = arrival.ticket;
        let outcome = self
            .answer_repeat(&arrival)
            .map_or_else(|| self.check_admission(now, &arrival), Some);
        match outcome {
            Some(ImmediateOutcome::Replay(answer)) => {
                actions.push(GateAction::Replay { ticket, answer });
            }
            Some(ImmediateOutcome::Refuse(refusal)) => {
                actions.push(GateAction::Refuse { ticket, refusal });
            }
            None => self.enqueue(now, arrival, actions),
        }
    }

    /// Answers or refuses a repeat of a request whose id is in the window.
    fn answer_repeat(&self, arrival: &Arrival) -> Option<ImmediateOutcome> {
        let id = window_id(arrival)?;
        let refusal = match self.window.lookup(id, arrival.digest) {
            WindowLookup::Fresh => return None,
            WindowLookup::Answered(answer) => return Some(ImmediateOutcome::Replay(answer)),
            WindowLookup::Running => refusals::still_running(),
            WindowLookup::Reused => refusals::id_reused(),
            WindowLookup::Unknown => refusals::unknown_repeat(),
        };
        Some(ImmediateOutcome::Refuse(refusal))
    }

    /// Refuses a request that may not run here now.
    fn check_admission(&self, now: Millis, arrival: &Arrival) -> Option<ImmediateOutcome> {
        self.admission_refusal(now, arrival)
            .map(ImmediateOutcome::Refuse)
    }

    /// Returns why a request may not run here now, if there is a reason.
    fn admission_refusal(&self, now: Millis, arrival: &Arrival) -> Option<Refusal> {
        if self.draining {
            return Some(refusals::leaving());
        }
        if self.backend != BackendState::Serving {
            return Some(refusals::no_backend());
        }
        if now >= arrival.deadline {
            return Some(refusals::late());
        }
        let Some(unit) = arrival.unit else {
            return self.settings.keyed.then(refusals::not_owner);
        };
        let complete_from = match self.owned_grants.status(unit) {
            UnitStatus::NotOwned => return Some(refusals::not_owner()),
            UnitStatus::Leaving => return Some(refusals::leaving()),
            UnitStatus::Owned { complete_from, .. } => complete_from,
        };
        if now >= self.lease_end {
            return Some(refusals::lease_lapsed());
        }
        let complete_from = complete_from.max(self.window.complete_from(unit));
        let id = window_id(arrival)?;
        let is_new = self.is_provably_new(now, id, arrival.received, complete_from);
        (!is_new).then(refusals::possible_repeat)
    }

    /// Whether an id that is not in the window is certain never to have been admitted before.
    ///
    /// An id without a creation time, or with one later than `received` by more than the clock error, is
    /// treated as new only if the unit's history is complete or `plain_id_ms` have passed since it began; so
    /// are all ids before the first reading of the wall clock. Any other id must be younger than the time
    /// that the window covers.
    fn is_provably_new(
        &self,
        now: Millis,
        id: &Name,
        received: WallMillis,
        complete_from: Millis,
    ) -> bool {
        let error_ms = self.settings.clock_error_ms;
        let created_with_clock = id_created_at(id).zip(self.wall_reading);
        let Some((created, (read_at, wall_at_read))) =
            created_with_clock.filter(|(created, _)| created.0 <= received.0 + error_ms)
        else {
            let hold_until = complete_from.plus(self.settings.plain_id_ms);
            return complete_from == Millis::default() || now >= hold_until;
        };
        let wall_now = i128::from(wall_at_read.0) + i128::from(now.0) - i128::from(read_at.0);
        let max_age_ms = wall_now - i128::from(created.0) + i128::from(error_ms);
        let complete_ms = now.since(complete_from).min(self.settings.window_ms);
        let is_complete = complete_from == Millis::default();
        let covered_ms = if is_complete {
            self.settings.window_ms
        } else {
            complete_ms
        };
        max_age_ms < i128::from(covered_ms)
    }

    /// Queues a request, then refuses requests at the end of the queue that cannot be served in time.
    fn enqueue(&mut self, now: Millis, arrival: Arrival, actions: &mut Vec<GateAction>) {
        if let Some(id) = window_id(&arrival) {
            let unit = arrival.unit.unwrap_or(Unit::Key(KeyHash::new(id)));
            self.window.begin(now, id, arrival.digest, unit);
        }
        if let Some(unit) = arrival.unit {
            *self.open_requests.entry(unit).or_default() += 1;
        }
        self.queue.push(arrival);
        while let Some(ticket) = self.unservable_last(now) {
            let removed = self.queue.remove(ticket).into_iter().collect();
            self.refuse_waiting(removed, refusals::overloaded, actions);
        }
    }

    /// Returns the last request in the queue if it cannot be dispatched at once, and the queue is full or its
    /// expected end is past its deadline.
    fn unservable_last(&self, now: Millis) -> Option<u64> {
        let free_slots = self.limit().saturating_sub(self.in_flight()) as usize;
        let ahead = self.queue.len().saturating_sub(free_slots + 1);
        let last = self.queue.last()?;
        if self.queue.len() <= free_slots {
            return None;
        }
        let max_queued = self
            .settings
            .slots
            .saturating_mul(self.settings.queue_per_slot);
        let rounds = (ahead + 1) as f64 / f64::from(self.limit());
        let completion_ms = (rounds + 1.0) * self.mean_service_ms;
        let is_late = completion_ms > last.deadline.since(now) as f64;
        (is_late || self.queue.len() > max_queued as usize + free_slots).then_some(last.ticket)
    }
}

/// Outcome of an arriving request that is not queued.
enum ImmediateOutcome {
    /// Replay the stored answer.
    Replay(jy_types::peer::StoredAnswer),
    /// Refuse the request.
    Refuse(Refusal),
}
