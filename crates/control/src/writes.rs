//! Writes under way, one a key at most, and their pace.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_types::assign::PageRecord;
use jy_types::member::MemberRecord;
use jy_types::name::Name;
use jy_types::time::Millis;

use crate::api::ControlAction;
use crate::api::ControlSettings;
use crate::api::WriteOutcome;

/// A write without a known end is planned anew after this time, in milliseconds. The new one
/// expects the same revision, so at most one of the two takes effect.
const UNKNOWN_RETRY_MS: u64 = 1_500;

/// A write whose end nobody reported counts as unknown after this time, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 5_000;

/// What a write makes of a record.
#[derive(Clone, Debug)]
pub enum WriteBody {
    /// A member's record.
    Member(Arc<MemberRecord>),
    /// A page of the assignment.
    Page(Arc<PageRecord>),
    /// The record is deleted.
    Delete,
}

/// One write under way.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// The revision that it replaces.
    expect: u64,
    /// What it writes.
    pub body: WriteBody,
    /// The write is given up after this point unless the records tell earlier.
    until: Millis,
}

/// All writes under way, and the tokens that pace them.
#[derive(Clone, Debug)]
pub struct PendingWrites {
    pending: BTreeMap<Name, PendingWrite>,
    rate: u64,
    burst_micros: u64,
    /// Saved-up time, in microtokens: one write costs a million.
    saved: u64,
    filled: Millis,
    /// Pages are rewritten no sooner than these points.
    page_due: BTreeMap<Name, Millis>,
}

/// One write, in the unit of [`PendingWrites::saved`].
const WRITE_COST: u64 = 1_000_000;

/// A page is not rewritten within this time, in milliseconds, so that changes gather.
const PAGE_GAP_MS: u64 = 150;

impl PendingWrites {
    /// Makes a ledger with nothing under way.
    #[must_use]
    pub fn new(settings: &ControlSettings) -> Self {
        let burst_micros = u64::from(settings.write_burst) * WRITE_COST;
        Self {
            pending: BTreeMap::new(),
            rate: u64::from(settings.write_rate),
            burst_micros,
            saved: burst_micros,
            filled: Millis::default(),
            page_due: BTreeMap::new(),
        }
    }

    /// Drops writes that the time has settled, and saves up tokens. Returns whether a key became
    /// free.
    pub fn refresh(&mut self, now: Millis) -> bool {
        let before = self.pending.len() + self.page_due.len();
        let gained = now.since(self.filled) * self.rate * (WRITE_COST / 1_000);
        self.saved = self.burst_micros.min(self.saved.saturating_add(gained));
        self.filled = now;
        self.pending.retain(|_, write| write.until > now);
        self.page_due.retain(|_, due| *due > now);
        self.pending.len() + self.page_due.len() < before
    }

    /// Forgets all writes: the role ended.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.page_due.clear();
    }

    /// Whether one more write may go out now.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.saved >= WRITE_COST
    }

    /// Returns how many writes may go out now.
    #[must_use]
    pub const fn room(&self) -> usize {
        (self.saved / WRITE_COST) as usize
    }

    /// Returns the write of a key that is under way.
    #[must_use]
    pub fn pending(&self, key: &str) -> Option<&PendingWrite> {
        self.pending.get(key)
    }

    /// Whether a page may be written: no write of it is under way and its last is long enough ago.
    #[must_use]
    pub fn is_page_free(&self, key: &str) -> bool {
        !self.pending.contains_key(key) && !self.page_due.contains_key(key)
    }

    /// Whether a write is under way, or changes wait for tokens or for a page.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending.is_empty() || !self.page_due.is_empty()
    }

    /// Notes a write as under way and returns the action, or none without tokens or while another
    /// write of the key is under way.
    pub fn write(
        &mut self,
        now: Millis,
        key: &Name,
        expect: u64,
        body: WriteBody,
    ) -> Option<ControlAction> {
        if !self.has_room() || self.pending.contains_key(key) {
            return None;
        }
        let value = match &body {
            WriteBody::Member(member) => Some(serde_json::to_string(&**member).ok()?.into()),
            WriteBody::Page(page) => Some(serde_json::to_string(&**page).ok()?.into()),
            WriteBody::Delete => None,
        };
        if matches!(body, WriteBody::Page(_)) {
            self.page_due.insert(key.clone(), now.plus(PAGE_GAP_MS));
        }
        self.saved -= WRITE_COST;
        let write = PendingWrite {
            expect,
            body,
            until: now.plus(REPORT_TIMEOUT_MS),
        };
        self.pending.insert(key.clone(), write);
        Some(ControlAction::Write {
            key: key.clone(),
            expect,
            value,
        })
    }

    /// Takes the end of a write in. An applied one stays until the records show it; a lost one
    /// until they show another, or for a while.
    pub fn finish(&mut self, now: Millis, key: &str, end: WriteOutcome) {
        let Some(write) = self.pending.get_mut(key) else {
            return;
        };
        if !matches!(end, WriteOutcome::Applied { .. }) {
            write.until = write.until.min(now.plus(UNKNOWN_RETRY_MS));
        }
    }

    /// The records show this revision of a key: a write that expected an older one has ended.
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
