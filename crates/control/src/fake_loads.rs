//! Simulates the load on one keyed service: Zipf-distributed keys, reported with Poisson noise.

use std::collections::BTreeMap;

use jy_types::assign::PageRecord;
use jy_types::key::KeyHash;
use jy_types::key::PAGE_SLICES;
use jy_types::key::PAGES;
use jy_types::key::SLICES;
use jy_types::key::SliceId;
use jy_types::member::AgentId;
use jy_types::peer::KeyLoad;
use jy_types::peer::SliceLoad;
use rand::Rng;
use rand_distr::Distribution;
use rand_distr::Poisson;

/// Number of the hottest keys that have a load of their own. The load of the others is spread evenly over
/// all slices.
const TRACKED_KEYS: usize = 4_096;

const MAX_REPORTED_KEYS: usize = 32;

const REPORT_PERIOD_S: f64 = 2.0;

/// Simulated load on one service.
#[derive(Clone, Debug)]
pub struct FakeLoad {
    /// Tracked keys with their requests per second, hottest first.
    keys: Vec<(KeyHash, f64)>,
    /// Requests per second of all other keys together.
    untracked_rate: f64,
}

/// Exact and reported load of one owner.
#[derive(Clone, Debug, Default)]
pub struct OwnerLoad {
    /// Exact requests per second.
    pub rate: f64,
    /// Exact requests per second of the heaviest unit.
    pub heaviest: f64,
    /// Reported loads of slices.
    pub slices: Vec<SliceLoad>,
    /// Reported loads of hot keys.
    pub keys: Vec<KeyLoad>,
}

/// Pages of one service by number.
pub type PageMap = BTreeMap<u32, PageRecord>;

impl FakeLoad {
    /// Creates a load of `rate` requests per second over `keys` keys with a Zipf distribution: the share of
    /// the k-th key is proportional to k to the power of minus `exponent`. With an exponent of zero the load
    /// is even.
    #[must_use]
    pub fn new(rate: f64, keys: u64, exponent: f64, rng: &mut impl Rng) -> Self {
        if exponent == 0.0 {
            return Self {
                keys: Vec::new(),
                untracked_rate: rate,
            };
        }
        let weight = |rank: u64| (rank as f64).powf(-exponent);
        let tracked = TRACKED_KEYS.min(usize::try_from(keys).unwrap_or(usize::MAX)) as u64;
        let tracked_weight: f64 = (1..=tracked).map(weight).sum();
        let total = tracked_weight + tail_weight(tracked, keys, exponent);
        let share = |rank: u64| rate * weight(rank) / total;
        let keys = (1..=tracked)
            .map(|rank| (KeyHash(rng.random()), share(rank)))
            .collect();
        Self {
            keys,
            untracked_rate: rate * (total - tracked_weight) / total,
        }
    }

    /// Replaces the hottest keys by random ones with the same rates.
    pub fn change_hottest(&mut self, count: usize, rng: &mut impl Rng) {
        for (key, _) in self.keys.iter_mut().take(count) {
            *key = KeyHash(rng.random());
        }
    }

    /// Returns the requests per second of the hottest key.
    #[must_use]
    pub fn hottest_rate(&self) -> f64 {
        self.keys.first().map_or(0.0, |(_, rate)| *rate)
    }

    /// Returns the hottest keys, hottest first.
    pub fn hottest_keys(&self, count: usize) -> impl Iterator<Item = KeyHash> {
        self.keys.iter().take(count).map(|(key, _)| *key)
    }

    /// Returns the requests per second of all keys.
    #[must_use]
    pub fn total_rate(&self) -> f64 {
        self.untracked_rate + self.keys.iter().map(|(_, rate)| *rate).sum::<f64>()
    }

    /// Returns the load of every owner. With `noise`, the reported rates have Poisson noise.
    #[must_use]
    pub fn loads_by_owner(
        &self,
        pages: &PageMap,
        mut noise: Option<&mut dyn rand::RngCore>,
    ) -> BTreeMap<AgentId, OwnerLoad> {
        let mut owners: BTreeMap<AgentId, OwnerLoad> = BTreeMap::new();
        let mut rates = vec![self.untracked_rate / f64::from(SLICES); SLICES as usize];
        let pins = pages.get(&PAGES);
        let mut reported_rate = |rate: f64| match &mut noise {
            Some(rng) if rate > 0.0 => sample_rate(rate, rng),
            _ => rate,
        };
        for (key, rate) in &self.keys {
            let pin_owner = pins.and_then(|page| pinned_owner(page, *key));
            if pin_owner.is_none() {
                rates[key.slice().0 as usize] += rate;
            }
            let Some(owner) = pin_owner.or_else(|| slice_owner(pages, key.slice())) else {
                continue;
            };
            let load = owners.entry(owner).or_default();
            if is_pinned(pins, *key) {
                load.rate += rate;
                load.heaviest = load.heaviest.max(*rate);
            }
            if load.keys.len() < MAX_REPORTED_KEYS {
                let rate = reported_rate(*rate) as f32;
                load.keys.push(KeyLoad { key: *key, rate });
            }
        }
        for (number, page) in pages.iter().filter(|(number, _)| **number < PAGES) {
            for (offset, grant) in page.slices.iter().enumerate() {
                let Some(owner) = grant.owner else {
                    continue;
                };
                let slice = SliceId(number * PAGE_SLICES + offset as u32);
                let rate = rates[slice.0 as usize];
                let load = owners
                    .entry(page.owners[usize::from(owner)].clone())
                    .or_default();
                load.rate += rate;
                load.heaviest = load.heaviest.max(rate);
                let rate = reported_rate(rate) as f32;
                if rate > 0.0 {
                    load.slices.push(SliceLoad { slice, rate });
                }
            }
        }
        owners
    }
}

/// Approximates the sum of the weights of the ranks after `tracked` up to `keys` by an integral.
fn tail_weight(tracked: u64, keys: u64, exponent: f64) -> f64 {
    let (from, to) = (tracked as f64 + 0.5, keys as f64 + 0.5);
    if to <= from {
        return 0.0;
    }
    if (exponent - 1.0).abs() < 1e-9 {
        return (to / from).ln();
    }
    (to.powf(1.0 - exponent) - from.powf(1.0 - exponent)) / (1.0 - exponent)
}

/// Returns a random rate: a Poisson-distributed count of requests divided by the report's period.
fn sample_rate(rate: f64, rng: &mut &mut dyn rand::RngCore) -> f64 {
    let count = Poisson::new(rate * REPORT_PERIOD_S).map_or(0.0, |poisson| poisson.sample(rng));
    count / REPORT_PERIOD_S
}

fn is_pinned(pins: Option<&PageRecord>, key: KeyHash) -> bool {
    pins.is_some_and(|page| pinned_owner(page, key).is_some())
}

/// Returns the owner of a pinned key, or none if the key is not pinned.
fn pinned_owner(page: &PageRecord, key: KeyHash) -> Option<AgentId> {
    let index = page.pins.binary_search_by_key(&key, |pin| pin.key).ok()?;
    let owner = page.pins[index].grant.owner?;
    page.owners.get(usize::from(owner)).cloned()
}

/// Returns the owner of a slice, or none if it has no owner.
fn slice_owner(pages: &PageMap, slice: SliceId) -> Option<AgentId> {
    let (number, offset) = slice.page();
    let page = pages.get(&number)?;
    let owner = page.slices.get(offset)?.owner?;
    page.owners.get(usize::from(owner)).cloned()
}
