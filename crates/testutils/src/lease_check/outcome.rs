//! Results of schedules.

/// Counts and durations over one or more schedules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckOutcome {
    /// Schedules run.
    pub schedules: u64,
    /// Schedules in which an incarnation would have admitted requests after its verdict.
    pub unsafe_schedules: u64,
    /// Verdicts that took effect.
    pub verdicts: u64,
    /// Verdicts on running agents that were not leaving and had not recently been frozen or partitioned.
    pub false_verdicts: u64,
    /// Killed agents without a verdict at the end of their schedule.
    pub undetected_losses: u64,
    /// Part of `running_ms` in which an agent without a recent fault had no lease.
    pub unleased_ms: u64,
    /// Time in which agents ran after their first lease, neither frozen nor leaving, in agent-milliseconds.
    pub running_ms: u64,
    /// Renewals and replies sent.
    pub messages: u64,
    /// Next monitor sets that became the current set of a record.
    pub promotions: u64,
    /// Times from the loss of an agent to its verdict, in milliseconds.
    pub detection_times_ms: Vec<u64>,
    /// Seed of the first unsafe schedule.
    pub unsafe_seed: Option<u64>,
}

impl CheckOutcome {
    /// Returns the sum of two outcomes.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        self.schedules += other.schedules;
        self.unsafe_schedules += other.unsafe_schedules;
        self.verdicts += other.verdicts;
        self.false_verdicts += other.false_verdicts;
        self.undetected_losses += other.undetected_losses;
        self.unleased_ms += other.unleased_ms;
        self.running_ms += other.running_ms;
        self.messages += other.messages;
        self.promotions += other.promotions;
        self.detection_times_ms.extend(other.detection_times_ms);
        self.unsafe_seed = self.unsafe_seed.or(other.unsafe_seed);
        self
    }
}
