//! Pending writes to the store, at most one per key, and the limit on their rate.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_types::assign::PageRecord;
use jy_types::member::MemberRecord;
use jy_types::name::Name;
use jy_types::time::Millis;

use crate::api::ControlAction;
use crate::api::ControlSettings;
use crate::api::WriteOutcome;

/// Time after which a write that failed or has an unknown outcome may be sent again. Both attempts expect the
/// same revision, so at most one of them takes effect.
const RETRY_DELAY_MS: u64 = 1_500;

/// Time after which a write counts as unknown and is dropped if the records have shown no newer revision.
const OUTCOME_TIMEOUT_MS: u64 = 5_000;

/// New contents of a record.
#[derive(Clone, Debug)]
pub enum WriteBody {
    Member(Arc<MemberRecord>),
    Page(Arc<PageRecord>),
    /// Deletes the record.
    Delete,
}

#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// Revision of the record that the write replaces.
    expect: u64,
    pub body: WriteBody,
    /// When the write is dropped, unless the records show its outcome earlier.
    expires_at: Millis,
}

/// All pending writes, and the token bucket that limits their rate.
#[derive(Clone, Debug)]
pub struct PendingWrites {
    pending: BTreeMap<Name, PendingWrite>,
    /// Writes per second at which the bucket is refilled.
    rate_per_s: u64,
    /// Capacity of the bucket, in millionths of a write.
    max_micro_tokens: u64,
    /// Contents of the bucket, in millionths of a write.
    micro_tokens: u64,
    refilled_at: Millis,
    /// Earliest time at which each recently written page may be written again.
    page_writable_at: BTreeMap<Name, Millis>,
}

/// Cost of one write, in the unit of [`PendingWrites::micro_tokens`].
const WRITE_COST_MICRO_TOKENS: u64 = 1_000_000;

/// Shortest time between two writes of a page, so that one write covers several changes.
const MIN_PAGE_INTERVAL_MS: u64 = 150;

impl PendingWrites {
    /// Creates an empty set of pending writes with a full token bucket.
    #[must_use]
    pub fn new(settings: &ControlSettings) -> Self {
        let max_micro_tokens = u64::from(settings.write_burst) * WRITE_COST_MICRO_TOKENS;
        Self {
            pending: BTreeMap::new(),
            rate_per_s: u64::from(settings.write_rate),
            max_micro_tokens,
            micro_tokens: max_micro_tokens,
            refilled_at: Millis::default(),
            page_writable_at: BTreeMap::new(),
        }
    }

    /// Refills the token bucket and drops writes that have expired. Returns whether a key became writable.
    pub fn refresh(&mut self, now: Millis) -> bool {
        let before = self.pending.len() + self.page_writable_at.len();
        let refill =
            now.since(self.refilled_at) * self.rate_per_s * (WRITE_COST_MICRO_TOKENS / 1_000);
        self.micro_tokens = self
            .max_micro_tokens
            .min(self.micro_tokens.saturating_add(refill));
        self.refilled_at = now;
        self.pending.retain(|_, write| write.expires_at > now);
        self.page_writable_at
            .retain(|_, writable_at| *writable_at > now);
        self.pending.len() + self.page_writable_at.len() < before
    }

    /// Forgets all pending writes; to be called when the role ends.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.page_writable_at.clear();
    }

    /// Returns whether another write may be sent now.
    #[must_use]
    pub const fn has_capacity(&self) -> bool {
        self.micro_tokens >= WRITE_COST_MICRO_TOKENS
    }

    /// Returns how many writes may be sent now.
    #[must_use]
    pub const fn capacity(&self) -> usize {
        (self.micro_tokens / WRITE_COST_MICRO_TOKENS) as usize
    }

    /// Returns the pending write of a key.
    #[must_use]
    pub fn pending(&self, key: &str) -> Option<&PendingWrite> {
        self.pending.get(key)
    }

    /// Returns whether a page may be written: it has no pending write and was not written too recently.
    #[must_use]
    pub fn is_page_writable(&self, key: &str) -> bool {
        !self.pending.contains_key(key) && !self.page_writable_at.contains_key(key)
    }

    /// Returns whether a write is pending or a page was written too recently to be written again.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending.is_empty() || !self.page_writable_at.is_empty()
    }

    /// Adds a pending write and returns the action that sends it. Returns `None` if the token bucket is
    /// empty or the key already has a pending write.
    pub fn write(
        &mut self,
        now: Millis,
        key: &Name,
        expect: u64,
        body: WriteBody,
    ) -> Option<ControlAction> {
        if !self.has_capacity() || self.pending.contains_key(key) {
            return None;
        }
        let value = match &body {
            WriteBody::Member(member) => Some(serde_json::to_string(&**member).ok()?.into()),
            WriteBody::Page(page) => Some(serde_json::to_string(&**page).ok()?.into()),
            WriteBody::Delete => None,
        };
        if matches!(body, WriteBody::Page(_)) {
            self.page_writable_at
                .insert(key.clone(), now.plus(MIN_PAGE_INTERVAL_MS));
        }
        self.micro_tokens -= WRITE_COST_MICRO_TOKENS;
        let write = PendingWrite {
            expect,
            body,
            expires_at: now.plus(OUTCOME_TIMEOUT_MS),
        };
        self.pending.insert(key.clone(), write);
        Some(ControlAction::Write {
            key: key.clone(),
            expect,
            value,
        })
    }

    /// Handles the outcome of a write. The write stays pending until the records show a newer revision; if it
    /// was not applied, or its outcome is unknown, it is dropped after a shorter time.
    pub fn finish(&mut self, now: Millis, key: &str, outcome: WriteOutcome) {
        let Some(write) = self.pending.get_mut(key) else {
            return;
        };
        if !matches!(outcome, WriteOutcome::Applied { .. }) {
            write.expires_at = write.expires_at.min(now.plus(RETRY_DELAY_MS));
        }
    }

    /// Drops the pending write of a key if the records now show a newer revision than it expected.
    pub fn observe(&mut self, key: &str, revision: u64) {
        if self
            .pending
            .get(key)
            .is_some_and(|write| revision > write.expect)
        {
            self.pending.remove(key);
        }
    }
}
