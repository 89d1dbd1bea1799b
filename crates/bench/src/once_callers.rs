//! Callers of a schedule of `jybench once`: new requests and repeats of old ones.

use jy_gate::api::Arrival;
use jy_gate::api::GateEvent;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::time::WallMillis;
use jy_types::workspace::Urgency;
use rand::Rng;

use crate::once_model::GATES;
use crate::once_model::OnceEvent;
use crate::once_model::OnceJob;
use crate::once_model::OnceModel;
use crate::once_model::OnceRequest;
use crate::once_model::PLAIN_REPEAT_MS;
use crate::once_model::UNITS;
use crate::once_model::WALL_ZERO;

/// Largest error of a caller's clock, below the one that the gates allow for, in milliseconds.
const CALLER_ERROR_MS: u64 = 900;

impl OnceModel {
    /// A caller sends a new request or repeats an old one, mostly to its owner.
    pub(crate) fn caller(&mut self) {
        if self.is_on() {
            let gap = self.rng.random_range(5..120);
            self.push(gap, OnceEvent::Caller);
        }
        let number = self.pick_request();
        let request = self.requests[number].clone();
        let gate = if self.rng.random_bool(0.9) {
            self.owner_of(request.unit)
        } else {
            Some(self.rng.random_range(0..GATES))
        };
        let Some(gate) = gate else {
            return;
        };
        self.counts.requests += 1;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let deadline = self.now.plus(self.rng.random_range(20..1_500));
        let job = OnceJob {
            request: number,
            gate,
            incarnation: self.gates[gate].incarnation,
            deadline,
            ran: false,
            has_ended: false,
        };
        self.jobs.insert(ticket, job);
        let arrival = Arrival {
            ticket,
            unit: Some(request.unit),
            idempotent: false,
            idempotency_key: Some(request.id),
            digest: request.digest,
            urgency: Urgency::Normal,
            deadline,
            received: WallMillis(WALL_ZERO + self.now.0),
        };
        self.step(gate, GateEvent::Arrive(arrival));
    }

    /// Chooses an old request to repeat, or makes a new one.
    fn pick_request(&mut self) -> usize {
        if !self.requests.is_empty() && self.rng.random_bool(0.5) {
            let recent = self.requests.len().saturating_sub(40);
            let number = self.rng.random_range(recent..self.requests.len());
            let request = &self.requests[number];
            if !request.is_plain || self.now.since(request.first) < PLAIN_REPEAT_MS {
                return number;
            }
        }
        let number = self.requests.len();
        let is_plain = self.rng.random_bool(0.3);
        let id = if is_plain {
            format!("order-{number}")
        } else {
            self.timed_id(number)
        };
        self.requests.push(OnceRequest {
            id: id.into(),
            is_plain,
            first: self.now,
            unit: Unit::Slice(SliceId(self.rng.random_range(0..UNITS))),
            digest: number as u64,
            runs: 0,
        });
        number
    }

    /// Makes a UUIDv7 by a clock that is a little wrong.
    fn timed_id(&mut self, number: usize) -> String {
        let error = self.rng.random_range(0..=2 * CALLER_ERROR_MS);
        let wall = WALL_ZERO + self.now.0 + error - CALLER_ERROR_MS;
        format!(
            "{:08x}-{:04x}-7000-8000-{number:012x}",
            wall >> 16,
            wall & 0xffff
        )
    }
}
