//! Announces a backend server to the agent on the same instance.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use jy_kernel::clock;
use jy_types::backend::ANNOUNCE_INTERVAL_MS;
use jy_types::backend::ANNOUNCE_PATH;
use jy_types::backend::Announcement;
use jy_types::name::Name;
use tokio::time::sleep;

use crate::backend_state::BackendState;

const ANSWER_TIMEOUT_MS: u64 = 400;

/// Description of a backend server and the address of its agent.
#[derive(Clone, Debug)]
pub struct AnnounceTarget {
    /// Address on which the agent accepts announcements.
    pub agent: SocketAddr,
    /// Address on which the backend server accepts requests.
    pub address: SocketAddr,
    /// Workspace that the backend server serves.
    pub workspace: Name,
    /// Service that the backend server runs.
    pub service: Name,
    /// Requests that it handles concurrently once warm.
    pub slots: u32,
    /// Whether it refuses requests with a fence lower than the highest of their unit.
    pub checks_fence: bool,
}

/// Sends announcements periodically, without end. Failed announcements are ignored, since the next one
/// follows after [`ANNOUNCE_INTERVAL_MS`].
pub async fn run(target: AnnounceTarget, state: Rc<RefCell<BackendState>>) {
    let client = Client::default();
    let url = format!("http://{}{ANNOUNCE_PATH}", target.agent);
    loop {
        let announcement = build_announcement(&target, &state.borrow());
        let result = client
            .post(&url)
            .timeout(Duration::from_millis(ANSWER_TIMEOUT_MS))
            .send_json(&announcement)
            .await;
        if let Ok(mut answer) = result {
            let _ = answer.body().await;
        }
        sleep(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
    }
}

/// Builds the announcement of the current state.
fn build_announcement(target: &AnnounceTarget, state: &BackendState) -> Announcement {
    Announcement {
        workspace: Name::clone(&target.workspace),
        service: Name::clone(&target.service),
        address: target.address,
        slots: target.slots,
        checks_fence: target.checks_fence,
        start_stamp: state.start_stamp(),
        cold: state.is_announced_cold(clock::now()),
        draining: state.is_draining(),
    }
}
