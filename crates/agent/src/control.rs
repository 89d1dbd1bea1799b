//! The agent's controller service: runs the controller's decision logic, and sends this agent's messages to
//! the agent that holds the controller's role.

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

/// Delay before a release notice is repeated for the first time, in milliseconds; it doubles each time.
const MIN_RELEASE_RETRY_DELAY_MS: u64 = 250;

/// Upper limit of the delay between two notices of the same release, in milliseconds.
const MAX_RELEASE_RETRY_DELAY_MS: u64 = 2_000;

/// Runs the controller's decision logic and sends messages to the agent that holds the role.
pub struct ControlService {
    id: AgentId,
    state: StateCell<ControlState>,
    feed: Rc<FeedService>,
    store: StoreClient,
    peers: Rc<PeerService>,
    is_controller: Cell<bool>,
    wake: TickerWake,
    traces: Rc<TraceWriters>,
}

impl ControlService {
    /// Creates a controller that does not hold the role.
    #[must_use]
    pub fn new(
        id: AgentId,
        settings: ControlSettings,
        feed: Rc<FeedService>,
        store: StoreClient,
        peers: Rc<PeerService>,
        traces: Rc<TraceWriters>,
    ) -> Self {
        traces.start(SERVICE, id.incarnation, &settings);
        Self {
            state: StateCell::new(ControlState::new(settings, id.incarnation)),
            id,
            feed,
            store,
            peers,
            is_controller: Cell::new(false),
            wake: TickerWake::default(),
            traces,
        }
    }

    /// Returns the handle that wakes the controller's ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// Returns the time at which the controller needs its next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(ControlState::next_tick)
    }

    /// Passes changed records to the decision logic.
    pub fn on_records(self: &Rc<Self>, changed: &RecordBatch) {
        self.step(ControlEvent::Records(changed.clone()));
    }

    /// Takes the role under the given term, or gives it up if there is none.
    pub fn on_role(self: &Rc<Self>, term: Option<u64>) {
        self.is_controller.set(term.is_some());
        let event = match term {
            Some(term) => ControlEvent::Elected { term },
            None => ControlEvent::Deposed,
        };
        self.step(event);
    }

    /// Passes an event to the decision logic and performs the actions that it returns.
    pub fn step(self: &Rc<Self>, event: ControlEvent) {
        self.traces.record(SERVICE, &event);
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for ControlAction::Write { key, expect, value } in actions {
            let control = Rc::clone(self);
            actix_rt::spawn(async move { control.write(key, expect, value).await });
        }
        self.wake.notify_one();
    }

    /// Writes a record by compare-and-swap and reports the outcome to the decision logic.
    async fn write(self: Rc<Self>, key: Name, expect: u64, value: Option<Name>) {
        let call = SwapCall {
            key: key.clone(),
            expect,
            value,
            lease: None,
        };
        let result = self.store.swap(&call).await;
        self.feed.record_store_result(&result);
        let end = match result {
            Ok(SwapOutcome::Applied { revision }) => WriteOutcome::Applied { revision },
            Ok(SwapOutcome::Conflict { .. }) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        };
        self.step(ControlEvent::Written { key, end });
    }

    /// Sends a vote against the agent `target` to the controller.
    pub fn send_vote(self: &Rc<Self>, target: AgentId) {
        let notice = VoteNotice {
            from: self.id.clone(),
            target,
        };
        self.send_to_controller(VOTE_METHOD, notice, ControlEvent::Vote);
    }

    /// Sends the agent's report to the controller.
    pub fn send_report(self: &Rc<Self>, report: AgentReport) {
        self.send_to_controller(REPORT_METHOD, report, ControlEvent::Report);
    }

    /// Sends a message to the controller, or handles it here if this agent is the controller.
    ///
    /// Without a known controller, the message is dropped.
    fn send_to_controller<M: Serialize + 'static>(
        self: &Rc<Self>,
        method: &'static str,
        message: M,
        event: fn(M) -> ControlEvent,
    ) {
        if self.is_controller.get() {
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

    /// Sends the window of idle units to their next owners and a release notice to the controller.
    ///
    /// Repeats this, also during an outage of the store, until the records show for each unit that this agent
    /// is not its owner or that it has no next owner. A window that has arrived is not sent again.
    pub fn release(
        self: &Rc<Self>,
        service: ServiceKey,
        units: Vec<Unit>,
        entries: Vec<WindowEntry>,
    ) {
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let mut delivered = BTreeMap::new();
            let mut retry_delay_ms = MIN_RELEASE_RETRY_DELAY_MS;
            loop {
                let remaining = control.leaving_units(&service, &units);
                if remaining.is_empty() {
                    return;
                }
                control
                    .hand_over(&service, &remaining, &entries, &mut delivered)
                    .await;
                control.send_release(&service, remaining);
                sleep(Duration::from_millis(retry_delay_ms)).await;
                retry_delay_ms = (retry_delay_ms * 2).min(MAX_RELEASE_RETRY_DELAY_MS);
            }
        });
    }

    /// Notifies the controller of the units that this agent no longer serves.
    fn send_release(self: &Rc<Self>, service: &ServiceKey, remaining: Vec<LeavingUnit>) {
        let released = |unit: LeavingUnit| ReleasedUnit {
            unit: unit.unit,
            fence: unit.fence,
        };
        let notice = ReleaseNotice {
            from: self.id.clone(),
            workspace: service.0.clone(),
            service: service.1.clone(),
            units: remaining.into_iter().map(released).collect(),
        };
        self.send_to_controller(RELEASE_METHOD, notice, ControlEvent::Released);
    }

    /// Returns those of the units that the records still assign to this agent and that have a next owner.
    fn leaving_units(&self, service: &ServiceKey, units: &[Unit]) -> Vec<LeavingUnit> {
        let view = self.feed.view();
        let leaving = |unit: &Unit| {
            let grant = view.grant(service, *unit)?;
            let next = grant.next_owner?;
            (grant.owner.as_ref() == Some(&self.id)).then_some(LeavingUnit {
                unit: *unit,
                fence: grant.fence,
                next,
            })
        };
        units.iter().filter_map(leaving).collect()
    }

    /// Sends the window of units to those next owners that have not received it yet. Without the window, the
    /// next owner treats a unit as if its previous owner had been lost.
    async fn hand_over(
        &self,
        service: &ServiceKey,
        remaining: &[LeavingUnit],
        entries: &[WindowEntry],
        delivered: &mut BTreeMap<Unit, AgentId>,
    ) {
        let view = self.feed.view();
        for (next, units) in group_by_next_owner(remaining, delivered) {
            let Some(address) = view.member(&next).map(|member| member.rpc_addr) else {
                continue;
            };
            let is_in_units = |entry: &&WindowEntry| units.contains(&entry.unit);
            let handover = WindowHandover {
                from: self.id.clone(),
                to: next.clone(),
                workspace: service.0.clone(),
                service: service.1.clone(),
                entries: entries.iter().filter(is_in_units).cloned().collect(),
                units,
            };
            let sent = self
                .peers
                .call::<_, bool>(address, HANDOVER_METHOD, &handover);
            match sent.await {
                Ok(_) => delivered.extend(handover.units.iter().map(|unit| (*unit, next.clone()))),
                Err(error) => log::warn!(
                    "next owner did not confirm the window of {} units: {error}",
                    handover.units.len()
                ),
            }
        }
    }
}

/// A unit that the records assign to this agent and that has a next owner.
#[derive(Clone, Debug)]
struct LeavingUnit {
    unit: Unit,
    fence: Fence,
    next: AgentId,
}

/// Groups the units whose next owner has not received their window by that owner.
fn group_by_next_owner(
    remaining: &[LeavingUnit],
    delivered: &BTreeMap<Unit, AgentId>,
) -> BTreeMap<AgentId, Vec<Unit>> {
    let mut units_by_owner: BTreeMap<AgentId, Vec<Unit>> = BTreeMap::new();
    for leaving in remaining {
        if delivered.get(&leaving.unit) != Some(&leaving.next) {
            let units = units_by_owner.entry(leaving.next.clone()).or_default();
            units.push(leaving.unit);
        }
    }
    units_by_owner
}
