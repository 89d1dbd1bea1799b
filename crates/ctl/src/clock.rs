//! Real sleeping, the wall clock and random tokens.

use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jy_types::time::WallMillis;
use uuid::Uuid;

use crate::accept::PauseFn;

/// Returns a random token that identifies one write.
#[must_use]
pub fn fresh_token() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}

/// Returns a function that sleeps on the real clock.
#[must_use]
pub fn pause_fn() -> PauseFn {
    Rc::new(|millis| Box::pin(actix_rt::time::sleep(Duration::from_millis(millis))))
}

/// Reads the wall clock.
#[must_use]
pub fn wall_now() -> WallMillis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Formats a time in UTC, such as `2026-12-04 09:30:00Z`.
#[must_use]
pub fn wall_text(time: WallMillis) -> String {
    let seconds = i64::try_from(time.0 / 1_000).unwrap_or(i64::MAX);
    chrono::DateTime::from_timestamp(seconds, 0).map_or_else(
        || format!("{} ms", time.0),
        |time| time.format("%F %TZ").to_string(),
    )
}
