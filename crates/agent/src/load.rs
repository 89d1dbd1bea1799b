//! Counts requests by slice and finds the hottest keys, for the agent's reports.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;

use jy_kernel::clock;
use jy_types::key::KeyHash;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::peer::KeyLoad;
use jy_types::peer::SliceLoad;
use jy_types::time::Millis;

/// Keys counted apart; the hottest are among them.
const COUNTED_KEYS: usize = 128;

/// Keys of one report.
const REPORTED_KEYS: usize = 32;

/// Milliseconds of a second.
const MILLIS_PER_SECOND: f32 = 1_000.0;

/// Requests since the last report.
#[derive(Debug)]
pub struct LoadMeter {
    slices: RefCell<BTreeMap<SliceId, u32>>,
    keys: RefCell<HashMap<KeyHash, u32>>,
    since: Cell<Millis>,
}

impl LoadMeter {
    /// Starts counting.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slices: RefCell::default(),
            keys: RefCell::default(),
            since: Cell::new(clock::now()),
        }
    }

    /// Counts one request of a key in its unit.
    pub fn note(&self, key: KeyHash, unit: Unit) {
        if let Unit::Slice(slice) = unit {
            *self.slices.borrow_mut().entry(slice).or_default() += 1;
        }
        count_key(&mut self.keys.borrow_mut(), key);
    }

    /// Returns the rates since the last call and starts anew.
    #[must_use]
    pub fn take(&self) -> (Vec<SliceLoad>, Vec<KeyLoad>) {
        let now = clock::now();
        let elapsed_ms = now.since(self.since.replace(now)).max(1);
        #[expect(clippy::cast_precision_loss, reason = "a rate needs no more")]
        let rate = |count: u32| count as f32 * MILLIS_PER_SECOND / elapsed_ms as f32;
        let slices = self
            .slices
            .take()
            .into_iter()
            .map(|(slice, count)| SliceLoad {
                slice,
                rate: rate(count),
            })
            .collect();
        let mut counts: Vec<(KeyHash, u32)> = self.keys.take().into_iter().collect();
        counts.sort_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        let keys = counts
            .into_iter()
            .take(REPORTED_KEYS)
            .map(|(key, count)| KeyLoad {
                key,
                rate: rate(count),
            })
            .collect();
        (slices, keys)
    }
}

impl Default for LoadMeter {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts a key; when all places are taken, the coldest key's place and count go to the new one,
/// so that a hot key is never missed and its count is at most too high by the coldest count.
fn count_key(keys: &mut HashMap<KeyHash, u32>, key: KeyHash) {
    if let Some(count) = keys.get_mut(&key) {
        *count += 1;
        return;
    }
    let inherited = if keys.len() < COUNTED_KEYS {
        0
    } else {
        let coldest = keys.iter().min_by_key(|(key, count)| (**count, **key));
        let coldest = coldest.map(|(key, count)| (*key, *count));
        coldest.map_or(0, |(key, count)| {
            keys.remove(&key);
            count
        })
    };
    keys.insert(key, inherited + 1);
}
