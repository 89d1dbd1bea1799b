//! Quotas of tenants over all agents, as credit that is lent by the holders of slots.
//!
//! Load pattern: the requests of a tenant arrive at any number of agents, at one of them, at all, or moving between
//! them; agents and holders are cut off, frozen, killed and restarted at any time. The sum over all agents must not
//! exceed the quota, and requests within it must find credit.
//!
//! - [`account`]: credit of a tenant at an agent that serves its requests, and whom to ask for more.
//! - [`bucket`]: the credit of a part of one tenant's quota.
//! - [`claims`]: which free slots an agent claims.
//! - [`lender`]: the slots that an agent holds, and what it lends from them.

use std::collections::BTreeMap;
use std::rc::Rc;

use jy_types::key::KeyHash;
use jy_types::name::Name;
use jy_types::quota::QUOTA_GROUPS;
use jy_types::quota::QUOTA_PARTS;
use jy_types::quota::SlotId;
use jy_types::tenant::TenantQuota;
use jy_types::tenant::TenantTable;

pub mod account;
pub mod bucket;
pub mod claims;
pub mod lender;

/// Share of the allowed excess that is used. The rest covers differences between the rates of the agents' clocks.
const USED_EXCESS_SHARE: f64 = 0.8;
/// Longest validity of lent credit, in milliseconds.
pub const MAX_VALID_MS: u64 = 2_000;
/// Shortest validity of lent credit, in milliseconds: several times the time of a credit request.
const MIN_VALID_MS: u64 = 50;
/// Smallest burst that is divided into parts. A part of a smaller one would often be empty while others are full.
const MIN_DIVIDED_BURST: f64 = 12.0;

/// How far the requests of a tenant may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAllowance {
    /// Window over which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Allowed excess, as a share of what the quota allows in the window.
    pub excess_ratio: f64,
    /// Number of requests allowed beyond that, summed over all agents.
    pub slack: f64,
}

impl Default for QuotaAllowance {
    /// Returns the bounds of deployments that have quotas and state none.
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            excess_ratio: 0.1,
            slack: 20.0,
        }
    }
}

/// What one part of a tenant's quota allows, and where the parts are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Rate at which credit accrues at one part, in requests per millisecond.
    pub rate_per_ms: f64,
    /// Largest credit of one part.
    pub depth: f64,
    /// Time for which lent credit is valid, in milliseconds.
    pub valid_ms: u64,
    /// Group of the tenant.
    pub group: u8,
    /// The part that has the whole quota; `None` if each part has its share.
    pub single_part: Option<u8>,
}

impl QuotaTerms {
    /// Derives the terms of a tenant's quota.
    ///
    /// Credit that is used in a window was lent in the window or up to the validity before it. Thus the tenant's
    /// requests exceed its quota by what accrues within the validity. The validity is limited so that the allowance
    /// covers this. What the validity leaves of the allowance, which is the case for small quotas, is added to the
    /// burst, so that fewer requests are refused which arrive close together by chance. Where the allowance does not
    /// cover the shortest validity, the burst is reduced instead.
    #[must_use]
    pub fn new(tenant: &str, quota: TenantQuota, allowance: QuotaAllowance) -> Self {
        let rate_per_ms = quota.rate_per_s / 1_000.0;
        let allowed = rate_per_ms * allowance.window_ms as f64 + quota.burst;
        let excess = (allowance.excess_ratio * allowed + allowance.slack) * USED_EXCESS_SHARE;
        let valid_ms = ((excess / rate_per_ms) as u64).clamp(MIN_VALID_MS, MAX_VALID_MS);
        let spare = excess - rate_per_ms * valid_ms as f64;
        let hash = KeyHash::new(tenant).0;
        let part = (hash / u64::from(QUOTA_GROUPS) % u64::from(QUOTA_PARTS)) as u8;
        let is_divided = quota.burst >= MIN_DIVIDED_BURST;
        let parts = if is_divided {
            f64::from(QUOTA_PARTS)
        } else {
            1.0
        };
        Self {
            rate_per_ms: rate_per_ms / parts,
            // Credit is lent for whole requests.
            depth: ((quota.burst + spare) / parts).max(1.0),
            valid_ms,
            group: group_of(tenant),
            single_part: (!is_divided).then_some(part),
        }
    }

    /// Whether a part has a share of the quota.
    #[must_use]
    pub fn has_part(&self, part: u8) -> bool {
        part < QUOTA_PARTS && self.single_part.is_none_or(|single| single == part)
    }

    /// Returns the slot of a part.
    #[must_use]
    pub const fn slot(&self, part: u8) -> SlotId {
        SlotId {
            part,
            group: self.group,
        }
    }

    /// Returns the time in which credit for one request accrues at a part, in milliseconds.
    #[must_use]
    pub fn spacing_ms(&self) -> u64 {
        (1.0 / self.rate_per_ms).ceil() as u64
    }
}

/// Returns the group of a tenant.
#[must_use]
pub fn group_of(tenant: &str) -> u8 {
    (KeyHash::new(tenant).0 % u64::from(QUOTA_GROUPS)) as u8
}

/// The quotas of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaBook {
    /// Version of the configuration.
    pub version: u64,
    /// Terms by tenant; `None` for tenants without a quota.
    pub terms: BTreeMap<Name, Option<QuotaTerms>>,
}

/// A book that lenders and borrowers share.
pub type SharedBook = Rc<QuotaBook>;

impl QuotaBook {
    /// Derives the terms of all tenants of a configuration.
    #[must_use]
    pub fn new(version: u64, tenants: &TenantTable, allowance: QuotaAllowance) -> Self {
        let terms = tenants.iter().map(|rule| {
            let quota = rule.quota.filter(|quota| quota.rate_per_s > 0.0);
            let terms = quota.map(|quota| QuotaTerms::new(&rule.name, quota, allowance));
            (Name::clone(&rule.name), terms)
        });
        Self {
            version,
            terms: terms.collect(),
        }
    }

    /// Whether any tenant has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        self.terms.values().any(Option::is_some)
    }
}
