//! Tickers, which call a service at the times that it requests.

use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Maximum time between two checks of the clock, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;

/// Wakes a ticker after the time of its next tick may have changed.
pub type TickerWake = Rc<Notify>;

/// Calls `tick` whenever the time that `next` returns has been reached. Never returns.
pub async fn run(wake: TickerWake, next: impl Fn() -> Millis, tick: impl Fn()) {
    loop {
        let now = clock::now();
        let due = next();
        if due <= now {
            tick();
            actix_rt::task::yield_now().await;
            continue;
        }
        let sleep_ms = due.since(now).min(MAX_SLEEP_MS);
        tokio::select! {
            () = sleep(Duration::from_millis(sleep_ms)) => {}
            () = wake.notified() => {}
        }
    }
}
