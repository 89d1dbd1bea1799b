//! Shell of the controller, and the agent's calls to whichever agent holds the role.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jy_control::api::ControlAction;
use jy_control::api::ControlEvent;
use jy_control::api::ControlSettings;
use jy_control::api::WriteOutcome;
use jy_control::core::ControlState;
use jy_feed::view::ServiceKey;
use jy_kernel::clock;
use jy_kernel::state::StateCell;
use jy_store::client::StoreClient;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use jy_types::assign::Fence;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::name::Name;
use jy_types::peer::AgentReport;
use jy_types::peer::HANDOVER_METHOD;
use jy_types::peer::RELEASE_METHOD;
use jy_types::peer::REPORT_METHOD;
use jy_types::peer::ReleaseNotice;
use jy_types::peer::ReleasedUnit;
use jy_types::peer::VOTE_METHOD;
use jy_types::peer::VoteNotice;
use jy_types::peer::WindowEntry;
use jy_types::peer::WindowHandover;
use jy_types::record::RecordBatch;
use jy_types::time::Millis;
use serde::Serialize;
use tokio::time::sleep;

use crate::feed::FeedService;
use crate::peers::PeerService;
use crate::peers::notify;
use crate::timer::TickerWake;
use crate::tracing::TraceWriters;

/// Name of this service.
pub const SERVICE: &str = "control";

/// First wait between two notices of the same release, in milliseconds; it doubles.
const RELEASE_WAIT_MS: u64 = 250;

/// Longest wait between two notices of the same release, in milliseconds.
const RELEASE_WAIT_LIMIT_MS: u64 = 2_000;

/// The controller's decision and the way to the agent that holds the role.
pub struct ControlService {
    id: AgentId,
    state: StateCell<ControlState>,
    feed: Rc<FeedService>,
    store: StoreClient,
    peers: Rc<PeerService>,
    holds: Cell<bool>,
    wake: TickerWake,
    tap: Rc<TraceWriters>,
}

impl ControlService {
    /// Makes a controller that does not hold the role.
    #[must_use]
    pub fn new(
        id: AgentId,
        settings: ControlSettings,
        feed: Rc<FeedService>,
        store: StoreClient,
        peers: Rc<PeerService>,
        tap: Rc<TraceWriters>,
    ) -> Self {
        tap.start(SERVICE, id.incarnation, &settings);
        Self {
            state: StateCell::new(ControlState::new(settings, id.incarnation)),
            id,
            feed,
            store,
            peers,
            holds: Cell::new(false),
            wake: TickerWake::default(),
            tap,
        }
    }

    /// Wakes the ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// When the controller wants its next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(ControlState::next_tick)
    }

    /// Takes changed records in.
    pub fn on_records(self: &Rc<Self>, changed: &RecordBatch) {
        self.step(ControlEvent::Records(changed.clone()));
    }

    /// Takes or gives up the role.
    pub fn on_role(self: &Rc<Self>, term: Option<u64>) {
        self.holds.set(term.is_some());
        let event = match term {
            Some(term) => ControlEvent::Elected { term },
            None => ControlEvent::Deposed,
        };
        self.step(event);
    }

    /// Takes an event and does what the decision says.
    pub fn step(self: &Rc<Self>, event: ControlEvent) {
        self.tap.record(SERVICE, &event);
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for ControlAction::Write { key, expect, value } in actions {
            let control = Rc::clone(self);
            actix_rt::spawn(async move { control.write(key, expect, value).await });
        }
        self.wake.notify_one();
    }

    /// Writes a record.
    async fn write(self: Rc<Self>, key: Name, expect: u64, value: Option<Name>) {
        let call = SwapCall {
            key: key.clone(),
            expect,
            value,
            lease: None,
        };
        let result = self.store.swap(&call).await;
        self.feed.note_store(&result);
        let end = match result {
            Ok(SwapOutcome::Applied { revision }) => WriteOutcome::Applied { revision },
            Ok(SwapOutcome::Conflict { .. }) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        };
        self.step(ControlEvent::Written { key, end });
    }

    /// Sends a vote to the controller.
    pub fn send_vote(self: &Rc<Self>, target: AgentId) {
        let notice = VoteNotice {
            from: self.id.clone(),
            target,
        };
        self.send(VOTE_METHOD, notice, ControlEvent::Vote);
    }

    /// Sends the agent's report to the controller.
    pub fn send_report(self: &Rc<Self>, report: AgentReport) {
        self.send(REPORT_METHOD, report, ControlEvent::Report);
    }

    /// Sends a message to the controller, or takes it if that is this agent.
    fn send<M: Serialize + 'static>(
        self: &Rc<Self>,
        method: &'static str,
        message: M,
        event: fn(M) -> ControlEvent,
    ) {
        if self.holds.get() {
            self.step(event(message));
            return;
        }
        let view = self.feed.view();
        let controller = view.term.as_ref().map(|term| &term.value.holder);
        let address = controller
            .and_then(|holder| view.member(holder))
            .map(|member| member.rpc_addr);
        if let Some(address) = address {
            notify(&self.peers, address, method, message);
        }
    }

    /// Hands the window of idle units to their next owners and tells the controller, until the
    /// records say that they are no longer this agent's: also through an outage of the store.
    pub fn release(
        self: &Rc<Self>,
        service: ServiceKey,
        units: Vec<Unit>,
        entries: Vec<WindowEntry>,
    ) {
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let mut handed = BTreeMap::new();
            let mut wait_ms = RELEASE_WAIT_MS;
            loop {
                let left = control.units_left(&service, &units);
                if left.is_empty() {
                    return;
                }
                control
                    .hand_over(&service, &left, &entries, &mut handed)
                    .await;
                control.send_release(&service, left);
                sleep(Duration::from_millis(wait_ms)).await;
                wait_ms = (wait_ms * 2).min(RELEASE_WAIT_LIMIT_MS);
            }
        });
    }

    /// Tells the controller which units this agent no longer serves.
    fn send_release(self: &Rc<Self>, service: &ServiceKey, left: Vec<LeavingUnit>) {
        let released = |unit: LeavingUnit| ReleasedUnit {
            unit: unit.unit,
            fence: unit.fence,
        };
        let notice = ReleaseNotice {
            from: self.id.clone(),
            workspace: service.0.clone(),
            service: service.1.clone(),
            units: left.into_iter().map(released).collect(),
        };
        self.send(RELEASE_METHOD, notice, ControlEvent::Released);
    }

    /// Returns the units that the records still give to this agent with a next owner.
    fn units_left(&self, service: &ServiceKey, units: &[Unit]) -> Vec<LeavingUnit> {
        let view = self.feed.view();
        let leaving = |unit: &Unit| {
            let grant = view.grant(service, *unit)?;
            let next = grant.next?;
            (grant.owner.as_ref() == Some(&self.id)).then_some(LeavingUnit {
                unit: *unit,
                fence: grant.fence,
                next,
            })
        };
        units.iter().filter_map(leaving).collect()
    }

    /// Sends the window of units to those next owners that do not have it yet. A window that does
    /// not arrive makes the next owner treat the unit as after a loss.
    async fn hand_over(
        &self,
        service: &ServiceKey,
        left: &[LeavingUnit],
        entries: &[WindowEntry],
        handed: &mut BTreeMap<Unit, AgentId>,
    ) {
        let view = self.feed.view();
        for (next, units) in by_next(left, handed) {
            let Some(address) = view.member(&next).map(|member| member.rpc_addr) else {
                continue;
            };
            let of_units = |entry: &&WindowEntry| units.contains(&entry.unit);
            let handover = WindowHandover {
                from: self.id.clone(),
                to: next.clone(),
                workspace: service.0.clone(),
                service: service.1.clone(),
                entries: entries.iter().filter(of_units).cloned().collect(),
                units,
            };
            let sent = self
                .peers
                .call::<_, bool>(address, HANDOVER_METHOD, &handover);
            match sent.await {
                Ok(_) => handed.extend(handover.units.iter().map(|unit| (*unit, next.clone()))),
                Err(error) => log::warn!(
                    "window of {} units not handed over: {error}",
                    handover.units.len()
                ),
            }
        }
    }
}

/// A unit that this agent owns by the records and that has a next owner.
#[derive(Clone, Debug)]
struct LeavingUnit {
    unit: Unit,
    fence: Fence,
    next: AgentId,
}

/// Sorts units whose next owner does not have their window by that owner.
fn by_next(left: &[LeavingUnit], handed: &BTreeMap<Unit, AgentId>) -> BTreeMap<AgentId, Vec<Unit>> {
    let mut sorted: BTreeMap<AgentId, Vec<Unit>> = BTreeMap::new();
    for leaving in left {
        if handed.get(&leaving.unit) != Some(&leaving.next) {
            let units = sorted.entry(leaving.next.clone()).or_default();
            units.push(leaving.unit);
        }
    }
    sorted
}
