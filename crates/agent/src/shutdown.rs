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

/// Longest time to leave, in milliseconds; after it the agent stops and its lease runs out.
const LEAVE_LIMIT_MS: u64 = 60_000;

/// After the last request, callers get this long to see that their connections close, in
/// milliseconds.
const QUIET_MS: u64 = 1_000;

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

/// Waits until the agent has left: its units are others', its requests ended.
pub async fn leave(
    signal: &LeaveSignal,
    id: &AgentId,
    feed: &FeedService,
    gate: &Rc<GateService>,
    gateway: &GatewayService,
    stop_accepting: impl Fn(),
) {
    let limit = clock::now().plus(LEAVE_LIMIT_MS);
    log::info!("leaving: handing units over");
    let has_left = || {
        let view = feed.view();
        view.member(id)
            .is_none_or(|member| member.state == MemberState::Left)
    };
    while !has_left() && clock::now() < limit {
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    signal.closing.set(true);
    stop_accepting();
    gate.step(GateEvent::Drain);
    let mut quiet_since = clock::now();
    while clock::now() < limit && clock::now().since(quiet_since) < QUIET_MS {
        if !gate.is_idle() || gateway.open() > 0 {
            quiet_since = clock::now();
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    log::info!("left: units handed over, requests ended");
}
