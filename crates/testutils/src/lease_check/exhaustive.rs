//! Every course of a small instance: one agent, its monitors and a controller.
//!
//! Breadth first over all orders of ticks, deliveries, reads and writes up to a number of moves. A
//! process that does not move is frozen, a message that is not delivered is delayed or lost. The
//! holder's clock runs at two thirds of the others', the most that the margin of the timing covers.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jy_lease::rule::BrokenRule;

use super::search::SearchState;

/// What may happen besides renewals, votes and a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SearchCase {
    /// Nothing; the first round of renewals is under way.
    FixedSet,
    /// Two of three monitors are changed: the record says so, the new monitors know.
    ChangedSet,
    /// Two of three monitors may be changed after a verdict; all promises have run out.
    LateChange,
    /// One monitor's own lease is over, and it is found dead while it runs.
    DeadMonitor,
    /// The same long after the monitor was found dead, with nothing sent before.
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

/// What a search found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchOutcome {
    /// Distinct states.
    pub states: u64,
    /// States after a verdict.
    pub verdicts: u64,
    /// States in which the agent would admit after its verdict.
    pub unsafe_states: u64,
}

/// Visits every state within `moves` moves; stops after the move that shows an unsafe one.
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
    /// Counts a new state.
    fn count(&mut self, state: &SearchState) {
        self.states += 1;
        self.verdicts += u64::from(state.had_verdict());
        self.unsafe_states += u64::from(state.is_unsafe());
    }
}

/// Hash that stands for a state.
fn fingerprint(state: &SearchState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}
