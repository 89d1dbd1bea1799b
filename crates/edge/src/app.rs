//! The agent's process: its parts, its listeners, its end.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use anyhow::Context;
use anyhow::Result;
use futures_util::future::LocalBoxFuture;
use jy_config::edge;
use jy_config::edge::EdgeSettings;
use jy_http::message::HttpAnswer;
use jy_http::message::HttpRequest;
use jy_http::message::header_text;
use jy_http::pool::ConnectionPool;
use jy_http::server::HandleFn;
use jy_http::server::HttpListener;
use jy_http::server::LimitsFn;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use jy_platform::announce;
use jy_platform::headers;
use jy_platform::store::StoreClient;
use jy_policy::budget::BudgetLimits;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use uuid::Uuid;

use crate::backend::AnnounceOutcome;
use crate::backend::LocalBackend;
use crate::backend::SharedBackend;
use crate::feed;
use crate::feed::FeedPart;
use crate::feed::FeedState;
use crate::feed::RecordFeed;
use crate::feed::RelaySource;
use crate::feed::SnapshotSender;
use crate::forward;
use crate::gate::LocalGate;
use crate::gateway::CallerGateway;
use crate::gateway::GatewayParts;
use crate::member::LocalMember;
use crate::member::RecordFn;
use crate::metrics::EdgeMetrics;
use crate::range_manager::RangeManager;
use crate::range_manager::RangeManagerParts;
use crate::refusal;
use crate::snapshot::FleetSnapshot;
use crate::support::LocalSupport;

/// Time from SIGTERM until the agent takes no more callers, in milliseconds: the platform asks once a
/// second and stops sending after two refusals.
const CALLERS_LEAVE_MS: u64 = 2_500;
/// Time before SIGKILL at which the agent ends whatever still runs, in milliseconds.
const END_MARGIN_MS: u64 = 700;
/// Time between looks at what still runs, in milliseconds.
const END_LOOK_MS: u64 = 20;
/// Time between looks at the settings file, in milliseconds: it may change without a signal.
const SETTINGS_LOOK_MS: u64 = 1_000;
/// Connections between agents stay open this long without a request, in milliseconds: longer than any
/// gateway keeps one.
const PEER_IDLE_MS: u64 = 60_000;
/// Callers' connections stay open this much longer than the configuration says, in milliseconds, so
/// that no request meets a closing one.
const IDLE_MARGIN_MS: u64 = 1_000;
/// Limits before a configuration is known: those of the platform's examples.
const FIRST_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024 * 1024,
    read_ms: 3_000,
    idle_ms: 15_000,
};

/// All parts of a running agent.
struct EdgeAgent {
    settings: EdgeSettings,
    snapshot: Rc<SnapshotSender>,
    backend: SharedBackend,
    gate: Rc<LocalGate>,
    gateway: Rc<CallerGateway>,
    member: Rc<LocalMember>,
    support: Rc<LocalSupport>,
    metrics: Rc<EdgeMetrics>,
    feed: Rc<watch::Sender<FeedState>>,
    refresh_requested: Rc<Notify>,
    /// What operators wrote, for other agents.
    operator: RelaySource,
    /// What agents wrote, for other agents.
    fleet: RelaySource,
    leaving: Rc<Cell<bool>>,
}

/// Runs an agent until SIGTERM.
///
/// # Errors
///
/// If an address can't be bound or signals can't be caught.
pub async fn run(path: &str, settings: EdgeSettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not catch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("could not catch SIGINT")?;
    let agent = Rc::new(EdgeAgent::new(settings));
    let listeners = agent.listen().await?;
    agent.start();
    log::info!(
        "start instance={} zone={} service={} store={}",
        agent.settings.name,
        agent.settings.zone,
        agent.settings.service,
        agent.settings.store
    );
    actix_rt::spawn(follow_settings(Rc::clone(&agent), path.into()));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    agent.leave(&listeners).await;
    Ok(())
}

impl EdgeAgent {
    /// Makes the parts.
    fn new(settings: EdgeSettings) -> Self {
        let now = clock::now();
        let store = StoreClient::new(settings.store);
        let snapshot: Rc<SnapshotSender> =
            Rc::new(watch::Sender::new(Rc::new(FleetSnapshot::default())));
        let metrics = Rc::new(EdgeMetrics::new());
        let refresh_requested = Rc::new(Notify::new());
        let bounds = settings.bounds;
        let backend: SharedBackend = Rc::new(LocalBackend::new(
            Name::clone(&settings.name),
            now,
            bounds.longest_grant_ms,
            bounds.announce_every_ms,
        ));
        let gate = Rc::new(LocalGate::new(
            Name::clone(&settings.zone),
            settings.backend,
            Rc::clone(&backend),
            Rc::clone(&snapshot),
            Rc::clone(&metrics),
        ));
        let gateway = Rc::new(CallerGateway::new(GatewayParts {
            node: Name::clone(&settings.name),
            zone: Name::clone(&settings.zone),
            origin: Name::clone(&settings.service),
            gate: Rc::clone(&gate),
            snapshot: Rc::clone(&snapshot),
            budget: BudgetLimits {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window_ms: bounds.retry_window_ms,
            },
            metrics: Rc::clone(&metrics),
            refresh_requested: Rc::clone(&refresh_requested),
        }));
        let leaving = Rc::new(Cell::new(false));
        let run: Name = Uuid::new_v4().to_string().into();
        let support = Rc::new(LocalSupport::new(
            Name::clone(&settings.name),
            Name::clone(&settings.zone),
            Name::clone(&run),
            Rc::clone(&snapshot),
        ));
        let record = own_record(&settings, run, &backend, &leaving);
        let member = Rc::new(LocalMember::new(
            store,
            Rc::clone(&snapshot),
            Name::clone(&settings.name),
            record,
            Rc::clone(&support),
        ));
        let feed = Rc::new(watch::Sender::new(FeedState::default()));
        let relay = |part| RelaySource {
            part,
            replica: Rc::default(),
            proved: Rc::default(),
            snapshot: Rc::clone(&snapshot),
            state: Rc::clone(&feed),
        };
        Self {
            operator: relay(FeedPart::Operator),
            fleet: relay(FeedPart::Fleet),
            settings,
            snapshot,
            backend,
            gate,
            gateway,
            member,
            support,
            metrics,
            feed,
            refresh_requested,
            leaving,
        }
    }

    /// Starts everything that runs beside the listeners.
    fn start(self: &Rc<Self>) {
        let store = StoreClient::new(self.settings.store);
        let operator = self.record_feed(&self.operator);
        actix_rt::spawn(async move { operator.run().await });
        let fleet = self.record_feed(&self.fleet);
        let feed = Rc::clone(&fleet);
        actix_rt::spawn(async move { fleet.run().await });
        let member = Rc::clone(&self.member);
        actix_rt::spawn(async move { member.run().await });
        let support = Rc::clone(&self.support);
        actix_rt::spawn(async move { support.run().await });
        let agent = Rc::clone(self);
        actix_rt::spawn(async move { agent.touch_member().await });
        let range_manager = RangeManager::new(RangeManagerParts {
            node: Name::clone(&self.settings.name),
            store,
            snapshot: Rc::clone(&self.snapshot),
            backend: Rc::clone(&self.backend),
            support: Rc::clone(&self.support),
            gate: Rc::clone(&self.gate),
            gateway: Rc::clone(&self.gateway),
            feed,
            longest_grant_ms: self.settings.bounds.longest_grant_ms,
            period_ms: self.settings.bounds.announce_every_ms,
        });
        actix_rt::spawn(async move { range_manager.run().await });
    }

    /// Makes the feed of one part of the records.
    fn record_feed(&self, source: &RelaySource) -> Rc<RecordFeed> {
        Rc::new(RecordFeed {
            node: Name::clone(&self.settings.name),
            zone: Name::clone(&self.settings.zone),
            store: StoreClient::new(self.settings.store),
            part: source.part,
            snapshot: Rc::clone(&self.snapshot),
            state: Rc::clone(&self.feed),
            refresh_requested: Rc::clone(&self.refresh_requested),
            replica: Rc::clone(&source.replica),
            proved: Rc::clone(&source.proved),
            pool: ConnectionPool::new(),
            avoided: RefCell::default(),
        })
    }

    /// Has the own record written anew with each change of the backend server, and once the store's
    /// records are known.
    async fn touch_member(&self) {
        let mut backend_updates = self.backend.subscribe();
        let mut snapshot_updates = self.snapshot.subscribe();
        let mut listed = None;
        loop {
            tokio::select! {
                _ = backend_updates.changed() => {
                    let next = self.backend.listed();
                    if next == listed {
                        continue;
                    }
                    listed = next;
                }
                _ = snapshot_updates.changed() => {
                    self.gateway.forget_gone();
                    if self.is_own_record_known() {
                        continue;
                    }
                }
            }
            self.member.touch();
        }
    }

    /// Whether the store's record of this agent is known and its own.
    fn is_own_record_known(&self) -> bool {
        let snapshot = self.snapshot.borrow();
        let seen = snapshot.instances.get(&self.settings.name);
        seen.is_some_and(|seen| seen.lapsed.is_none())
    }

    /// Binds all listeners; returns those whose requests must end before the process does.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    async fn listen(self: &Rc<Self>) -> Result<Vec<HttpListener>> {
        let listen = &self.settings.listen;
        let (agent, peer) = (Rc::clone(self), Rc::clone(self));
        let (ready, announce, metrics) = (Rc::clone(self), Rc::clone(self), Rc::clone(self));
        let caller_limits: LimitsFn = Rc::new(move || agent.caller_limits());
        let peer_limits: LimitsFn = Rc::new(|| ReadLimits {
            idle_ms: PEER_IDLE_MS,
            ..FIRST_LIMITS
        });
        let agent = Rc::clone(self);
        let callers: HandleFn =
            Rc::new(move |request, read| Box::pin(Rc::clone(&agent.gateway).serve(request, read)));
        let gates: HandleFn = Rc::new(move |request, read| peer.serve_peer(request, read));
        let ready: HandleFn = Rc::new(move |request, _| {
            let answer = ready.answer_ready(&request);
            Box::pin(async move { answer })
        });
        let announce: HandleFn = Rc::new(move |request, _| {
            let answer = announce.answer_announcement(&request);
            Box::pin(async move { answer })
        });
        let metrics: HandleFn = Rc::new(move |_, _| {
            let answer = metrics.answer_metrics();
            Box::pin(async move { answer })
        });
        let callers = bind("caller", listen.caller, callers, caller_limits).await?;
        let gates = bind("gate", listen.gate, gates, Rc::clone(&peer_limits)).await?;
        bind("ready", listen.ready, ready, Rc::clone(&peer_limits)).await?;
        bind(
            "announce",
            listen.announce,
            announce,
            Rc::clone(&peer_limits),
        )
        .await?;
        bind("metrics", listen.metrics, metrics, peer_limits).await?;
        Ok(vec![callers, gates])
    }

    /// Limits on callers as the configuration in force states them.
    fn caller_limits(&self) -> ReadLimits {
        let snapshot = self.snapshot.borrow();
        snapshot
            .routes
            .as_ref()
            .map_or(FIRST_LIMITS, |routes| ReadLimits {
                head_bytes: routes.limits.head_bytes,
                body_bytes: routes.limits.body_bytes,
                read_ms: routes.limits.read_ms,
                idle_ms: routes.limits.idle_ms + IDLE_MARGIN_MS,
            })
    }

    /// Serves a request that another agent forwards.
    fn serve_peer(
        &self,
        request: HttpRequest,
        read: Millis,
    ) -> LocalBoxFuture<'static, HttpAnswer> {
        match request.path() {
            feed::FLEET_PATH => return Self::answer_relay(&request, self.fleet.clone()),
            feed::OPERATOR_PATH => return Self::answer_relay(&request, self.operator.clone()),
            _ => {}
        }
        if let Some(answer) = self.support.answer(&request) {
            return Box::pin(async move { answer });
        }
        let id = header_text(&request.headers, headers::REQUEST_ID).map(Name::from);
        let job = id.and_then(|id| forward::decode_job(request, id, read));
        let gate = Rc::clone(&self.gate);
        Box::pin(async move {
            match job {
                Some(job) => forward::encode_report(gate.serve(job).await),
                None => {
                    let reason = "a forwarded request lacks its headers";
                    refusal::rejected(StatusCode::BAD_REQUEST, reason)
                }
            }
        })
    }

    /// Answers another agent that asks for news.
    fn answer_relay(
        request: &HttpRequest,
        source: RelaySource,
    ) -> LocalBoxFuture<'static, HttpAnswer> {
        let after = request.target.rsplit_once("after=").map(|(_, after)| after);
        let after = after
            .and_then(|after| after.parse().ok())
            .unwrap_or_default();
        Box::pin(async move {
            let Some(body) = feed::answer_relay(after, source).await else {
                let reason = "the store is out of reach here";
                return refusal::rejected(StatusCode::SERVICE_UNAVAILABLE, reason);
            };
            let mut answer = HttpAnswer::new(StatusCode::OK, "");
            answer.body = body.into();
            answer
        })
    }

    /// Answers whether the agent takes callers.
    fn answer_ready(&self, request: &HttpRequest) -> HttpAnswer {
        let is_ready = !self.leaving.get() && self.snapshot.borrow().routes.is_some();
        if request.path() != headers::READY_PATH {
            return refusal::rejected(StatusCode::NOT_FOUND, "there is nothing at this path");
        }
        if is_ready {
            HttpAnswer::new(StatusCode::OK, "ready\n")
        } else {
            HttpAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Answers an announcement of the backend server.
    fn answer_announcement(&self, request: &HttpRequest) -> HttpAnswer {
        let id = match announce::announced_id(request.path()) {
            Ok(id) => id,
            Err(error) => {
                return refusal::rejected(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        if request.method == Method::DELETE {
            self.backend.end(&id);
            return HttpAnswer::new(StatusCode::OK, "{}");
        }
        let announced = match announce::decode(id, &request.body) {
            Ok(announced) => announced,
            Err(error) => {
                log::warn!("an announcement is left out: {error}");
                return refusal::rejected(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let snapshot = Rc::clone(&self.snapshot.borrow());
        let ranges = snapshot.ranges.get(&announced.service);
        let table = ranges.map(|seen| &*seen.table);
        let authority = self.member.authority();
        let address = self.settings.backend;
        let end = self
            .backend
            .announce(clock::now(), address, announced, table, authority);
        match end {
            AnnounceOutcome::Taken(reply) => match announce::encode_reply(reply.as_ref()) {
                Ok(body) => {
                    let mut answer = HttpAnswer::new(StatusCode::OK, "")
                        .with_header("content-type", "application/json");
                    answer.body = body;
                    answer
                }
                Err(error) => {
                    log::error!("a grant can't be written down: {error}");
                    HttpAnswer::new(StatusCode::OK, "{}")
                }
            },
            AnnounceOutcome::Outdated => HttpAnswer::new(StatusCode::OK, "{}"),
            AnnounceOutcome::Foreign => {
                log::warn!("an announcement is left out: its address is not {address}");
                refusal::rejected(StatusCode::BAD_REQUEST, "the address is another instance's")
            }
        }
    }

    /// Answers with all metrics.
    fn answer_metrics(&self) -> HttpAnswer {
        let now = clock::now();
        let metrics = &self.metrics;
        let snapshot = self.snapshot.borrow();
        let version = snapshot.routes.as_ref().map_or(0, |routes| routes.version);
        let load = self.gate.load(now);
        let gauge = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        metrics.configuration.set(gauge(version));
        metrics.instances.set(gauge(snapshot.live(now) as u64));
        metrics
            .store_age_ms
            .set(gauge(now.since(self.feed.borrow().last_heard)));
        metrics
            .authority_ms
            .set(gauge(self.member.authority().since(now)));
        metrics.gate_busy.set(i64::from(load.busy));
        metrics.gate_used_percent.set(i64::from(load.used_percent));
        metrics.ranges.set(gauge(self.owned_ranges(&snapshot)));
        match metrics.to_text() {
            Ok(text) => HttpAnswer::new(StatusCode::OK, &text)
                .with_header("content-type", "text/plain; version=0.0.4"),
            Err(error) => {
                log::error!("metrics can't be written down: {error}");
                HttpAnswer::new(StatusCode::INTERNAL_SERVER_ERROR, "")
            }
        }
    }

    /// Number of ranges that the backend server owns.
    fn owned_ranges(&self, snapshot: &FleetSnapshot) -> u64 {
        let Some(owner) = self.backend.owner() else {
            return 0;
        };
        let tables = snapshot.ranges.values();
        tables
            .map(|seen| seen.table.owned(&owner).count() as u64)
            .sum()
    }

    /// Ends the agent: callers are turned to others, what runs ends.
    async fn leave(&self, listeners: &[HttpListener]) {
        let began = clock::now();
        let grace_ms = self.settings.bounds.grace_ms.saturating_sub(END_MARGIN_MS);
        let end = began.plus(grace_ms);
        log::info!("stop asked; callers leave within {CALLERS_LEAVE_MS} ms");
        self.leaving.set(true);
        self.member.touch();
        let leave_ms = CALLERS_LEAVE_MS.min(grace_ms / 2);
        sleep(Duration::from_millis(leave_ms)).await;
        for listener in listeners {
            listener.close();
        }
        let running = || listeners.iter().map(HttpListener::running).sum::<usize>();
        while running() > 0 && clock::now() < end {
            sleep(Duration::from_millis(END_LOOK_MS)).await;
        }
        self.backend.close();
        log::info!(
            "stop after_ms={} still_running={}",
            clock::now().since(began),
            running()
        );
    }
}

/// Makes what writes the agent's record as it should stand.
fn own_record(
    settings: &EdgeSettings,
    run: Name,
    backend: &SharedBackend,
    leaving: &Rc<Cell<bool>>,
) -> RecordFn {
    let (node, zone) = (Name::clone(&settings.name), Name::clone(&settings.zone));
    let gate = settings.listen.gate;
    let (backend, leaving) = (Rc::clone(backend), Rc::clone(leaving));
    Rc::new(move || InstanceRecord {
        node: Name::clone(&node),
        run: Name::clone(&run),
        gate,
        zone: Name::clone(&zone),
        leaving: leaving.get(),
        backend: backend.listed(),
    })
}

/// Binds one listener.
///
/// # Errors
///
/// If the address can't be bound.
async fn bind(
    setting: &str,
    address: SocketAddr,
    handle: HandleFn,
    limits: LimitsFn,
) -> Result<HttpListener> {
    let listener = HttpListener::new(handle, limits);
    listener.serve(address).await.with_context(|| {
        format!("could not listen on {address} (listen.{setting}); is another process using it?")
    })?;
    Ok(listener)
}

/// Takes up changes of the settings file, with SIGHUP or without.
async fn follow_settings(agent: Rc<EdgeAgent>, path: Name) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(
                "could not catch SIGHUP: {error}; changes of the settings are not taken up"
            );
            return;
        }
    };
    let mut current = agent.settings.clone();
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("reload asked"),
            () = sleep(Duration::from_millis(SETTINGS_LOOK_MS)) => {}
        }
        let read = std::fs::read_to_string(&*path);
        let text = match read {
            Ok(text) => text,
            Err(error) => {
                log::warn!("{path} could not be read: {error}; the settings before stay");
                continue;
            }
        };
        match edge::parse(&path, &text) {
            Ok(next) if next == current => {}
            Ok(next) => {
                log::info!("reload service={} backend={}", next.service, next.backend);
                agent.gateway.set_origin(Name::clone(&next.service));
                agent.gate.set_address(next.backend);
                current = next;
            }
            Err(findings) => log::warn!("{findings}; the settings before stay"),
        }
    }
}
