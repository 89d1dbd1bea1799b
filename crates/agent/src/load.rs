//! Measures request rates of slices and of the hottest keys, for the agent's reports.

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

/// Number of keys that are counted individually.
const MAX_COUNTED_KEYS: usize = 128;

const MAX_REPORTED_KEYS: usize = 32;

const MILLIS_PER_SECOND: f32 = 1_000.0;

/// Counts requests since the last report.
#[derive(Debug)]
pub struct LoadMeter {
    slices: RefCell<BTreeMap<SliceId, u32>>,
    keys: RefCell<HashMap<KeyHash, u32>>,
    counted_from: Cell<Millis>,
}

impl LoadMeter {
    /// Creates a meter that counts from now on.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slices: RefCell::default(),
            keys: RefCell::default(),
            counted_from: Cell::new(clock::now()),
        }
    }

    /// Counts a request for a key and its unit.
    pub fn record(&self, key: KeyHash, unit: Unit) {
        if let Unit::Slice(slice) = unit {
            *self.slices.borrow_mut().entry(slice).or_default() += 1;
        }
        count_key(&mut self.keys.borrow_mut(), key);
    }

    /// Returns the request rates since the last call and resets the counts.
    #[must_use]
    pub fn take(&self) -> (Vec<SliceLoad>, Vec<KeyLoad>) {
        let now = clock::now();
        let elapsed_ms = now.since(self.counted_from.replace(now)).max(1);
        #[expect(
            clippy::cast_precision_loss,
            reason = "the precision of f32 suffices for a rate"
        )]
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
            .take(MAX_REPORTED_KEYS)
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

/// Counts a request for a key. If the table is full, the key replaces the one with the lowest count and
/// inherits that count (the Space-Saving algorithm), so that a hot key is never missed and its count is too
/// high by at most the lowest count.
fn count_key(keys: &mut HashMap<KeyHash, u32>, key: KeyHash) {
    if let Some(count) = keys.get_mut(&key) {
        *count += 1;
        return;
    }
    let inherited_count = if keys.len() < MAX_COUNTED_KEYS {
        0
    } else {
        let coldest = keys.iter().min_by_key(|(key, count)| (**count, **key));
        let coldest = coldest.map(|(key, count)| (*key, *count));
        coldest.map_or(0, |(key, count)| {
            keys.remove(&key);
            count
        })
    };
    keys.insert(key, inherited_count + 1);
}
