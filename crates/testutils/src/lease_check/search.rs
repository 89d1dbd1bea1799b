//! States of the exhaustive search, and the moves between them.

use std::collections::BTreeSet;

use jy_lease::holder::HolderAction;
use jy_lease::holder::HolderEvent;
use jy_lease::holder::HolderState;
use jy_lease::monitor::MonitorAction;
use jy_lease::monitor::MonitorEvent;
use jy_lease::monitor::MonitorState;
use jy_lease::rule::BrokenRule;
use jy_lease::tally::VoteTally;
use jy_lease::timing::LeaseTiming;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MonitorSet;
use jy_types::time::Millis;

use super::exhaustive::SearchCase;
use super::settings::SlotPlace;
use super::store::joining_record;

/// Periods in time steps of the search.
const TIMING: LeaseTiming = LeaseTiming {
    ttl_ms: 2,
    drift_margin_ms: 1,
    renew_every_ms: 2,
    monitor_grace_ms: 2,
    dispatch_margin_ms: 0,
};
/// Timing of the monitors. Its long renewal interval keeps repeated votes and extended promises after a pause
/// out of the search: they only delay verdicts.
const MONITOR_TIMING: LeaseTiming = LeaseTiming {
    renew_every_ms: 1_000,
    ..TIMING
};
/// The last time step of the search.
const LAST_STEP: u64 = 8;
/// The holder's clock advances by this many steps in [`HOLDER_RATE_DENOMINATOR`] steps of the other clocks.
const HOLDER_RATE_NUMERATOR: u64 = 2;
/// See [`HOLDER_RATE_NUMERATOR`].
const HOLDER_RATE_DENOMINATOR: u64 = 3;
/// Index of the monitor that is found dead.
const DEAD_MONITOR: usize = 2;
/// End of the own lease of the monitor that is found dead.
const DEAD_MONITOR_LEASE_END: Millis = Millis(1);
/// Time at which [`SearchCase::LateDeath`] begins.
const LATE_DEATH_START: u64 = 5;
/// Indices of the monitors of the first set.
const FIRST_SET: std::ops::Range<usize> = 0..3;
/// Indices of the monitors of the second set.
const SECOND_SET: std::ops::Range<usize> = 2..5;

/// Which monitor sets the record names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SetStage {
    /// The first set.
    First,
    /// The first set, and the second as the next one.
    Joint,
    /// The second set.
    Second,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// A renewal: the monitor's index and the sequence number.
    Renewal(usize, u64),
    /// A reply that accepts a renewal: the monitor's index and the sequence number.
    Reply(usize, u64),
}

/// A move of the search.
#[derive(Clone, Debug)]
enum Move {
    /// All clocks advance by one step.
    AdvanceClocks,
    HolderTick,
    /// The holder reads the sets that the record names.
    HolderReadsRecord,
    MonitorTick(usize),
    /// A monitor reads that it watches the agent.
    MonitorReadsRecord(usize),
    Deliver(Message),
    /// The controller writes another stage to the record.
    ChangeSets(SetStage),
    /// The controller reads that [`DEAD_MONITOR`] is dead.
    FindMonitorDead,
    /// The controller writes the verdict on the agent.
    Verdict,
}

/// A state of the search.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SearchState {
    case: SearchCase,
    broken: Option<BrokenRule>,
    now: u64,
    holder: HolderState,
    holder_stage: SetStage,
    newest_sequence: u64,
    monitors: Vec<MonitorState>,
    is_watching: Vec<bool>,
    tally: VoteTally,
    found_monitor_dead: bool,
    stage: SetStage,
    is_agent_dead: bool,
    had_verdict: bool,
    in_flight: BTreeSet<Message>,
}

fn target() -> AgentId {
    AgentId::new("x", 0)
}

fn monitor(index: usize) -> AgentId {
    AgentId::new("m", index as u64)
}

fn set(epoch: u64, indices: std::ops::Range<usize>) -> MonitorSet {
    let monitors = indices.map(monitor).collect();
    MonitorSet { epoch, monitors }
}

/// Returns the current and the next set that the record names at a stage.
fn sets(stage: SetStage) -> (MonitorSet, Option<MonitorSet>) {
    match stage {
        SetStage::First => (set(1, FIRST_SET), None),
        SetStage::Joint => (set(1, FIRST_SET), Some(set(2, SECOND_SET))),
        SetStage::Second => (set(2, SECOND_SET), None),
    }
}

/// Returns the agent's record at a stage.
fn record(stage: SetStage) -> MemberRecord {
    let (monitors, next_monitors) = sets(stage);
    let place = SlotPlace { zone: 0, rack: 0 };
    MemberRecord {
        monitors,
        next_monitors,
        ..joining_record(target(), place)
    }
}

impl SearchState {
    /// Returns the initial state of a case.
    #[must_use]
    pub fn new(case: SearchCase, broken: Option<BrokenRule>) -> Self {
        let mut state = Self::without_messages(case, broken);
        match case {
            SearchCase::FixedSet => state.step_holder(HolderEvent::Tick),
            SearchCase::ChangedSet => {
                state = state.change_moves().into_iter().fold(state, Self::apply);
            }
            SearchCase::LateChange => state.now = MONITOR_TIMING.promise_ms(),
            SearchCase::DeadMonitor => state.now = DEAD_MONITOR_LEASE_END.0,
            SearchCase::LateDeath => {
                state.now = DEAD_MONITOR_LEASE_END.0;
                state = state.apply(Move::FindMonitorDead);
                state.now = LATE_DEATH_START;
            }
        }
        state
    }

    /// Returns the moves that write a change of sets to the record and let the new monitors read it.
    fn change_moves(&self) -> Vec<Move> {
        let new_monitors = FIRST_SET.end..SECOND_SET.end;
        let reads = new_monitors.map(Move::MonitorReadsRecord);
        let change = self.next_stage().map(Move::ChangeSets);
        change.into_iter().chain(reads).collect()
    }

    /// Returns the state in which the holder and its monitors know the first set and no message was sent.
    fn without_messages(case: SearchCase, broken: Option<BrokenRule>) -> Self {
        let holder = HolderState::new(target(), TIMING);
        let (current, next) = sets(SetStage::First);
        let (holder, _) = holder.step(Millis(0), HolderEvent::Sets { current, next });
        let has_second_set = matches!(case, SearchCase::ChangedSet | SearchCase::LateChange);
        let monitor_count = if has_second_set { 5 } else { 3 };
        let is_watching: Vec<bool> = (0..monitor_count)
            .map(|index| FIRST_SET.contains(&index))
            .collect();
        let timing = BrokenRule::monitor_timing(broken, MONITOR_TIMING);
        let supports_always = broken == Some(BrokenRule::SupportWithoutLease);
        let start = |(index, is_watching): (usize, &bool)| {
            let has_lease_end = index == DEAD_MONITOR
                && matches!(case, SearchCase::DeadMonitor | SearchCase::LateDeath);
            let until = if has_lease_end && !supports_always {
                DEAD_MONITOR_LEASE_END
            } else {
                Millis::MAX
            };
            let state = MonitorState::new(monitor(index), timing);
            let (state, _) = state.step(Millis(0), MonitorEvent::OwnLease { until });
            let agents = is_watching.then(target).into_iter().collect();
            state.step(Millis(0), MonitorEvent::Watched(agents)).0
        };
        Self {
            case,
            broken,
            now: 0,
            holder,
            holder_stage: SetStage::First,
            newest_sequence: 0,
            monitors: is_watching.iter().enumerate().map(start).collect(),
            is_watching,
            tally: VoteTally::new(BrokenRule::tally_timing(broken, TIMING)),
            found_monitor_dead: false,
            stage: SetStage::First,
            is_agent_dead: false,
            had_verdict: false,
            in_flight: BTreeSet::new(),
        }
    }

    /// Whether a verdict took effect.
    #[must_use]
    pub const fn had_verdict(&self) -> bool {
        self.had_verdict
    }

    /// Whether the agent would admit requests after its verdict.
    #[must_use]
    pub fn is_unsafe(&self) -> bool {
        self.had_verdict && self.holder_now() < self.holder.lease_until()
    }

    /// Returns the states that can be reached in one move.
    #[must_use]
    pub fn successors(&self) -> Vec<Self> {
        let moves = self.moves();
        let successor = |next_move| self.clone().apply(next_move);
        moves.into_iter().map(successor).collect()
    }

    const fn holder_now(&self) -> Millis {
        Millis(self.now * HOLDER_RATE_NUMERATOR / HOLDER_RATE_DENOMINATOR)
    }

    /// Returns the moves that are possible in this state.
    fn moves(&self) -> Vec<Move> {
        let mut moves: Vec<Move> = self.in_flight.iter().cloned().map(Move::Deliver).collect();
        if self.now < LAST_STEP {
            moves.push(Move::AdvanceClocks);
        }
        if self.holder.next_tick() <= self.holder_now() {
            moves.push(Move::HolderTick);
        }
        if self.holder_stage != self.stage {
            moves.push(Move::HolderReadsRecord);
        }
        for (index, monitor) in self.monitors.iter().enumerate() {
            if !self.is_agent_dead && monitor.next_tick() <= Millis(self.now) {
                moves.push(Move::MonitorTick(index));
            }
            if !self.is_watching[index] && self.is_named(index) {
                moves.push(Move::MonitorReadsRecord(index));
            }
        }
        moves.extend(self.next_stage().map(Move::ChangeSets));
        if self.case == SearchCase::DeadMonitor && !self.found_monitor_dead {
            moves.push(Move::FindMonitorDead);
        }
        let is_decided = || self.tally.is_decided(Millis(self.now), &record(self.stage));
        if !self.is_agent_dead && is_decided() {
            moves.push(Move::Verdict);
        }
        moves
    }

    /// Whether the record names a monitor.
    fn is_named(&self, index: usize) -> bool {
        let is_first = self.stage != SetStage::Second && FIRST_SET.contains(&index);
        let is_second = self.stage != SetStage::First && SECOND_SET.contains(&index);
        is_first || is_second
    }

    /// Returns the stage that the controller may write next, if any.
    fn next_stage(&self) -> Option<SetStage> {
        let ignores_verdict = self.broken == Some(BrokenRule::ChangeAfterVerdict);
        let may_change = matches!(self.case, SearchCase::ChangedSet | SearchCase::LateChange);
        let awaits_verdict = self.case == SearchCase::LateChange && !self.is_agent_dead;
        if !may_change || awaits_verdict || (self.is_agent_dead && !ignores_verdict) {
            return None;
        }
        match self.stage {
            SetStage::First if self.broken == Some(BrokenRule::NoJointSet) => {
                Some(SetStage::Second)
            }
            SetStage::First => Some(SetStage::Joint),
            SetStage::Joint if self.holder.sole_epoch() == 2 => Some(SetStage::Second),
            _ => None,
        }
    }

    /// Returns the state after a move.
    fn apply(mut self, next_move: Move) -> Self {
        match next_move {
            Move::AdvanceClocks => self.now += 1,
            Move::HolderTick => self.step_holder(HolderEvent::Tick),
            Move::HolderReadsRecord => {
                self.holder_stage = self.stage;
                let (current, next) = sets(self.stage);
                self.step_holder(HolderEvent::Sets { current, next });
            }
            Move::MonitorTick(index) => self.step_monitor(index, MonitorEvent::Tick),
            Move::MonitorReadsRecord(index) => {
                self.is_watching[index] = true;
                self.step_monitor(index, MonitorEvent::Watched(vec![target()]));
            }
            Move::Deliver(message) => self.deliver(&message),
            Move::ChangeSets(stage) => {
                self.stage = stage;
                self.is_agent_dead = false;
            }
            Move::FindMonitorDead => {
                self.found_monitor_dead = true;
                self.tally = self
                    .tally
                    .with_ended(Millis(self.now), &monitor(DEAD_MONITOR));
            }
            Move::Verdict => {
                self.is_agent_dead = true;
                self.had_verdict = true;
            }
        }
        self
    }

    fn deliver(&mut self, message: &Message) {
        self.in_flight.remove(message);
        match *message {
            Message::Renewal(index, sequence) => {
                let from = target();
                self.step_monitor(index, MonitorEvent::Renewal { from, sequence });
            }
            Message::Reply(index, sequence) => {
                let from_reply = self.broken == Some(BrokenRule::SupportFromReply);
                let sequence = if from_reply {
                    self.newest_sequence
                } else {
                    sequence
                };
                let monitor = monitor(index);
                self.step_holder(HolderEvent::Reply {
                    monitor,
                    sequence,
                    accepted: true,
                });
            }
        }
    }

    fn step_holder(&mut self, event: HolderEvent) {
        let (holder, actions) = self.holder.clone().step(self.holder_now(), event);
        self.holder = holder;
        for HolderAction::Renew { to, sequence } in actions {
            self.newest_sequence = sequence;
            let index = to.incarnation as usize;
            self.in_flight.insert(Message::Renewal(index, sequence));
        }
    }

    fn step_monitor(&mut self, index: usize, event: MonitorEvent) {
        let state = self.monitors[index].clone();
        let (state, actions) = state.step(Millis(self.now), event);
        self.monitors[index] = state;
        let renews_always = self.broken == Some(BrokenRule::RenewAfterVote);
        for action in actions {
            match action {
                MonitorAction::Reply {
                    sequence, accepted, ..
                } => {
                    if accepted || renews_always {
                        self.in_flight.insert(Message::Reply(index, sequence));
                    }
                }
                MonitorAction::Vote { target } => {
                    let tally = self.tally.clone();
                    self.tally = tally.with_vote(&monitor(index), &target);
                }
            }
        }
    }
}
