//! Exhaustive search of a small model: one agent, its monitors and a controller.
//!
//! Breadth-first search over all orders of ticks, deliveries, reads and writes up to a number of moves. A
//! process that makes no moves is frozen; a message that is not delivered is delayed or lost. The holder's
//! clock runs at two thirds of the rate of the other clocks, the slowest that the drift margin covers.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jy_lease::rule::BrokenRule;

use super::search::SearchState;

/// What the search explores besides renewals, votes and a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SearchCase {
    /// Nothing else; the first round of renewals is in flight.
    FixedSet,
    /// Two of three monitors are being replaced: the record names the next set, and the new monitors have
    /// read it.
    ChangedSet,
    /// Two of three monitors may be replaced after a verdict; all promises have expired.
    LateChange,
    /// One monitor's own lease has ended, and the controller may find it dead while it still runs.
    DeadMonitor,
    /// As [`Self::DeadMonitor`], but starting long after the monitor was found dead, with no message sent.
    LateDeath,
}

impl SearchCase {
    /// All cases.
    pub const ALL: [Self; 5] = [
        Self::FixedSet,
        Self::ChangedSet,
        Self::LateChange,
        Self::DeadMonitor,
        Self::LateDeath,
    ];
}

/// Counts of a search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Distinct states that were visited.
    pub states: u64,
    /// States after a verdict.
    pub verdicts: u64,
    /// States in which the agent would admit requests after its verdict.
    pub unsafe_states: u64,
}

/// Visits every state within `moves` moves. Stops after the number of moves at which the first unsafe state is
/// found.
#[must_use]
pub fn search(case: SearchCase, moves: usize, broken: Option<BrokenRule>) -> SearchOutcome {
    let mut outcome = SearchOutcome::default();
    let mut seen = HashSet::new();
    let mut frontier = vec![SearchState::new(case, broken)];
    for depth in 1..=moves {
        let mut next = Vec::new();
        for state in frontier.drain(..) {
            for successor in state.successors() {
                if !seen.insert(fingerprint(&successor)) {
                    continue;
                }
                outcome.count(&successor);
                if depth < moves {
                    next.push(successor);
                }
            }
        }
        frontier = next;
        if outcome.unsafe_states > 0 {
            break;
        }
    }
    outcome
}

impl SearchOutcome {
    /// Adds a new state to the counts.
    fn count(&mut self, state: &SearchState) {
        self.states += 1;
        self.verdicts += u64::from(state.had_verdict());
        self.unsafe_states += u64::from(state.is_unsafe());
    }
}

/// Returns the hash by which visited states are recognized.
fn fingerprint(state: &SearchState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}
