//! Shell of the leases: renews the agent's own and supports others'.

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

/// Name of the holder's trace.
const HOLDER_AREA: &str = "lease-holder";

/// Name of the monitor's trace.
const MONITOR_AREA: &str = "lease-monitor";

/// Called with the new end of the lease.
pub type LeaseListener = Rc<dyn Fn(Millis)>;

/// Called with the agent that this monitor votes against.
pub type VoteFn = Rc<dyn Fn(AgentId)>;

/// Called with the agent and the revision that it has.
pub type RevisionFn = Rc<dyn Fn(&AgentId, u64)>;

/// The agent's lease and its promises to others.
pub struct LeaseService {
    id: AgentId,
    holder: StateCell<HolderState>,
    monitor: StateCell<MonitorState>,
    no_verdict_before: Cell<Millis>,
    feed: Rc<FeedService>,
    peers: Rc<PeerService>,
    listeners: RefCell<Vec<LeaseListener>>,
    vote: RefCell<Option<VoteFn>>,
    revision: RefCell<Option<RevisionFn>>,
    wake: TickerWake,
    tap: Rc<TraceWriters>,
}

/// What a trace's header tells of a lease.
#[derive(Serialize)]
struct LeaseHeader<'a> {
    id: &'a AgentId,
    timing: LeaseTiming,
}

impl LeaseService {
    /// Makes the service without monitors.
    #[must_use]
    pub fn new(
        id: AgentId,
        timing: LeaseTiming,
        feed: Rc<FeedService>,
        peers: Rc<PeerService>,
        tap: Rc<TraceWriters>,
    ) -> Self {
        let header = LeaseHeader { id: &id, timing };
        tap.start(HOLDER_AREA, 0, &header);
        tap.start(MONITOR_AREA, 0, &header);
        Self {
            holder: StateCell::new(HolderState::new(id.clone(), timing)),
            monitor: StateCell::new(MonitorState::new(id.clone(), timing)),
            no_verdict_before: Cell::new(Millis(0)),
            id,
            feed,
            peers,
            listeners: RefCell::default(),
            vote: RefCell::default(),
            revision: RefCell::default(),
            wake: TickerWake::default(),
            tap,
        }
    }

    /// Adds a listener for the end of the lease.
    pub fn listen(&self, listener: LeaseListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Sets where votes go.
    pub fn on_vote(&self, vote: VoteFn) {
        *self.vote.borrow_mut() = Some(vote);
    }

    /// Sets what is done with revisions that others tell.
    pub fn on_revision(&self, revision: RevisionFn) {
        *self.revision.borrow_mut() = Some(revision);
    }

    /// Wakes the ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// When the leases want their next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        let holder = self.holder.read(HolderState::next_tick);
        holder.min(self.monitor.read(MonitorState::next_tick))
    }

    /// The agent may admit requests strictly before this point.
    #[must_use]
    pub fn lease_until(&self) -> Millis {
        self.holder.read(HolderState::lease_until)
    }

    /// Epoch of the newest monitor set that the agent counts on alone.
    #[must_use]
    pub fn counted_epoch(&self) -> u64 {
        self.holder.read(HolderState::counted_epoch)
    }

    /// Time passed.
    pub fn tick(self: &Rc<Self>) {
        self.step_holder(HolderEvent::Tick);
        self.step_monitor(MonitorEvent::Tick);
    }

    /// Takes a new view in: the agent's own monitors and the agents that it monitors.
    pub fn on_view(self: &Rc<Self>, view: &FleetView) {
        if let Some(own) = view.member(&self.id) {
            if own.state.has_ended() {
                self.step_holder(HolderEvent::Condemned);
            } else {
                self.step_holder(HolderEvent::Sets {
                    current: own.monitors.clone(),
                    next: own.next_monitors.clone(),
                });
            }
        }
        let watched = view
            .present()
            .filter(|member| monitors(member, &self.id))
            .map(|member| member.id.clone())
            .collect();
        self.step_monitor(MonitorEvent::Watched(watched));
    }

    /// Answers another agent's renewal.
    #[must_use]
    pub fn on_renewal(self: &Rc<Self>, renewal: Renewal) -> RenewalReply {
        self.note_revision(&renewal.from, renewal.revision);
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

    /// Steps the holder and does what it says.
    fn step_holder(self: &Rc<Self>, event: HolderEvent) {
        self.tap.record(HOLDER_AREA, &event);
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

    /// Notes that a read sent at `sent` found no verdict on this agent.
    pub fn note_no_verdict(self: &Rc<Self>, sent: Millis) {
        self.no_verdict_before.set(sent);
        self.notify_monitor();
    }

    /// Tells the monitor the newest point before which there was no verdict on this agent.
    fn notify_monitor(self: &Rc<Self>) {
        let until = self.lease_until().max(self.no_verdict_before.get());
        self.step_monitor(MonitorEvent::OwnLease { until });
    }

    /// Steps the monitor and does what it says.
    fn step_monitor(self: &Rc<Self>, event: MonitorEvent) {
        for action in self.monitor_actions(event) {
            if let MonitorAction::Vote { target } = action {
                self.cast_vote(target);
            }
        }
        self.wake.notify_one();
    }

    /// Steps the monitor.
    fn monitor_actions(&self, event: MonitorEvent) -> Vec<MonitorAction> {
        self.tap.record(MONITOR_AREA, &event);
        let now = clock::now();
        self.monitor.step(|monitor| monitor.step(now, event))
    }

    /// Sends a vote on.
    fn cast_vote(&self, target: AgentId) {
        let vote = self.vote.borrow().clone();
        if let Some(vote) = vote {
            vote(target);
        }
    }

    /// Tells that another agent has a revision.
    fn note_revision(&self, from: &AgentId, revision: u64) {
        let note = self.revision.borrow().clone();
        if let Some(note) = note {
            note(from, revision);
        }
    }

    /// Sends a renewal and takes its reply.
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
                    log::debug!("renewal: {error}");
                    return;
                }
            };
            lease.note_revision(&to, reply.revision);
            lease.step_holder(HolderEvent::Reply {
                monitor: to,
                sequence: reply.sequence,
                accepted: reply.accepted,
            });
        });
    }
}

/// Whether a member's record names an agent as its monitor.
fn monitors(member: &MemberRecord, id: &AgentId) -> bool {
    let next = member.next_monitors.iter().flat_map(|set| &set.monitors);
    member
        .monitors
        .monitors
        .iter()
        .chain(next)
        .any(|monitor| monitor == id)
}
