//! Waiting, the wall clock and fresh tokens.

use std::rc::Rc;
use std::time::Duration;

use uuid::Uuid;

use crate::accept::PauseFn;

/// Draws a token that no other write has.
#[must_use]
pub fn fresh_token() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}

/// Returns a pause on the real clock.
#[must_use]
pub fn pause() -> PauseFn {
    Rc::new(|millis| Box::pin(actix_rt::time::sleep(Duration::from_millis(millis))))
}
