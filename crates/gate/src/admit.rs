//! What becomes of an arriving request.

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
use crate::grants::UnitVerdict;
use crate::refusals;
use crate::request_id::first_sent;
use crate::window::WindowVerdict;

impl GateState {
    /// Answers, refuses or queues an arriving request.
    pub(crate) fn arrive(&mut self, now: Millis, arrival: Arrival, actions: &mut Vec<GateAction>) {
        let ticket = arrival.ticket;
        let outcome = self
            .answer_repeat(&arrival)
            .map_or_else(|| self.check(now, &arrival), Some);
        match outcome {
            Some(RepeatOrRefusal::Answer(answer)) => {
                actions.push(GateAction::Replay { ticket, answer });
            }
            Some(RepeatOrRefusal::Refuse(refusal)) => {
                actions.push(GateAction::Refuse { ticket, refusal });
            }
            None => self.enqueue(now, arrival, actions),
        }
    }

    /// Answers a repeat of an id that the window knows.
    fn answer_repeat(&self, arrival: &Arrival) -> Option<RepeatOrRefusal> {
        let id = window_id(arrival)?;
        let refusal = match self.window.verdict(id, arrival.digest) {
            WindowVerdict::Fresh => return None,
            WindowVerdict::Answered(answer) => return Some(RepeatOrRefusal::Answer(answer)),
            WindowVerdict::Running => refusals::still_running(),
            WindowVerdict::Reused => refusals::id_reused(),
            WindowVerdict::Unknown => refusals::unknown_repeat(),
        };
        Some(RepeatOrRefusal::Refuse(refusal))
    }

    /// Refuses a request that must not run here and now.
    fn check(&self, now: Millis, arrival: &Arrival) -> Option<RepeatOrRefusal> {
        self.refusal(now, arrival).map(RepeatOrRefusal::Refuse)
    }

    /// Says why a request must not run here and now.
    fn refusal(&self, now: Millis, arrival: &Arrival) -> Option<Refusal> {
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
        let memory_from = match self.ledger.verdict(unit) {
            UnitVerdict::NotOwned => return Some(refusals::not_owner()),
            UnitVerdict::Leaving => return Some(refusals::leaving()),
            UnitVerdict::Owned { memory_from, .. } => memory_from,
        };
        if now >= self.lease {
            return Some(refusals::lease_lapsed());
        }
        let memory_from = memory_from.max(self.window.memory_from(unit));
        let id = window_id(arrival)?;
        let is_known = self.is_within_memory(now, id, arrival.received, memory_from);
        (!is_known).then(refusals::maybe_repeat)
    }

    /// Whether an id that the window does not hold was surely never admitted before.
    fn is_within_memory(
        &self,
        now: Millis,
        id: &Name,
        received: WallMillis,
        memory_from: Millis,
    ) -> bool {
        let error_ms = self.settings.clock_error_ms;
        let timed = first_sent(id).zip(self.wall);
        let Some((sent, (point, wall))) = timed.filter(|(sent, _)| sent.0 <= received.0 + error_ms)
        else {
            let hold = memory_from.plus(self.settings.plain_id_ms);
            return memory_from == Millis::default() || now >= hold;
        };
        let now_wall = i128::from(wall.0) + i128::from(now.0) - i128::from(point.0);
        let latest_age = now_wall - i128::from(sent.0) + i128::from(error_ms);
        let memory_ms = now.since(memory_from).min(self.settings.window_ms);
        let is_whole = memory_from == Millis::default();
        let reach_ms = if is_whole {
            self.settings.window_ms
        } else {
            memory_ms
        };
        latest_age < i128::from(reach_ms)
    }

    /// Puts a request into the queue, and refuses what can no longer be served in time.
    fn enqueue(&mut self, now: Millis, arrival: Arrival, actions: &mut Vec<GateAction>) {
        if let Some(id) = window_id(&arrival) {
            let unit = arrival.unit.unwrap_or(Unit::Key(KeyHash::new(id)));
            self.window.begin(now, id, arrival.digest, unit);
        }
        if let Some(unit) = arrival.unit {
            *self.open.entry(unit).or_default() += 1;
        }
        self.queue.push(arrival);
        while let Some(ticket) = self.hopeless_last(now) {
            let waiting = self.queue.remove(ticket).into_iter().collect();
            self.refuse_waiting(waiting, refusals::overloaded, actions);
        }
    }

    /// Returns the last request in the queue if the queue is too long for it.
    fn hopeless_last(&self, now: Millis) -> Option<u64> {
        let free = self.limit().saturating_sub(self.in_flight()) as usize;
        let ahead = self.queue.len().saturating_sub(free + 1);
        let last = self.queue.last()?;
        if self.queue.len() <= free {
            return None;
        }
        let most = self
            .settings
            .slots
            .saturating_mul(self.settings.queue_per_slot);
        let rounds = (ahead + 1) as f64 / f64::from(self.limit());
        let end_ms = (rounds + 1.0) * self.mean_ms;
        let is_late = end_ms > last.deadline.since(now) as f64;
        (is_late || self.queue.len() > most as usize + free).then_some(last.ticket)
    }
}

/// What an arriving request gets at once.
enum RepeatOrRefusal {
    /// The remembered answer.
    Answer(jy_types::peer::StoredAnswer),
    /// A refusal.
    Refuse(Refusal),
}
