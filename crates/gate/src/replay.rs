//! Replays a recorded trace of one or several gates and counts what must never happen.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::TraceError;
use jy_kernel::trace::TraceLine;
use jy_kernel::trace::read_events;
use jy_kernel::trace::read_header;
use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::api::DispatchOutcome;
use crate::api::GateEvent;
use crate::api::GateSettings;
use crate::api::GrantMap;
use crate::core::GateState;
use crate::counts::ReplayCounts;

/// Name of the gate in a trace of a single one.
pub const ONLY_GATE: &str = "gate";

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum GateTraceEvent {
    /// A process of a gate is killed; the next event of that name is of a new one.
    Killed {
        /// The gate.
        killed: Name,
    },
    /// The backend server beside a gate ended and started again, as nobody but the trace knows.
    Restarted {
        /// The gate.
        restarted: Name,
    },
    /// An event of one of several gates, with its trace's own name.
    Named {
        /// The gate.
        gate: Name,
        /// What happened.
        event: GateEvent,
    },
    /// An event of the only gate.
    Only(GateEvent),
}

/// A rule that a replay breaks on purpose, to show that the outcome tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// A request without an answer counts as not sent.
    UnknownAsNotSent,
    /// Ids of requests are not remembered.
    NoWindow,
    /// The window stays behind on a planned move.
    NoHandover,
    /// A unit gained by a loss counts as handed over.
    LossAsMove,
    /// Wall clocks count as exact.
    NoClockError,
    /// A backend server counts as warm from the start.
    NoRamp,
    /// The lease counts as endless.
    NoLease,
    /// The new owner after a loss does not wait.
    NoMargin,
    /// A unit that is leaving is served on.
    NoLeaving,
}

/// How a trace is replayed, besides the gate's own settings.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct ReplayOptions {
    /// Whether ticks that the trace leaves out are made when they are due.
    auto_ticks: bool,
    /// Answers after which a backend server in cold start bears one request more.
    cold_answers: Option<u32>,
    /// The rule to break.
    broken: Option<BrokenRule>,
}

/// Replays a trace.
///
/// # Errors
///
/// [`TraceError`] with the line that is not understood.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = read_header(source, text)?;
    let malformed = |cause| TraceError::in_header(source, cause);
    let (options, settings) = split_settings(header.settings).map_err(malformed)?;
    let lines: Vec<TraceLine<GateTraceEvent>> = read_events(source, text)?;
    let mut replay = GateReplay::new(options, settings);
    for line in lines {
        replay.take(line.at, line.event);
    }
    Ok(replay.tally.figures())
}

/// Tells the options of the replay from the settings of the gate.
///
/// # Errors
///
/// What the parser found.
fn split_settings(
    mut settings: serde_json::Value,
) -> serde_json::Result<(ReplayOptions, GateSettings)> {
    let options = ReplayOptions::deserialize(&settings)?;
    if let Some(fields) = settings.as_object_mut() {
        for name in ["auto_ticks", "cold_answers", "broken"] {
            fields.remove(name);
        }
    }
    Ok((options, serde_json::from_value(settings)?))
}

/// The gates of a trace.
struct GateReplay {
    options: ReplayOptions,
    settings: GateSettings,
    gates: BTreeMap<Name, GateState>,
    tally: ReplayCounts,
}

impl BrokenRule {
    /// All rules.
    pub const ALL: [Self; 9] = [
        Self::UnknownAsNotSent,
        Self::NoWindow,
        Self::NoHandover,
        Self::LossAsMove,
        Self::NoClockError,
        Self::NoRamp,
        Self::NoLease,
        Self::NoMargin,
        Self::NoLeaving,
    ];
}

impl GateReplay {
    /// Makes a replay without gates.
    fn new(options: ReplayOptions, settings: GateSettings) -> Self {
        let tally = ReplayCounts::new(options.cold_answers);
        let settings = broken_settings(options.broken, settings);
        Self {
            options,
            settings,
            gates: BTreeMap::new(),
            tally,
        }
    }

    /// Takes one line.
    fn take(&mut self, at: Millis, event: GateTraceEvent) {
        if self.options.auto_ticks {
            self.tick_until(at);
        }
        match event {
            GateTraceEvent::Killed { killed } => {
                self.gates.remove(&killed);
                self.tally.killed(&killed);
            }
            GateTraceEvent::Restarted { restarted } => self.tally.restarted(&restarted),
            GateTraceEvent::Named { gate, event } => self.step(at, &gate, event),
            GateTraceEvent::Only(event) => self.step(at, &ONLY_GATE.into(), event),
        }
    }

    /// Makes all ticks that are due before a point.
    fn tick_until(&mut self, at: Millis) {
        let due = |(name, state): (&Name, &GateState)| (state.next_tick(), name.clone());
        while let Some((tick, name)) = self.gates.iter().map(due).min() {
            if tick >= at {
                return;
            }
            self.step(tick, &name, GateEvent::Tick);
        }
    }

    /// Steps one gate.
    fn step(&mut self, at: Millis, gate: &Name, event: GateEvent) {
        self.tally.event(at, gate, &event);
        let state = self
            .gates
            .remove(gate)
            .unwrap_or_else(|| GateState::new(self.settings.clone()));
        let (state, actions) = state.step(at, broken_event(self.options.broken, event));
        self.gates.insert(gate.clone(), state);
        for action in actions {
            self.tally.action(at, gate, &action);
        }
        self.tally.settle(at, gate);
    }
}

/// Breaks a rule by the gate's settings.
#[must_use]
pub fn broken_settings(broken: Option<BrokenRule>, settings: GateSettings) -> GateSettings {
    match broken {
        Some(BrokenRule::NoClockError) => GateSettings {
            clock_error_ms: 0,
            ..settings
        },
        Some(BrokenRule::NoRamp) => GateSettings {
            ramp_start: settings.slots,
            ..settings
        },
        Some(BrokenRule::NoMargin) => GateSettings {
            dispatch_margin_ms: 0,
            ..settings
        },
        _ => settings,
    }
}

/// Breaks a rule by what the gate is told.
#[must_use]
pub fn broken_event(broken: Option<BrokenRule>, event: GateEvent) -> GateEvent {
    match (broken, event) {
        (
            Some(BrokenRule::UnknownAsNotSent),
            GateEvent::Ended {
                ticket,
                end: DispatchOutcome::Unknown,
            },
        ) => {
            let end = DispatchOutcome::NotSent;
            GateEvent::Ended { ticket, end }
        }
        (Some(BrokenRule::NoWindow), GateEvent::Arrive(mut arrival)) => {
            arrival.idempotency_key = None;
            GateEvent::Arrive(arrival)
        }
        (Some(BrokenRule::NoHandover), GateEvent::Handover { .. }) => GateEvent::Tick,
        (Some(BrokenRule::NoLease), GateEvent::Lease { .. }) => {
            GateEvent::Lease { until: Millis::MAX }
        }
        (Some(BrokenRule::LossAsMove), GateEvent::Grants(grants)) => {
            changed_grants(&grants, |owned| owned.handed_over = true)
        }
        (Some(BrokenRule::NoLeaving), GateEvent::Grants(grants)) => {
            changed_grants(&grants, |owned| owned.leaving = false)
        }
        (_, event) => event,
    }
}

/// Changes every grant.
fn changed_grants(grants: &GrantMap, change: impl Fn(&mut crate::api::OwnedUnit)) -> GateEvent {
    let mut grants = grants.clone();
    grants.values_mut().for_each(change);
    GateEvent::Grants(Arc::new(grants))
}
