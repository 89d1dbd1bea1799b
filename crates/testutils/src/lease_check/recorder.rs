//! Collects the events of a schedule that affect one agent's lease, as the lines of a trace.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_kernel::trace::TraceHeader;
use jy_kernel::trace::TraceLine;
use jy_lease::holder::HolderEvent;
use jy_lease::monitor::MonitorEvent;
use jy_lease::replay::AREA;
use jy_lease::replay::LeaseEvent;
use jy_lease::replay::LeaseSettings;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::time::Millis;

use super::controller::ControllerInput;
use super::settings::CheckSettings;
use super::store::StoredRecord;

/// One step of a node's holder or monitor: the time on the node's clock and the event.
#[derive(Clone, Debug)]
pub enum NodeStep {
    /// A step of the holder.
    Holder(Millis, HolderEvent),
    /// A step of the monitor.
    Monitor(Millis, MonitorEvent),
}

/// Time after a monitor's last recorded step within which renewals of other agents are left out.
const OTHER_RENEWAL_INTERVAL_MS: u64 = 400;

/// Recorder of one agent's lease.
#[derive(Debug)]
pub struct TraceRecorder {
    target: AgentId,
    lines: Vec<TraceLine<LeaseEvent>>,
    last_step_at: BTreeMap<AgentId, Millis>,
}

impl TraceRecorder {
    /// Creates a recorder for an agent.
    #[must_use]
    pub const fn new(target: AgentId) -> Self {
        Self {
            target,
            lines: Vec::new(),
            last_step_at: BTreeMap::new(),
        }
    }

    /// The agent whose lease is recorded.
    #[must_use]
    pub const fn target(&self) -> &AgentId {
        &self.target
    }

    fn push(&mut self, at: u64, event: LeaseEvent) {
        let at = Millis(at);
        self.lines.push(TraceLine { at, event });
    }

    /// Records a step of the agent's holder or of another node's monitor.
    pub fn push_step(&mut self, at: u64, node: &AgentId, step: NodeStep) {
        match step {
            NodeStep::Holder(local, event) if *node == self.target => {
                let event = match event {
                    HolderEvent::Reply {
                        monitor, sequence, ..
                    } => LeaseEvent::Reply {
                        local,
                        monitor,
                        sequence,
                    },
                    event => LeaseEvent::Holder { local, event },
                };
                self.push(at, event);
            }
            NodeStep::Monitor(local, event) if *node != self.target => {
                self.push_monitor_step(at, node, local, event);
            }
            _ => {}
        }
    }

    /// Records a step of a monitor. Renewals of agents other than the target become ticks, and are left out
    /// if the monitor's last recorded step is less than [`OTHER_RENEWAL_INTERVAL_MS`] ago.
    fn push_monitor_step(&mut self, at: u64, node: &AgentId, local: Millis, event: MonitorEvent) {
        let last = self.last_step_at.get(node).copied().unwrap_or_default();
        let is_too_soon = last != Millis(0) && local < last.plus(OTHER_RENEWAL_INTERVAL_MS);
        let event = match event {
            MonitorEvent::Renewal { from, .. } if from != self.target => {
                if is_too_soon {
                    return;
                }
                MonitorEvent::Tick
            }
            MonitorEvent::Watched(mut agents) => {
                agents.retain(|agent| *agent == self.target);
                MonitorEvent::Watched(agents)
            }
            event => event,
        };
        self.last_step_at.insert(node.clone(), local);
        let monitor = node.clone();
        let event = LeaseEvent::Monitor {
            local,
            monitor,
            event,
        };
        self.push(at, event);
    }

    /// Records that the controller reads that a monitor is dead or left.
    pub fn push_input(&mut self, at: u64, local: Millis, input: &ControllerInput) {
        let ControllerInput::Record(stored) = input else {
            return;
        };
        if stored.record.id == self.target {
            return;
        }
        let monitor = stored.record.id.clone();
        match stored.record.state {
            MemberState::Dead => self.push(at, LeaseEvent::Dead { local, monitor }),
            MemberState::Left => self.push(at, LeaseEvent::Left { local, monitor }),
            _ => {}
        }
    }

    /// Records that the controller decides on the agent under the monitor sets of this record.
    pub fn push_decision(&mut self, at: u64, local: Millis, stored: &StoredRecord) {
        let event = LeaseEvent::CheckVerdict {
            local,
            current: stored.record.monitors.clone(),
            next: stored.record.next_monitors.clone(),
        };
        self.push(at, event);
    }

    /// Records a request that reaches the agent.
    pub fn push_request(&mut self, at: u64, local: Millis) {
        self.push(at, LeaseEvent::Request { local });
    }

    /// Returns all monitors that the recorded sets of the agent name.
    fn named_monitors(&self) -> BTreeSet<AgentId> {
        let sets = |line: &TraceLine<LeaseEvent>| match &line.event {
            LeaseEvent::CheckVerdict { current, next, .. } => {
                let sets = std::iter::once(current).chain(next);
                sets.flat_map(|set| set.monitors.clone()).collect()
            }
            _ => Vec::new(),
        };
        self.lines.iter().flat_map(sets).collect()
    }

    /// Returns the trace as JSON lines, without events of monitors that the agent never had.
    ///
    /// # Errors
    ///
    /// Returns an error if a line can't be serialized as JSON.
    pub fn to_json_lines(&self, settings: &CheckSettings, seed: u64) -> serde_json::Result<String> {
        let header = TraceHeader {
            area: AREA.into(),
            seed,
            settings: serde_json::to_value(LeaseSettings {
                timing: settings.timing,
                target: self.target.clone(),
                broken: None,
            })?,
        };
        let mut text = serde_json::to_string(&header)?;
        let named = self.named_monitors();
        let is_relevant = |line: &&TraceLine<LeaseEvent>| match &line.event {
            LeaseEvent::Monitor { monitor, .. }
            | LeaseEvent::Dead { monitor, .. }
            | LeaseEvent::Left { monitor, .. } => named.contains(monitor),
            _ => true,
        };
        for line in self.lines.iter().filter(is_relevant) {
            text.push('\n');
            text.push_str(&serde_json::to_string(line)?);
        }
        text.push('\n');
        Ok(text)
    }
}
