//! Replays a recorded trace of one lease: its holder, the holder's monitors and the controller's tally.
//!
//! A trace records the events that reached each of them, with the time on the receiver's own clock.
//! Replies, votes and verdicts are computed again, so a rule that the header breaks changes the outcome.
//! Votes and verdicts take effect at once, which is earlier than in any network.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::TraceError;
use jy_kernel::trace::read_events;
use jy_kernel::trace::read_header;
use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::member::MonitorSet;
use jy_types::member::Place;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::holder::HolderAction;
use crate::holder::HolderEvent;
use crate::holder::HolderState;
use crate::monitor::MonitorAction;
use crate::monitor::MonitorEvent;
use crate::monitor::MonitorState;
use crate::rule::BrokenRule;
use crate::tally::VoteTally;
use crate::timing::LeaseTiming;

/// Name of this area in the header of a trace.
pub const AREA: &str = "lease";

/// Settings in the header of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSettings {
    /// Periods of the lease protocol.
    pub timing: LeaseTiming,
    /// The agent that holds the lease.
    pub target: AgentId,
    /// The rule to break; none in a normal replay.
    #[serde(default)]
    pub broken: Option<BrokenRule>,
}

/// An event of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEvent {
    /// The holder receives an event other than a reply.
    Holder {
        /// Time on the holder's clock.
        local: Millis,
        /// The event.
        event: HolderEvent,
    },
    /// A monitor's reply reaches the holder.
    Reply {
        /// Time on the holder's clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
        /// Sequence number of the renewal.
        sequence: u64,
    },
    /// A monitor receives an event.
    Monitor {
        /// Time on the monitor's clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
        /// The event.
        event: MonitorEvent,
    },
    /// The controller reads that a monitor is dead.
    Dead {
        /// Time on the controller's clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
    },
    /// The controller reads that a monitor left.
    Left {
        /// Time on the controller's clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
    },
    /// The controller checks whether the votes under these sets suffice for a verdict, which then takes
    /// effect at once.
    #[serde(rename = "judge")]
    CheckVerdict {
        /// Time on the controller's clock.
        local: Millis,
        /// The current set.
        current: MonitorSet,
        /// The set that is to replace the current one.
        next: Option<MonitorSet>,
    },
    /// A request reaches the agent.
    Request {
        /// Time on the holder's clock.
        local: Millis,
    },
}

struct LeaseReplay {
    settings: LeaseSettings,
    holder: HolderState,
    monitors: BTreeMap<AgentId, MonitorState>,
    /// Whether the monitor accepted the renewal, by monitor and sequence number.
    replies: BTreeMap<(AgentId, u64), bool>,
    tally: VoteTally,
    /// Sequence number of the newest renewal.
    newest_sequence: u64,
    verdict_at: Option<Millis>,
    admitted: u64,
    refused: u64,
    admitted_after_verdict: u64,
}

/// Replays a trace and returns its figures.
///
/// - `verdicts`: 1 if there was a verdict, otherwise 0.
/// - `verdict_at_ms`: when the verdict was reached, in real time of the trace; missing without a verdict.
/// - `admitted`: requests that were admitted before the verdict.
/// - `refused`: requests that were refused before the verdict, after the first admitted one.
/// - `admitted_after_verdict`: requests that were admitted after the verdict.
///
/// # Errors
///
/// Returns a [`TraceError`] if the header is missing, or if the header, its settings or an event can't be
/// parsed.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = read_header(source, text)?;
    let settings = serde_json::from_value(header.settings)
        .map_err(|cause| TraceError::invalid_settings(source, cause))?;
    let mut replay = LeaseReplay::new(settings);
    for line in read_events::<LeaseEvent>(source, text)? {
        replay.apply(line.at, line.event);
    }
    Ok(replay.figures())
}

impl LeaseReplay {
    /// Creates a replay in which the holder has no monitors, and no monitor and no vote is known.
    fn new(settings: LeaseSettings) -> Self {
        let timing = BrokenRule::tally_timing(settings.broken, settings.timing);
        Self {
            holder: HolderState::new(settings.target.clone(), settings.timing),
            monitors: BTreeMap::new(),
            replies: BTreeMap::new(),
            tally: VoteTally::new(timing),
            newest_sequence: 0,
            verdict_at: None,
            admitted: 0,
            refused: 0,
            admitted_after_verdict: 0,
            settings,
        }
    }

    fn is_broken(&self, rule: BrokenRule) -> bool {
        self.settings.broken == Some(rule)
    }

    fn apply(&mut self, at: Millis, event: LeaseEvent) {
        match event {
            LeaseEvent::Holder { local, event } => self.step_holder(local, event),
            LeaseEvent::Reply {
                local,
                monitor,
                sequence,
            } => self.apply_reply(local, monitor, sequence),
            LeaseEvent::Monitor {
                local,
                monitor,
                event,
            } => self.step_monitor(local, monitor, event),
            LeaseEvent::Dead { local, monitor } => self.record_dead(local, &monitor),
            LeaseEvent::Left { local, monitor } => {
                if self.is_broken(BrokenRule::LeftCounted) {
                    self.record_dead(local, &monitor);
                }
            }
            LeaseEvent::CheckVerdict {
                local,
                current,
                next,
            } => self.check_verdict(at, local, current, next),
            LeaseEvent::Request { local } => self.count_request(local),
        }
    }

    fn step_holder(&mut self, local: Millis, event: HolderEvent) {
        let (holder, actions) = self.holder.clone().step(local, event);
        self.holder = holder;
        for HolderAction::Renew { sequence, .. } in actions {
            self.newest_sequence = sequence;
        }
    }

    fn apply_reply(&mut self, local: Millis, monitor: AgentId, sequence: u64) {
        let key = (monitor.clone(), sequence);
        let accepted = self.replies.get(&key).copied().unwrap_or(false);
        let counts_from_reply = self.is_broken(BrokenRule::SupportFromReply);
        let sequence = if counts_from_reply {
            self.newest_sequence
        } else {
            sequence
        };
        let event = HolderEvent::Reply {
            monitor,
            sequence,
            accepted,
        };
        self.step_holder(local, event);
    }

    fn step_monitor(&mut self, local: Millis, id: AgentId, event: MonitorEvent) {
        let always_supports = self.is_broken(BrokenRule::SupportWithoutLease);
        let event = match event {
            MonitorEvent::OwnLease { .. } if always_supports => {
                let until = Millis::MAX;
                MonitorEvent::OwnLease { until }
            }
            event => event,
        };
        let timing = BrokenRule::monitor_timing(self.settings.broken, self.settings.timing);
        let new_monitor = || MonitorState::new(id.clone(), timing);
        let state = self.monitors.remove(&id).unwrap_or_else(new_monitor);
        let (state, actions) = state.step(local, event);
        self.monitors.insert(id.clone(), state);
        let always_accepts = self.is_broken(BrokenRule::RenewAfterVote);
        for action in actions {
            match action {
                MonitorAction::Reply {
                    sequence, accepted, ..
                } => {
                    let key = (id.clone(), sequence);
                    self.replies.insert(key, accepted || always_accepts);
                }
                MonitorAction::Vote { target } => {
                    self.tally = self.tally.clone().with_vote(&id, &target);
                }
            }
        }
    }

    fn record_dead(&mut self, local: Millis, monitor: &AgentId) {
        self.tally = self.tally.clone().with_ended(local, monitor);
    }

    /// Checks for a verdict; under the next set alone if [`BrokenRule::NoJointSet`] is broken.
    fn check_verdict(
        &mut self,
        at: Millis,
        local: Millis,
        current: MonitorSet,
        next: Option<MonitorSet>,
    ) {
        let is_joint = !self.is_broken(BrokenRule::NoJointSet);
        let member = match next {
            Some(next) if !is_joint => member_record(&self.settings.target, next, None),
            next => member_record(&self.settings.target, current, next),
        };
        if self.verdict_at.is_none() && self.tally.is_decided(local, &member) {
            self.verdict_at = Some(at);
        }
    }

    fn count_request(&mut self, local: Millis) {
        let is_admitted = local < self.holder.lease_until();
        match (self.verdict_at, is_admitted) {
            (None, true) => self.admitted += 1,
            (None, false) => self.refused += u64::from(self.admitted > 0),
            (Some(_), true) => self.admitted_after_verdict += 1,
            (Some(_), false) => {}
        }
    }

    fn figures(&self) -> FigureMap {
        let mut figures = FigureMap::new();
        let admitted_after = self.admitted_after_verdict as f64;
        figures.insert("admitted".into(), self.admitted as f64);
        figures.insert("refused".into(), self.refused as f64);
        figures.insert("admitted_after_verdict".into(), admitted_after);
        figures.insert("verdicts".into(), f64::from(self.verdict_at.is_some()));
        if let Some(at) = self.verdict_at {
            figures.insert("verdict_at_ms".into(), at.0 as f64);
        }
        figures
    }
}

/// Returns a live member record of an agent with these monitor sets.
fn member_record(id: &AgentId, monitors: MonitorSet, next: Option<MonitorSet>) -> MemberRecord {
    let unused_addr = SocketAddr::from(([0, 0, 0, 0], 0));
    MemberRecord {
        state: MemberState::Live,
        monitors,
        next_monitors: next,
        ..MemberRecord::new(
            id.clone(),
            Place::new("", "", ""),
            AgentAddrs::new(unused_addr),
        )
    }
}
