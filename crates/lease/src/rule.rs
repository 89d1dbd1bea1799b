//! Rules of the protocol that checks and replays can break on purpose.

use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// A rule left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// A monitor goes on supporting an agent that it voted against.
    RenewAfterVote,
    /// A monitor's promise ends before the lease.
    ShortPromise,
    /// A support is counted from the answer.
    SupportFromReply,
    /// A new set is put in force at once.
    NoJointSet,
    /// Monitors are changed without regard to a verdict written meanwhile.
    ChangeAfterVerdict,
    /// A monitor supports others without a lease of its own.
    SupportWithoutLease,
    /// The wait for a monitor that is over leaves out the grace.
    WaitWithoutGrace,
    /// The wait for a monitor that is over has the drift margin of one TTL, not of its whole span.
    WaitWithoutDrift,
    /// A monitor that left counts as a vote, as if it were dead.
    LeftCounted,
}

impl BrokenRule {
    /// All rules.
    pub const ALL: [Self; 9] = [
        Self::RenewAfterVote,
        Self::ShortPromise,
        Self::SupportFromReply,
        Self::NoJointSet,
        Self::ChangeAfterVerdict,
        Self::SupportWithoutLease,
        Self::WaitWithoutGrace,
        Self::WaitWithoutDrift,
        Self::LeftCounted,
    ];

    /// The monitors' periods under the rule.
    #[must_use]
    pub const fn monitor_timing(rule: Option<Self>, timing: LeaseTiming) -> LeaseTiming {
        match rule {
            Some(Self::ShortPromise) => LeaseTiming {
                ttl_ms: timing.ttl_ms / 2,
                ..timing
            },
            _ => timing,
        }
    }

    /// The tally's periods under the rule.
    #[must_use]
    pub const fn tally_timing(rule: Option<Self>, timing: LeaseTiming) -> LeaseTiming {
        match rule {
            Some(Self::WaitWithoutGrace) => LeaseTiming {
                monitor_grace_ms: 0,
                ..timing
            },
            Some(Self::WaitWithoutDrift) => LeaseTiming {
                drift_margin_ms: timing.drift_margin_ms * timing.ttl_ms
                    / (timing.ttl_ms + timing.monitor_grace_ms),
                ..timing
            },
            _ => timing,
        }
    }
}
