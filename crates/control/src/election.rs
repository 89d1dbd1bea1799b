//! Who holds the role: a term taken by compare-and-swap, held by a lease of the store.
//!
//! The term's record names the holder and is never deleted. A second key, bound to a lease of the
//! store, tells that the holder is alive; when it goes, a candidate claims the next term.

use jy_types::member::AgentId;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
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

/// Renewals of the store lease are sent this often, in milliseconds.
const RENEW_EVERY_MS: u64 = 700;

/// The store lease lasts this long after a renewal was sent, in milliseconds.
pub const STORE_LEASE_MS: u64 = 2_000;

/// Longest random wait before a claim, in milliseconds.
const JITTER_MS: u64 = 150;

/// A claim without an answer is given up after this time, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 1_600;

/// Where a candidate stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidatePhase {
    /// Somebody else holds the role, or this agent may not hold it.
    Idle,
    /// The holder is gone; the claim goes out at the deadline.
    Waiting { claim_at: Millis },
    /// A claim is under way; it is given up at the deadline.
    Claiming { term: u64, give_up_at: Millis },
    /// The term is this agent's, the store lease not yet.
    Announcing { term: u64, retry_at: Millis },
    /// This agent holds the role until the lease ends.
    Holding {
        term: u64,
        until: Millis,
        renew_at: Millis,
    },
}

/// State of a candidate.
#[derive(Clone, Debug)]
pub struct ElectionState {
    id: AgentId,
    rng: SmallRng,
    phase: CandidatePhase,
    eligible: bool,
    /// The newest term known and the revision of its record.
    term: u64,
    revision: u64,
    /// Whether the key of the holder is gone; none if nobody has looked yet.
    gone: Option<bool>,
    /// Nobody claims before this: whoever claimed last gets time to show that it is alive.
    hold_until: Millis,
}

impl ElectionState {
    /// Makes a candidate that knows of no term.
    #[must_use]
    pub fn new(id: AgentId, seed: u64) -> Self {
        Self {
            id,
            rng: SmallRng::seed_from_u64(seed),
            phase: CandidatePhase::Idle,
            eligible: false,
            term: 0,
            revision: 0,
            gone: None,
            hold_until: Millis::default(),
        }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(mut self, now: Millis, event: ElectionEvent) -> (Self, Vec<ElectionAction>) {
        let mut actions = Vec::new();
        match event {
            ElectionEvent::Term {
                term,
                holder,
                revision,
            } => self.take_term(now, term, holder, revision, &mut actions),
            ElectionEvent::Alive { term } => self.gone = Some(term.is_none()),
            ElectionEvent::Claimed { term } => self.take_claimed(now, term, &mut actions),
            ElectionEvent::Beaten => self.take_beaten(now),
            ElectionEvent::Renewed { until } => self.take_renewed(now, until, &mut actions),
            ElectionEvent::Eligible(eligible) => self.eligible = eligible,
            ElectionEvent::Tick => {}
        }
        self.expire(now);
        self.advance(now, &mut actions);
        (self, actions)
    }

    /// Takes the term's record in; a higher term ends this agent's own.
    fn take_term(
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
            self.hold_until = now.plus(CLAIM_TIMEOUT_MS);
        }
        self.revision = revision;
        self.term = self.term.max(term);
        let own = holder.as_ref() == Some(&self.id);
        match self.phase {
            CandidatePhase::Claiming { term: claimed, .. } if own && claimed == term => {
                self.take_claimed(now, term, actions);
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

    /// The claim took effect: shows that this agent is alive.
    fn take_claimed(&mut self, now: Millis, term: u64, actions: &mut Vec<ElectionAction>) {
        let CandidatePhase::Claiming { term: claimed, .. } = self.phase else {
            return;
        };
        if claimed != term {
            return;
        }
        self.term = self.term.max(term);
        self.phase = CandidatePhase::Announcing {
            term,
            retry_at: now.plus(RENEW_EVERY_MS),
        };
        actions.push(ElectionAction::ShowAlive { term });
    }

    /// Another claim came first: the records will name its holder.
    fn take_beaten(&mut self, now: Millis) {
        if matches!(self.phase, CandidatePhase::Claiming { .. }) {
            self.phase = CandidatePhase::Idle;
            self.hold_until = now.plus(CLAIM_TIMEOUT_MS);
        }
    }

    /// The store lease was granted or renewed.
    fn take_renewed(&mut self, now: Millis, until: Millis, actions: &mut Vec<ElectionAction>) {
        if until <= now {
            return;
        }
        match &mut self.phase {
            CandidatePhase::Announcing { term, .. } => {
                let term = *term;
                self.phase = CandidatePhase::Holding {
                    term,
                    until,
                    renew_at: now.plus(RENEW_EVERY_MS),
                };
                actions.push(ElectionAction::Start { term });
            }
            CandidatePhase::Holding { until: end, .. } => *end = (*end).max(until),
            _ => {}
        }
    }

    /// Ends a phase that lasted too long or that this agent may no longer be in.
    fn expire(&mut self, now: Millis) {
        let over = match self.phase {
            CandidatePhase::Waiting { .. } => !self.may_claim(),
            CandidatePhase::Claiming { give_up_at, .. } => now >= give_up_at,
            CandidatePhase::Announcing { .. } => !self.eligible,
            _ => false,
        };
        if over {
            self.phase = CandidatePhase::Idle;
        }
    }

    /// Does what is due at `now`.
    fn advance(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        match self.phase {
            CandidatePhase::Idle if self.may_claim() => {
                let wait = self.rng.random_range(0..=JITTER_MS);
                self.phase = CandidatePhase::Waiting {
                    claim_at: now.max(self.hold_until).plus(wait),
                };
            }
            CandidatePhase::Waiting { claim_at } if now >= claim_at => self.claim(now, actions),
            CandidatePhase::Announcing { term, retry_at } if now >= retry_at => {
                self.phase = CandidatePhase::Announcing {
                    term,
                    retry_at: now.plus(RENEW_EVERY_MS),
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
                    renew_at: now.plus(RENEW_EVERY_MS),
                };
                actions.push(ElectionAction::Renew);
            }
            _ => {}
        }
    }

    /// Whether nobody holds the role and this agent may.
    fn may_claim(&self) -> bool {
        self.eligible && self.gone == Some(true)
    }

    /// Claims the next term.
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

    /// Gives the role up. The key of this agent may outlive it, so somebody has to look again.
    fn stop(&mut self, actions: &mut Vec<ElectionAction>) {
        self.phase = CandidatePhase::Idle;
        self.gone = None;
        actions.push(ElectionAction::Stop);
    }

    /// When [`ElectionEvent::Tick`] is due next.
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
