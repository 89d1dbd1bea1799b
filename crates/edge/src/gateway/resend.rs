//! Decides whether a request may be sent once more, within the budget of extra sends.

use jy_kernel::clock;
use jy_policy::budget::SendPurpose;
use jy_types::name::Name;
use jy_types::time::Millis;

use super::CallState;
use super::CallerGateway;

impl CallerGateway {
    /// Whether a request that ran or may have run may be sent again: it must be idempotent. If so, one extra
    /// send of the retry budget is spent.
    pub(super) fn may_resend(&self, call: &CallState) -> bool {
        call.rule.idempotent && self.may_resend_not_run(call)
    }

    /// Whether a request that has not run may be sent again. If so, one extra send of the retry budget is
    /// spent.
    pub(super) fn may_resend_not_run(&self, call: &CallState) -> bool {
        let now = clock::now();
        call.backends_reached < call.rule.max_attempts
            && now < call.job.deadline
            && self.spend_retry_budget(
                now,
                &call.job.service,
                SendPurpose::retry_of(call.rule.priority),
            )
    }

    /// Spends one extra send of the service's retry budget. Returns whether the budget allowed it.
    pub(super) fn spend_retry_budget(
        &self,
        now: Millis,
        service: &Name,
        purpose: SendPurpose,
    ) -> bool {
        let live_agents = self.snapshot.borrow().live_agents(now);
        let mut send_counters = self.send_counters.borrow_mut();
        let send_counter = send_counters.entry(Name::clone(service)).or_default();
        let is_spent = send_counter.spend(now, self.budget.get(), live_agents, purpose);
        if is_spent {
            self.metrics.extra_sends.inc();
        }
        is_spent
    }
}
