//! States of the exhaustive search and the moves between them.

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

/// Periods in units of the search.
const TIMING: LeaseTiming = LeaseTiming {
    ttl_ms: 2,
    drift_margin_ms: 1,
    renew_every_ms: 2,
    monitor_grace_ms: 2,
    dispatch_margin_ms: 0,
};
/// Repeats of votes and excuses of pauses lie beyond the search: they only put verdicts off.
const MONITOR_TIMING: LeaseTiming = LeaseTiming {
    renew_every_ms: 1_000,
    ..TIMING
};
/// Last point in time of the search.
const LAST: u64 = 8;
/// The holder's clock gains this many units in [`HOLDER_SPAN`].
const HOLDER_GAIN: u64 = 2;
/// See [`HOLDER_GAIN`].
const HOLDER_SPAN: u64 = 3;
/// The monitor that is found dead.
const DEAD: usize = 2;
/// End of that monitor's own lease.
const DEAD_LEASE: Millis = Millis(1);
/// Beginning of the late course after that.
const LATE: u64 = 5;
/// Monitors of the first set.
const FIRST_SET: std::ops::Range<usize> = 0..3;
/// Monitors of the second set.
const SECOND_SET: std::ops::Range<usize> = 2..5;

/// Which sets the record names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SetStage {
    /// The first.
    First,
    /// The first, and the second to come.
    Joint,
    /// The second.
    Second,
}

/// A message under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Wire {
    /// A renewal to a monitor.
    Renewal(usize, u64),
    /// A monitor's answer that it supports.
    Reply(usize, u64),
}

/// A move of the search.
#[derive(Clone, Debug)]
enum Move {
    Pass,
    HolderTick,
    HolderReads,
    MonitorTick(usize),
    MonitorReads(usize),
    Deliver(Wire),
    Change(SetStage),
    FindDead,
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
    newest: u64,
    monitors: Vec<MonitorState>,
    watches: Vec<bool>,
    tally: VoteTally,
    found_dead: bool,
    stage: SetStage,
    is_dead: bool,
    had_verdict: bool,
    wires: BTreeSet<Wire>,
}

fn target() -> AgentId {
    AgentId::new("x", 0)
}

fn monitor(index: usize) -> AgentId {
    AgentId::new("m", index as u64)
}

fn set(epoch: u64, members: std::ops::Range<usize>) -> MonitorSet {
    let monitors = members.map(monitor).collect();
    MonitorSet { epoch, monitors }
}

/// The sets that the record names at a stage.
fn sets(stage: SetStage) -> (MonitorSet, Option<MonitorSet>) {
    match stage {
        SetStage::First => (set(1, FIRST_SET), None),
        SetStage::Joint => (set(1, FIRST_SET), Some(set(2, SECOND_SET))),
        SetStage::Second => (set(2, SECOND_SET), None),
    }
}

/// The record at a stage.
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
    /// The first state of a case.
    #[must_use]
    pub fn new(case: SearchCase, broken: Option<BrokenRule>) -> Self {
        let mut state = Self::silent(case, broken);
        match case {
            SearchCase::FixedSet => state.step_holder(HolderEvent::Tick),
            SearchCase::ChangedSet => {
                state = state.changes().into_iter().fold(state, Self::after);
            }
            SearchCase::LateChange => state.now = MONITOR_TIMING.promise_ms(),
            SearchCase::DeadMonitor => state.now = DEAD_LEASE.0,
            SearchCase::LateDeath => {
                state.now = DEAD_LEASE.0;
                state = state.after(Move::FindDead);
                state.now = LATE;
            }
        }
        state
    }

    /// Returns the moves that put a change into the record and tell the new monitors.
    fn changes(&self) -> Vec<Move> {
        let new = FIRST_SET.end..SECOND_SET.end;
        let reads = new.map(Move::MonitorReads);
        let change = self.change().map(Move::Change);
        change.into_iter().chain(reads).collect()
    }

    /// Everybody knows the first set; nothing was sent.
    fn silent(case: SearchCase, broken: Option<BrokenRule>) -> Self {
        let holder = HolderState::new(target(), TIMING);
        let (current, next) = sets(SetStage::First);
        let (holder, _) = holder.step(Millis(0), HolderEvent::Sets { current, next });
        let is_changed = matches!(case, SearchCase::ChangedSet | SearchCase::LateChange);
        let count = if is_changed { 5 } else { 3 };
        let watches: Vec<bool> = (0..count).map(|index| FIRST_SET.contains(&index)).collect();
        let timing = BrokenRule::monitor_timing(broken, MONITOR_TIMING);
        let supports_always = broken == Some(BrokenRule::SupportWithoutLease);
        let start = |(index, watches): (usize, &bool)| {
            let is_lapsing =
                index == DEAD && matches!(case, SearchCase::DeadMonitor | SearchCase::LateDeath);
            let until = if is_lapsing && !supports_always {
                DEAD_LEASE
            } else {
                Millis::MAX
            };
            let state = MonitorState::new(monitor(index), timing);
            let (state, _) = state.step(Millis(0), MonitorEvent::OwnLease { until });
            let agents = watches.then(target).into_iter().collect();
            state.step(Millis(0), MonitorEvent::Watched(agents)).0
        };
        Self {
            case,
            broken,
            now: 0,
            holder,
            holder_stage: SetStage::First,
            newest: 0,
            monitors: watches.iter().enumerate().map(start).collect(),
            watches,
            tally: VoteTally::new(BrokenRule::tally_timing(broken, TIMING)),
            found_dead: false,
            stage: SetStage::First,
            is_dead: false,
            had_verdict: false,
            wires: BTreeSet::new(),
        }
    }

    /// Whether a verdict took effect.
    #[must_use]
    pub const fn had_verdict(&self) -> bool {
        self.had_verdict
    }

    /// Whether the agent would admit after its verdict.
    #[must_use]
    pub fn is_unsafe(&self) -> bool {
        self.had_verdict && self.holder_now() < self.holder.lease_until()
    }

    /// Returns the states one move away.
    #[must_use]
    pub fn successors(&self) -> Vec<Self> {
        let moves = self.moves();
        let after = |one| self.clone().after(one);
        moves.into_iter().map(after).collect()
    }

    const fn holder_now(&self) -> Millis {
        Millis(self.now * HOLDER_GAIN / HOLDER_SPAN)
    }

    /// Returns the moves that are open.
    fn moves(&self) -> Vec<Move> {
        let mut moves: Vec<Move> = self.wires.iter().cloned().map(Move::Deliver).collect();
        if self.now < LAST {
            moves.push(Move::Pass);
        }
        if self.holder.next_tick() <= self.holder_now() {
            moves.push(Move::HolderTick);
        }
        if self.holder_stage != self.stage {
            moves.push(Move::HolderReads);
        }
        for (index, monitor) in self.monitors.iter().enumerate() {
            if !self.is_dead && monitor.next_tick() <= Millis(self.now) {
                moves.push(Move::MonitorTick(index));
            }
            if !self.watches[index] && self.is_named(index) {
                moves.push(Move::MonitorReads(index));
            }
        }
        moves.extend(self.change().map(Move::Change));
        if self.case == SearchCase::DeadMonitor && !self.found_dead {
            moves.push(Move::FindDead);
        }
        let is_decided = || self.tally.is_decided(Millis(self.now), &record(self.stage));
        if !self.is_dead && is_decided() {
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

    /// Returns the change of sets that the controller may write.
    fn change(&self) -> Option<SetStage> {
        let is_blind = self.broken == Some(BrokenRule::ChangeAfterVerdict);
        let may_change = matches!(self.case, SearchCase::ChangedSet | SearchCase::LateChange);
        let is_early = self.case == SearchCase::LateChange && !self.is_dead;
        if !may_change || is_early || (self.is_dead && !is_blind) {
            return None;
        }
        match self.stage {
            SetStage::First if self.broken == Some(BrokenRule::NoJointSet) => {
                Some(SetStage::Second)
            }
            SetStage::First => Some(SetStage::Joint),
            SetStage::Joint if self.holder.counted_epoch() == 2 => Some(SetStage::Second),
            _ => None,
        }
    }

    /// Makes a move.
    fn after(mut self, one: Move) -> Self {
        match one {
            Move::Pass => self.now += 1,
            Move::HolderTick => self.step_holder(HolderEvent::Tick),
            Move::HolderReads => {
                self.holder_stage = self.stage;
                let (current, next) = sets(self.stage);
                self.step_holder(HolderEvent::Sets { current, next });
            }
            Move::MonitorTick(index) => self.step_monitor(index, MonitorEvent::Tick),
            Move::MonitorReads(index) => {
                self.watches[index] = true;
                self.step_monitor(index, MonitorEvent::Watched(vec![target()]));
            }
            Move::Deliver(wire) => self.deliver(&wire),
            Move::Change(stage) => {
                self.stage = stage;
                self.is_dead = false;
            }
            Move::FindDead => {
                self.found_dead = true;
                self.tally = self.tally.with_ended(Millis(self.now), &monitor(DEAD));
            }
            Move::Verdict => {
                self.is_dead = true;
                self.had_verdict = true;
            }
        }
        self
    }

    fn deliver(&mut self, wire: &Wire) {
        self.wires.remove(wire);
        match *wire {
            Wire::Renewal(index, sequence) => {
                let from = target();
                self.step_monitor(index, MonitorEvent::Renewal { from, sequence });
            }
            Wire::Reply(index, sequence) => {
                let from_reply = self.broken == Some(BrokenRule::SupportFromReply);
                let sequence = if from_reply { self.newest } else { sequence };
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
            self.newest = sequence;
            let index = to.incarnation as usize;
            self.wires.insert(Wire::Renewal(index, sequence));
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
                        self.wires.insert(Wire::Reply(index, sequence));
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
