//! Decides where the gateway sends each request, and when it retries, hedges or refuses it.

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
use crate::hedge::RecentLatencies;
use crate::owner;
use crate::owner::ServiceRoutes;
use crate::pick::LoadTable;
use crate::refusals;

const MIN_PULL_INTERVAL_MS: u64 = 250;

/// Routing state of one gateway.
#[derive(Clone, Debug)]
pub struct RouteState {
    settings: RouteSettings,
    rng: SmallRng,
    view: Arc<FleetView>,
    services: ServiceRoutes,
    open: BTreeMap<u64, OpenRequest>,
    /// Open requests in the order in which they are due, each with its [`OpenRequest::wake_at`].
    schedule: BTreeSet<(Millis, u64)>,
    loads: LoadTable,
    latencies: BTreeMap<ServiceKey, RecentLatencies>,
    retry_budget: SendBudget,
    hedge_budget: SendBudget,
    next_pull: Millis,
}

impl RouteState {
    /// Creates a router with an empty fleet view. `seed` determines the random choice between endpoints.
    #[must_use]
    pub fn new(settings: RouteSettings, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            view: Arc::new(FleetView::new()),
            services: ServiceRoutes::new(),
            open: BTreeMap::new(),
            schedule: BTreeSet::new(),
            loads: LoadTable::new(),
            latencies: BTreeMap::new(),
            retry_budget: SendBudget::new(settings.retry_share),
            hedge_budget: SendBudget::new(settings.hedge_share),
            next_pull: Millis::default(),
            settings,
        }
    }

    /// Applies an event and returns the next state and the actions to carry out.
    #[must_use]
    pub fn step(mut self, now: Millis, event: RouteEvent) -> (Self, Vec<RouteAction>) {
        let mut actions = Vec::new();
        match event {
            RouteEvent::Arrive(request) => self.handle_request(now, request, &mut actions),
            RouteEvent::Ended {
                ticket,
                attempt,
                end,
                load,
            } => self.handle_outcome(now, ticket, attempt, end, load, &mut actions),
            RouteEvent::CallerGone { ticket } => self.drop_request(now, ticket, &mut actions),
            RouteEvent::View(view) => self.replace_view(now, view, &mut actions),
            RouteEvent::Tick => {}
        }
        self.process_due(now, &mut actions);
        (self, actions)
    }

    /// Returns the number of requests that have been neither answered nor refused yet.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    /// Returns when [`RouteEvent::Tick`] is due next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.schedule
            .first()
            .map_or(Millis::MAX, |(wake_at, _)| *wake_at)
    }

    /// Sends a new request, or refuses it if its service is unknown or its key is missing.
    fn handle_request(
        &mut self,
        now: Millis,
        request: RouteRequest,
        actions: &mut Vec<RouteAction>,
    ) {
        let ticket = request.ticket;
        let services = self.services.get(&request.workspace);
        let Some(service) = services.and_then(|services| services.get(&request.service)) else {
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
        self.retry_budget.record_request();
        if request.idempotent && !is_keyed {
            self.hedge_budget.record_request();
        }
        let mut open = OpenRequest::new(request, is_keyed);
        self.send(now, &mut open, actions);
        self.insert_open(ticket, open);
    }

    /// Sends a request, or schedules a retry if no agent can serve it now.
    fn send(&mut self, now: Millis, open: &mut OpenRequest, actions: &mut Vec<RouteAction>) {
        let Some((unit, to)) = self.choose_agent(now, open) else {
            self.schedule_retry(now, open, actions);
            return;
        };
        open.send_count += 1;
        let ticket = open.request.ticket;
        let attempt = open.send_count;
        self.loads.record_send(&to);
        open.tried.push(to.clone());
        let live = LiveAttempt {
            number: attempt,
            to: to.clone(),
            sent_at: now,
        };
        open.live.push(live);
        open.wake_at = self.next_wake(now, open);
        actions.push(RouteAction::Send {
            ticket,
            attempt,
            to,
            unit,
        });
    }

    /// Chooses the agent for the next attempt, and returns it with the unit of the request's key.
    fn choose_agent(&mut self, now: Millis, open: &OpenRequest) -> Option<(Option<Unit>, AgentId)> {
        let request = &open.request;
        if let Some(key) = request.key.filter(|_| open.is_keyed) {
            let service = (request.workspace.clone(), request.service.clone());
            let (unit, to) = owner::find_owner(&self.view, &service, key)?;
            return Some((Some(unit), to));
        }
        let services = self.services.get(&request.workspace)?;
        let endpoints = &services.get(&request.service)?.endpoints;
        let to = self
            .loads
            .pick(now, endpoints, &open.tried, &mut self.rng)?;
        Some((None, to))
    }

    /// Returns when a request that was just sent is due again: for hedging, or at its deadline.
    fn next_wake(&self, now: Millis, open: &OpenRequest) -> Millis {
        let deadline = open.request.deadline;
        if !open.may_hedge() {
            return deadline;
        }
        let service = (open.request.workspace.clone(), open.request.service.clone());
        let latencies = self.latencies.get(&service);
        let delay_ms =
            latencies.and_then(|latencies| latencies.quantile(self.settings.hedge_quantile));
        delay_ms.map_or(deadline, |delay_ms| now.plus(delay_ms + 1).min(deadline))
    }

    /// Schedules a retry, for which every endpoint may be chosen again, and pulls newer records unless that was
    /// done within [`MIN_PULL_INTERVAL_MS`].
    fn schedule_retry(
        &mut self,
        now: Millis,
        open: &mut OpenRequest,
        actions: &mut Vec<RouteAction>,
    ) {
        let wait_ms = self.settings.retry_wait_ms;
        open.tried.clear();
        open.wake_at = now.plus(wait_ms).min(open.request.deadline);
        if now >= self.next_pull {
            self.next_pull = now.plus(MIN_PULL_INTERVAL_MS);
            actions.push(RouteAction::Pull);
        }
    }

    /// Finishes a request if its attempt was answered. Otherwise retries or refuses the request, unless another
    /// attempt is in flight.
    fn handle_outcome(
        &mut self,
        now: Millis,
        ticket: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        load: Option<u32>,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(mut open) = self.take_open(ticket) else {
            return;
        };
        let Some(live) = open.take_live(attempt) else {
            self.insert_open(ticket, open);
            return;
        };
        self.loads.record_end(now, &live.to, load);
        match outcome {
            AttemptOutcome::Answered => {
                self.record_latency(now, &open, &live);
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
                open.reason = OpenRequest::unreached_reason(open.is_keyed);
                self.loads.avoid(now, &live.to);
            }
            AttemptOutcome::Unknown => {
                open.reason = RefusalKind::OutcomeUnknown;
                open.maybe_ran = true;
            }
        }
        if !open.live.is_empty() {
            self.insert_open(ticket, open);
            return;
        }
        self.retry(now, open, actions);
    }

    /// Records the latency of an answered attempt.
    fn record_latency(&mut self, now: Millis, open: &OpenRequest, live: &LiveAttempt) {
        let elapsed_ms = now.since(live.sent_at);
        self.loads.record_latency(now, &live.to, elapsed_ms);
        if open.is_keyed {
            return;
        }
        let service = (open.request.workspace.clone(), open.request.service.clone());
        self.latencies
            .entry(service)
            .or_default()
            .record(elapsed_ms);
    }

    /// Retries a request whose attempts have all ended, or refuses it if the deadline has passed, a second run
    /// would not be safe or the last failure does not allow a retry.
    fn retry(&mut self, now: Millis, mut open: OpenRequest, actions: &mut Vec<RouteAction>) {
        let ticket = open.request.ticket;
        let is_safe = open.request.idempotent || !open.maybe_ran;
        if now >= open.request.deadline || !is_safe || !self.may_retry_after_failure(&open) {
            let refusal = final_refusal(&open);
            actions.push(RouteAction::Refuse { ticket, refusal });
            return;
        }
        if open.is_keyed {
            self.schedule_retry(now, &mut open, actions);
        } else {
            self.send(now, &mut open, actions);
        }
        self.insert_open(ticket, open);
    }

    /// Returns whether a request may be sent again after its last failure. A retry that puts more load on a
    /// backend server takes a token from the retry budget, and is not allowed without one.
    fn may_retry_after_failure(&mut self, open: &OpenRequest) -> bool {
        match open.reason {
            RefusalKind::NotOwner
            | RefusalKind::KeyUnavailable
            | RefusalKind::Leaving
            | RefusalKind::NoEndpoint => true,
            RefusalKind::OutcomeUnknown => self.retry_budget.try_spend(),
            RefusalKind::Overloaded => !open.is_keyed && self.retry_budget.try_spend(),
            _ => false,
        }
    }

    /// Cancels the attempts of a request that are in flight.
    fn cancel_live(&mut self, now: Millis, open: &OpenRequest, actions: &mut Vec<RouteAction>) {
        for live in &open.live {
            self.loads.record_end(now, &live.to, None);
            let (ticket, attempt) = (open.request.ticket, live.number);
            actions.push(RouteAction::Cancel { ticket, attempt });
        }
    }

    /// Drops a request whose caller no longer waits.
    fn drop_request(&mut self, now: Millis, ticket: u64, actions: &mut Vec<RouteAction>) {
        if let Some(open) = self.take_open(ticket) {
            self.cancel_live(now, &open, actions);
        }
    }

    /// Replaces the fleet view, and processes requests without an attempt in flight at once, since the new
    /// view may have an agent for them.
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
            self.process(now, ticket, actions);
        }
    }

    /// Processes all requests whose wake time has come.
    fn process_due(&mut self, now: Millis, actions: &mut Vec<RouteAction>) {
        while let Some((wake_at, ticket)) = self.schedule.first().copied() {
            if wake_at > now {
                return;
            }
            self.process(now, ticket, actions);
        }
    }

    /// Refuses a request whose deadline has passed. Otherwise hedges it if an attempt is in flight, or sends it
    /// again.
    fn process(&mut self, now: Millis, ticket: u64, actions: &mut Vec<RouteAction>) {
        let Some(mut open) = self.take_open(ticket) else {
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
        self.insert_open(ticket, open);
    }

    /// Sends a request a second time, within the hedging budget, to an endpoint that was not tried yet.
    fn hedge(&mut self, now: Millis, open: &mut OpenRequest, actions: &mut Vec<RouteAction>) {
        open.wake_at = open.request.deadline;
        if !open.may_hedge() {
            return;
        }
        open.hedged = true;
        if self.choose_agent(now, open).is_some() && self.hedge_budget.try_spend() {
            self.send(now, open, actions);
        }
    }

    /// Stores an open request and schedules its next processing.
    fn insert_open(&mut self, ticket: u64, open: OpenRequest) {
        self.schedule.insert((open.wake_at, ticket));
        self.open.insert(ticket, open);
    }

    /// Removes an open request and its scheduled processing.
    fn take_open(&mut self, ticket: u64) -> Option<OpenRequest> {
        let open = self.open.remove(&ticket)?;
        self.schedule.remove(&(open.wake_at, ticket));
        Some(open)
    }
}

/// Returns the refusal of a request that gets no answer. It states that the request did not run only if that
/// is certain.
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
