//! Points in time. Deadlines are stored as points in time, never as durations.

use serde::Deserialize;
use serde::Serialize;

/// A point on the clock that also counts time in suspension (`CLOCK_BOOTTIME`), in milliseconds.
///
/// Processes on different instances do not share this clock, so a value is not sent to another instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest point in time.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the point `millis` milliseconds later.
    #[must_use]
    pub const fn plus(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Returns the point `millis` milliseconds earlier, or zero.
    #[must_use]
    pub const fn minus(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }

    /// Returns the milliseconds from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A point on the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallMillis(pub u64);
