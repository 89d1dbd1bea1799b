//! Single hot keys pinned apart from their slices, and back.
//!
//! A pin is made and dropped at the slice's owner only, and only while nobody else can move the
//! slice: its page was written last under this controller's term, no write of it is under way and
//! it is in no planned move.

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

/// A key with fewer requests a second is not worth a pin.
const LEAST_RATE: f64 = 5.0;

/// Samples of a key that are needed before it is pinned.
const NEEDED_SAMPLES: u8 = 2;

/// Samples of a key that are needed before it is called cold.
const NEEDED_COLD_SAMPLES: u8 = 4;

/// Changes of pins in one write.
const CHANGES_AT_ONCE: usize = 32;

/// Pins the hottest keys and unpins cold ones. Returns the keys whose pin was made or dropped.
pub fn place_keys(
    table: &mut ServiceTable,
    loads: &ServiceLoads,
    most: usize,
    is_own_page: impl Fn(u32) -> bool,
) -> Vec<(KeyHash, bool)> {
    let owners = table.owners.endpoints().count().max(1) as f64;
    let total: f64 = table.owners.endpoints().map(|(_, entry)| entry.load).sum();
    let mean = total / owners;
    let mut changed = unpin_cold(table, loads, mean, &is_own_page);
    let pinned = table.pins().count();
    let room = most.saturating_sub(pinned);
    let hot = hottest_keys(table, loads, mean, room.min(CHANGES_AT_ONCE));
    for (key, _) in hot {
        if pin_key(table, key, &is_own_page) {
            changed.push((key, true));
        }
    }
    changed
}

/// Returns the hottest keys that are not pinned yet, the hottest first.
fn hottest_keys(
    table: &ServiceTable,
    loads: &ServiceLoads,
    mean: f64,
    most: usize,
) -> Vec<(KeyHash, HotKey)> {
    let least = (mean * PIN_SHARE).max(LEAST_RATE);
    let mut hot: Vec<(KeyHash, HotKey)> = loads
        .hot_keys()
        .filter(|(_, load)| load.samples >= NEEDED_SAMPLES && f64::from(load.rate) >= least)
        .filter(|(key, _)| table.find_pin(*key).is_none())
        .collect();
    hot.sort_by(|left, right| right.1.rate.total_cmp(&left.1.rate));
    hot.truncate(most);
    hot
}

/// Whether a unit rests at an endpoint, with nothing under way.
fn rests(table: &ServiceTable, entry: &UnitEntry) -> bool {
    let standing = |owner: usize| table.owners.get(owner).standing;
    !entry.locked
        && entry.next.is_none()
        && entry.owner.map(standing) == Some(OwnerEligibility::Endpoint)
}

/// Pins a key at its slice's owner if the slice rests.
fn pin_key(table: &mut ServiceTable, key: KeyHash, is_own_page: &impl Fn(u32) -> bool) -> bool {
    let page = key.slice().page().0;
    let index = key.slice().0 as usize;
    let entry = table.units[index];
    if !rests(table, &entry) {
        return false;
    }
    if !is_own_page(page) {
        table.adopted.insert(page);
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

/// Brings cold pinned keys back to their slice's owner and drops the pins of those that are there.
fn unpin_cold(
    table: &mut ServiceTable,
    loads: &ServiceLoads,
    mean: f64,
    is_own_page: &impl Fn(u32) -> bool,
) -> Vec<(KeyHash, bool)> {
    let known: BTreeMap<KeyHash, HotKey> = loads.hot_keys().collect();
    let least = (mean * UNPIN_SHARE).max(LEAST_RATE * 0.5);
    let is_cold = |key: KeyHash| {
        known
            .get(&key)
            .is_none_or(|load| load.samples >= NEEDED_COLD_SAMPLES && f64::from(load.rate) < least)
    };
    let cold: Vec<(usize, KeyHash)> = table
        .pins()
        .filter(|(_, key, entry)| is_cold(*key) && rests(table, entry))
        .map(|(index, key, _)| (index, key))
        .take(CHANGES_AT_ONCE)
        .collect();
    let mut changed = Vec::new();
    for (index, key) in cold {
        if unpin_key(table, index, key, is_own_page) {
            changed.push((key, false));
        }
    }
    changed
}

/// Does the next step of bringing one cold key back. Returns whether its pin is dropped.
fn unpin_key(
    table: &mut ServiceTable,
    index: usize,
    key: KeyHash,
    is_own_page: &impl Fn(u32) -> bool,
) -> bool {
    let page = key.slice().page().0;
    let place = key.slice().0 as usize;
    let pin = table.units[index];
    let slice = table.units[place];
    let (true, Some(owner)) = (rests(table, &slice), slice.owner) else {
        return false;
    };
    if pin.owner != Some(owner) {
        table.move_to(index, owner);
        return false;
    }
    if slice.fence <= pin.fence {
        table.own(place, owner);
        return false;
    }
    if !is_own_page(page) {
        table.adopted.insert(page);
        return false;
    }
    table.change(Unit::Key(key), UnitChange::Unpin);
    table.units[place].locked = true;
    table.units[index].locked = true;
    true
}
