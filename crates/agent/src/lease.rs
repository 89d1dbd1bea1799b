//! The agent's lease service: renews the agent's own lease and supports the leases of the agents it monitors.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_kernel::clock;
use jy_kernel::state::StateCell;
use jy_lease::holder::HolderAction;
use jy_lease::holder::HolderEvent;
use jy_lease::holder::HolderState;
use jy_lease::monitor::MonitorAction;
use jy_lease::monitor::MonitorEvent;
use jy_lease::monitor::MonitorState;
use jy_lease::timing::LeaseTiming;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::peer::RENEW_METHOD;
use jy_types::peer::Renewal;
use jy_types::peer::RenewalReply;
use jy_types::time::Millis;
use serde::Serialize;

use crate::feed::FeedService;
use crate::peers::PeerService;
use crate::timer::TickerWake;
use crate::tracing::TraceWriters;

/// Name of this service.
pub const SERVICE: &str = "lease";

/// Area of the holder's trace.
const HOLDER_AREA: &str = "lease-holder";

/// Area of the monitor's trace.
const MONITOR_AREA: &str = "lease-monitor";

/// Called with the new end of the lease.
pub type LeaseListener = Rc<dyn Fn(Millis)>;

/// Called with the agent that this monitor votes against.
pub type VoteListener = Rc<dyn Fn(AgentId)>;

/// Called with another agent and the revision of its replica.
pub type RevisionListener = Rc<dyn Fn(&AgentId, u64)>;

/// Runs both lease roles of an agent: holder of its own lease, and monitor of other agents' leases.
pub struct LeaseService {
    id: AgentId,
    holder: StateCell<HolderState>,
    monitor: StateCell<MonitorState>,
    no_verdict_before: Cell<Millis>,
    feed: Rc<FeedService>,
    peers: Rc<PeerService>,
    listeners: RefCell<Vec<LeaseListener>>,
    vote_listener: RefCell<Option<VoteListener>>,
    revision_listener: RefCell<Option<RevisionListener>>,
    wake: TickerWake,
    traces: Rc<TraceWriters>,
}

/// Settings in the header of a lease's trace.
#[derive(Serialize)]
struct LeaseHeader<'a> {
    id: &'a AgentId,
    timing: LeaseTiming,
}

impl LeaseService {
    /// Creates a holder without monitors and a monitor that watches no agents.
    #[must_use]
    pub fn new(
        id: AgentId,
        timing: LeaseTiming,
        feed: Rc<FeedService>,
        peers: Rc<PeerService>,
        traces: Rc<TraceWriters>,
    ) -> Self {
        let header = LeaseHeader { id: &id, timing };
        traces.start(HOLDER_AREA, 0, &header);
        traces.start(MONITOR_AREA, 0, &header);
        Self {
            holder: StateCell::new(HolderState::new(id.clone(), timing)),
            monitor: StateCell::new(MonitorState::new(id.clone(), timing)),
            no_verdict_before: Cell::new(Millis(0)),
            id,
            feed,
            peers,
            listeners: RefCell::default(),
            vote_listener: RefCell::default(),
            revision_listener: RefCell::default(),
            wake: TickerWake::default(),
            traces,
        }
    }

    /// Adds a listener for changes of the end of the lease.
    pub fn add_listener(&self, listener: LeaseListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Sets the listener for this monitor's votes.
    pub fn on_vote(&self, listener: VoteListener) {
        *self.vote_listener.borrow_mut() = Some(listener);
    }

    /// Sets the listener for the revisions that other agents report with renewals and replies.
    pub fn on_revision(&self, listener: RevisionListener) {
        *self.revision_listener.borrow_mut() = Some(listener);
    }

    /// Returns the handle that wakes the ticker of the leases.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// Returns the time at which the holder or the monitor needs its next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        let holder = self.holder.read(HolderState::next_tick);
        holder.min(self.monitor.read(MonitorState::next_tick))
    }

    /// Returns the end of the lease; the agent may admit requests strictly before it.
    #[must_use]
    pub fn lease_until(&self) -> Millis {
        self.holder.read(HolderState::lease_until)
    }

    /// Returns the epoch of the newest monitor set that the agent relies on alone.
    #[must_use]
    pub fn sole_epoch(&self) -> u64 {
        self.holder.read(HolderState::sole_epoch)
    }

    /// Passes a tick to the holder and the monitor.
    pub fn tick(self: &Rc<Self>) {
        self.step_holder(HolderEvent::Tick);
        self.step_monitor(MonitorEvent::Tick);
    }

    /// Updates the agent's own monitors and the agents that it monitors from a new view.
    pub fn on_view(self: &Rc<Self>, view: &FleetView) {
        if let Some(own) = view.member(&self.id) {
            if own.state.has_ended() {
                self.step_holder(HolderEvent::VerdictRead);
            } else {
                self.step_holder(HolderEvent::Sets {
                    current: own.monitors.clone(),
                    next: own.next_monitors.clone(),
                });
            }
        }
        let watched = view
            .present()
            .filter(|member| is_monitored_by(member, &self.id))
            .map(|member| member.id.clone())
            .collect();
        self.step_monitor(MonitorEvent::Watched(watched));
    }

    /// Handles another agent's renewal and returns the reply.
    #[must_use]
    pub fn on_renewal(self: &Rc<Self>, renewal: Renewal) -> RenewalReply {
        self.notify_revision(&renewal.from, renewal.revision);
        let mut reply = RenewalReply {
            sequence: renewal.sequence,
            accepted: false,
            revision: self.feed.revision(),
        };
        if renewal.to != self.id {
            return reply;
        }
        let event = MonitorEvent::Renewal {
            from: renewal.from,
            sequence: renewal.sequence,
        };
        for action in self.monitor_actions(event) {
            match action {
                MonitorAction::Reply { accepted, .. } => reply.accepted = accepted,
                MonitorAction::Vote { target } => self.cast_vote(target),
            }
        }
        reply
    }

    /// Passes an event to the holder, sends the renewals that it requests and notifies the listeners if the
    /// end of the lease changed.
    fn step_holder(self: &Rc<Self>, event: HolderEvent) {
        self.traces.record(HOLDER_AREA, &event);
        let before = self.lease_until();
        let now = clock::now();
        let actions = self.holder.step(|holder| holder.step(now, event));
        for HolderAction::Renew { to, sequence } in actions {
            self.send_renewal(to, sequence);
        }
        let until = self.lease_until();
        if until != before {
            self.notify_monitor();
            let listeners = self.listeners.borrow().clone();
            for listener in listeners {
                listener(until);
            }
        }
        self.wake.notify_one();
    }

    /// Records that a read of the agent's own record, sent at `sent`, found no verdict on this agent.
    pub fn record_no_verdict(self: &Rc<Self>, sent: Millis) {
        self.no_verdict_before.set(sent);
        self.notify_monitor();
    }

    /// Notifies the monitor of the latest time before which there was no verdict on this agent.
    fn notify_monitor(self: &Rc<Self>) {
        let until = self.lease_until().max(self.no_verdict_before.get());
        self.step_monitor(MonitorEvent::OwnLease { until });
    }

    /// Passes an event to the monitor and casts the votes that it requests.
    fn step_monitor(self: &Rc<Self>, event: MonitorEvent) {
        for action in self.monitor_actions(event) {
            if let MonitorAction::Vote { target } = action {
                self.cast_vote(target);
            }
        }
        self.wake.notify_one();
    }

    /// Passes an event to the monitor and returns the actions that it requests.
    fn monitor_actions(&self, event: MonitorEvent) -> Vec<MonitorAction> {
        self.traces.record(MONITOR_AREA, &event);
        let now = clock::now();
        self.monitor.step(|monitor| monitor.step(now, event))
    }

    /// Passes a vote to its listener.
    fn cast_vote(&self, target: AgentId) {
        let listener = self.vote_listener.borrow().clone();
        if let Some(listener) = listener {
            listener(target);
        }
    }

    /// Passes the revision of another agent's replica to its listener.
    fn notify_revision(&self, from: &AgentId, revision: u64) {
        let listener = self.revision_listener.borrow().clone();
        if let Some(listener) = listener {
            listener(from, revision);
        }
    }

    /// Sends a renewal and passes its reply to the holder.
    fn send_renewal(self: &Rc<Self>, to: AgentId, sequence: u64) {
        let view: Arc<FleetView> = self.feed.view();
        let Some(address) = view.member(&to).map(|member| member.rpc_addr) else {
            return;
        };
        let renewal = Renewal {
            from: self.id.clone(),
            to: to.clone(),
            sequence,
            revision: self.feed.revision(),
        };
        let lease = Rc::clone(self);
        actix_rt::spawn(async move {
            let reply = lease.peers.call(address, RENEW_METHOD, &renewal).await;
            let reply: RenewalReply = match reply {
                Ok(reply) => reply,
                Err(error) => {
                    log::debug!("lease renewal failed: {error}");
                    return;
                }
            };
            lease.notify_revision(&to, reply.revision);
            lease.step_holder(HolderEvent::Reply {
                monitor: to,
                sequence: reply.sequence,
                accepted: reply.accepted,
            });
        });
    }
}

/// Returns whether a member's record names an agent as its current or next monitor.
fn is_monitored_by(member: &MemberRecord, id: &AgentId) -> bool {
    let next = member.next_monitors.iter().flat_map(|set| &set.monitors);
    member
        .monitors
        .monitors
        .iter()
        .chain(next)
        .any(|monitor| monitor == id)
}
