//! Answers with the agent's metrics.

use actix_http::StatusCode;
use jy_http::message::HttpResponse;
use jy_kernel::clock;

use super::EdgeAgent;
use crate::snapshot::FleetSnapshot;

impl EdgeAgent {
    /// Answers with all metrics as text.
    pub(super) fn answer_metrics(&self) -> HttpResponse {
        let now = clock::now();
        let metrics = &self.metrics;
        let snapshot = self.snapshot.borrow();
        let version = snapshot.routes.as_ref().map_or(0, |routes| routes.version);
        let load = self.gate.load(now);
        let gauge_value = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        metrics.configuration.set(gauge_value(version));
        metrics
            .instances
            .set(gauge_value(snapshot.live_agents(now) as u64));
        metrics
            .store_age_ms
            .set(gauge_value(now.since(self.feed.borrow().last_heard)));
        let proved_until = self.operator.proved_until.get();
        metrics
            .configuration_proof_age_ms
            .set(gauge_value(now.since(proved_until)));
        metrics
            .authority_ms
            .set(gauge_value(self.member.authority().since(now)));
        metrics.set_memory(&self.memory);
        let (held_bytes, bound) = self.gate.held(now);
        metrics.set_held(held_bytes, bound);
        metrics.gate_busy.set(i64::from(load.busy));
        metrics.gate_used_percent.set(i64::from(load.used_percent));
        let (waiting, waiting_late) = self.gate.waiting();
        metrics.gate_waiting.set(i64::from(waiting));
        metrics.gate_waiting_late.set(i64::from(waiting_late));
        metrics
            .ranges
            .set(gauge_value(self.owned_ranges(&snapshot)));
        metrics.store_era.set(gauge_value(snapshot.era));
        metrics
            .held_back_ms
            .set(gauge_value(snapshot.era_settled_at().since(now)));
        match metrics.to_text() {
            Ok(text) => HttpResponse::new(StatusCode::OK, &text)
                .with_header("content-type", "text/plain; version=0.0.4"),
            Err(error) => {
                log::error!("could not encode metrics: {error}");
                HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "")
            }
        }
    }

    /// Returns the number of key ranges that the backend server owns.
    fn owned_ranges(&self, snapshot: &FleetSnapshot) -> u64 {
        let Some(owner) = self.backend.owner() else {
            return 0;
        };
        let tables = snapshot.ranges.values();
        tables
            .map(|ranges| ranges.table.owned(&owner).count() as u64)
            .sum()
    }
}
