//! Tells the controller about the agent every few seconds, and at once when it matters.

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

/// Time between reports, in milliseconds.
const REPORT_EVERY_MS: u64 = 2_000;

/// Wait between two looks for a change that matters, in milliseconds.
const LOOK_MS: u64 = 100;

/// What reports are made of.
pub struct ReportService {
    /// The agent.
    pub id: AgentId,
    /// The records.
    pub feed: Rc<FeedService>,
    /// The lease.
    pub lease: Rc<LeaseService>,
    /// The gate.
    pub gate: Rc<GateService>,
    /// The way to the controller.
    pub control: Rc<ControlService>,
    /// Whether the agent leaves.
    pub leave: LeaveSignal,
}

/// What makes a report due at once.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UrgentPart {
    epoch: u64,
    leaving: bool,
    controller: Option<AgentId>,
}

impl ReportService {
    /// Sends reports. Never returns.
    pub async fn run(&self) {
        let due = Cell::new(Millis(0));
        let mut sent = None;
        loop {
            let urgent = self.urgent_part();
            if clock::now() >= due.get() || sent.as_ref() != Some(&urgent) {
                self.send(&urgent);
                due.set(clock::now().plus(REPORT_EVERY_MS));
                sent = Some(urgent);
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Looks at what makes a report due at once.
    fn urgent_part(&self) -> UrgentPart {
        let view = self.feed.view();
        UrgentPart {
            epoch: self.lease.counted_epoch(),
            leaving: self.leave.is_raised(),
            controller: view.term.as_ref().map(|term| term.value.holder.clone()),
        }
    }

    /// Sends one report.
    fn send(&self, urgent: &UrgentPart) {
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
