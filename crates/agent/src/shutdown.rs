//! Graceful shutdown: hands units over, waits for open requests and closes connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jy_gate::api::GateEvent;
use jy_kernel::clock;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::feed::FeedService;
use crate::gate::GateService;
use crate::gateway::GatewayService;
use crate::listeners::ListenerSet;

/// Time within which the units must be handed over, in milliseconds. After it the agent stops anyway and its
/// lease expires.
const HANDOVER_TIMEOUT_MS: u64 = 60_000;

/// Time for callers' connections to close after their next answer, in milliseconds. After it idle connections
/// are closed.
const ANSWER_CLOSE_TIMEOUT_MS: u64 = 3_000;

/// Time within which requests that arrive while idle connections are being closed must end, in milliseconds.
const IDLE_CLOSE_TIMEOUT_MS: u64 = 10_000;

const POLL_INTERVAL_MS: u64 = 50;

/// Asks the agent to leave the fleet, at a process signal or an operator's request.
#[derive(Clone, Debug, Default)]
pub struct LeaveSignal {
    raised: Rc<Cell<bool>>,
    closing: Rc<Cell<bool>>,
    changed: Rc<Notify>,
}

impl LeaveSignal {
    /// Creates a signal that is not raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks the agent to leave.
    pub fn raise(&self) {
        self.raised.set(true);
        self.changed.notify_waiters();
    }

    /// Whether the agent was asked to leave.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.raised.get()
    }

    /// Whether callers' connections are to be closed after their next answer.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until the agent is asked to leave.
    pub async fn wait(&self) {
        while !self.is_raised() {
            self.changed.notified().await;
        }
    }
}

/// Waits until the records say that the agent has left, that is, other agents own its units. Returns after
/// [`HANDOVER_TIMEOUT_MS`] at the latest.
pub async fn hand_over(id: &AgentId, feed: &FeedService) {
    log::info!("leaving: handing units over");
    let deadline = clock::now().plus(HANDOVER_TIMEOUT_MS);
    let has_left = || {
        let view = feed.view();
        view.member(id)
            .is_none_or(|member| member.state == MemberState::Left)
    };
    while !has_left() && clock::now() < deadline {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Waits for open requests and closes all connections: first each one after its next answer, then the idle
/// ones.
pub async fn close(
    signal: &LeaveSignal,
    listeners: &ListenerSet,
    gate: &Rc<GateService>,
    gateway: &GatewayService,
) {
    let is_idle = || gate.is_idle() && gateway.open_requests() == 0;
    signal.closing.set(true);
    listeners.accept_task.abort();
    gate.step(GateEvent::Drain);
    wait_until(ANSWER_CLOSE_TIMEOUT_MS, || {
        is_idle() && listeners.caller_connections.open_connections() == 0
    })
    .await;
    listeners.caller_connections.close();
    listeners.peer_connections.close();
    let is_closed = || {
        listeners.caller_connections.open_connections()
            + listeners.peer_connections.open_connections()
            == 0
    };
    wait_until(IDLE_CLOSE_TIMEOUT_MS, || is_idle() && is_closed()).await;
    log::info!("stopped serving requests");
}

/// Waits until `condition` holds, for at most `timeout_ms` milliseconds.
async fn wait_until(timeout_ms: u64, condition: impl Fn() -> bool) {
    let deadline = clock::now().plus(timeout_ms);
    while !condition() && clock::now() < deadline {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
