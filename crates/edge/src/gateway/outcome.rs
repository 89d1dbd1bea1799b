//! Records what became of callers' requests.

use jy_http::message::HttpResponse;
use jy_types::time::Millis;

use super::CallState;
use super::CallerGateway;

impl CallerGateway {
    /// Records the outcome of a request in the metrics and in the log.
    pub(super) fn record_outcome(
        &self,
        now: Millis,
        call: &CallState,
        response: &HttpResponse,
        outcome_name: &str,
    ) {
        let elapsed_ms = now.since(call.received_at);
        self.metrics.count(&call.rule.name, outcome_name);
        self.metrics.caller_ms.observe(elapsed_ms as f64);
        let status = response.status.as_u16();
        let is_success = response.status.is_success();
        self.request_log.write(now, is_success, || {
            let snapshot = self.snapshot.borrow();
            format!(
                "id={} route={} origin={} service={} key={:?} status={status} outcome={outcome_name} last={} \
                 asked={:?} offered={} elapsed_ms={elapsed_ms} beliefs={} configuration={} call={} age_ms={}{}",
                call.job.id,
                call.rule.name,
                call.job.origin,
                call.job.service,
                call.job.key,
                call.last_failure,
                call.tried,
                call.backends_reached,
                snapshot.revision,
                snapshot.routes.as_ref().map_or(0, |routes| routes.version),
                call.job.is_call,
                call.age_ms,
                self.key_log_text(now, call),
            )
        });
    }
}
