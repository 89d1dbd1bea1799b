//! Monotonic clock that includes suspension, and wall clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jy_types::time::Millis;
use jy_types::time::WallMillis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads `CLOCK_BOOTTIME`, which also advances while the machine is suspended.
#[must_use]
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Millis(seconds * 1_000 + nanos / 1_000_000)
}

/// Reads the wall clock. It is only compared with times in request ids that callers generate.
#[must_use]
pub fn wall_now() -> WallMillis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
