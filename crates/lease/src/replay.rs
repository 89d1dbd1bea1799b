//! Replay of a recorded lease: one holder, its monitors and the controller's tally.
//!
//! A trace holds what reached each of them and when, on their own clocks. Answers, votes and verdicts
//! are worked out anew, so a rule that the header breaks changes the outcome. Votes and verdicts take
//! effect at once, which is earlier than in any network.

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

/// Area in the header of a trace.
pub const AREA: &str = "lease";

/// Settings in the header of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSettings {
    /// Periods.
    pub timing: LeaseTiming,
    /// The agent that the trace is about.
    pub target: AgentId,
    /// A rule left out.
    #[serde(default)]
    pub broken: Option<BrokenRule>,
}

/// What a trace tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEvent {
    /// Something happens to the holder, a reply apart.
    Holder {
        /// Its clock.
        local: Millis,
        /// What happens.
        event: HolderEvent,
    },
    /// A monitor's answer reaches the holder.
    Reply {
        /// The holder's clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
        /// Sequence of the renewal.
        sequence: u64,
    },
    /// Something happens to a monitor.
    Monitor {
        /// Its clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
        /// What happens.
        event: MonitorEvent,
    },
    /// The controller reads that a monitor is dead.
    Dead {
        /// The controller's clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
    },
    /// The controller reads that a monitor left.
    Left {
        /// The controller's clock.
        local: Millis,
        /// The monitor.
        monitor: AgentId,
    },
    /// The controller decides on the agent under these sets; a verdict takes effect at once.
    Judge {
        /// The controller's clock.
        local: Millis,
        /// The set in force.
        current: MonitorSet,
        /// The set to come.
        next: Option<MonitorSet>,
    },
    /// A request reaches the agent.
    Request {
        /// The holder's clock.
        local: Millis,
    },
}

/// State of a replay.
struct LeaseReplay {
    settings: LeaseSettings,
    holder: HolderState,
    monitors: BTreeMap<AgentId, MonitorState>,
    answers: BTreeMap<(AgentId, u64), bool>,
    tally: VoteTally,
    newest: u64,
    verdict_at: Option<Millis>,
    admitted: u64,
    refused: u64,
    admitted_after_verdict: u64,
}

/// Replays a trace. Figures: `verdicts`, `verdict_at_ms` (real time of the trace; without a verdict
/// it is missing), requests `admitted` and, from the first of them, `refused` before the verdict, and
/// those `admitted_after_verdict`.
///
/// # Errors
///
/// [`TraceError`] with the line.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = read_header(source, text)?;
    let settings = serde_json::from_value(header.settings)
        .map_err(|cause| TraceError::in_header(source, cause))?;
    let mut replay = LeaseReplay::new(settings);
    for line in read_events::<LeaseEvent>(source, text)? {
        replay.take(line.at, line.event);
    }
    Ok(replay.figures())
}

impl LeaseReplay {
    /// Starts with nobody knowing anything.
    fn new(settings: LeaseSettings) -> Self {
        let timing = BrokenRule::tally_timing(settings.broken, settings.timing);
        Self {
            holder: HolderState::new(settings.target.clone(), settings.timing),
            monitors: BTreeMap::new(),
            answers: BTreeMap::new(),
            tally: VoteTally::new(timing),
            newest: 0,
            verdict_at: None,
            admitted: 0,
            refused: 0,
            admitted_after_verdict: 0,
            settings,
        }
    }

    fn breaks(&self, rule: BrokenRule) -> bool {
        self.settings.broken == Some(rule)
    }

    /// Takes an event.
    fn take(&mut self, at: Millis, event: LeaseEvent) {
        match event {
            LeaseEvent::Holder { local, event } => self.step_holder(local, event),
            LeaseEvent::Reply {
                local,
                monitor,
                sequence,
            } => self.reply(local, monitor, sequence),
            LeaseEvent::Monitor {
                local,
                monitor,
                event,
            } => self.step_monitor(local, monitor, event),
            LeaseEvent::Dead { local, monitor } => self.dead(local, &monitor),
            LeaseEvent::Left { local, monitor } => {
                if self.breaks(BrokenRule::LeftCounted) {
                    self.dead(local, &monitor);
                }
            }
            LeaseEvent::Judge {
                local,
                current,
                next,
            } => self.judge(at, local, current, next),
            LeaseEvent::Request { local } => self.request(local),
        }
    }

    fn step_holder(&mut self, local: Millis, event: HolderEvent) {
        let (holder, actions) = self.holder.clone().step(local, event);
        self.holder = holder;
        for HolderAction::Renew { sequence, .. } in actions {
            self.newest = sequence;
        }
    }

    fn reply(&mut self, local: Millis, monitor: AgentId, sequence: u64) {
        let key = (monitor.clone(), sequence);
        let accepted = self.answers.get(&key).copied().unwrap_or(false);
        let from_reply = self.breaks(BrokenRule::SupportFromReply);
        let sequence = if from_reply { self.newest } else { sequence };
        let event = HolderEvent::Reply {
            monitor,
            sequence,
            accepted,
        };
        self.step_holder(local, event);
    }

    fn step_monitor(&mut self, local: Millis, id: AgentId, event: MonitorEvent) {
        let supports_always = self.breaks(BrokenRule::SupportWithoutLease);
        let event = match event {
            MonitorEvent::OwnLease { .. } if supports_always => {
                let until = Millis::MAX;
                MonitorEvent::OwnLease { until }
            }
            event => event,
        };
        let timing = BrokenRule::monitor_timing(self.settings.broken, self.settings.timing);
        let new = || MonitorState::new(id.clone(), timing);
        let state = self.monitors.remove(&id).unwrap_or_else(new);
        let (state, actions) = state.step(local, event);
        self.monitors.insert(id.clone(), state);
        let renews_always = self.breaks(BrokenRule::RenewAfterVote);
        for action in actions {
            match action {
                MonitorAction::Reply {
                    sequence, accepted, ..
                } => {
                    let key = (id.clone(), sequence);
                    self.answers.insert(key, accepted || renews_always);
                }
                MonitorAction::Vote { target } => {
                    self.tally = self.tally.clone().with_vote(&id, &target);
                }
            }
        }
    }

    fn dead(&mut self, local: Millis, monitor: &AgentId) {
        self.tally = self.tally.clone().with_ended(local, monitor);
    }

    /// Decides, under the set to come alone if the rule of joint sets is broken.
    fn judge(&mut self, at: Millis, local: Millis, current: MonitorSet, next: Option<MonitorSet>) {
        let is_joint = !self.breaks(BrokenRule::NoJointSet);
        let member = match next {
            Some(next) if !is_joint => member(&self.settings.target, next, None),
            next => member(&self.settings.target, current, next),
        };
        if self.verdict_at.is_none() && self.tally.is_decided(local, &member) {
            self.verdict_at = Some(at);
        }
    }

    fn request(&mut self, local: Millis) {
        let admits = local < self.holder.lease_until();
        match (self.verdict_at, admits) {
            (None, true) => self.admitted += 1,
            (None, false) => self.refused += u64::from(self.admitted > 0),
            (Some(_), true) => self.admitted_after_verdict += 1,
            (Some(_), false) => {}
        }
    }

    /// Returns the figures.
    fn figures(&self) -> FigureMap {
        let mut figures = FigureMap::new();
        let after = self.admitted_after_verdict as f64;
        figures.insert("admitted".into(), self.admitted as f64);
        figures.insert("refused".into(), self.refused as f64);
        figures.insert("admitted_after_verdict".into(), after);
        figures.insert("verdicts".into(), f64::from(self.verdict_at.is_some()));
        if let Some(at) = self.verdict_at {
            figures.insert("verdict_at_ms".into(), at.0 as f64);
        }
        figures
    }
}

/// The record of an agent with these sets.
fn member(id: &AgentId, monitors: MonitorSet, next: Option<MonitorSet>) -> MemberRecord {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    MemberRecord {
        state: MemberState::Live,
        monitors,
        next_monitors: next,
        ..MemberRecord::new(id.clone(), Place::new("", "", ""), AgentAddrs::new(unknown))
    }
}
