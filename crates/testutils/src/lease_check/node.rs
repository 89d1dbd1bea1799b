//! Model of one incarnation of an agent: its holder and its monitor on a drifting clock.

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

/// An input of a node.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// A tick of the holder or the monitor may be due.
    Tick,
    /// An agent asks for support.
    Renewal {
        /// The agent.
        from: AgentId,
        /// Sequence number to repeat in the reply.
        sequence: u64,
    },
    /// A monitor replies to a renewal.
    Reply {
        /// The monitor.
        from: AgentId,
        /// Sequence number of the renewal.
        sequence: u64,
        /// Whether the monitor supports this agent.
        accepted: bool,
    },
    /// A record reaches the node from the store.
    Record(StoredRecord),
    /// The reply to a read of the node's own record.
    OwnRecordRead {
        /// When the read was sent, on the node's clock; the record is no older than that.
        sent: Millis,
        /// The record.
        stored: StoredRecord,
    },
    /// Operators ask the agent to leave.
    Leave,
}

/// An action that a node requests from the model.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Send a message to another node.
    Send {
        /// The receiver.
        to: AgentId,
        /// The message.
        input: NodeInput,
    },
    /// Send the controllers a vote.
    Vote {
        /// The agent voted against.
        target: AgentId,
    },
    /// Read the node's own record.
    ReadOwnRecord {
        /// When the read was sent, on the node's clock.
        sent: Millis,
    },
    /// Write the node's own record.
    Write(StoreWrite),
    /// End the process, because its incarnation has ended.
    Exit,
}

/// Interval between attempts to join, and between an agent's reads of its own record while it has no lease.
const STORE_RETRY_INTERVAL_MS: u64 = 1_000;

/// One incarnation of an agent.
#[derive(Debug)]
pub struct ModelNode {
    /// Id of the incarnation.
    pub id: AgentId,
    /// Number of its instance.
    pub slot: usize,
    /// Its clock.
    pub clock: DriftClock,
    /// Whether the process exists, frozen or not.
    pub is_alive: bool,
    /// Whether operators asked the agent to leave.
    pub is_leaving: bool,
    /// Real time until which the process is frozen.
    pub frozen_until: u64,
    /// Real time before which no record reaches the agent.
    pub records_delayed_until: u64,
    /// Real time of the next tick that is queued.
    pub queued_tick_at: Option<u64>,
    /// Steps for a trace, if one is recorded.
    pub steps: Option<Vec<NodeStep>>,
    holder: StateCell<HolderState>,
    monitor: StateCell<MonitorState>,
    /// The time last passed to the monitor: there was no verdict on this agent before it.
    notified_until: Millis,
    /// When the latest read was sent that showed that this incarnation has not ended.
    own_read_sent_at: Millis,
    /// When the next read of its own record is due.
    next_read_at: Millis,
    newest_sequence: u64,
    /// Newest known revision of each incarnation's record.
    known_revisions: BTreeMap<usize, u64>,
    joining_record: Arc<MemberRecord>,
    /// When the next attempt to join is due.
    next_join_at: Millis,
    own_record: Option<StoredRecord>,
    /// Agents whose records name this one as a monitor.
    watched: BTreeSet<AgentId>,
    ended_monitor_rule: EndedMonitorRule,
    reads_own_record: bool,
    broken: Option<BrokenRule>,
}

impl ModelNode {
    /// Starts an agent at a real time; `joining_record` is the first record that it writes.
    #[must_use]
    pub fn new(
        settings: &CheckSettings,
        joining_record: Arc<MemberRecord>,
        slot: usize,
        clock: DriftClock,
        now: u64,
    ) -> Self {
        let id = joining_record.id.clone();
        let timing = BrokenRule::monitor_timing(settings.broken, settings.timing);
        let monitor = MonitorState::new(id.clone(), timing);
        let (monitor, _) = monitor.step(clock.local(now), MonitorEvent::Tick);
        Self {
            holder: StateCell::new(HolderState::new(id.clone(), settings.timing)),
            monitor: StateCell::new(monitor),
            id,
            slot,
            clock,
            is_alive: true,
            is_leaving: false,
            frozen_until: 0,
            records_delayed_until: 0,
            queued_tick_at: None,
            steps: None,
            notified_until: Millis(0),
            own_read_sent_at: Millis(0),
            next_read_at: Millis(0),
            newest_sequence: 0,
            known_revisions: BTreeMap::new(),
            joining_record,
            next_join_at: Millis(0),
            own_record: None,
            watched: BTreeSet::new(),
            ended_monitor_rule: settings.ended_monitor_rule,
            reads_own_record: settings.reads_own_record,
            broken: settings.broken,
        }
    }

    /// Whether the agent would admit a request at a real time.
    #[must_use]
    pub fn admits(&self, now: u64) -> bool {
        let can_run = self.is_alive && now >= self.frozen_until;
        can_run && self.clock.local(now) < self.lease_until()
    }

    /// Whether the agent has or had a lease.
    #[must_use]
    pub fn had_lease(&self) -> bool {
        self.lease_until() > Millis(0)
    }

    /// Epoch of the newest set that the holder relies on alone; reported to the controllers.
    #[must_use]
    pub fn sole_epoch(&self) -> u64 {
        self.holder.read(HolderState::sole_epoch)
    }

    /// Returns the real time at which the next tick is due.
    #[must_use]
    pub fn next_tick(&self) -> u64 {
        let holder = self.holder.read(HolderState::next_tick);
        let monitor = self.monitor.read(MonitorState::next_tick);
        self.clock.real_time_of(holder.min(monitor))
    }

    /// Handles an input at a real time and returns the requested actions.
    pub fn handle_input(&mut self, now: u64, input: NodeInput) -> Vec<NodeOutput> {
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
            } => self.handle_reply(now, from, sequence, accepted),
            NodeInput::Record(stored) => self.handle_record(now, stored),
            NodeInput::OwnRecordRead { sent, stored } => {
                if !stored.record.state.has_ended() && !self.is_leaving {
                    self.own_read_sent_at = self.own_read_sent_at.max(sent);
                    self.notify_monitor(now);
                }
                self.handle_record(now, stored)
            }
            NodeInput::Leave => {
                self.is_leaving = true;
                self.leave_write().into_iter().collect()
            }
        }
    }

    fn lease_until(&self) -> Millis {
        self.holder.read(HolderState::lease_until)
    }

    fn tick(&mut self, now: Millis) -> Vec<NodeOutput> {
        let mut outputs = self.step_holder(now, HolderEvent::Tick);
        outputs.extend(self.step_monitor(now, MonitorEvent::Tick));
        if self.own_record.is_none() && now >= self.next_join_at {
            self.next_join_at = now.plus(STORE_RETRY_INTERVAL_MS);
            let write = StoreWrite::joining(self.joining_record.clone());
            outputs.push(NodeOutput::Write(write));
        }
        let wants_read = self.reads_own_record && !self.is_leaving && self.lease_until() <= now;
        if wants_read && now >= self.next_read_at {
            self.next_read_at = now.plus(STORE_RETRY_INTERVAL_MS);
            outputs.push(NodeOutput::ReadOwnRecord { sent: now });
        }
        outputs
    }

    fn handle_reply(
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

    /// Handles a record unless this revision or a newer one is known already.
    fn handle_record(&mut self, now: Millis, stored: StoredRecord) -> Vec<NodeOutput> {
        let index = index_of(&stored.record.id);
        let known = self.known_revisions.entry(index).or_insert(0);
        if stored.revision <= *known {
            return Vec::new();
        }
        *known = stored.revision;
        let mut outputs = self.update_watched(now, &stored.record);
        if stored.record.id == self.id {
            outputs.extend(self.handle_own_record(now, stored));
        }
        outputs
    }

    /// Updates the watched agents from a record, and notifies the monitor if they changed.
    fn update_watched(&mut self, now: Millis, record: &MemberRecord) -> Vec<NodeOutput> {
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

    fn handle_own_record(&mut self, now: Millis, stored: StoredRecord) -> Vec<NodeOutput> {
        let record = stored.record.clone();
        self.own_record = Some(stored);
        if record.state.has_ended() {
            self.step_holder(now, HolderEvent::VerdictRead);
            return vec![NodeOutput::Exit];
        }
        let event = HolderEvent::Sets {
            current: record.monitors.clone(),
            next: record.next_monitors.clone(),
        };
        let mut outputs = self.step_holder(now, event);
        if self.is_leaving {
            outputs.extend(self.leave_write());
        }
        outputs
    }

    /// Returns the write that marks the agent as left in its own record, since it owns no keys any more.
    /// `None` while its record is not known.
    fn leave_write(&self) -> Option<NodeOutput> {
        let stored = self.own_record.as_ref()?;
        let mut record = (*stored.record).clone();
        record.state = MemberState::Left;
        Some(NodeOutput::Write(StoreWrite {
            expected_revision: stored.revision,
            record: Arc::new(record),
            is_unconditional: false,
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

    /// Notifies the monitor of the newest time before which there was no verdict on this agent.
    fn notify_monitor(&mut self, now: Millis) {
        let needs_no_lease = self.ended_monitor_rule == EndedMonitorRule::NotCounted
            || self.broken == Some(BrokenRule::SupportWithoutLease);
        let until = if needs_no_lease {
            Millis::MAX
        } else {
            self.lease_until().max(self.own_read_sent_at)
        };
        if until != self.notified_until {
            self.notified_until = until;
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
