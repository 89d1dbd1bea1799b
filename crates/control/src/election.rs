//! Election of the controller: a candidate claims a term by compare-and-swap and holds it by a store lease.
//!
//! The term's record names the holder and is never deleted. A second key, bound to a lease of the store, shows
//! that the holder is alive; when that key disappears, a candidate claims the next term.

use jy_types::member::AgentId;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

/// Input of a candidate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ElectionEvent {
    /// The term's record was read from the store. The term is zero if there is no record.
    Term {
        /// Term in the record.
        term: u64,
        /// Holder of the term.
        holder: Option<AgentId>,
        /// Store revision of the record; zero if there is none.
        revision: u64,
    },
    /// The key bound to the holder's store lease was read from the store.
    Alive {
        /// Term in the key, or `None` if the key does not exist.
        term: Option<u64>,
    },
    /// This agent's claim took effect.
    Claimed {
        /// Claimed term.
        term: u64,
    },
    /// This agent's claim lost against another write.
    Beaten,
    /// The store lease was granted or renewed.
    Renewed {
        /// Earliest end of the lease, counted from when the request was sent.
        until: Millis,
    },
    /// Whether this agent may be the controller, that is, whether it is live and can read the store.
    Eligible(bool),
    /// Time passed.
    Tick,
}

/// Output of a candidate, to be run by its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ElectionAction {
    /// Claim a term by compare-and-swap of its record.
    Claim {
        /// Term to claim.
        term: u64,
        /// Revision of the record that the claim replaces.
        expect: u64,
    },
    /// Write the key bound to a new store lease.
    ShowAlive {
        /// Term to write into the key.
        term: u64,
    },
    /// Renew the store lease.
    Renew,
    /// Start to act as the controller.
    Start {
        /// Term that this agent holds.
        term: u64,
    },
    /// Stop acting as the controller.
    Stop,
}

/// Interval between renewals of the store lease, and between attempts to get one.
const RENEW_INTERVAL_MS: u64 = 700;

/// Duration of the store lease, counted from when its renewal was sent.
pub const STORE_LEASE_MS: u64 = 2_000;

const MAX_CLAIM_JITTER_MS: u64 = 150;

/// Time after which a claim without an answer is given up, and for which no claim is sent after a new term or
/// a lost claim is seen.
const CLAIM_TIMEOUT_MS: u64 = 1_600;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidatePhase {
    /// Another agent holds the role, or this agent is not eligible.
    Idle,
    /// There is no live holder; the claim is sent at `claim_at`.
    Waiting { claim_at: Millis },
    /// A claim was sent; it is given up at `give_up_at`.
    Claiming { term: u64, give_up_at: Millis },
    /// This agent has the term but no store lease yet.
    Announcing { term: u64, retry_at: Millis },
    /// This agent holds the role until its store lease ends.
    Holding {
        term: u64,
        until: Millis,
        renew_at: Millis,
    },
}

/// State machine of a candidate: takes events and returns the actions that they call for.
#[derive(Clone, Debug)]
pub struct ElectionState {
    id: AgentId,
    rng: SmallRng,
    phase: CandidatePhase,
    eligible: bool,
    /// Newest known term.
    term: u64,
    /// Revision of the term's record.
    revision: u64,
    /// Whether the holder's key is missing from the store; `None` if that has not been read yet.
    holder_key_missing: Option<bool>,
    /// Earliest time of a claim, so that the agent that claimed last has time to show that it is alive.
    earliest_claim_at: Millis,
}

impl ElectionState {
    /// Creates a candidate that knows no term.
    #[must_use]
    pub fn new(id: AgentId, seed: u64) -> Self {
        Self {
            id,
            rng: SmallRng::seed_from_u64(seed),
            phase: CandidatePhase::Idle,
            eligible: false,
            term: 0,
            revision: 0,
            holder_key_missing: None,
            earliest_claim_at: Millis::default(),
        }
    }

    /// Applies an event and returns the next state and the actions to run.
    #[must_use]
    pub fn step(mut self, now: Millis, event: ElectionEvent) -> (Self, Vec<ElectionAction>) {
        let mut actions = Vec::new();
        match event {
            ElectionEvent::Term {
                term,
                holder,
                revision,
            } => self.apply_term(now, term, holder, revision, &mut actions),
            ElectionEvent::Alive { term } => self.holder_key_missing = Some(term.is_none()),
            ElectionEvent::Claimed { term } => self.handle_claimed(now, term, &mut actions),
            ElectionEvent::Beaten => self.handle_beaten(now),
            ElectionEvent::Renewed { until } => self.handle_renewed(now, until, &mut actions),
            ElectionEvent::Eligible(eligible) => self.eligible = eligible,
            ElectionEvent::Tick => {}
        }
        self.expire(now);
        self.advance(now, &mut actions);
        (self, actions)
    }

    /// Applies the term's record. A higher term ends the term of this agent.
    fn apply_term(
        &mut self,
        now: Millis,
        term: u64,
        holder: Option<AgentId>,
        revision: u64,
        actions: &mut Vec<ElectionAction>,
    ) {
        if revision < self.revision {
            return;
        }
        if term > self.term {
            self.earliest_claim_at = now.plus(CLAIM_TIMEOUT_MS);
        }
        self.revision = revision;
        self.term = self.term.max(term);
        let held_by_self = holder.as_ref() == Some(&self.id);
        match self.phase {
            CandidatePhase::Claiming { term: claimed, .. } if held_by_self && claimed == term => {
                self.handle_claimed(now, term, actions);
            }
            CandidatePhase::Announcing { term: held, .. } if held < term => {
                self.phase = CandidatePhase::Idle;
            }
            CandidatePhase::Holding { term: held, .. } if held < term => {
                self.stop(actions);
            }
            CandidatePhase::Waiting { .. } => self.phase = CandidatePhase::Idle,
            _ => {}
        }
    }

    /// Handles a claim that took effect by writing the key that shows that this agent is alive.
    fn handle_claimed(&mut self, now: Millis, term: u64, actions: &mut Vec<ElectionAction>) {
        let CandidatePhase::Claiming { term: claimed, .. } = self.phase else {
            return;
        };
        if claimed != term {
            return;
        }
        self.term = self.term.max(term);
        self.phase = CandidatePhase::Announcing {
            term,
            retry_at: now.plus(RENEW_INTERVAL_MS),
        };
        actions.push(ElectionAction::ShowAlive { term });
    }

    /// Handles a claim that lost. The term's record will name the holder that won.
    fn handle_beaten(&mut self, now: Millis) {
        if matches!(self.phase, CandidatePhase::Claiming { .. }) {
            self.phase = CandidatePhase::Idle;
            self.earliest_claim_at = now.plus(CLAIM_TIMEOUT_MS);
        }
    }

    /// Handles a grant or renewal of the store lease.
    fn handle_renewed(&mut self, now: Millis, until: Millis, actions: &mut Vec<ElectionAction>) {
        if until <= now {
            return;
        }
        match &mut self.phase {
            CandidatePhase::Announcing { term, .. } => {
                let term = *term;
                self.phase = CandidatePhase::Holding {
                    term,
                    until,
                    renew_at: now.plus(RENEW_INTERVAL_MS),
                };
                actions.push(ElectionAction::Start { term });
            }
            CandidatePhase::Holding { until: end, .. } => *end = (*end).max(until),
            _ => {}
        }
    }

    /// Returns to idle from a phase that timed out or that this agent may no longer be in.
    fn expire(&mut self, now: Millis) {
        let expired = match self.phase {
            CandidatePhase::Waiting { .. } => !self.may_claim(),
            CandidatePhase::Claiming { give_up_at, .. } => now >= give_up_at,
            CandidatePhase::Announcing { .. } => !self.eligible,
            _ => false,
        };
        if expired {
            self.phase = CandidatePhase::Idle;
        }
    }

    /// Starts the transitions and actions that are due at `now`.
    fn advance(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        match self.phase {
            CandidatePhase::Idle if self.may_claim() => {
                let wait = self.rng.random_range(0..=MAX_CLAIM_JITTER_MS);
                self.phase = CandidatePhase::Waiting {
                    claim_at: now.max(self.earliest_claim_at).plus(wait),
                };
            }
            CandidatePhase::Waiting { claim_at } if now >= claim_at => self.claim(now, actions),
            CandidatePhase::Announcing { term, retry_at } if now >= retry_at => {
                self.phase = CandidatePhase::Announcing {
                    term,
                    retry_at: now.plus(RENEW_INTERVAL_MS),
                };
                actions.push(ElectionAction::ShowAlive { term });
            }
            CandidatePhase::Holding { until, .. } if now >= until => self.stop(actions),
            CandidatePhase::Holding {
                term,
                until,
                renew_at,
            } if self.eligible && now >= renew_at => {
                self.phase = CandidatePhase::Holding {
                    term,
                    until,
                    renew_at: now.plus(RENEW_INTERVAL_MS),
                };
                actions.push(ElectionAction::Renew);
            }
            _ => {}
        }
    }

    /// Returns whether the role has no live holder and this agent is eligible.
    fn may_claim(&self) -> bool {
        self.eligible && self.holder_key_missing == Some(true)
    }

    /// Sends a claim for the next term.
    fn claim(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        let term = self.term + 1;
        self.phase = CandidatePhase::Claiming {
            term,
            give_up_at: now.plus(CLAIM_TIMEOUT_MS),
        };
        actions.push(ElectionAction::Claim {
            term,
            expect: self.revision,
        });
    }

    /// Gives up the role. This agent's key may still exist, so the key must be read again before a claim.
    fn stop(&mut self, actions: &mut Vec<ElectionAction>) {
        self.phase = CandidatePhase::Idle;
        self.holder_key_missing = None;
        actions.push(ElectionAction::Stop);
    }

    /// Returns when [`ElectionEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        match self.phase {
            CandidatePhase::Idle => Millis::MAX,
            CandidatePhase::Waiting { claim_at } => claim_at,
            CandidatePhase::Claiming { give_up_at, .. } => give_up_at,
            CandidatePhase::Announcing { retry_at, .. } => retry_at,
            CandidatePhase::Holding {
                until, renew_at, ..
            } if self.eligible => until.min(renew_at),
            CandidatePhase::Holding { until, .. } => until,
        }
    }
}
