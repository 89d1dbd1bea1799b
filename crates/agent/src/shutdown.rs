//! Leaving: hand the units over, end what runs, then stop.

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

/// Longest time to leave, in milliseconds; after it the agent stops and its lease runs out.
const LEAVE_LIMIT_MS: u64 = 60_000;

/// Callers' connections get this long to close with an answer before idle ones are closed, in
/// milliseconds.
const LINGER_MS: u64 = 3_000;

/// Requests that arrive as idle connections close get this long to end, in milliseconds.
const CLOSE_LIMIT_MS: u64 = 10_000;

/// Wait between two looks, in milliseconds.
const LOOK_MS: u64 = 50;

/// Makes the agent leave, from a signal or an operator.
#[derive(Clone, Debug, Default)]
pub struct LeaveSignal {
    raised: Rc<Cell<bool>>,
    closing: Rc<Cell<bool>>,
    changed: Rc<Notify>,
}

impl LeaveSignal {
    /// Makes a signal that is not raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the agent leave.
    pub fn raise(&self) {
        self.raised.set(true);
        self.changed.notify_waiters();
    }

    /// Whether the agent is to leave.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.raised.get()
    }

    /// Whether callers' connections are closed after their next answer.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until the agent is to leave.
    pub async fn wait(&self) {
        while !self.is_raised() {
            self.changed.notified().await;
        }
    }
}

/// Waits until the agent has left: its units are others'.
pub async fn hand_over(id: &AgentId, feed: &FeedService) {
    log::info!("leaving: handing units over");
    let limit = clock::now().plus(LEAVE_LIMIT_MS);
    let has_left = || {
        let view = feed.view();
        view.member(id)
            .is_none_or(|member| member.state == MemberState::Left)
    };
    while !has_left() && clock::now() < limit {
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Ends what runs and closes all connections: first each with its next answer, then the idle ones.
pub async fn close(
    signal: &LeaveSignal,
    listeners: &ListenerSet,
    gate: &Rc<GateService>,
    gateway: &GatewayService,
) {
    let is_idle = || gate.is_idle() && gateway.open() == 0;
    signal.closing.set(true);
    listeners.accepting.abort();
    gate.step(GateEvent::Drain);
    wait_until(LINGER_MS, || is_idle() && listeners.callers.open() == 0).await;
    listeners.callers.close();
    listeners.peers.close();
    let is_closed = || listeners.callers.open() + listeners.peers.open() == 0;
    wait_until(CLOSE_LIMIT_MS, || is_idle() && is_closed()).await;
    log::info!("closed: requests ended");
}

/// Waits until something holds, at most `millis` milliseconds.
async fn wait_until(millis: u64, holds: impl Fn() -> bool) {
    let limit = clock::now().plus(millis);
    while !holds() && clock::now() < limit {
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}
