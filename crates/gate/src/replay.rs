//! Replays a recorded trace of one or several gates and counts violations of their guarantees.

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

/// Name of the gate in a trace of a single gate.
pub const ONLY_GATE: &str = "gate";

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum GateTraceEvent {
    /// The process of a gate was killed; the next event of that name belongs to a new process.
    Killed {
        /// The gate.
        killed: Name,
    },
    /// The backend server of a gate restarted; the gate itself is not notified.
    Restarted {
        /// The gate.
        restarted: Name,
    },
    /// An event of one of several gates, under the gate's name in the trace.
    Named {
        /// The gate.
        gate: Name,
        /// The event.
        event: GateEvent,
    },
    /// An event of the only gate.
    Only(GateEvent),
}

/// A rule that a replay breaks on purpose, to check that its figures reveal the breach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// A request without an answer is treated as not sent.
    UnknownAsNotSent,
    /// Request ids are not kept.
    NoWindow,
    /// The window is not handed over on a planned move.
    NoHandover,
    /// A unit gained after the loss of its owner is treated as handed over.
    LossAsMove,
    /// Wall clocks are treated as exact.
    NoClockError,
    /// A backend server is treated as warm from the start.
    NoRamp,
    /// The lease never ends.
    NoLease,
    /// The new owner does not wait after the loss of the previous one.
    NoMargin,
    /// New requests for a leaving unit are still admitted.
    NoLeaving,
}

/// Options of a replay, in the same object as the gate's settings.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct ReplayOptions {
    /// Whether the replay generates ticks when they are due, for traces without them.
    auto_ticks: bool,
    /// Number of answers after which a backend server in cold start can handle one more request at once.
    cold_answers: Option<u32>,
    /// The rule to break.
    broken: Option<BrokenRule>,
}

/// Replays a trace and returns its figures.
///
/// # Errors
///
/// Returns [`TraceError`] if the trace is empty, or with the line that cannot be parsed.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = read_header(source, text)?;
    let malformed = |cause| TraceError::invalid_settings(source, cause);
    let (options, settings) = split_settings(header.settings).map_err(malformed)?;
    let lines: Vec<TraceLine<GateTraceEvent>> = read_events(source, text)?;
    let mut replay = GateReplay::new(options, settings);
    for line in lines {
        replay.apply(line.at, line.event);
    }
    Ok(replay.counts.figures())
}

/// Separates the options of the replay from the settings of the gate.
///
/// # Errors
///
/// Returns the error of the parser if an option or setting is unknown or malformed.
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

/// Replay of one trace.
struct GateReplay {
    options: ReplayOptions,
    settings: GateSettings,
    gates: BTreeMap<Name, GateState>,
    counts: ReplayCounts,
}

impl BrokenRule {
    /// All rules, in order.
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
    /// Creates a replay without gates.
    fn new(options: ReplayOptions, settings: GateSettings) -> Self {
        let counts = ReplayCounts::new(options.cold_answers);
        let settings = broken_settings(options.broken, settings);
        Self {
            options,
            settings,
            gates: BTreeMap::new(),
            counts,
        }
    }

    /// Applies one line of the trace.
    fn apply(&mut self, at: Millis, event: GateTraceEvent) {
        if self.options.auto_ticks {
            self.tick_until(at);
        }
        match event {
            GateTraceEvent::Killed { killed } => {
                self.gates.remove(&killed);
                self.counts.record_killed(&killed);
            }
            GateTraceEvent::Restarted { restarted } => self.counts.record_restarted(&restarted),
            GateTraceEvent::Named { gate, event } => self.step(at, &gate, event),
            GateTraceEvent::Only(event) => self.step(at, &ONLY_GATE.into(), event),
        }
    }

    /// Runs all ticks that are due before a time.
    fn tick_until(&mut self, at: Millis) {
        let next_tick_of = |(name, state): (&Name, &GateState)| (state.next_tick(), name.clone());
        while let Some((tick, name)) = self.gates.iter().map(next_tick_of).min() {
            if tick >= at {
                return;
            }
            self.step(tick, &name, GateEvent::Tick);
        }
    }

    /// Applies an event to one gate, which is created if it does not exist.
    fn step(&mut self, at: Millis, gate: &Name, event: GateEvent) {
        self.counts.record_event(at, gate, &event);
        let state = self
            .gates
            .remove(gate)
            .unwrap_or_else(|| GateState::new(self.settings.clone()));
        let (state, actions) = state.step(at, broken_event(self.options.broken, event));
        self.gates.insert(gate.clone(), state);
        for action in actions {
            self.counts.record_action(at, gate, &action);
        }
        self.counts.check_lease_end(at, gate);
    }
}

/// Returns the settings, changed if the rule is broken by settings.
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

/// Returns the event, changed if the rule is broken by events.
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

/// Returns an event with every grant changed.
fn changed_grants(grants: &GrantMap, change: impl Fn(&mut crate::api::OwnedUnit)) -> GateEvent {
    let mut grants = grants.clone();
    grants.values_mut().for_each(change);
    GateEvent::Grants(Arc::new(grants))
}
