//! Simulates the callers for `jybench once`, which send new requests and repeat earlier ones.

use jy_gate::api::Arrival;
use jy_gate::api::GateEvent;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::time::WallMillis;
use jy_types::workspace::Urgency;
use rand::Rng;

use crate::once_model::GATE_COUNT;
use crate::once_model::OnceAttempt;
use crate::once_model::OnceEvent;
use crate::once_model::OnceModel;
use crate::once_model::OnceRequest;
use crate::once_model::PLAIN_ID_REPEAT_MS;
use crate::once_model::UNIT_COUNT;
use crate::once_model::WALL_CLOCK_OFFSET_MS;

/// Less than the clock error that the gates allow for.
const MAX_CALLER_CLOCK_ERROR_MS: u64 = 900;

impl OnceModel {
    /// Sends a new request or repeats an earlier one, in most cases to the owner of its unit.
    pub(crate) fn send_request(&mut self) {
        if self.has_active_callers() {
            let delay_ms = self.rng.random_range(5..120);
            self.schedule(delay_ms, OnceEvent::SendRequest);
        }
        let number = self.pick_request();
        let request = self.requests[number].clone();
        let gate = if self.rng.random_bool(0.9) {
            self.owner_of(request.unit)
        } else {
            Some(self.rng.random_range(0..GATE_COUNT))
        };
        let Some(gate) = gate else {
            return;
        };
        self.counts.requests += 1;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let deadline = self.now.plus(self.rng.random_range(20..1_500));
        let attempt = OnceAttempt {
            request: number,
            gate,
            incarnation: self.gates[gate].incarnation,
            deadline,
            ran: false,
            has_ended: false,
        };
        self.attempts.insert(ticket, attempt);
        let arrival = Arrival {
            ticket,
            unit: Some(request.unit),
            idempotent: false,
            idempotency_key: Some(request.id),
            digest: request.digest,
            urgency: Urgency::Normal,
            deadline,
            received: WallMillis(WALL_CLOCK_OFFSET_MS + self.now.0),
        };
        self.step(gate, GateEvent::Arrive(arrival));
    }

    /// Picks a recent request to repeat, or creates a new one. Returns its index.
    fn pick_request(&mut self) -> usize {
        if !self.requests.is_empty() && self.rng.random_bool(0.5) {
            let first_recent = self.requests.len().saturating_sub(40);
            let number = self.rng.random_range(first_recent..self.requests.len());
            let request = &self.requests[number];
            if !request.has_plain_id || self.now.since(request.first_sent_at) < PLAIN_ID_REPEAT_MS {
                return number;
            }
        }
        let number = self.requests.len();
        let has_plain_id = self.rng.random_bool(0.3);
        let id = if has_plain_id {
            format!("order-{number}")
        } else {
            self.uuid_v7(number)
        };
        self.requests.push(OnceRequest {
            id: id.into(),
            has_plain_id,
            first_sent_at: self.now,
            unit: Unit::Slice(SliceId(self.rng.random_range(0..UNIT_COUNT))),
            digest: number as u64,
            runs: 0,
        });
        number
    }

    /// Makes a UUIDv7 with the time of a caller's inaccurate clock.
    fn uuid_v7(&mut self, number: usize) -> String {
        let clock_error_ms = self.rng.random_range(0..=2 * MAX_CALLER_CLOCK_ERROR_MS);
        let wall = WALL_CLOCK_OFFSET_MS + self.now.0 + clock_error_ms - MAX_CALLER_CLOCK_ERROR_MS;
        format!(
            "{:08x}-{:04x}-7000-8000-{number:012x}",
            wall >> 16,
            wall & 0xffff
        )
    }
}
