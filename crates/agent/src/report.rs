//! Sends the agent's report to the controller at a fixed interval, and at once after an urgent change.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_types::member::AgentId;
use jy_types::peer::AgentReport;
use jy_types::time::Millis;
use tokio::time::sleep;

use crate::control::ControlService;
use crate::feed::FeedService;
use crate::gate::GateService;
use crate::lease::LeaseService;
use crate::shutdown::LeaveSignal;

/// Interval between reports without urgent changes, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// Interval between checks for an urgent change, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Sends reports that are built from the services below.
pub struct ReportService {
    /// Id of this agent.
    pub id: AgentId,
    /// Provides the revision of the records and the current controller.
    pub feed: Rc<FeedService>,
    /// Provides the epoch of the monitor set that the agent relies on.
    pub lease: Rc<LeaseService>,
    /// Provides the loads of the agent's units.
    pub gate: Rc<GateService>,
    /// Sends the reports to the controller.
    pub control: Rc<ControlService>,
    /// Signals that the agent is leaving.
    pub leave: LeaveSignal,
}

/// The state whose changes are reported at once.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UrgentState {
    epoch: u64,
    leaving: bool,
    controller: Option<AgentId>,
}

impl ReportService {
    /// Sends reports when they are due. Never returns.
    pub async fn run(&self) {
        let due = Cell::new(Millis(0));
        let mut sent = None;
        loop {
            let urgent = self.urgent_state();
            if clock::now() >= due.get() || sent.as_ref() != Some(&urgent) {
                self.send(&urgent);
                due.set(clock::now().plus(REPORT_INTERVAL_MS));
                sent = Some(urgent);
            }
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
    }

    /// Returns the current state whose changes are reported at once.
    fn urgent_state(&self) -> UrgentState {
        let view = self.feed.view();
        UrgentState {
            epoch: self.lease.sole_epoch(),
            leaving: self.leave.is_raised(),
            controller: view.term.as_ref().map(|term| term.value.holder.clone()),
        }
    }

    /// Sends one report to the controller.
    fn send(&self, urgent: &UrgentState) {
        let (slices, keys) = self.gate.take_loads();
        self.control.send_report(AgentReport {
            from: self.id.clone(),
            monitors_epoch: urgent.epoch,
            leaving: urgent.leaving,
            revision: self.feed.revision(),
            slices,
            keys,
        });
    }
}
