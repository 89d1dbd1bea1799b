//! The slots that an agent holds, and what it lends from them.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::quota::CreditGrant;
use jy_types::quota::CreditReply;
use jy_types::quota::CreditRequest;
use jy_types::quota::SlotId;
use jy_types::time::Millis;

use super::SharedBook;
use super::bucket::CreditBucket;
use super::group_of;

/// Time before the end of the lease at which a holder stops to lend, in milliseconds: a margin for differences in
/// clock rate.
const LEND_MARGIN_MS: u64 = 500;
/// Wait that a borrower is told whose tenant is not in the holder's configuration, in milliseconds.
const UNKNOWN_TENANT_WAIT_MS: u64 = 200;

/// A lease in the store, as far as its owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Id of the lease.
    pub lease: u64,
    /// Time until which the lease is certain to be in force: the time at which the last successful renewal was
    /// sent, plus the duration of the lease.
    pub until: Millis,
}

/// A slot that this agent holds.
#[derive(Clone, Debug)]
struct HeldSlot {
    /// Lease under which the slot's record was written.
    lease: u64,
    /// Base of the stamps of loans. It is random, so that stamps of earlier holders are not accepted.
    stamp_base: u64,
    buckets: BTreeMap<Name, CreditBucket>,
}

/// The slots that an agent holds, with the credit of their tenants.
#[derive(Clone, Debug, Default)]
pub struct CreditLender {
    book: SharedBook,
    slots: BTreeMap<SlotId, HeldSlot>,
}

impl CreditLender {
    /// Creates a lender without slots.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the quotas of a new configuration. Tenants that are new in a slot start without credit.
    pub fn set_book(&mut self, now: Millis, book: SharedBook) {
        self.book = book;
        for (slot, held) in &mut self.slots {
            update_buckets(now, *slot, &self.book, &mut held.buckets);
        }
    }

    /// Adds a slot that was claimed under a lease. It starts without credit, unless it is held already.
    /// `stamp_base` is a random number.
    pub fn hold(&mut self, now: Millis, slot: SlotId, lease: u64, stamp_base: u64) {
        if self.holds(slot, lease) {
            return;
        }
        let mut buckets = BTreeMap::new();
        update_buckets(now, slot, &self.book, &mut buckets);
        let held = HeldSlot {
            lease,
            stamp_base,
            buckets,
        };
        self.slots.insert(slot, held);
    }

    /// Whether a slot is held under a lease.
    #[must_use]
    pub fn holds(&self, slot: SlotId, lease: u64) -> bool {
        self.slots
            .get(&slot)
            .is_some_and(|held| held.lease == lease)
    }

    /// Removes the slots for which `is_kept` returns false.
    pub fn retain(&mut self, mut is_kept: impl FnMut(SlotId, u64) -> bool) {
        self.slots.retain(|slot, held| is_kept(*slot, held.lease));
    }

    /// Returns the number of slots that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no slot is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Answers a credit request. `term` is the agent's present lease.
    pub fn answer(
        &mut self,
        now: Millis,
        term: Option<LeaseTerm>,
        request: &CreditRequest,
    ) -> CreditReply {
        let slot = SlotId {
            part: request.part,
            group: group_of(&request.tenant),
        };
        let lease = term.filter(|term| now < term.until.minus(LEND_MARGIN_MS));
        let held = self.slots.get_mut(&slot);
        let held = held.filter(|held| lease.is_some_and(|term| term.lease == held.lease));
        let Some(held) = held else {
            return CreditReply::NotHolder;
        };
        let terms = match self.book.terms.get(&request.tenant) {
            Some(Some(terms)) => terms,
            // The borrower has another version of the configuration.
            Some(None) => return grant_without_quota(&self.book, request),
            None => return grant_nothing(&self.book),
        };
        let Some(bucket) = held.buckets.get_mut(&request.tenant) else {
            return grant_nothing(&self.book);
        };
        for returned in &request.returned {
            let period = returned.stamp.wrapping_sub(held.stamp_base);
            bucket.take_back(now, period, returned.amount);
        }
        let loan = bucket.lend(now, request.needed, request.wanted);
        CreditReply::Grant(CreditGrant {
            version: self.book.version,
            lent: loan.lent,
            valid_ms: terms.valid_ms,
            stamp: held.stamp_base.wrapping_add(loan.period),
            wait_ms: loan.wait_ms,
            spacing_ms: terms.spacing_ms(),
        })
    }
}

/// Lends all that is wanted to a borrower whose tenant has no quota in the holder's configuration.
fn grant_without_quota(book: &SharedBook, request: &CreditRequest) -> CreditReply {
    CreditReply::Grant(CreditGrant {
        version: book.version,
        lent: request.wanted,
        valid_ms: UNKNOWN_TENANT_WAIT_MS,
        stamp: 0,
        wait_ms: 0,
        spacing_ms: 0,
    })
}

/// Lends nothing to a borrower whose tenant has no quota at this part in the holder's configuration.
fn grant_nothing(book: &SharedBook) -> CreditReply {
    CreditReply::Grant(CreditGrant {
        version: book.version,
        lent: 0,
        valid_ms: 0,
        stamp: 0,
        wait_ms: UNKNOWN_TENANT_WAIT_MS,
        spacing_ms: 0,
    })
}

/// Applies the quotas of a configuration to the buckets of a slot.
fn update_buckets(
    now: Millis,
    slot: SlotId,
    book: &SharedBook,
    buckets: &mut BTreeMap<Name, CreditBucket>,
) {
    let here = |tenant: &Name| {
        let terms = book.terms.get(tenant).copied().flatten()?;
        (terms.group == slot.group && terms.has_part(slot.part)).then_some(terms)
    };
    buckets.retain(|tenant, _| here(tenant).is_some());
    for tenant in book.terms.keys() {
        if let Some(terms) = here(tenant) {
            buckets
                .entry(Name::clone(tenant))
                .and_modify(|bucket| bucket.set_terms(now, &terms))
                .or_insert_with(|| CreditBucket::new(now, &terms));
        }
    }
}
