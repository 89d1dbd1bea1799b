//! One run of an agent: its holder and its monitor over a drifting clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use jy_kernel::state::StateCell;
use jy_lease::holder::HolderAction;
use jy_lease::holder::HolderEvent;
use jy_lease::holder::HolderState;
use jy_lease::monitor::MonitorAction;
use jy_lease::monitor::MonitorEvent;
use jy_lease::monitor::MonitorState;
use jy_lease::rule::BrokenRule;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::time::Millis;

use super::clock::DriftClock;
use super::recorder::NodeStep;
use super::settings::CheckSettings;
use super::settings::EndedMonitorRule;
use super::store::StoreWrite;
use super::store::StoredRecord;
use super::store::index_of;

/// What reaches a node.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// Time passed.
    Tick,
    /// An agent asks for support.
    Renewal {
        /// The agent.
        from: AgentId,
        /// Sequence to answer with.
        sequence: u64,
    },
    /// A monitor answers.
    Reply {
        /// The monitor.
        from: AgentId,
        /// Sequence of the renewal.
        sequence: u64,
        /// Whether it supports.
        accepted: bool,
    },
    /// A record of the store.
    Record(StoredRecord),
    /// The own record as the store had it after `sent`.
    OwnRead {
        /// When the read was sent, on the node's clock.
        sent: Millis,
        /// The record.
        stored: StoredRecord,
    },
    /// Operators ask the agent to leave.
    Leave,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Something for another node.
    Send {
        /// The node.
        to: AgentId,
        /// What reaches it.
        input: NodeInput,
    },
    /// A vote for the controllers.
    Vote {
        /// The agent voted against.
        target: AgentId,
    },
    /// A read of the own record.
    ReadOwn {
        /// When it was sent, on the node's clock.
        sent: Millis,
    },
    /// A write of the own record.
    Write(StoreWrite),
    /// The process ends, since its incarnation is over.
    Exit,
}

/// Time between an unleased agent's reads of its own record.
const READ_EVERY_MS: u64 = 1_000;

/// One run of an agent.
#[derive(Debug)]
pub struct ModelNode {
    /// The incarnation.
    pub id: AgentId,
    /// Its instance.
    pub slot: usize,
    /// Its clock.
    pub clock: DriftClock,
    /// Whether the process runs, frozen or not.
    pub runs: bool,
    /// Whether it was asked to leave.
    pub leaves: bool,
    /// Real time until which the process is stopped.
    pub frozen_until: u64,
    /// Real time before which no record reaches it.
    pub behind_until: u64,
    /// Real time of the next tick that is queued.
    pub tick_queued: Option<u64>,
    /// Steps for a trace, if one is recorded.
    pub steps: Option<Vec<NodeStep>>,
    holder: StateCell<HolderState>,
    monitor: StateCell<MonitorState>,
    own_until: Millis,
    read_until: Millis,
    read_at: Millis,
    newest_sequence: u64,
    revisions: BTreeMap<usize, u64>,
    joining: Arc<MemberRecord>,
    join_at: Millis,
    own_record: Option<StoredRecord>,
    watched: BTreeSet<AgentId>,
    ended_monitor_rule: EndedMonitorRule,
    reads: bool,
    broken: Option<BrokenRule>,
}

impl ModelNode {
    /// Starts the agent of a joining record at a real time.
    #[must_use]
    pub fn new(
        settings: &CheckSettings,
        joining: Arc<MemberRecord>,
        slot: usize,
        clock: DriftClock,
        now: u64,
    ) -> Self {
        let id = joining.id.clone();
        let timing = BrokenRule::monitor_timing(settings.broken, settings.timing);
        let monitor = MonitorState::new(id.clone(), timing);
        let (monitor, _) = monitor.step(clock.local(now), MonitorEvent::Tick);
        Self {
            holder: StateCell::new(HolderState::new(id.clone(), settings.timing)),
            monitor: StateCell::new(monitor),
            id,
            slot,
            clock,
            runs: true,
            leaves: false,
            frozen_until: 0,
            behind_until: 0,
            tick_queued: None,
            steps: None,
            own_until: Millis(0),
            read_until: Millis(0),
            read_at: Millis(0),
            newest_sequence: 0,
            revisions: BTreeMap::new(),
            joining,
            join_at: Millis(0),
            own_record: None,
            watched: BTreeSet::new(),
            ended_monitor_rule: settings.ended_monitor_rule,
            reads: settings.reads_own_record,
            broken: settings.broken,
        }
    }

    /// Whether the agent would admit a request at a real time.
    #[must_use]
    pub fn admits(&self, now: u64) -> bool {
        let is_running = self.runs && now >= self.frozen_until;
        is_running && self.clock.local(now) < self.lease_until()
    }

    /// Whether the agent ever had a lease.
    #[must_use]
    pub fn had_lease(&self) -> bool {
        self.lease_until() > Millis(0)
    }

    /// Epoch for the report to the controllers.
    #[must_use]
    pub fn counted_epoch(&self) -> u64 {
        self.holder.read(HolderState::counted_epoch)
    }

    /// Real time of the next tick.
    #[must_use]
    pub fn next_tick(&self) -> u64 {
        let holder = self.holder.read(HolderState::next_tick);
        let monitor = self.monitor.read(MonitorState::next_tick);
        self.clock.real(holder.min(monitor))
    }

    /// Takes an input at a real time.
    pub fn take(&mut self, now: u64, input: NodeInput) -> Vec<NodeOutput> {
        let now = self.clock.local(now);
        match input {
            NodeInput::Tick => self.tick(now),
            NodeInput::Renewal { from, sequence } => {
                self.step_monitor(now, MonitorEvent::Renewal { from, sequence })
            }
            NodeInput::Reply {
                from,
                sequence,
                accepted,
            } => self.take_reply(now, from, sequence, accepted),
            NodeInput::Record(stored) => self.take_record(now, stored),
            NodeInput::OwnRead { sent, stored } => {
                if !stored.record.state.has_ended() && !self.leaves {
                    self.read_until = self.read_until.max(sent);
                    self.notify_monitor(now);
                }
                self.take_record(now, stored)
            }
            NodeInput::Leave => {
                self.leaves = true;
                self.write_left().into_iter().collect()
            }
        }
    }

    fn lease_until(&self) -> Millis {
        self.holder.read(HolderState::lease_until)
    }

    fn tick(&mut self, now: Millis) -> Vec<NodeOutput> {
        let mut outputs = self.step_holder(now, HolderEvent::Tick);
        outputs.extend(self.step_monitor(now, MonitorEvent::Tick));
        if self.own_record.is_none() && now >= self.join_at {
            self.join_at = now.plus(READ_EVERY_MS);
            let write = StoreWrite::joining(self.joining.clone());
            outputs.push(NodeOutput::Write(write));
        }
        let wants_read = self.reads && !self.leaves && self.lease_until() <= now;
        if wants_read && now >= self.read_at {
            self.read_at = now.plus(READ_EVERY_MS);
            outputs.push(NodeOutput::ReadOwn { sent: now });
        }
        outputs
    }

    fn take_reply(
        &mut self,
        now: Millis,
        monitor: AgentId,
        sequence: u64,
        accepted: bool,
    ) -> Vec<NodeOutput> {
        let from_reply = self.broken == Some(BrokenRule::SupportFromReply);
        let sequence = if from_reply {
            self.newest_sequence
        } else {
            sequence
        };
        let event = HolderEvent::Reply {
            monitor,
            sequence,
            accepted,
        };
        self.step_holder(now, event)
    }

    /// Takes in a record unless a newer one is known.
    fn take_record(&mut self, now: Millis, stored: StoredRecord) -> Vec<NodeOutput> {
        let index = index_of(&stored.record.id);
        let known = self.revisions.entry(index).or_insert(0);
        if stored.revision <= *known {
            return Vec::new();
        }
        *known = stored.revision;
        let mut outputs = self.watch(now, &stored.record);
        if stored.record.id == self.id {
            outputs.extend(self.take_own(now, stored));
        }
        outputs
    }

    /// Tells the monitor whom it watches if the record changes that.
    fn watch(&mut self, now: Millis, record: &MemberRecord) -> Vec<NodeOutput> {
        let mut sets = std::iter::once(&record.monitors).chain(&record.next_monitors);
        let is_named = sets.any(|set| set.monitors.contains(&self.id));
        let changed = if is_named && !record.state.has_ended() {
            self.watched.insert(record.id.clone())
        } else {
            self.watched.remove(&record.id)
        };
        if !changed {
            return Vec::new();
        }
        let agents = self.watched.iter().cloned().collect();
        self.step_monitor(now, MonitorEvent::Watched(agents))
    }

    fn take_own(&mut self, now: Millis, stored: StoredRecord) -> Vec<NodeOutput> {
        let record = stored.record.clone();
        self.own_record = Some(stored);
        if record.state.has_ended() {
            self.step_holder(now, HolderEvent::Condemned);
            return vec![NodeOutput::Exit];
        }
        let event = HolderEvent::Sets {
            current: record.monitors.clone(),
            next: record.next_monitors.clone(),
        };
        let mut outputs = self.step_holder(now, event);
        if self.leaves {
            outputs.extend(self.write_left());
        }
        outputs
    }

    /// Says in the own record that the agent left; it owns nothing any more.
    fn write_left(&self) -> Option<NodeOutput> {
        let stored = self.own_record.as_ref()?;
        let mut record = (*stored.record).clone();
        record.state = MemberState::Left;
        Some(NodeOutput::Write(StoreWrite {
            expect: stored.revision,
            record: Arc::new(record),
            blind: false,
        }))
    }

    fn step_holder(&mut self, now: Millis, event: HolderEvent) -> Vec<NodeOutput> {
        if let Some(steps) = &mut self.steps {
            steps.push(NodeStep::Holder(now, event.clone()));
        }
        let actions = self.holder.step(|holder| holder.step(now, event));
        self.notify_monitor(now);
        let output = |action| {
            let HolderAction::Renew { to, sequence } = action;
            let from = self.id.clone();
            let input = NodeInput::Renewal { from, sequence };
            (sequence, NodeOutput::Send { to, input })
        };
        let (sequences, outputs): (Vec<u64>, Vec<_>) = actions.into_iter().map(output).unzip();
        self.newest_sequence = sequences.last().copied().unwrap_or(self.newest_sequence);
        outputs
    }

    /// Tells the monitor the newest point before which there was no verdict on this agent.
    fn notify_monitor(&mut self, now: Millis) {
        let needs_none = self.ended_monitor_rule == EndedMonitorRule::Plain
            || self.broken == Some(BrokenRule::SupportWithoutLease);
        let until = if needs_none {
            Millis::MAX
        } else {
            self.lease_until().max(self.read_until)
        };
        if until != self.own_until {
            self.own_until = until;
            self.step_monitor(now, MonitorEvent::OwnLease { until });
        }
    }

    fn step_monitor(&mut self, now: Millis, event: MonitorEvent) -> Vec<NodeOutput> {
        if let Some(steps) = &mut self.steps {
            steps.push(NodeStep::Monitor(now, event.clone()));
        }
        let actions = self.monitor.step(|monitor| monitor.step(now, event));
        let renews_always = self.broken == Some(BrokenRule::RenewAfterVote);
        let output = |action| match action {
            MonitorAction::Reply {
                to,
                sequence,
                accepted,
            } => NodeOutput::Send {
                to,
                input: NodeInput::Reply {
                    from: self.id.clone(),
                    sequence,
                    accepted: accepted || renews_always,
                },
            },
            MonitorAction::Vote { target } => NodeOutput::Vote { target },
        };
        actions.into_iter().map(output).collect()
    }
}
