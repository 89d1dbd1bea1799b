//! Replays a recorded trace of request routing and counts what the router does.

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

/// Event of a trace line: a [`RouteEvent`] with changed records in place of the whole fleet view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTraceEvent {
    /// A request was received.
    Arrive(RouteRequest),
    /// An attempt ended.
    Ended {
        /// Number of the request.
        ticket: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Outcome of the attempt.
        end: AttemptOutcome,
        /// Number of requests in flight and waiting at the gate, if the gate reported it.
        #[serde(default)]
        load: Option<u32>,
    },
    /// The caller no longer waits for an answer.
    CallerGone {
        /// Number of the request.
        ticket: u64,
    },
    /// Records of the fleet view changed.
    Records(Vec<Record>),
    /// Time advanced without another event.
    Tick,
}

/// Rule that a replay breaks deliberately, to verify that the stated bounds detect the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// An attempt with an unknown outcome is treated as not sent.
    UnknownAsNotSent,
    /// Every request is treated as idempotent.
    AllIdempotent,
    /// Every request refills the budgets for extra sends.
    NoBudget,
    /// The router receives no more records once its view has members.
    NoRecords,
}

/// Options of the replay, which the trace header holds next to the router's settings.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct ReplayOptions {
    /// Whether the replay generates ticks when they are due instead of reading all of them from the trace.
    auto_ticks: bool,
    /// Rule to break.
    broken: Option<BrokenRule>,
}

/// Figures that are reported even if they are zero, so that every trace may state a bound for them.
const DEFAULT_FIGURES: [&str; 8] = [
    "arrived",
    "sent",
    "extra_sends",
    "finished",
    "refused",
    "second_runs",
    "false_not_run",
    "foreign_answers",
];

/// Replays the trace `text` and returns its figures. `source` is the name of the trace in errors.
///
/// # Errors
///
/// Returns [`TraceError`] if the trace is empty, or with the line that cannot be parsed.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = read_header(source, text)?;
    let malformed = |cause| TraceError::invalid_settings(source, cause);
    let (options, settings) = split_settings(header.settings).map_err(malformed)?;
    let lines: Vec<TraceLine<RouteTraceEvent>> = read_events(source, text)?;
    let mut replay = RouteReplay::new(options, settings, header.seed);
    for line in lines {
        replay.replay_line(line.at, line.event);
    }
    Ok(replay.counts)
}

/// Splits the settings of a trace header into the options of the replay and the settings of the router.
///
/// # Errors
///
/// The parser's error if a setting is unknown or has the wrong type.
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

/// Facts about a request that the figures are checked against, independent of the router's own state.
#[derive(Debug, Default)]
struct RequestFacts {
    idempotent: bool,
    send_count: u32,
    /// Sent attempts whose outcome the trace has not reported yet, including cancelled ones.
    unended_attempts: Vec<u32>,
    maybe_ran: bool,
    is_finished: bool,
}

/// Replay of one trace: the router under test and the figures counted so far.
struct RouteReplay {
    options: ReplayOptions,
    state: Option<RouteState>,
    view: FleetView,
    requests: BTreeMap<u64, RequestFacts>,
    counts: FigureMap,
}

impl RouteReplay {
    /// Creates a replay with an empty fleet view.
    fn new(options: ReplayOptions, settings: RouteSettings, seed: u64) -> Self {
        Self {
            options,
            state: Some(RouteState::new(settings, seed)),
            view: FleetView::new(),
            requests: BTreeMap::new(),
            counts: DEFAULT_FIGURES
                .iter()
                .map(|name| ((*name).into(), 0.0))
                .collect(),
        }
    }

    fn increment(&mut self, name: &str) {
        *self.counts.entry(name.into()).or_default() += 1.0;
    }

    fn replay_line(&mut self, at: Millis, event: RouteTraceEvent) {
        if self.options.auto_ticks {
            self.tick_before(at);
        }
        self.record_facts(&event);
        if let Some(event) = self.convert_event(event) {
            self.step(at, event);
        }
    }

    /// Steps the router with all ticks that are due before `at`.
    fn tick_before(&mut self, at: Millis) {
        while let Some(tick) = self.state.as_ref().map(RouteState::next_tick) {
            if tick >= at {
                return;
            }
            self.step(tick, RouteEvent::Tick);
        }
    }

    /// Updates the facts about a request from an event of the trace.
    fn record_facts(&mut self, event: &RouteTraceEvent) {
        match event {
            RouteTraceEvent::Arrive(request) => {
                self.increment("arrived");
                let facts = RequestFacts {
                    idempotent: request.idempotent,
                    ..RequestFacts::default()
                };
                self.requests.insert(request.ticket, facts);
            }
            RouteTraceEvent::Ended {
                ticket,
                attempt,
                end,
                ..
            } => {
                let Some(facts) = self.requests.get_mut(ticket) else {
                    return;
                };
                facts.unended_attempts.retain(|number| number != attempt);
                let did_not_run = match end {
                    AttemptOutcome::NotSent => true,
                    AttemptOutcome::Refused { ran, .. } => *ran == RunState::No,
                    AttemptOutcome::Answered | AttemptOutcome::Unknown => false,
                };
                facts.maybe_ran |= !did_not_run;
            }
            _ => {}
        }
    }

    /// Converts an event of the trace into an event of the router, altered as the broken rule requires. Returns
    /// none if the router must not receive the event.
    fn convert_event(&mut self, event: RouteTraceEvent) -> Option<RouteEvent> {
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

    /// Steps the router and counts its actions.
    fn step(&mut self, at: Millis, event: RouteEvent) {
        let Some(state) = self.state.take() else {
            return;
        };
        let (state, actions) = state.step(at, event);
        self.state = Some(state);
        for action in actions {
            self.count_action(action);
        }
    }

    fn count_action(&mut self, action: RouteAction) {
        match action {
            RouteAction::Send {
                ticket,
                attempt,
                to,
                ..
            } => {
                self.increment(&format!("sent_to_{}", to.name));
                self.count_send(ticket, attempt);
            }
            RouteAction::Cancel { ticket, attempt } => {
                self.increment("cancelled");
                if let Some(facts) = self.requests.get_mut(&ticket) {
                    facts.maybe_ran |= facts.unended_attempts.contains(&attempt);
                }
            }
            RouteAction::Finish { ticket, attempt } => {
                self.increment("finished");
                let facts = self.requests.get_mut(&ticket);
                let is_valid_answer = facts.is_some_and(|facts| {
                    let is_first = !std::mem::replace(&mut facts.is_finished, true);
                    is_first && attempt <= facts.send_count
                });
                if !is_valid_answer {
                    self.increment("foreign_answers");
                }
            }
            RouteAction::Refuse { ticket, refusal } => {
                self.increment("refused");
                self.increment(&format!("refused_{}", refusal.kind.name()));
                let facts = self.requests.get(&ticket);
                let maybe_ran = facts
                    .is_some_and(|facts| facts.maybe_ran || !facts.unended_attempts.is_empty());
                if maybe_ran && refusal.ran == RunState::No {
                    self.increment("false_not_run");
                }
            }
            RouteAction::Pull => self.increment("pulled"),
        }
    }

    /// Counts a send. A further send of a non-idempotent request that may have run already is a violation.
    fn count_send(&mut self, ticket: u64, attempt: u32) {
        self.increment("sent");
        let Some(facts) = self.requests.get_mut(&ticket) else {
            return;
        };
        facts.send_count += 1;
        let may_run_twice =
            !facts.idempotent && (facts.maybe_ran || !facts.unended_attempts.is_empty());
        let is_extra = !facts.unended_attempts.is_empty() || facts.maybe_ran;
        facts.unended_attempts.push(attempt);
        if is_extra {
            self.increment("extra_sends");
        }
        if may_run_twice {
            self.increment("second_runs");
        }
    }
}
