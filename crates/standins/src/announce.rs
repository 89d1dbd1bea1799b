//! Announces a backend server to the agent beside it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use jy_kernel::clock;
use jy_types::backend::ANNOUNCE_EVERY_MS;
use jy_types::backend::ANNOUNCE_PATH;
use jy_types::backend::Announcement;
use jy_types::name::Name;
use tokio::time::sleep;

use crate::backend_state::BackendState;

/// Longest wait for the agent's answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Who a backend server is and where its agent listens.
#[derive(Clone, Debug)]
pub struct AnnounceTarget {
    /// The agent's listener for backend servers.
    pub agent: SocketAddr,
    /// Where the backend server takes requests.
    pub address: SocketAddr,
    /// Workspace it serves.
    pub workspace: Name,
    /// Service it serves.
    pub service: Name,
    /// Requests it handles at once when warm.
    pub slots: u32,
    /// Whether it refuses a lower fence.
    pub checks_fence: bool,
}

/// Announces for ever. A missing agent is no fault: the next announcement tries again.
pub async fn run(target: AnnounceTarget, state: Rc<RefCell<BackendState>>) {
    let client = Client::default();
    let url = format!("http://{}{ANNOUNCE_PATH}", target.agent);
    loop {
        let announcement = describe(&target, &state.borrow());
        let sent = client
            .post(&url)
            .timeout(Duration::from_millis(ANSWER_TIMEOUT_MS))
            .send_json(&announcement)
            .await;
        if let Ok(mut answer) = sent {
            let _ = answer.body().await;
        }
        sleep(Duration::from_millis(ANNOUNCE_EVERY_MS)).await;
    }
}

/// Describes the backend server as it is now.
fn describe(target: &AnnounceTarget, state: &BackendState) -> Announcement {
    Announcement {
        workspace: Name::clone(&target.workspace),
        service: Name::clone(&target.service),
        address: target.address,
        slots: target.slots,
        checks_fence: target.checks_fence,
        start_stamp: state.start_stamp(),
        cold: state.says_cold(clock::now()),
        draining: state.is_draining(),
    }
}
