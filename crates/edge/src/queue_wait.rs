//! Waits for the start of queued requests, and tells why the queue refused one.

use std::time::Duration;

use jy_kernel::clock;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WaitReport;
use jy_types::time::Millis;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::gate::LocalGate;

/// At which point the queue refused a request, for the log and the metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueRefusal {
    /// `at-once`; `overtaken` if it waited and could no longer be served in time; `waited` if it waited for as long as
    /// it may.
    point: &'static str,
    report: WaitReport,
}

impl QueueRefusal {
    /// Formats the refusal for the log, followed by a space.
    pub(crate) fn log_text(&self, tenant: Option<&str>) -> String {
        let WaitReport {
            backlog_ms,
            free_percent,
            tenant_level,
        } = self.report;
        let free = free_percent.map_or_else(|| "unknown".into(), |percent| percent.to_string());
        format!(
            "refused={} backlog_ms={backlog_ms} free_percent={free} tenant={tenant:?} \
             tenant_level={tenant_level} ",
            self.point
        )
    }
}

impl LocalGate {
    /// Waits until a queued request may start.
    ///
    /// # Errors
    ///
    /// Returns the point of its refusal: the queue refused it, or it has not started at `wait_until` and the forecast
    /// does not say that it will before `latest`.
    pub(crate) async fn wait_for_start(
        &self,
        ticket: u64,
        mut wait_until: Millis,
        latest: Millis,
        mut start_signal: oneshot::Receiver<()>,
    ) -> Result<(), &'static str> {
        loop {
            let wait_ms = wait_until.since(clock::now()).max(1);
            let waited = timeout(Duration::from_millis(wait_ms), &mut start_signal).await;
            if let Ok(signal) = waited {
                return signal.map_err(|_| "overtaken");
            }
            let now = clock::now();
            let mut state = self.state.borrow_mut();
            // The forecast does not know of the limit on starts while the backend server is cold.
            let is_cold = state.cold_start_limiter.is_cold(now);
            match state.queue.wait_longer(now, ticket) {
                Some(until) if !is_cold && now < latest => wait_until = until.min(latest),
                _ => return Err("waited"),
            }
        }
    }

    /// Counts a request that the queue refused, and returns why it did.
    pub(crate) fn count_refusal(
        &self,
        now: Millis,
        point: &'static str,
        request: &AdmissionRequest,
    ) -> QueueRefusal {
        self.metrics.count_gate_refusal(point);
        let report = self.state.borrow().queue.report(now, request);
        QueueRefusal { point, report }
    }

    /// Returns the retry delay of a request that arrived at `offered_at`, waited and was refused, in milliseconds.
    pub(crate) fn retry_ms_after_wait(
        &self,
        offered_at: Millis,
        request: &AdmissionRequest,
    ) -> u64 {
        let mut state = self.state.borrow_mut();
        let place_ms = if state.queue.leaves_room(offered_at, request) {
            state.queue.assign_retry(clock::now(), request)
        } else {
            None
        };
        place_ms.unwrap_or(request.work_ms as u64)
    }
}
