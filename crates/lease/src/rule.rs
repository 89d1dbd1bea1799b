//! Rules of the lease protocol that checks and replays can break on purpose.

use serde::Deserialize;
use serde::Serialize;

use crate::timing::LeaseTiming;

/// A rule to break, named by the faulty behaviour that results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// A monitor keeps supporting an agent that it voted against.
    RenewAfterVote,
    /// A monitor's promise ends before the lease.
    ShortPromise,
    /// The holder counts support from the receipt of the reply instead of the sending of the renewal.
    SupportFromReply,
    /// A new monitor set takes effect at once, without a period in which both sets count.
    NoJointSet,
    /// The monitors are changed even if a verdict has been written in the meantime.
    ChangeAfterVerdict,
    /// A monitor supports other agents without a lease of its own.
    SupportWithoutLease,
    /// The wait for a dead monitor leaves out the grace period.
    WaitWithoutGrace,
    /// The wait for a dead monitor has the drift margin of one TTL instead of the whole wait.
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

    /// Returns the periods that the monitors use when `rule` is broken.
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

    /// Returns the periods that the tally uses when `rule` is broken.
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
