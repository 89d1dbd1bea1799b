//! Pins single hot keys apart from their slices, and unpins them when they are cold.
//!
//! A key is pinned and unpinned only at the owner of its slice, and only while nothing else can move the
//! slice: its page was last written under this controller's term, has no pending write, and the slice is in
//! no planned move.

use std::collections::BTreeMap;

use jy_types::key::KeyHash;
use jy_types::key::Unit;

use crate::loads::HotKey;
use crate::loads::ServiceLoads;
use crate::owners::OwnerEligibility;
use crate::pages::UnitChange;
use crate::tables::ServiceTable;
use crate::tables::UnitEntry;

/// Share of an average owner's load at which a key is pinned.
const PIN_SHARE: f64 = 0.02;

/// Share of an average owner's load under which a pinned key goes back to its slice.
const UNPIN_SHARE: f64 = 0.005;

/// Request rate below which pinning a key is not worthwhile.
const MIN_PIN_RATE_PER_S: f64 = 5.0;

const MIN_PIN_SAMPLES: u8 = 2;

const MIN_UNPIN_SAMPLES: u8 = 4;

/// Limit on keys pinned, and on keys unpinned, in one review.
const MAX_PIN_CHANGES: usize = 32;

/// Pins the hottest keys and unpins cold ones. Returns the changed keys, each with whether it is now pinned.
pub fn place_keys(
    table: &mut ServiceTable,
    loads: &ServiceLoads,
    limit: usize,
    is_adopted_page: impl Fn(u32) -> bool,
) -> Vec<(KeyHash, bool)> {
    let owners = table.owners.endpoints().count().max(1) as f64;
    let total: f64 = table.owners.endpoints().map(|(_, entry)| entry.load).sum();
    let mean = total / owners;
    let mut changed = unpin_cold(table, loads, mean, &is_adopted_page);
    let pinned = table.pins().count();
    let free_pins = limit.saturating_sub(pinned);
    let hot = hottest_keys(table, loads, mean, free_pins.min(MAX_PIN_CHANGES));
    for (key, _) in hot {
        if pin_key(table, key, &is_adopted_page) {
            changed.push((key, true));
        }
    }
    changed
}

/// Returns up to `limit` of the hottest keys that are not pinned yet, the hottest first.
fn hottest_keys(
    table: &ServiceTable,
    loads: &ServiceLoads,
    mean: f64,
    limit: usize,
) -> Vec<(KeyHash, HotKey)> {
    let min_rate = (mean * PIN_SHARE).max(MIN_PIN_RATE_PER_S);
    let mut hot: Vec<(KeyHash, HotKey)> = loads
        .hot_keys()
        .filter(|(_, load)| load.samples >= MIN_PIN_SAMPLES && f64::from(load.rate) >= min_rate)
        .filter(|(key, _)| table.find_pin(*key).is_none())
        .collect();
    hot.sort_by(|left, right| right.1.rate.total_cmp(&left.1.rate));
    hot.truncate(limit);
    hot
}

/// Returns whether a unit is owned by an endpoint and has no planned move and no pending write.
fn is_stable(table: &ServiceTable, entry: &UnitEntry) -> bool {
    let eligibility = |owner: usize| table.owners.get(owner).eligibility;
    !entry.locked
        && entry.next_owner.is_none()
        && entry.owner.map(eligibility) == Some(OwnerEligibility::Endpoint)
}

/// Pins a key at the owner of its slice if the slice is stable. If the page of the slice was not written under
/// this term, requests its rewrite instead. Returns whether the key is pinned.
fn pin_key(table: &mut ServiceTable, key: KeyHash, is_adopted_page: &impl Fn(u32) -> bool) -> bool {
    let page = key.slice().page().0;
    let index = key.slice().0 as usize;
    let entry = table.units[index];
    if !is_stable(table, &entry) {
        return false;
    }
    if !is_adopted_page(page) {
        table.pages_to_adopt.insert(page);
        return false;
    }
    let Some(owner) = entry.owner else {
        return false;
    };
    let change = UnitChange::Pin(table.owners.get(owner).id.clone());
    table.change(Unit::Key(key), change);
    table.units[index].locked = true;
    true
}

/// Moves cold pinned keys to the owners of their slices, and unpins those that are already there.
fn unpin_cold(
    table: &mut ServiceTable,
    loads: &ServiceLoads,
    mean: f64,
    is_adopted_page: &impl Fn(u32) -> bool,
) -> Vec<(KeyHash, bool)> {
    let loads_by_key: BTreeMap<KeyHash, HotKey> = loads.hot_keys().collect();
    let min_rate = (mean * UNPIN_SHARE).max(MIN_PIN_RATE_PER_S * 0.5);
    let is_cold = |key: KeyHash| {
        loads_by_key
            .get(&key)
            .is_none_or(|load| load.samples >= MIN_UNPIN_SAMPLES && f64::from(load.rate) < min_rate)
    };
    let cold: Vec<(usize, KeyHash)> = table
        .pins()
        .filter(|(_, key, entry)| is_cold(*key) && is_stable(table, entry))
        .map(|(index, key, _)| (index, key))
        .take(MAX_PIN_CHANGES)
        .collect();
    let mut changed = Vec::new();
    for (index, key) in cold {
        if unpin_key(table, index, key, is_adopted_page) {
            changed.push((key, false));
        }
    }
    changed
}

/// Takes the next step towards unpinning one cold key: moves the key to its slice's owner, then grants the
/// slice under a newer fence than the pin's, then drops the pin. Returns whether the pin is dropped.
fn unpin_key(
    table: &mut ServiceTable,
    index: usize,
    key: KeyHash,
    is_adopted_page: &impl Fn(u32) -> bool,
) -> bool {
    let page = key.slice().page().0;
    let slice_index = key.slice().0 as usize;
    let pin = table.units[index];
    let slice = table.units[slice_index];
    let (true, Some(owner)) = (is_stable(table, &slice), slice.owner) else {
        return false;
    };
    if pin.owner != Some(owner) {
        table.move_to(index, owner);
        return false;
    }
    if slice.fence <= pin.fence {
        table.assign_to(slice_index, owner);
        return false;
    }
    if !is_adopted_page(page) {
        table.pages_to_adopt.insert(page);
        return false;
    }
    table.change(Unit::Key(key), UnitChange::Unpin);
    table.units[slice_index].locked = true;
    table.units[index].locked = true;
    true
}
