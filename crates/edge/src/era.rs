//! The era of the store, which increases each time the store comes back from an older copy.
//!
//! Revisions are ordered only within an era, and what was written since the copy is lost.

use std::cell::Cell;
use std::rc::Rc;

use jy_kernel::clock;
use jy_platform::store::EraFn;
use jy_types::time::Millis;
use tokio::sync::watch;

use crate::member::AUTHORITY_MARGIN_MS;
use crate::member::AUTHORITY_MS;

/// Time after an agent first reads a new era until it takes keys or slots of others, in milliseconds. It covers
/// the longest right to grant keys, which was renewed before the era began, the hold of a backend server (10 s) and
/// the promises of witnesses (3.5 s).
pub const SETTLE_MS: u64 = AUTHORITY_MS + AUTHORITY_MARGIN_MS;
/// Greatest age of the last answer of a store with eras at which a commit is sent, in milliseconds: two renewals of the
/// lease. The revisions that a commit expects may have been issued again in an era that began since.
const MAX_ANSWER_AGE_MS: u64 = 2_000;

/// Until when renewals of the lease allow an agent to grant keys.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraAuthority {
    /// Era of the store in which the lease was last renewed.
    era: u64,
    /// End by the last renewal.
    until: Millis,
    /// End by the last renewal in an earlier era.
    earlier_until: Millis,
}

impl EraAuthority {
    /// Returns the authority after a renewal in `era` that allows granting until `until`.
    #[must_use]
    pub const fn renewed(self, era: u64, until: Millis) -> Self {
        let earlier_until = if era == self.era {
            self.earlier_until
        } else {
            self.until
        };
        Self {
            era,
            until,
            earlier_until,
        }
    }

    /// Returns until when the agent may grant keys in `era`. Renewals of that era count only if `is_confirmed`: the era
    /// is settled, or the store's tables name the owner of all that its backend server holds.
    #[must_use]
    pub const fn until(self, era: u64, is_confirmed: bool) -> Millis {
        if self.era == era && !is_confirmed {
            self.earlier_until
        } else {
            self.until
        }
    }
}

/// The newest era that any answer of the store stated, shared by the agent's clients.
#[derive(Debug)]
pub struct StoreEra {
    newest: watch::Sender<u64>,
    /// When the newest era was last stated; zero if no answer has stated any.
    stated_at: Cell<Millis>,
}

impl StoreEra {
    /// Creates the state of an agent that has had no answer yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            newest: watch::Sender::new(0),
            stated_at: Cell::default(),
        }
    }

    /// Returns the function that records the era of each answer.
    #[must_use]
    pub fn recorder(self: &Rc<Self>) -> EraFn {
        let era = Rc::clone(self);
        Rc::new(move |stated| era.record(clock::now(), stated))
    }

    /// Records the era that an answer states, if any.
    pub fn record(&self, now: Millis, stated: Option<u64>) {
        let Some(stated) = stated.filter(|stated| *stated >= self.newest()) else {
            return;
        };
        self.stated_at.set(now);
        self.newest.send_if_modified(|newest| {
            let is_new = stated > *newest;
            *newest = stated;
            is_new
        });
    }

    /// Returns the newest era that was stated, or zero.
    #[must_use]
    pub fn newest(&self) -> u64 {
        *self.newest.borrow()
    }

    /// Waits until an answer states an era later than `era`.
    pub async fn wait_for_later(&self, era: u64) {
        let mut updates = self.newest.subscribe();
        // The sender lives as long as `self`, so that the wait never fails.
        let _is_later = updates.wait_for(|newest| *newest > era).await;
    }

    /// Whether a commit may expect revisions of `era`. Always true while the store states no era.
    #[must_use]
    pub fn may_commit(&self, now: Millis, era: u64) -> bool {
        let stated_at = self.stated_at.get();
        stated_at == Millis::default()
            || (self.newest() == era && now.since(stated_at) <= MAX_ANSWER_AGE_MS)
    }
}

impl Default for StoreEra {
    fn default() -> Self {
        Self::new()
    }
}
