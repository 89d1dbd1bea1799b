//! A request that asks for admission.

use jy_types::name::Name;
use jy_types::time::Millis;

/// Least ratio of a caller's time limit to its objective at which a request without a tenant may wait for a late
/// answer.
const MIN_LIMIT_RATIO: u64 = 3;

/// Properties of a request that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Tenant that sent the request; `None` for calls of running requests and for requests that need no key.
    pub tenant: Option<Name>,
    /// Whether a running request made this call. Calls go before new work of any priority.
    pub is_call: bool,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// When the caller sent its first attempt, as far as it is known.
    pub first_sent: Millis,
    /// An answer after this point is late.
    pub objective: Millis,
    /// An answer after this point is useless to the caller.
    pub deadline: Millis,
    /// Expected work, in milliseconds.
    pub work_ms: f64,
}

impl AdmissionRequest {
    /// Whether a request that arrives now leaves room for a late answer: it has a tenant, or the time left is several
    /// times that until its objective. If the objective has passed, both count from the first attempt.
    #[must_use]
    pub fn leaves_room(&self, now: Millis) -> bool {
        let counted_from = if self.objective > now {
            now
        } else {
            self.first_sent.min(now)
        };
        let until_objective_ms = self.objective.since(counted_from);
        let limit_ms = until_objective_ms.saturating_mul(MIN_LIMIT_RATIO);
        self.tenant.is_some() || self.deadline.since(counted_from) >= limit_ms
    }
}
