//! An unexpected error in one of the agent's tasks.

use std::time::Duration;

use googletest::prelude::*;
use jy_edge::tasks::TaskStarter;
use tokio::time::timeout;

/// Guards against an agent that stays half alive after one of its tasks has panicked.
#[gtest]
fn start_panicking_task_is_reported() {
    let report = actix_rt::System::new().block_on(async {
        let (starter, mut ended) = TaskStarter::new();
        starter.start("steady", std::future::pending());
        starter.start("faulty", async { panic!("an unexpected error") });
        timeout(Duration::from_secs(5), ended.recv()).await
    });
    expect_that!(report.ok().flatten(), some(eq("faulty")));
}
