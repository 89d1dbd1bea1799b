//! When the set of backend servers of a service is complete enough to divide its keys.
//!
//! Load pattern: all machines start together, but the backend servers of a large fleet announce themselves one
//! after the other, over seconds. If the keys are divided among the first of them, each later one gets half of
//! some owner's keys, and the shares differ several times over.

use jy_types::time::Millis;

/// Watches the number of backend servers of a service until it stays the same.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSettling {
    count: usize,
    changed_at: Millis,
}

impl FleetSettling {
    /// Creates a watch that has seen no backend server.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the present number of backend servers, and returns whether there are any and their number has
    /// been the same for `quiet_ms` milliseconds.
    pub fn observe(&mut self, now: Millis, count: usize, quiet_ms: u64) -> bool {
        if count != self.count {
            self.count = count;
            self.changed_at = now;
        }
        count > 0 && now.since(self.changed_at) >= quiet_ms
    }
}
