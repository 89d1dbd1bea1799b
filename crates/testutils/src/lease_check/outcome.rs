//! What schedules came to.

/// Counts over one or many schedules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckOutcome {
    /// Schedules run.
    pub schedules: u64,
    /// Schedules in which an incarnation admitted after its verdict.
    pub unsafe_schedules: u64,
    /// Verdicts that took effect.
    pub verdicts: u64,
    /// Verdicts on agents that were running and neither cut nor frozen shortly before.
    pub false_verdicts: u64,
    /// Lost agents without a verdict at the end of their schedule.
    pub missed: u64,
    /// Agents that ran and could have served, but had no lease, in agent-milliseconds.
    pub unleased_ms: u64,
    /// Running time of agents after their first lease, in agent-milliseconds.
    pub running_ms: u64,
    /// Renewals and answers sent.
    pub messages: u64,
    /// Changes of monitors put in force.
    pub promotions: u64,
    /// Time from the loss of an agent to its verdict, in milliseconds.
    pub detections: Vec<u64>,
    /// Seed of the first unsafe schedule.
    pub unsafe_seed: Option<u64>,
}

impl CheckOutcome {
    /// Returns the sum of two outcomes.
    #[must_use]
    pub fn with(mut self, other: Self) -> Self {
        self.schedules += other.schedules;
        self.unsafe_schedules += other.unsafe_schedules;
        self.verdicts += other.verdicts;
        self.false_verdicts += other.false_verdicts;
        self.missed += other.missed;
        self.unleased_ms += other.unleased_ms;
        self.running_ms += other.running_ms;
        self.messages += other.messages;
        self.promotions += other.promotions;
        self.detections.extend(other.detections);
        self.unsafe_seed = self.unsafe_seed.or(other.unsafe_seed);
        self
    }
}
