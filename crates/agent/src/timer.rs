//! Ticks of a decision at the points in time that it asks for.

use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Longest sleep between two looks at the clock, in milliseconds.
const LONGEST_SLEEP_MS: u64 = 1_000;

/// Wakes a ticker whose next point in time has changed.
pub type TickerWake = Rc<Notify>;

/// Calls `tick` whenever the point in time that `next` returns has passed. Never returns.
pub async fn run(wake: TickerWake, next: impl Fn() -> Millis, tick: impl Fn()) {
    loop {
        let now = clock::now();
        let due = next();
        if due <= now {
            tick();
            actix_rt::task::yield_now().await;
            continue;
        }
        let millis = due.since(now).min(LONGEST_SLEEP_MS);
        tokio::select! {
            () = sleep(Duration::from_millis(millis)) => {}
            () = wake.notified() => {}
        }
    }
}
