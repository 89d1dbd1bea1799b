//! Records what a schedule does to one agent's lease, as a trace.

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

/// One step of a node's holder or monitor.
#[derive(Clone, Debug)]
pub enum NodeStep {
    /// Of the holder.
    Holder(Millis, HolderEvent),
    /// Of the monitor.
    Monitor(Millis, MonitorEvent),
}

/// Renewals of other agents are recorded at most this often, as ticks of the monitor.
const OTHER_STEP_MS: u64 = 400;

/// The recorded lines.
#[derive(Debug)]
pub struct TraceRecorder {
    target: AgentId,
    lines: Vec<TraceLine<LeaseEvent>>,
    stepped: BTreeMap<AgentId, Millis>,
}

impl TraceRecorder {
    /// Makes a recorder of an agent.
    #[must_use]
    pub const fn new(target: AgentId) -> Self {
        Self {
            target,
            lines: Vec::new(),
            stepped: BTreeMap::new(),
        }
    }

    /// The agent.
    #[must_use]
    pub const fn target(&self) -> &AgentId {
        &self.target
    }

    fn push(&mut self, at: u64, event: LeaseEvent) {
        let at = Millis(at);
        self.lines.push(TraceLine { at, event });
    }

    /// Records a node's step.
    pub fn step(&mut self, at: u64, node: &AgentId, step: NodeStep) {
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
                self.monitor_step(at, node, local, event);
            }
            _ => {}
        }
    }

    fn monitor_step(&mut self, at: u64, node: &AgentId, local: Millis, event: MonitorEvent) {
        let last = self.stepped.get(node).copied().unwrap_or_default();
        let is_early = last != Millis(0) && local < last.plus(OTHER_STEP_MS);
        let event = match event {
            MonitorEvent::Renewal { from, .. } if from != self.target => {
                if is_early {
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
        self.stepped.insert(node.clone(), local);
        let monitor = node.clone();
        let event = LeaseEvent::Monitor {
            local,
            monitor,
            event,
        };
        self.push(at, event);
    }

    /// Records what reaches the controller.
    pub fn controller(&mut self, at: u64, local: Millis, input: &ControllerInput) {
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

    /// Records a decision of the controller.
    pub fn judge(&mut self, at: u64, local: Millis, stored: &StoredRecord) {
        let event = LeaseEvent::Judge {
            local,
            current: stored.record.monitors.clone(),
            next: stored.record.next_monitors.clone(),
        };
        self.push(at, event);
    }

    /// Records a request that reaches the agent.
    pub fn request(&mut self, at: u64, local: Millis) {
        self.push(at, LeaseEvent::Request { local });
    }

    /// Returns all monitors that the agent ever had.
    fn named_monitors(&self) -> BTreeSet<AgentId> {
        let sets = |line: &TraceLine<LeaseEvent>| match &line.event {
            LeaseEvent::Judge { current, next, .. } => {
                let sets = std::iter::once(current).chain(next);
                sets.flat_map(|set| set.monitors.clone()).collect()
            }
            _ => Vec::new(),
        };
        self.lines.iter().flat_map(sets).collect()
    }

    /// Returns the trace as JSON lines.
    ///
    /// # Errors
    ///
    /// If a line has no JSON form.
    pub fn text(&self, settings: &CheckSettings, seed: u64) -> serde_json::Result<String> {
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
        let concerns = |line: &&TraceLine<LeaseEvent>| match &line.event {
            LeaseEvent::Monitor { monitor, .. }
            | LeaseEvent::Dead { monitor, .. }
            | LeaseEvent::Left { monitor, .. } => named.contains(monitor),
            _ => true,
        };
        for line in self.lines.iter().filter(concerns) {
            text.push('\n');
            text.push_str(&serde_json::to_string(line)?);
        }
        text.push('\n');
        Ok(text)
    }
}
