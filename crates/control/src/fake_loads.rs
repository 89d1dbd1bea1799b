//! A fake of the load on one keyed service: a skewed mix of keys, reported with noise.

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

/// Keys whose load is followed one by one; the others are spread over all slices.
const FOLLOWED_KEYS: usize = 4_096;

/// Most keys in one report.
const REPORTED_KEYS: usize = 32;

/// Time that a report covers, in seconds.
const REPORT_S: f64 = 2.0;

/// Load on one service.
#[derive(Clone, Debug)]
pub struct FakeLoad {
    /// Followed keys with their requests a second, the hottest first.
    keys: Vec<(KeyHash, f64)>,
    /// Requests a second of all other keys.
    rest: f64,
}

/// Load of one owner, as it is and as it reports it.
#[derive(Clone, Debug, Default)]
pub struct OwnerLoad {
    /// Requests a second.
    pub rate: f64,
    /// The heaviest single unit's requests a second.
    pub heaviest: f64,
    /// Slices as reported.
    pub slices: Vec<SliceLoad>,
    /// Hot keys as reported.
    pub keys: Vec<KeyLoad>,
}

/// Pages of one service by number.
pub type PageMap = BTreeMap<u32, PageRecord>;

impl FakeLoad {
    /// Makes a load of `rate` requests a second over `keys` keys, the k-th of them asked for in
    /// proportion to k to the power of minus `exponent`. An exponent of zero is an even load.
    #[must_use]
    pub fn new(rate: f64, keys: u64, exponent: f64, rng: &mut impl Rng) -> Self {
        if exponent == 0.0 {
            return Self {
                keys: Vec::new(),
                rest: rate,
            };
        }
        let weight = |rank: u64| (rank as f64).powf(-exponent);
        let followed = FOLLOWED_KEYS.min(usize::try_from(keys).unwrap_or(usize::MAX)) as u64;
        let head: f64 = (1..=followed).map(weight).sum();
        let total = head + tail_weight(followed, keys, exponent);
        let share = |rank: u64| rate * weight(rank) / total;
        let keys = (1..=followed)
            .map(|rank| (KeyHash(rng.random()), share(rank)))
            .collect();
        Self {
            keys,
            rest: rate * (total - head) / total,
        }
    }

    /// Draws the hottest keys anew.
    pub fn change_hottest(&mut self, count: usize, rng: &mut impl Rng) {
        for (key, _) in self.keys.iter_mut().take(count) {
            *key = KeyHash(rng.random());
        }
    }

    /// Requests a second of the hottest key.
    #[must_use]
    pub fn hottest(&self) -> f64 {
        self.keys.first().map_or(0.0, |(_, rate)| *rate)
    }

    /// The hottest keys, in order.
    pub fn hottest_keys(&self, count: usize) -> impl Iterator<Item = KeyHash> {
        self.keys.iter().take(count).map(|(key, _)| *key)
    }

    /// Requests a second of all keys.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.rest + self.keys.iter().map(|(_, rate)| *rate).sum::<f64>()
    }

    /// Sums the load up by owner. With `noise`, reported rates are counts of random requests.
    #[must_use]
    pub fn by_owner(
        &self,
        pages: &PageMap,
        mut noise: Option<&mut dyn rand::RngCore>,
    ) -> BTreeMap<AgentId, OwnerLoad> {
        let mut owners: BTreeMap<AgentId, OwnerLoad> = BTreeMap::new();
        let mut rates = vec![self.rest / f64::from(SLICES); SLICES as usize];
        let pins = pages.get(&PAGES);
        let mut report = |rate: f64| match &mut noise {
            Some(rng) if rate > 0.0 => sample(rate, rng),
            _ => rate,
        };
        for (key, rate) in &self.keys {
            let pin = pins.and_then(|page| pinned_owner(page, *key));
            if pin.is_none() {
                rates[key.slice().0 as usize] += rate;
            }
            let Some(owner) = pin.or_else(|| slice_owner(pages, key.slice())) else {
                continue;
            };
            let load = owners.entry(owner).or_default();
            if pin_is_set(pins, *key) {
                load.rate += rate;
                load.heaviest = load.heaviest.max(*rate);
            }
            if load.keys.len() < REPORTED_KEYS {
                let rate = report(*rate) as f32;
                load.keys.push(KeyLoad { key: *key, rate });
            }
        }
        for (number, page) in pages.iter().filter(|(number, _)| **number < PAGES) {
            for (place, grant) in page.slices.iter().enumerate() {
                let Some(owner) = grant.owner else {
                    continue;
                };
                let slice = SliceId(number * PAGE_SLICES + place as u32);
                let rate = rates[slice.0 as usize];
                let load = owners
                    .entry(page.owners[usize::from(owner)].clone())
                    .or_default();
                load.rate += rate;
                load.heaviest = load.heaviest.max(rate);
                let rate = report(rate) as f32;
                if rate > 0.0 {
                    load.slices.push(SliceLoad { slice, rate });
                }
            }
        }
        owners
    }
}

/// Sums the weights of the ranks after `followed` up to `keys`, by the integral.
fn tail_weight(followed: u64, keys: u64, exponent: f64) -> f64 {
    let (from, to) = (followed as f64 + 0.5, keys as f64 + 0.5);
    if to <= from {
        return 0.0;
    }
    if (exponent - 1.0).abs() < 1e-9 {
        return (to / from).ln();
    }
    (to.powf(1.0 - exponent) - from.powf(1.0 - exponent)) / (1.0 - exponent)
}

/// Draws the rate that a count of random requests over the report's time shows.
fn sample(rate: f64, rng: &mut &mut dyn rand::RngCore) -> f64 {
    let count = Poisson::new(rate * REPORT_S).map_or(0.0, |poisson| poisson.sample(rng));
    count / REPORT_S
}

/// Whether a key is pinned.
fn pin_is_set(pins: Option<&PageRecord>, key: KeyHash) -> bool {
    pins.is_some_and(|page| pinned_owner(page, key).is_some())
}

/// Returns the owner of a pinned key.
fn pinned_owner(page: &PageRecord, key: KeyHash) -> Option<AgentId> {
    let place = page.pins.binary_search_by_key(&key, |pin| pin.key).ok()?;
    let owner = page.pins[place].grant.owner?;
    page.owners.get(usize::from(owner)).cloned()
}

/// Returns the owner of a slice.
fn slice_owner(pages: &PageMap, slice: SliceId) -> Option<AgentId> {
    let (number, place) = slice.page();
    let page = pages.get(&number)?;
    let owner = page.slices.get(place)?.owner?;
    page.owners.get(usize::from(owner)).cloned()
}
