//! Who holds the role: a term taken by compare-and-swap, held by a lease of the store.
//!
//! The term's record names the holder and is never deleted. A second key, bound to a lease of the
//! store, tells that the holder is alive; when it goes, a candidate claims the next term.

use jy_types::member::AgentId;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// What happens to a candidate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ElectionEvent {
    /// The term's record, at its revision, as the store has it; the term is zero without one.
    Term {
        /// The term.
        term: u64,
        /// Its holder.
        holder: Option<AgentId>,
        /// The store's revision of the record; zero without one.
        revision: u64,
    },
    /// Whether the key bound to the holder's store lease is there, and which term it names.
    Alive {
        /// The term, or none if the key is gone.
        term: Option<u64>,
    },
    /// A claim took effect.
    Claimed {
        /// The term.
        term: u64,
    },
    /// A claim lost to another.
    Beaten,
    /// The store lease was renewed; it ends at this point at the earliest.
    Renewed {
        /// End of the lease, counted from when the renewal was sent.
        until: Millis,
    },
    /// Whether this agent may be the controller: it is live and reads the store.
    Eligible(bool),
    /// Time passed.
    Tick,
}

/// What a candidate wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ElectionAction {
    /// Claim a term by compare-and-swap of its record.
    Claim {
        /// The term.
        term: u64,
        /// The revision that the claim replaces.
        expect: u64,
    },
    /// Write the key bound to a new store lease.
    ShowAlive {
        /// The term.
        term: u64,
    },
    /// Renew the store lease.
    Renew,
    /// Start to act as the controller.
    Start {
        /// The term.
        term: u64,
    },
    /// Stop acting as the controller.
    Stop,
}

/// State of a candidate.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "the decision is not written yet")]
pub struct ElectionState {
    id: AgentId,
    seed: u64,
}

impl ElectionState {
    /// Makes a candidate that knows of no term.
    #[must_use]
    pub const fn new(id: AgentId, seed: u64) -> Self {
        Self { id, seed }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(self, _now: Millis, _event: ElectionEvent) -> (Self, Vec<ElectionAction>) {
        (self, Vec::new())
    }

    /// When [`ElectionEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        Millis::MAX
    }
}
