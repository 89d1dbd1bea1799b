//! Replays a recorded trace of a gateway's routing.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::TraceError;
use jy_kernel::trace::TraceLine;
use jy_kernel::trace::read_events;
use jy_kernel::trace::read_header;
use jy_types::record::Record;
use jy_types::request::RunState;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::api::AttemptOutcome;
use crate::api::RouteAction;
use crate::api::RouteEvent;
use crate::api::RouteRequest;
use crate::api::RouteSettings;
use crate::core::RouteState;

/// One line of a trace: a [`RouteEvent`] with records in place of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTraceEvent {
    /// A request came.
    Arrive(RouteRequest),
    /// An attempt ended.
    Ended {
        /// The request.
        ticket: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How.
        end: AttemptOutcome,
        /// Requests in flight and waiting at the gate, if it told.
        #[serde(default)]
        load: Option<u32>,
    },
    /// The caller no longer waits.
    CallerGone {
        /// The request.
        ticket: u64,
    },
    /// These records changed.
    Records(Vec<Record>),
    /// Time passed.
    Tick,
}

/// A rule that a replay breaks on purpose, to show that the outcome tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// A request without an answer counts as not sent.
    UnknownAsNotSent,
    /// Every request counts as idempotent.
    AllIdempotent,
    /// Extra sends have no budget.
    NoBudget,
    /// Waiting requests do not hear of new records.
    NoRecords,
}

/// How a trace is replayed, besides the router's own settings.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct ReplayOptions {
    /// Whether ticks that the trace leaves out are made when they are due.
    auto_ticks: bool,
    /// The rule to break.
    broken: Option<BrokenRule>,
}

/// Figures that every outcome may bound, also where they stay zero.
const ALWAYS: [&str; 8] = [
    "arrived",
    "sent",
    "extra_sends",
    "finished",
    "refused",
    "second_runs",
    "false_not_run",
    "foreign_answers",
];

/// Replays a trace.
///
/// # Errors
///
/// [`TraceError`] with the line that is not understood.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = read_header(source, text)?;
    let malformed = |cause| TraceError::in_header(source, cause);
    let (options, settings) = split_settings(header.settings).map_err(malformed)?;
    let lines: Vec<TraceLine<RouteTraceEvent>> = read_events(source, text)?;
    let mut replay = RouteReplay::new(options, settings, header.seed);
    for line in lines {
        replay.take(line.at, line.event);
    }
    Ok(replay.counts)
}

/// Tells the options of the replay from the settings of the router.
///
/// # Errors
///
/// What the parser found.
fn split_settings(
    mut settings: serde_json::Value,
) -> serde_json::Result<(ReplayOptions, RouteSettings)> {
    let options = ReplayOptions::deserialize(&settings)?;
    if let Some(fields) = settings.as_object_mut() {
        fields.remove("auto_ticks");
        fields.remove("broken");
    }
    let mut settings: RouteSettings = serde_json::from_value(settings)?;
    if options.broken == Some(BrokenRule::NoBudget) {
        settings.retry_share = 10.0;
        settings.hedge_share = 10.0;
    }
    Ok((options, settings))
}

/// What the trace truly says of a request.
#[derive(Debug, Default)]
struct RequestRecord {
    idempotent: bool,
    sends: u32,
    /// Attempts that went out and may have run.
    open: Vec<u32>,
    maybe_ran: bool,
    is_over: bool,
}

/// The router of a trace.
struct RouteReplay {
    options: ReplayOptions,
    state: Option<RouteState>,
    view: FleetView,
    requests: BTreeMap<u64, RequestRecord>,
    counts: FigureMap,
}

impl RouteReplay {
    /// Makes a replay that knows of no agent.
    fn new(options: ReplayOptions, settings: RouteSettings, seed: u64) -> Self {
        Self {
            options,
            state: Some(RouteState::new(settings, seed)),
            view: FleetView::new(),
            requests: BTreeMap::new(),
            counts: ALWAYS.iter().map(|name| ((*name).into(), 0.0)).collect(),
        }
    }

    /// Adds one to a figure.
    fn count(&mut self, name: &str) {
        *self.counts.entry(name.into()).or_default() += 1.0;
    }

    /// Takes one line.
    fn take(&mut self, at: Millis, event: RouteTraceEvent) {
        if self.options.auto_ticks {
            self.tick_until(at);
        }
        self.note(&event);
        if let Some(event) = self.convert(event) {
            self.step(at, event);
        }
    }

    /// Makes all ticks that are due before a point.
    fn tick_until(&mut self, at: Millis) {
        while let Some(tick) = self.state.as_ref().map(RouteState::next_tick) {
            if tick >= at {
                return;
            }
            self.step(tick, RouteEvent::Tick);
        }
    }

    /// Takes note of what the trace truly says.
    fn note(&mut self, event: &RouteTraceEvent) {
        match event {
            RouteTraceEvent::Arrive(request) => {
                self.count("arrived");
                let record = RequestRecord {
                    idempotent: request.idempotent,
                    ..RequestRecord::default()
                };
                self.requests.insert(request.ticket, record);
            }
            RouteTraceEvent::Ended {
                ticket,
                attempt,
                end,
                ..
            } => {
                let Some(record) = self.requests.get_mut(ticket) else {
                    return;
                };
                record.open.retain(|open| open != attempt);
                let not_run = match end {
                    AttemptOutcome::NotSent => true,
                    AttemptOutcome::Refused { ran, .. } => *ran == RunState::No,
                    AttemptOutcome::Answered | AttemptOutcome::Unknown => false,
                };
                record.maybe_ran |= !not_run;
            }
            _ => {}
        }
    }

    /// Makes the router's event of a line, with the rule broken.
    fn convert(&mut self, event: RouteTraceEvent) -> Option<RouteEvent> {
        let broken = self.options.broken;
        Some(match event {
            RouteTraceEvent::Arrive(mut request) => {
                request.idempotent |= broken == Some(BrokenRule::AllIdempotent);
                RouteEvent::Arrive(request)
            }
            RouteTraceEvent::Ended {
                ticket,
                attempt,
                end,
                load,
            } => {
                let is_unknown = end == AttemptOutcome::Unknown;
                let end = if is_unknown && broken == Some(BrokenRule::UnknownAsNotSent) {
                    AttemptOutcome::NotSent
                } else {
                    end
                };
                RouteEvent::Ended {
                    ticket,
                    attempt,
                    end,
                    load,
                }
            }
            RouteTraceEvent::CallerGone { ticket } => RouteEvent::CallerGone { ticket },
            RouteTraceEvent::Records(records) => {
                let is_first = self.view.members.is_empty();
                if broken == Some(BrokenRule::NoRecords) && !is_first {
                    return None;
                }
                let revision = records.iter().map(|record| record.revision).max();
                let view = std::mem::take(&mut self.view);
                let (view, _) = view.with_records(&records, revision.unwrap_or_default());
                self.view = view;
                RouteEvent::View(Arc::new(self.view.clone()))
            }
            RouteTraceEvent::Tick => RouteEvent::Tick,
        })
    }

    /// Steps the router.
    fn step(&mut self, at: Millis, event: RouteEvent) {
        let Some(state) = self.state.take() else {
            return;
        };
        let (state, actions) = state.step(at, event);
        self.state = Some(state);
        for action in actions {
            self.act(action);
        }
    }

    /// Counts an action.
    fn act(&mut self, action: RouteAction) {
        match action {
            RouteAction::Send {
                ticket,
                attempt,
                to,
                ..
            } => {
                self.count(&format!("sent_to_{}", to.name));
                self.sent(ticket, attempt);
            }
            RouteAction::Cancel { ticket, attempt } => {
                self.count("cancelled");
                if let Some(record) = self.requests.get_mut(&ticket) {
                    record.maybe_ran |= record.open.contains(&attempt);
                }
            }
            RouteAction::Finish { ticket, attempt } => {
                self.count("finished");
                let known = self.requests.get_mut(&ticket);
                let is_own = known.is_some_and(|record| {
                    let is_first = !std::mem::replace(&mut record.is_over, true);
                    is_first && attempt <= record.sends
                });
                if !is_own {
                    self.count("foreign_answers");
                }
            }
            RouteAction::Refuse { ticket, refusal } => {
                self.count("refused");
                self.count(&format!("refused_{}", refusal.kind.name()));
                let record = self.requests.get(&ticket);
                let maybe_ran =
                    record.is_some_and(|record| record.maybe_ran || !record.open.is_empty());
                if maybe_ran && refusal.ran == RunState::No {
                    self.count("false_not_run");
                }
            }
            RouteAction::Pull => self.count("pulled"),
        }
    }

    /// Counts a send: a second one of non-idempotent work after one that may have run is wrong.
    fn sent(&mut self, ticket: u64, attempt: u32) {
        self.count("sent");
        let Some(record) = self.requests.get_mut(&ticket) else {
            return;
        };
        record.sends += 1;
        let is_second = !record.idempotent && (record.maybe_ran || !record.open.is_empty());
        let is_extra = !record.open.is_empty() || record.maybe_ran;
        record.open.push(attempt);
        if is_extra {
            self.count("extra_sends");
        }
        if is_second {
            self.count("second_runs");
        }
    }
}
