//! Backend servers that announce themselves one after the other when a fleet starts.

use googletest::prelude::*;
use jy_policy::settling::FleetSettling;
use jy_types::time::Millis;

/// Time without a new backend server after which the fleet counts as complete, in milliseconds.
const QUIET_MS: u64 = 400;

/// Guards against keys that are divided among the first few backend servers of a large fleet.
#[gtest]
fn observe_announcements_over_seconds_waits_for_last() {
    let mut settling = FleetSettling::new();
    let announced = |now: u64| (now.saturating_sub(1_000) / 30).min(46) as usize;
    let settled = (0..10_000)
        .step_by(50)
        .find(|now| settling.observe(Millis(*now), announced(*now), QUIET_MS));
    let settled = settled.expect("the fleet settles");
    expect_that!(announced(settled), eq(46));
    expect_that!(settled, le(1_000 + 46 * 30 + QUIET_MS + 100));
}

#[gtest]
fn observe_no_backend_server_never_settles() {
    let mut settling = FleetSettling::new();
    expect_that!(settling.observe(Millis(10_000), 0, QUIET_MS), eq(false));
}
