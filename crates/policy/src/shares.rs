//! Shares of tenants in one backend server.
//!
//! Load pattern: one of many tenants sends several times its usual load, and tenants of different priority
//! compete for too little capacity. A tenant above its share waits behind the others of its priority. A tenant
//! whose requests are refused because more urgent ones fill the capacity gets a part of it nevertheless.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::Millis;

use crate::decay::DecayingSum;

/// Half-life of the recently started work: several service times, but less than most overloads last.
const RECENT_HALF_LIFE_MS: u64 = 2_000;

/// Half-life of the usual work: much longer than most overloads last.
const USUAL_HALF_LIFE_MS: u64 = 60_000;

/// Least time over which a tenant's usual work is averaged, in milliseconds: as long as an overload may last, so that a
/// tenant that begins with one doesn't take it for its usual work at once.
const MIN_USUAL_MS: u64 = 10_000;

/// Half-life of the counts of requests from which the share of requests served is computed.
const SERVED_HALF_LIFE_MS: u64 = 5_000;

/// Multiple of its usual work that a tenant may have started before it counts as above its share. Random
/// arrivals vary by about this much.
const USUAL_MARGIN: f64 = 1.25;

/// Number of requests beyond its share that a tenant may have started. The work of a tenant with few requests
/// comes in units of whole requests.
const SPARE_REQUESTS: f64 = 2.0;

/// Highest level of use above the share; each level is twice the one before.
const MAX_LEVEL: u8 = 6;

/// Time between two computations of all levels, in milliseconds: a fraction of the half-life of recent work.
const REFRESH_MS: u64 = 100;

/// A tenant or a class of tenants counts as active for this time after its last request, in milliseconds.
const ACTIVE_MS: u64 = 5_000;

/// Share of requests served that a tenant is protected to, as a part of that of all requests. The bound is 0.25;
/// the rest covers requests that a caller abandons or that are refused after they were protected.
const PROTECTED_SHARE: f64 = 0.35;

/// Highest credit for protected requests, in requests. A higher one would let a tenant that returns after a pause
/// displace many more urgent requests at once.
const MAX_CREDIT: f64 = 2.0;

/// Lowest credit. Requests that were served before count, but a tenant that was served well for long is protected
/// again after some ten refusals.
const MIN_CREDIT: f64 = -2.0;

/// Number of tenants above which idle ones are dropped.
const MAX_TENANTS: usize = 4_096;

/// Tenants without a request for this time may be dropped, in milliseconds. No request waits for so long.
const IDLE_MS: u64 = 60_000;

/// Multiplier of a multiplicative hash (2^64 divided by the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Recent and usual work of all tenants at one backend server.
#[derive(Clone, Debug, Default)]
pub struct TenantShares {
    ids: BTreeMap<Name, usize>,
    /// Tenants by id.
    tenants: Vec<TenantUse>,
    /// Ids of dropped tenants.
    free_ids: Vec<usize>,
    refreshed_at: Millis,
    /// Work that a tenant may have started recently even if it usually has less, in milliseconds.
    equal_ms: f64,
    /// Offered and started requests of all tenants, and those without a tenant.
    offered: DecayingSum<SERVED_HALF_LIFE_MS>,
    started: DecayingSum<SERVED_HALF_LIFE_MS>,
    /// When tenants' requests of each class were last offered.
    classes: BTreeMap<u32, Millis>,
}

/// Work of one tenant.
#[derive(Clone, Debug, Default)]
struct TenantUse {
    recent: DecayingSum<RECENT_HALF_LIFE_MS>,
    usual: DecayingSum<USUAL_HALF_LIFE_MS>,
    /// Work of the last started request, in milliseconds.
    request_ms: f64,
    first_offered: Millis,
    last_offered: Millis,
    level: u8,
    /// Number of requests that may be protected.
    credit: f64,
}

impl TenantUse {
    /// Computes how far the recently started work exceeds the tenant's share.
    fn update_level(&mut self, now: Millis, equal_ms: f64) {
        let window_ms = RECENT_HALF_LIFE_MS as f64 / std::f64::consts::LN_2;
        let age_ms = now.since(self.first_offered).max(MIN_USUAL_MS) as f64;
        // The sum has not reached its steady value yet if the tenant has just come.
        let weight = 1.0 - 0.5_f64.powf(age_ms / USUAL_HALF_LIFE_MS as f64);
        let usual_ms = self.usual.rate(now) / weight * window_ms * USUAL_MARGIN;
        let share_ms = usual_ms.max(equal_ms).max(1.0);
        let ratio = (self.recent.value(now) - SPARE_REQUESTS * self.request_ms) / share_ms;
        self.level = if ratio <= 1.0 {
            0
        } else {
            (1.0 + ratio.log2()).min(f64::from(MAX_LEVEL)) as u8
        };
    }
}

impl TenantShares {
    /// Creates shares without any tenant.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an offered request, and returns the id by which its tenant is found, if it has one.
    pub fn record_offered(
        &mut self,
        now: Millis,
        slots: u32,
        class: u32,
        tenant: Option<&Name>,
    ) -> Option<usize> {
        self.offered.add(now, 1.0);
        let tenant = tenant?;
        self.classes.insert(class, now);
        let id = self.id_of(now, tenant);
        let earned = PROTECTED_SHARE * self.share_served(now);
        if let Some(work) = self.tenants.get_mut(id) {
            work.last_offered = now;
            work.credit = (work.credit + earned).min(MAX_CREDIT);
        }
        if now.since(self.refreshed_at) >= REFRESH_MS {
            self.refresh(now, slots);
        }
        Some(id)
    }

    /// Counts a request that starts to run.
    pub fn record_started(
        &mut self,
        now: Millis,
        id: Option<usize>,
        work_ms: f64,
        is_protected: bool,
    ) {
        self.started.add(now, 1.0);
        let equal_ms = self.equal_ms;
        let Some(work) = id.and_then(|id| self.tenants.get_mut(id)) else {
            return;
        };
        work.recent.add(now, work_ms);
        // Work above the share counts half, or an overload that lasts would become usual while it does.
        let usual_share = if work.level == 0 { 1.0 } else { 0.5 };
        work.usual.add(now, work_ms * usual_share);
        work.request_ms = work_ms;
        if !is_protected {
            work.credit = (work.credit - 1.0).max(MIN_CREDIT);
        }
        work.update_level(now, equal_ms);
    }

    /// Takes the credit for one protected request. Returns whether there was any. A tenant above its share is not
    /// starved.
    pub fn take_credit(&mut self, id: Option<usize>) -> bool {
        let Some(work) = id.and_then(|id| self.tenants.get_mut(id)) else {
            return false;
        };
        let is_enough = work.credit >= 1.0 && work.level == 0;
        if is_enough {
            work.credit -= 1.0;
        }
        is_enough
    }

    /// Returns the credit of a protected request that did not start.
    pub fn return_credit(&mut self, id: Option<usize>) {
        if let Some(work) = id.and_then(|id| self.tenants.get_mut(id)) {
            work.credit = (work.credit + 1.0).min(MAX_CREDIT);
        }
    }

    /// Returns the id of a tenant, if it is known.
    #[must_use]
    pub fn find(&self, tenant: Option<&Name>) -> Option<usize> {
        self.ids.get(tenant?).copied()
    }

    /// Returns how far a tenant's recently started work exceeds its share: 0 if it does not, else one more for
    /// each doubling.
    #[must_use]
    pub fn level(&self, id: Option<usize>) -> u8 {
        let work = id.and_then(|id| self.tenants.get(id));
        work.map_or(0, |work| work.level)
    }

    /// Returns the most urgent class of which tenants sent requests lately, or `class` if it is more urgent.
    #[must_use]
    pub fn most_urgent_class(&self, now: Millis, class: u32) -> u32 {
        let mut active = self
            .classes
            .iter()
            .filter(|(_, offered_at)| now.since(**offered_at) <= ACTIVE_MS);
        active
            .next()
            .map_or(class, |(urgent, _)| class.min(*urgent))
    }

    /// Returns the share of the recently offered requests that were started.
    fn share_served(&self, now: Millis) -> f64 {
        let offered = self.offered.value(now);
        (self.started.value(now) / offered.max(1.0)).min(1.0)
    }

    /// Returns the id of a tenant, and adds the tenant if it is unknown.
    fn id_of(&mut self, now: Millis, tenant: &Name) -> usize {
        if let Some(id) = self.ids.get(tenant) {
            return *id;
        }
        if self.ids.len() >= MAX_TENANTS {
            self.drop_idle(now);
        }
        let work = TenantUse {
            credit: initial_credit(now, tenant),
            first_offered: now,
            ..TenantUse::default()
        };
        let id = self.free_ids.pop().unwrap_or(self.tenants.len());
        if id < self.tenants.len() {
            self.tenants[id] = work;
        } else {
            self.tenants.push(work);
        }
        self.ids.insert(Name::clone(tenant), id);
        id
    }

    /// Drops tenants without recent requests.
    fn drop_idle(&mut self, now: Millis) {
        let (tenants, free_ids) = (&self.tenants, &mut self.free_ids);
        self.ids.retain(|_, id| {
            let is_idle = now.since(tenants[*id].last_offered) > IDLE_MS;
            if is_idle {
                free_ids.push(*id);
            }
            !is_idle
        });
    }

    /// Computes the levels of all tenants.
    fn refresh(&mut self, now: Millis, slots: u32) {
        self.refreshed_at = now;
        let is_active = |work: &&TenantUse| now.since(work.last_offered) <= ACTIVE_MS;
        let active = self.tenants.iter().filter(is_active).count().max(1);
        let window_ms = RECENT_HALF_LIFE_MS as f64 / std::f64::consts::LN_2;
        self.equal_ms = f64::from(slots) * window_ms / active as f64;
        for work in &mut self.tenants {
            work.update_level(now, self.equal_ms);
        }
    }
}

/// Returns the credit of a tenant that is seen for the first time: a fraction of one request, which differs by
/// tenant and time. With the same one at all gates, a tenant with few requests would be protected at none of them.
fn initial_credit(now: Millis, tenant: &str) -> f64 {
    let hash = tenant.bytes().fold(now.0, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(HASH_MULTIPLIER)
    });
    (hash >> 32) as f64 / f64::from(u32::MAX)
}
