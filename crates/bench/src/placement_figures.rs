//! Balance of a service's load over its owners, and modulo placement to compare with.

use std::fs;

use jy_control::fake_loads::FakeLoad;
use jy_control::fake_loads::PageMap;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::key::PAGE_SLICES;
use jy_types::key::PAGES;
use jy_types::key::SLICES;
use jy_types::member::AgentId;

/// How evenly the load of a service is spread over its owners.
#[derive(Clone, Copy, Debug)]
pub struct LoadBalance {
    /// Peak load of an owner over the mean load.
    pub imbalance: f64,
    /// Load of the hottest key over the mean load of owners; the imbalance can't be lower.
    pub floor: f64,
}

impl Default for LoadBalance {
    fn default() -> Self {
        Self {
            imbalance: f64::INFINITY,
            floor: 0.0,
        }
    }
}

/// Returns the balance of a service over `owners` owners, including those without units.
///
/// The imbalance is infinite if more than 0.1 % of the load has no owner.
#[must_use]
pub fn load_balance(load: &FakeLoad, pages: &PageMap, owners: usize) -> LoadBalance {
    let mean = load.total_rate() / owners.max(1) as f64;
    let by_owner = load.loads_by_owner(pages, None);
    let assigned: f64 = by_owner.values().map(|owner| owner.rate).sum();
    if assigned < load.total_rate() * 0.999 {
        return LoadBalance::default();
    }
    let peak = by_owner
        .values()
        .map(|owner| owner.rate)
        .fold(0.0, f64::max);
    LoadBalance {
        imbalance: peak / mean,
        floor: load.hottest_rate() / mean,
    }
}

/// Returns the balance if slice `i` belongs to owner `i` modulo `owners` and no key is pinned.
#[must_use]
pub fn modulo_balance(load: &FakeLoad, owners: usize) -> LoadBalance {
    let ids: Vec<AgentId> = (0..owners)
        .map(|owner| AgentId::new(format!("m{owner}"), 1))
        .collect();
    let page = |number: u32| {
        let grant = |index: u32| Grant {
            owner: u16::try_from((number * PAGE_SLICES + index) as usize % owners).ok(),
            ..Grant::default()
        };
        PageRecord {
            owners: ids.clone(),
            slices: (0..PAGE_SLICES).map(grant).collect(),
            ..PageRecord::default()
        }
    };
    let pages: PageMap = (0..PAGES).map(|number| (number, page(number))).collect();
    load_balance(load, &pages, owners)
}

/// Returns the number of slices that move when modulo placement changes from `from` to `to` owners.
#[must_use]
pub fn modulo_moves(from: usize, to: usize) -> f64 {
    let moved = (0..SLICES as usize).filter(|slice| slice % from != slice % to);
    moved.count() as f64
}

/// Returns the resident memory of this process; 0 if it can't be read.
#[must_use]
pub fn resident_bytes() -> f64 {
    const MEMORY_PAGE_BYTES: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or_default() * MEMORY_PAGE_BYTES
}
