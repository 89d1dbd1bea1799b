//! The gateway's decision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::time::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::api::AttemptOutcome;
use crate::api::RouteAction;
use crate::api::RouteEvent;
use crate::api::RouteRequest;
use crate::api::RouteSettings;
use crate::attempt::LiveAttempt;
use crate::attempt::OpenRequest;
use crate::budget::SendBudget;
use crate::hedge::RecentTimes;
use crate::owner;
use crate::owner::ServiceRoutes;
use crate::pick::LoadTable;
use crate::refusals;

/// Shortest time between two pulls of records, in milliseconds.
const PULL_EVERY_MS: u64 = 250;

/// State of a gateway's routing.
#[derive(Clone, Debug)]
pub struct RouteState {
    settings: RouteSettings,
    rng: SmallRng,
    view: Arc<FleetView>,
    services: ServiceRoutes,
    open: BTreeMap<u64, OpenRequest>,
    wakes: BTreeSet<(Millis, u64)>,
    loads: LoadTable,
    times: BTreeMap<ServiceKey, RecentTimes>,
    retries: SendBudget,
    hedges: SendBudget,
    next_pull: Millis,
}

impl RouteState {
    /// Makes a router that knows of no agent.
    #[must_use]
    pub fn new(settings: RouteSettings, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            view: Arc::new(FleetView::new()),
            services: ServiceRoutes::new(),
            open: BTreeMap::new(),
            wakes: BTreeSet::new(),
            loads: LoadTable::new(),
            times: BTreeMap::new(),
            retries: SendBudget::new(settings.retry_share),
            hedges: SendBudget::new(settings.hedge_share),
            next_pull: Millis::default(),
            settings,
        }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(mut self, now: Millis, event: RouteEvent) -> (Self, Vec<RouteAction>) {
        let mut actions = Vec::new();
        match event {
            RouteEvent::Arrive(request) => self.arrive(now, request, &mut actions),
            RouteEvent::Ended {
                ticket,
                attempt,
                end,
                load,
            } => self.ended(now, ticket, attempt, end, load, &mut actions),
            RouteEvent::CallerGone { ticket } => self.cancel(now, ticket, &mut actions),
            RouteEvent::View(view) => self.replace_view(now, view, &mut actions),
            RouteEvent::Tick => {}
        }
        self.wake(now, &mut actions);
        (self, actions)
    }

    /// Requests that have neither been answered nor refused.
    #[must_use]
    pub fn open(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    /// When [`RouteEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.wakes.first().map_or(Millis::MAX, |(wake, _)| *wake)
    }

    /// Takes a request.
    fn arrive(&mut self, now: Millis, request: RouteRequest, actions: &mut Vec<RouteAction>) {
        let ticket = request.ticket;
        let found = self.services.get(&request.workspace);
        let Some(service) = found.and_then(|services| services.get(&request.service)) else {
            let refusal = refusals::unknown_service();
            actions.push(RouteAction::Refuse { ticket, refusal });
            return;
        };
        if service.keyed && request.key.is_none() {
            let refusal = refusals::key_missing();
            actions.push(RouteAction::Refuse { ticket, refusal });
            return;
        }
        let is_keyed = request.key.is_some();
        self.retries.record_request();
        if request.idempotent && !is_keyed {
            self.hedges.record_request();
        }
        let mut open = OpenRequest::new(request, is_keyed);
        self.send(now, &mut open, actions);
        self.keep(ticket, open);
    }

    /// Sends a request, or waits where nobody may serve it.
    fn send(&mut self, now: Millis, open: &mut OpenRequest, actions: &mut Vec<RouteAction>) {
        let Some((unit, to)) = self.choose(now, open) else {
            self.wait(now, open, actions);
            return;
        };
        open.sends += 1;
        let ticket = open.request.ticket;
        let attempt = open.sends;
        self.loads.sent(&to);
        open.tried.push(to.clone());
        let live = LiveAttempt {
            number: attempt,
            to: to.clone(),
            sent: now,
        };
        open.live.push(live);
        open.wake = self.next_look(now, open);
        actions.push(RouteAction::Send {
            ticket,
            attempt,
            to,
            unit,
        });
    }

    /// Says where a request goes now.
    fn choose(&mut self, now: Millis, open: &OpenRequest) -> Option<(Option<Unit>, AgentId)> {
        let request = &open.request;
        if let Some(key) = request.key.filter(|_| open.is_keyed) {
            let service = (request.workspace.clone(), request.service.clone());
            let (unit, to) = owner::owner(&self.view, &service, key)?;
            return Some((Some(unit), to));
        }
        let services = self.services.get(&request.workspace)?;
        let endpoints = &services.get(&request.service)?.endpoints;
        let to = self
            .loads
            .pick(now, endpoints, &open.tried, &mut self.rng)?;
        Some((None, to))
    }

    /// Says when to look at a request again that was just sent: to hedge it, or at its deadline.
    fn next_look(&self, now: Millis, open: &OpenRequest) -> Millis {
        let deadline = open.request.deadline;
        if !open.may_hedge() {
            return deadline;
        }
        let service = (open.request.workspace.clone(), open.request.service.clone());
        let times = self.times.get(&service);
        let after = times.and_then(|times| times.quantile(self.settings.hedge_quantile));
        after.map_or(deadline, |after| now.plus(after + 1).min(deadline))
    }

    /// Waits a moment, as nothing ran, and asks for newer records.
    fn wait(&mut self, now: Millis, open: &mut OpenRequest, actions: &mut Vec<RouteAction>) {
        let wait_ms = self.settings.retry_wait_ms;
        open.tried.clear();
        open.wake = now.plus(wait_ms).min(open.request.deadline);
        if now >= self.next_pull {
            self.next_pull = now.plus(PULL_EVERY_MS);
            actions.push(RouteAction::Pull);
        }
    }

    /// Takes the end of an attempt.
    fn ended(
        &mut self,
        now: Millis,
        ticket: u64,
        attempt: u32,
        end: AttemptOutcome,
        load: Option<u32>,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(mut open) = self.take(ticket) else {
            return;
        };
        let Some(live) = open.take_live(attempt) else {
            self.keep(ticket, open);
            return;
        };
        self.loads.ended(now, &live.to, load);
        match end {
            AttemptOutcome::Answered => {
                self.observe(now, &open, &live);
                self.cancel_live(now, &open, actions);
                actions.push(RouteAction::Finish { ticket, attempt });
                return;
            }
            AttemptOutcome::Refused { kind, ran } => {
                open.reason = kind;
                open.maybe_ran |= ran == RunState::Unknown;
                if matches!(kind, RefusalKind::NoEndpoint | RefusalKind::Leaving) {
                    self.loads.avoid(now, &live.to);
                }
            }
            AttemptOutcome::NotSent => {
                open.reason = OpenRequest::reason_of(open.is_keyed);
                self.loads.avoid(now, &live.to);
            }
            AttemptOutcome::Unknown => {
                open.reason = RefusalKind::OutcomeUnknown;
                open.maybe_ran = true;
            }
        }
        if !open.live.is_empty() {
            self.keep(ticket, open);
            return;
        }
        self.again(now, open, actions);
    }

    /// Learns from an answer.
    fn observe(&mut self, now: Millis, open: &OpenRequest, live: &LiveAttempt) {
        let elapsed_ms = now.since(live.sent);
        self.loads.answered(now, &live.to, elapsed_ms);
        if open.is_keyed {
            return;
        }
        let service = (open.request.workspace.clone(), open.request.service.clone());
        self.times.entry(service).or_default().record(elapsed_ms);
    }

    /// Sends a request again whose attempts have all ended, if that is safe and worth it.
    fn again(&mut self, now: Millis, mut open: OpenRequest, actions: &mut Vec<RouteAction>) {
        let ticket = open.request.ticket;
        let is_safe = open.request.idempotent || !open.maybe_ran;
        if now >= open.request.deadline || !is_safe || !self.is_worth(&open) {
            let refusal = final_refusal(&open);
            actions.push(RouteAction::Refuse { ticket, refusal });
            return;
        }
        if open.is_keyed {
            self.wait(now, &mut open, actions);
        } else {
            self.send(now, &mut open, actions);
        }
        self.keep(ticket, open);
    }

    /// Whether the reason of the last failure may pass. What loads a backend server again takes
    /// from the budget.
    fn is_worth(&mut self, open: &OpenRequest) -> bool {
        match open.reason {
            RefusalKind::NotOwner
            | RefusalKind::KeyUnavailable
            | RefusalKind::Leaving
            | RefusalKind::NoEndpoint => true,
            RefusalKind::OutcomeUnknown => self.retries.spend(),
            RefusalKind::Overloaded => !open.is_keyed && self.retries.spend(),
            _ => false,
        }
    }

    /// Cancels all attempts of a request.
    fn cancel_live(&mut self, now: Millis, open: &OpenRequest, actions: &mut Vec<RouteAction>) {
        for live in &open.live {
            self.loads.ended(now, &live.to, None);
            let (ticket, attempt) = (open.request.ticket, live.number);
            actions.push(RouteAction::Cancel { ticket, attempt });
        }
    }

    /// Stops a request whose caller no longer waits.
    fn cancel(&mut self, now: Millis, ticket: u64, actions: &mut Vec<RouteAction>) {
        if let Some(open) = self.take(ticket) {
            self.cancel_live(now, &open, actions);
        }
    }

    /// Takes new records, and looks at once at requests that wait for them.
    fn replace_view(&mut self, now: Millis, view: Arc<FleetView>, actions: &mut Vec<RouteAction>) {
        self.services = owner::service_routes(&view);
        self.loads.retain(|id| {
            let member = view.member(id);
            member.is_some_and(|member| !member.state.has_ended())
        });
        self.view = view;
        let waiting: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.live.is_empty())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in waiting {
            self.look(now, ticket, actions);
        }
    }

    /// Looks at all requests that are due.
    fn wake(&mut self, now: Millis, actions: &mut Vec<RouteAction>) {
        while let Some((wake, ticket)) = self.wakes.first().copied() {
            if wake > now {
                return;
            }
            self.look(now, ticket, actions);
        }
    }

    /// Refuses, hedges or sends a request again.
    fn look(&mut self, now: Millis, ticket: u64, actions: &mut Vec<RouteAction>) {
        let Some(mut open) = self.take(ticket) else {
            return;
        };
        if now >= open.request.deadline {
            self.cancel_live(now, &open, actions);
            open.maybe_ran |= !open.live.is_empty();
            let refusal = final_refusal(&open);
            actions.push(RouteAction::Refuse { ticket, refusal });
            return;
        }
        if open.live.is_empty() {
            self.send(now, &mut open, actions);
        } else {
            self.hedge(now, &mut open, actions);
        }
        self.keep(ticket, open);
    }

    /// Sends a request a second time, within the budget, to an endpoint that has not seen it.
    fn hedge(&mut self, now: Millis, open: &mut OpenRequest, actions: &mut Vec<RouteAction>) {
        open.wake = open.request.deadline;
        if !open.may_hedge() {
            return;
        }
        open.hedged = true;
        if self.choose(now, open).is_some() && self.hedges.spend() {
            self.send(now, open, actions);
        }
    }

    /// Keeps an open request.
    fn keep(&mut self, ticket: u64, open: OpenRequest) {
        self.wakes.insert((open.wake, ticket));
        self.open.insert(ticket, open);
    }

    /// Takes an open request out.
    fn take(&mut self, ticket: u64) -> Option<OpenRequest> {
        let open = self.open.remove(&ticket)?;
        self.wakes.remove(&(open.wake, ticket));
        Some(open)
    }
}

/// Says why a request ends without an answer. Only one that surely did not run is said not to have.
fn final_refusal(open: &OpenRequest) -> Refusal {
    match open.reason {
        RefusalKind::StillRunning => Refusal {
            kind: RefusalKind::StillRunning,
            ran: RunState::Unknown,
            detail: "a request with this id is running; repeat the request in a moment".into(),
        },
        _ if open.maybe_ran => refusals::outcome_unknown(),
        kind => refusals::not_run(kind),
    }
}
