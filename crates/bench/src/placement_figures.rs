//! Shares of load by owner, and plain modulo placement to compare with.

use std::fs;

use jy_control::fake_loads::FakeLoad;
use jy_control::fake_loads::PageMap;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::key::PAGE_SLICES;
use jy_types::key::PAGES;
use jy_types::key::SLICES;
use jy_types::member::AgentId;

/// How even the load on a service is.
#[derive(Clone, Copy, Debug)]
pub struct ShareFigures {
    /// Peak load over mean load of owners.
    pub imbalance: f64,
    /// What the hottest key alone makes of it.
    pub floor: f64,
}

impl Default for ShareFigures {
    fn default() -> Self {
        Self {
            imbalance: f64::INFINITY,
            floor: 0.0,
        }
    }
}

/// Returns the shares of a service over `owners` owners, those without units included.
#[must_use]
pub fn shares(load: &FakeLoad, pages: &PageMap, owners: usize) -> ShareFigures {
    let mean = load.total() / owners.max(1) as f64;
    let by_owner = load.by_owner(pages, None);
    let held: f64 = by_owner.values().map(|owner| owner.rate).sum();
    if held < load.total() * 0.999 {
        return ShareFigures::default();
    }
    let peak = by_owner
        .values()
        .map(|owner| owner.rate)
        .fold(0.0, f64::max);
    ShareFigures {
        imbalance: peak / mean,
        floor: load.hottest() / mean,
    }
}

/// Returns the shares with slice `i` at owner `i` modulo their number, without pinned keys.
#[must_use]
pub fn modulo_shares(load: &FakeLoad, owners: usize) -> ShareFigures {
    let ids: Vec<AgentId> = (0..owners)
        .map(|owner| AgentId::new(format!("m{owner}"), 1))
        .collect();
    let page = |number: u32| {
        let grant = |place: u32| Grant {
            owner: u16::try_from((number * PAGE_SLICES + place) as usize % owners).ok(),
            ..Grant::default()
        };
        PageRecord {
            owners: ids.clone(),
            slices: (0..PAGE_SLICES).map(grant).collect(),
            ..PageRecord::default()
        }
    };
    let pages: PageMap = (0..PAGES).map(|number| (number, page(number))).collect();
    shares(load, &pages, owners)
}

/// Returns the slices that move when modulo placement goes from one number of owners to another.
#[must_use]
pub fn modulo_moves(from: usize, to: usize) -> f64 {
    let moved = (0..SLICES as usize).filter(|slice| slice % from != slice % to);
    moved.count() as f64
}

/// Returns the bytes of memory that this process holds.
#[must_use]
pub fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
