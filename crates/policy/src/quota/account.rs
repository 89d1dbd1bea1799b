//! Credit of one tenant at an agent that serves its requests, and whom to ask for more.
//!
//! An agent asks for the requests that wait, and for those that it expects within a part of the validity if the
//! tenant's requests are steady. Credit that it will not use is returned.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::quota::CreditGrant;
use jy_types::quota::CreditRequest;
use jy_types::quota::QUOTA_PARTS;
use jy_types::quota::ReturnedCredit;
use jy_types::time::Millis;

use super::QuotaTerms;

/// Time over which the rate of a tenant's requests is measured, in milliseconds.
const RATE_PERIOD_MS: f64 = 2_000.0;
/// Longest time for which credit is requested ahead, in milliseconds. Credit at one agent is missing at the others.
const MAX_AHEAD_MS: u64 = 500;
/// Credit is requested ahead once this share of the expected use is left.
const LOW_CREDIT_SHARE: f64 = 0.25;
/// Time until more is requested ahead from a part that lent less than was wanted, in milliseconds.
const AHEAD_RETRY_MS: u64 = 100;
/// Time for which credit of a refused request is kept for other requests before it is returned, in milliseconds.
pub const RETURN_DELAY_MS: u64 = 50;
/// Longest time for which "no credit" is believed that was said by a holder with another configuration, in
/// milliseconds.
const OTHER_VERSION_WAIT_MS: u64 = 200;
/// Time after a holder's reply for which a request that waited in vain counts as beyond the quota, in milliseconds.
const HEARD_MS: u64 = 1_000;
/// Time without a reply after which the next holder is asked too, in milliseconds: ten times the usual duration. A
/// request of an objective of 500 ms waits for 62 ms, and thus not for the time limit of a credit request.
pub const SLOW_REPLY_MS: u64 = 20;
/// Time between checks while replies are slow and there is nobody else to ask, in milliseconds.
const SLOW_CHECK_MS: u64 = 10;
/// Longest spread of the retry delays of requests that are refused together, in milliseconds.
const MAX_SPREAD_MS: u64 = 2_000;

/// Credit that a holder lent.
#[derive(Clone, Copy, Debug)]
struct CreditLoan {
    tag: CreditTag,
    amount: u32,
}

/// Origin and validity of the credit of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditTag {
    part: u8,
    stamp: u64,
    valid_until: Millis,
}

/// How the holder of a part of the tenant's quota can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartView {
    /// Part.
    pub part: u8,
    /// Whether it has a holder that is not skipped.
    pub is_reachable: bool,
    /// Whether the holder is in the borrower's zone.
    pub is_same_zone: bool,
}

/// What an account does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountStep {
    /// Sends a credit request to the holder of a part.
    Ask(u8),
    /// Waits for the reply to a credit request, at most until this time.
    Pending(Millis),
    /// Waits, since all holders that can be reached said that there is no credit before this time.
    Wait(Millis),
    /// Refuses the requests that wait, since no holder can be reached.
    Unreachable,
    /// Does nothing.
    Idle,
}

/// What an account knows of one part.
#[derive(Clone, Copy, Debug, Default)]
struct PartCredit {
    /// Time until which the holder has no credit.
    empty_until: Millis,
    /// Time until which no credit is requested ahead.
    ahead_after: Millis,
    spacing_ms: u64,
    /// When the credit request was sent that has no reply yet.
    asked_at: Option<Millis>,
}

/// Credit of one tenant at one agent.
#[derive(Clone, Debug)]
pub struct TenantAccount {
    terms: QuotaTerms,
    version: u64,
    /// Loans that have not expired, the first to expire first.
    loans: Vec<CreditLoan>,
    parts: [PartCredit; QUOTA_PARTS as usize],
    /// Number of requests, of which those longer ago count less.
    arrivals: f64,
    arrivals_at: Millis,
    /// Time at which surplus credit is returned; `None` if there was no surplus since the last return.
    return_at: Option<Millis>,
    /// Requests refused since `refused_until` was set, for which the end of the wait is the same.
    refusals: u64,
    refused_until: Millis,
    /// When a holder last replied.
    heard_at: Millis,
}

impl TenantAccount {
    /// Creates an account without credit.
    #[must_use]
    pub fn new(version: u64, terms: QuotaTerms) -> Self {
        Self {
            terms,
            version,
            loans: Vec::new(),
            parts: Default::default(),
            arrivals: 0.0,
            arrivals_at: Millis::default(),
            return_at: None,
            refusals: 0,
            refused_until: Millis::default(),
            heard_at: Millis::default(),
        }
    }

    /// Applies the terms of a configuration. If they differ, all parts are asked again.
    pub fn set_terms(&mut self, version: u64, terms: QuotaTerms) {
        self.version = version;
        if terms != self.terms {
            self.terms = terms;
            for part in &mut self.parts {
                (part.empty_until, part.ahead_after) = Default::default();
            }
        }
    }

    /// Returns the terms of the tenant.
    #[must_use]
    pub const fn terms(&self) -> &QuotaTerms {
        &self.terms
    }

    /// Counts a request of the tenant.
    pub fn record_arrival(&mut self, now: Millis) {
        self.arrivals = self.recent_arrivals(now) + 1.0;
        self.arrivals_at = now;
    }

    /// Takes the credit of one request.
    pub fn take(&mut self, now: Millis) -> Option<CreditTag> {
        self.remove_expired(now);
        let loan = self.loans.first_mut()?;
        let tag = loan.tag;
        loan.amount -= 1;
        if loan.amount == 0 {
            self.loans.remove(0);
        }
        Some(tag)
    }

    /// Puts back the credit of a request that has not run. Returns whether [`Self::next_step`] is to be called after
    /// [`RETURN_DELAY_MS`], since the credit is returned then if no other request uses it.
    pub fn put_back(&mut self, now: Millis, tag: CreditTag) -> bool {
        if now >= tag.valid_until {
            return false;
        }
        self.add_loan(tag, 1);
        self.plan_return(now)
    }

    /// Plans the return of credit that arrived for requests that no longer wait, since another holder lent it meanwhile
    /// or they gave up. To be called when the reply to `request` has been applied and no request waits. Returns whether
    /// [`Self::next_step`] is to be called after [`RETURN_DELAY_MS`].
    pub fn plan_surplus_return(&mut self, now: Millis, request: &CreditRequest) -> bool {
        let ahead = request.wanted.saturating_sub(request.needed);
        let is_surplus = self.left(now) > self.expected_use(now).max(ahead);
        // A request ahead asks for no more than is missing, so that its credit is no surplus.
        request.needed > 0 && is_surplus && self.plan_return(now)
    }

    /// Plans the return of surplus credit. Returns whether it was not planned before.
    fn plan_return(&mut self, now: Millis) -> bool {
        let is_planned = self.return_at.is_some_and(|return_at| now < return_at);
        if !is_planned {
            self.return_at = Some(now.plus(RETURN_DELAY_MS));
        }
        !is_planned
    }

    /// Returns what to do next while `waiting` requests wait for credit.
    #[must_use]
    pub fn next_step(&self, now: Millis, waiting: usize, views: &[PartView]) -> AccountStep {
        let asked_at = self.parts.iter().filter_map(|part| part.asked_at).max();
        if waiting == 0 {
            return match asked_at {
                Some(_) => AccountStep::Idle,
                None => self.next_ahead(now, views),
            };
        }
        if let Some(asked_at) = asked_at.filter(|asked_at| now.since(*asked_at) < SLOW_REPLY_MS) {
            return AccountStep::Pending(asked_at.plus(SLOW_REPLY_MS));
        }
        let part_of = |view: &PartView| &self.parts[usize::from(view.part)];
        let is_free = |view: &&PartView| view.is_reachable && part_of(view).asked_at.is_none();
        let empty_until = |view: &PartView| part_of(view).empty_until;
        let free = views.iter().filter(is_free);
        let next = free.min_by_key(|view| (empty_until(view).max(now), !view.is_same_zone));
        match next {
            Some(view) if empty_until(view) <= now => AccountStep::Ask(view.part),
            _ if asked_at.is_some() => AccountStep::Pending(now.plus(SLOW_CHECK_MS)),
            Some(view) => AccountStep::Wait(empty_until(view)),
            None => AccountStep::Unreachable,
        }
    }

    /// Returns the part to ask ahead, or to return credit to, while no request waits.
    fn next_ahead(&self, now: Millis, views: &[PartView]) -> AccountStep {
        let is_ahead_due = self.is_low(now);
        let is_due = |view: &&PartView| {
            let part = &self.parts[usize::from(view.part)];
            let is_wanted = is_ahead_due && part.empty_until.max(part.ahead_after) <= now;
            view.is_reachable && (is_wanted || self.returnable(now, view.part) > 0)
        };
        let due = views.iter().filter(is_due);
        let due = due.max_by_key(|view| view.is_same_zone);
        due.map_or(AccountStep::Idle, |view| AccountStep::Ask(view.part))
    }

    /// Builds the credit request to the holder of a part. Credit that it returns is removed from the account, since
    /// it is not known whether a message without an answer arrived.
    pub fn request(
        &mut self,
        now: Millis,
        tenant: &Name,
        part: u8,
        waiting: usize,
    ) -> CreditRequest {
        self.remove_expired(now);
        self.parts[usize::from(part)].asked_at = Some(now);
        let needed = u32::try_from(waiting).unwrap_or(u32::MAX);
        let surplus = self.returnable(now, part);
        let mut returned = Vec::new();
        if waiting == 0 && surplus > 0 {
            returned = self.remove_surplus(part, surplus);
        }
        let ahead = if returned.is_empty() {
            self.expected_use(now).saturating_sub(self.left(now))
        } else {
            0
        };
        CreditRequest {
            tenant: Name::clone(tenant),
            part,
            version: self.version,
            needed,
            wanted: needed.saturating_add(ahead),
            returned,
        }
    }

    /// Ends the credit request to the holder of a part, with or without a reply.
    pub fn end_request(&mut self, part: u8) {
        self.parts[usize::from(part)].asked_at = None;
    }

    /// Applies what a holder lent in reply to a request that was sent at `sent_at`.
    pub fn apply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        request: &CreditRequest,
        grant: &CreditGrant,
    ) {
        let valid_until = sent_at.plus(grant.valid_ms.min(self.terms.valid_ms));
        let part = request.part;
        let tag = CreditTag {
            part,
            stamp: grant.stamp,
            valid_until,
        };
        if grant.lent > 0 && now < valid_until {
            self.add_loan(tag, grant.lent);
        }
        self.heard_at = now;
        self.end_request(request.part);
        let mut wait_ms = grant.wait_ms;
        if grant.version != self.version {
            wait_ms = wait_ms.min(OTHER_VERSION_WAIT_MS);
        }
        let credit = &mut self.parts[usize::from(part)];
        credit.empty_until = now.plus(wait_ms);
        credit.spacing_ms = grant.spacing_ms;
        if grant.lent < request.wanted {
            credit.ahead_after = now.plus(AHEAD_RETRY_MS);
        }
    }

    /// Returns the retry delay of a request that is refused until `next`, in milliseconds. Requests that are
    /// refused together get delays in their order, spaced by the time in which credit accrues.
    pub fn refuse(&mut self, now: Millis, next: Millis) -> u64 {
        if self.refused_until < next {
            // Requests that were refused earlier and come back before them keep their places.
            let passed_ms = now.since(self.refused_until);
            self.refused_until = next;
            self.refusals = if passed_ms > 0 { 0 } else { self.refusals / 2 };
        }
        let spread_ms = (self.refusals * self.spacing_ms()).min(MAX_SPREAD_MS);
        self.refusals += 1;
        next.since(now) + spread_ms
    }

    /// Whether a holder replied a moment ago, so that a request without credit is beyond the quota.
    #[must_use]
    pub fn is_heard(&self, now: Millis) -> bool {
        now.since(self.heard_at) < HEARD_MS
    }

    /// Returns the credit that is left.
    #[must_use]
    pub fn left(&self, now: Millis) -> u32 {
        let valid = self.loans.iter().filter(|loan| now < loan.tag.valid_until);
        valid.map(|loan| loan.amount).sum()
    }

    /// Whether credit should be requested ahead.
    #[must_use]
    pub fn is_low(&self, now: Millis) -> bool {
        let expected = self.expected_use(now);
        expected > 0 && f64::from(self.left(now)) <= f64::from(expected) * LOW_CREDIT_SHARE
    }

    /// Returns the time in which credit for one request accrues at all parts together, in milliseconds.
    fn spacing_ms(&self) -> u64 {
        let parts = self.parts.iter().filter(|part| part.spacing_ms > 0);
        let rate: f64 = parts.map(|part| 1.0 / part.spacing_ms as f64).sum();
        if rate > 0.0 { (1.0 / rate) as u64 } else { 0 }
    }

    /// Returns the number of recent requests, of which those longer ago count less.
    fn recent_arrivals(&self, now: Millis) -> f64 {
        let elapsed_ms = now.since(self.arrivals_at) as f64;
        self.arrivals * (-elapsed_ms / RATE_PERIOD_MS).exp()
    }

    /// Returns the number of requests expected within the time for which credit is requested ahead. A single recent
    /// request is not taken for a steady rate.
    fn expected_use(&self, now: Millis) -> u32 {
        let ahead_ms = (self.terms.valid_ms / 2).min(MAX_AHEAD_MS) as f64;
        let steady = (self.recent_arrivals(now) - 1.0).max(0.0);
        (steady / RATE_PERIOD_MS * ahead_ms) as u32
    }

    /// Returns how much credit of a part is to be returned now.
    fn returnable(&self, now: Millis, part: u8) -> u32 {
        if self.return_at.is_none_or(|return_at| now < return_at) {
            return 0;
        }
        let surplus = self.left(now).saturating_sub(self.expected_use(now));
        let of_part = |loan: &&CreditLoan| loan.tag.part == part && now < loan.tag.valid_until;
        let loans = self.loans.iter().filter(of_part);
        let held: u32 = loans.map(|loan| loan.amount).sum();
        held.min(surplus)
    }

    /// Removes `amount` of a part's credit, the last to expire first, and returns it by stamp.
    fn remove_surplus(&mut self, part: u8, amount: u32) -> Vec<ReturnedCredit> {
        let mut left = amount;
        let mut returned = Vec::new();
        for loan in self.loans.iter_mut().rev() {
            let removed = loan.amount.min(left);
            if loan.tag.part == part && removed > 0 {
                loan.amount -= removed;
                left -= removed;
                returned.push(ReturnedCredit {
                    stamp: loan.tag.stamp,
                    amount: removed,
                });
            }
        }
        self.loans.retain(|loan| loan.amount > 0);
        if self.loans.is_empty() {
            self.return_at = None;
        }
        returned
    }

    /// Adds credit, in order of expiry.
    fn add_loan(&mut self, tag: CreditTag, amount: u32) {
        if let Some(loan) = self.loans.iter_mut().find(|loan| loan.tag == tag) {
            loan.amount += amount;
            return;
        }
        let is_before = |loan: &CreditLoan| loan.tag.valid_until <= tag.valid_until;
        let index = self.loans.partition_point(is_before);
        self.loans.insert(index, CreditLoan { tag, amount });
    }

    /// Removes credit that is no longer valid.
    fn remove_expired(&mut self, now: Millis) {
        self.loans.retain(|loan| now < loan.tag.valid_until);
        if self.loans.is_empty() {
            self.return_at = None;
        }
    }
}

/// Holders that did not answer, by run, and until when they are not asked.
#[derive(Clone, Debug, Default)]
pub struct SkippedHolders {
    until_by_run: BTreeMap<Name, Millis>,
}

impl SkippedHolders {
    /// Time for which a holder that did not answer is not asked, in milliseconds.
    const NO_ANSWER_MS: u64 = 1_000;
    /// Time for which an agent that answered that it holds no slot is not asked, in milliseconds: it renews its
    /// lease, or the record of the next holder arrives.
    const NOT_HOLDER_MS: u64 = 250;

    /// Creates a state in which all holders are asked.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Skips the run of a holder that did not answer.
    pub fn skip_silent(&mut self, now: Millis, run: &Name) {
        self.skip(now, run, Self::NO_ANSWER_MS);
    }

    /// Skips the run of an agent that does not hold its slot.
    pub fn skip_not_holder(&mut self, now: Millis, run: &Name) {
        self.skip(now, run, Self::NOT_HOLDER_MS);
    }

    /// Whether the run of a holder is skipped.
    #[must_use]
    pub fn is_skipped(&self, now: Millis, run: &str) -> bool {
        self.until_by_run.get(run).is_some_and(|until| now < *until)
    }

    fn skip(&mut self, now: Millis, run: &Name, duration_ms: u64) {
        self.until_by_run.retain(|_, until| now < *until);
        self.until_by_run
            .insert(Name::clone(run), now.plus(duration_ms));
    }
}
