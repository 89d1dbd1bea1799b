//! Runs the agent: creates its parts, binds its listeners, reloads its settings and shuts it down.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use anyhow::Context;
use anyhow::Result;
use futures_util::future::LocalBoxFuture;
use jy_config::edge::EdgeSettings;
use jy_http::memory_budget::MemoryBudget;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_text;
use jy_http::pool::ConnectionPool;
use jy_http::server::BeginFn;
use jy_http::server::EssentialFn;
use jy_http::server::Handler;
use jy_http::server::HttpListener;
use jy_http::server::LimitsFn;
use jy_http::server::ReadLimits;
use jy_http::server::RefuseFn;
use jy_kernel::clock;
use jy_platform::headers;
use jy_platform::store::StoreClient;
use jy_policy::budget::BudgetLimits;
use jy_policy::transfer::bytes_per_ms;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use uuid::Uuid;

use crate::announcements::AnnouncementListener;
use crate::backend::LocalBackend;
use crate::backend::SharedBackend;
use crate::era::StoreEra;
use crate::feed;
use crate::feed::FeedPart;
use crate::feed::FeedState;
use crate::feed::RecordFeed;
use crate::feed::RelayedRecords;
use crate::feed::SnapshotSender;
use crate::forward;
use crate::forward::GateReport;
use crate::forward::MEMORY_RETRY_MS;
use crate::forward::NotRunCause;
use crate::gate::LocalGate;
use crate::gateway::CallerGateway;
use crate::gateway::GatewayParts;
use crate::keys::KeyChecker;
use crate::member::LocalMember;
use crate::member::RecordFn;
use crate::metrics::EdgeMetrics;
use crate::quota;
use crate::quota::LocalQuota;
use crate::quota::QuotaFleet;
use crate::range_manager::RangeManager;
use crate::range_manager::RangeManagerParts;
use crate::refusal;
use crate::snapshot::FleetSnapshot;
use crate::support::LocalSupport;
use crate::tasks::TaskStarter;
use crate::transfer;

mod metrics;
mod reload;
mod shutdown;

use reload::SettingsReader;

/// Idle timeout of connections on all listeners except the callers', in milliseconds. It is longer than any
/// gateway keeps an idle connection to another agent, so that no request is sent on a connection that is being
/// closed.
const PEER_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Added to the configured idle timeout of callers' connections, in milliseconds, so that no request is sent on
/// a connection that is being closed.
const CALLER_IDLE_MARGIN_MS: u64 = 1_000;
/// Limits for callers until a configuration is known. The other listeners always use them, but with
/// [`PEER_IDLE_TIMEOUT_MS`]. The values are those of the platform's example configurations.
const DEFAULT_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024 * 1024,
    read_ms: 3_000,
    idle_ms: 15_000,
};

/// Parts of a running agent.
struct EdgeAgent {
    settings: EdgeSettings,
    settings_reader: Rc<SettingsReader>,
    snapshot: Rc<SnapshotSender>,
    backend: SharedBackend,
    gate: Rc<LocalGate>,
    gateway: Rc<CallerGateway>,
    quota: Rc<LocalQuota>,
    member: Rc<LocalMember>,
    support: Rc<LocalSupport>,
    metrics: Rc<EdgeMetrics>,
    memory: Rc<MemoryBudget>,
    feed: Rc<watch::Sender<FeedState>>,
    refresh_requested: Rc<Notify>,
    /// Operators' records, relayed to other agents.
    operator: RelayedRecords,
    /// Agents' records, relayed to other agents.
    fleet: RelayedRecords,
    is_shutting_down: Rc<Cell<bool>>,
    era: Rc<StoreEra>,
}

/// Runs an agent until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if an address can't be bound, a signal handler can't be installed, or a task ends that the
/// agent can't do without.
pub async fn run(path: &str, settings: EdgeSettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("could not catch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("could not catch SIGINT")?;
    let agent = Rc::new(EdgeAgent::new(path.into(), settings));
    let listeners = agent.listen().await?;
    let (starter, mut ended) = TaskStarter::new();
    agent.start(&starter);
    log::info!(
        "start instance={} zone={} service={} store={}",
        agent.settings.name,
        agent.settings.zone,
        agent.settings.service,
        agent.settings.store
    );
    actix_rt::spawn(reload::follow_settings(Rc::clone(&agent.settings_reader)));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        name = ended.recv() => {
            let name = name.unwrap_or("unknown");
            anyhow::bail!("task {name} ended unexpectedly; the agent ends so that it is started again");
        }
    }
    agent.shut_down(&listeners).await;
    Ok(())
}

impl EdgeAgent {
    /// Creates all parts without starting them.
    fn new(path: Name, settings: EdgeSettings) -> Self {
        let now = clock::now();
        let era = Rc::new(StoreEra::new());
        let store = StoreClient::new(settings.store).with_on_era(era.recorder());
        let snapshot: Rc<SnapshotSender> =
            Rc::new(watch::Sender::new(Rc::new(FleetSnapshot::default())));
        let metrics = Rc::new(EdgeMetrics::new());
        let refresh_requested = Rc::new(Notify::new());
        let bounds = settings.bounds;
        let link_bytes_per_ms = bytes_per_ms(settings.link_mbps);
        let backend: SharedBackend = Rc::new(
            LocalBackend::new(
                Name::clone(&settings.name),
                now,
                bounds.longest_grant_ms,
                bounds.announce_every_ms,
            )
            .with_drain_ms(bounds.drain_ms)
            .with_service(clock::wall_now(), Name::clone(&settings.service)),
        );
        let memory = Rc::new(MemoryBudget::for_process(settings.memory_mb));
        let gate = LocalGate::new(
            Name::clone(&settings.zone),
            settings.backend,
            Rc::clone(&backend),
            Rc::clone(&snapshot),
            Rc::clone(&metrics),
            link_bytes_per_ms,
        );
        let gate = Rc::new(gate.with_memory(Rc::clone(&memory)));
        let settings_reader = Rc::new(SettingsReader::new(
            path,
            settings.clone(),
            Rc::clone(&backend),
            Rc::clone(&gate),
        ));
        let operator_proof: Rc<Cell<Millis>> = Rc::default();
        let quota = Rc::new(LocalQuota::new(Name::clone(&settings.name), bounds.quota));
        let request_reader = Rc::clone(&settings_reader);
        let gateway = Rc::new(CallerGateway::new(GatewayParts {
            node: Name::clone(&settings.name),
            zone: Name::clone(&settings.zone),
            reload_settings: Rc::new(move || request_reader.reload_if_changed()),
            gate: Rc::clone(&gate),
            snapshot: Rc::clone(&snapshot),
            link_bytes_per_ms,
            budget: BudgetLimits {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window_ms: bounds.retry_window_ms,
            },
            quota: Rc::clone(&quota),
            keys: KeyChecker::new(Rc::clone(&operator_proof), bounds.revoke_ms),
            metrics: Rc::clone(&metrics),
            refresh_requested: Rc::clone(&refresh_requested),
        }));
        let is_shutting_down = Rc::new(Cell::new(false));
        let run: Name = Uuid::new_v4().to_string().into();
        let support = Rc::new(LocalSupport::new(
            Name::clone(&settings.name),
            Name::clone(&settings.zone),
            Name::clone(&run),
            Rc::clone(&snapshot),
        ));
        let record = record_builder(&settings, Name::clone(&run), &backend, &is_shutting_down);
        let (leaving_backend, holding_backend) = (Rc::clone(&backend), Rc::clone(&backend));
        let member = LocalMember::new(
            store,
            Rc::clone(&snapshot),
            Name::clone(&settings.name),
            record,
            Rc::clone(&support),
        );
        let member = member
            .with_era(Rc::clone(&era))
            .with_leaving(Rc::new(move || leaving_backend.leaving()))
            .with_restored(Rc::new(move |snapshot| {
                holding_backend.is_restored(clock::now(), snapshot)
            }));
        let member = Rc::new(member);
        quota.join(QuotaFleet {
            zone: Name::clone(&settings.zone),
            run,
            snapshot: Rc::clone(&snapshot),
            member: Rc::clone(&member),
            metrics: Rc::clone(&metrics),
        });
        let feed = Rc::new(watch::Sender::new(FeedState::default()));
        let relay = |part, proved_until| RelayedRecords {
            part,
            replica: Rc::default(),
            proved_until,
            snapshot: Rc::clone(&snapshot),
            state: Rc::clone(&feed),
        };
        Self {
            settings_reader,
            operator: relay(FeedPart::Operator, operator_proof),
            fleet: relay(FeedPart::Fleet, Rc::default()),
            settings,
            snapshot,
            backend,
            gate,
            gateway,
            quota,
            member,
            support,
            metrics,
            memory,
            feed,
            refresh_requested,
            is_shutting_down,
            era,
        }
    }

    /// Starts the background tasks.
    fn start(self: &Rc<Self>, starter: &TaskStarter) {
        let store = self.store_client();
        let operator = self.record_feed(&self.operator);
        starter.start("operator feed", async move { operator.run().await });
        let fleet = self.record_feed(&self.fleet);
        let feed = Rc::clone(&fleet);
        starter.start("fleet feed", async move { fleet.run().await });
        let member = Rc::clone(&self.member);
        starter.start("member", async move { member.run().await });
        let quota = Rc::clone(&self.quota);
        starter.start("quota", async move { quota.run().await });
        let support = Rc::clone(&self.support);
        starter.start("support", async move { support.run().await });
        let agent = Rc::clone(self);
        starter.start("record changes", async move {
            agent.follow_record_changes().await;
        });
        let range_manager = RangeManager::new(RangeManagerParts {
            node: Name::clone(&self.settings.name),
            store,
            snapshot: Rc::clone(&self.snapshot),
            backend: Rc::clone(&self.backend),
            support: Rc::clone(&self.support),
            gate: Rc::clone(&self.gate),
            gateway: Rc::clone(&self.gateway),
            feed,
            era: Rc::clone(&self.era),
            longest_grant_ms: self.settings.bounds.longest_grant_ms,
            announce_interval_ms: self.settings.bounds.announce_every_ms,
        });
        starter.start("key ranges", async move { range_manager.run().await });
    }

    /// Creates a client of the store that records the era of its answers.
    fn store_client(&self) -> StoreClient {
        StoreClient::new(self.settings.store).with_on_era(self.era.recorder())
    }

    /// Creates the feed of `records`.
    fn record_feed(&self, records: &RelayedRecords) -> Rc<RecordFeed> {
        Rc::new(RecordFeed {
            node: Name::clone(&self.settings.name),
            zone: Name::clone(&self.settings.zone),
            store: self.store_client(),
            part: records.part,
            snapshot: Rc::clone(&self.snapshot),
            state: Rc::clone(&self.feed),
            refresh_requested: Rc::clone(&self.refresh_requested),
            replica: Rc::clone(&records.replica),
            proved_until: Rc::clone(&records.proved_until),
            pool: ConnectionPool::new(),
            is_revocation_bounded: self.settings.bounds.revoke_ms.is_some(),
            avoided: RefCell::default(),
            era: Rc::clone(&self.era),
        })
    }

    /// Has the agent's record rewritten when the listed state or the leaving of the backend server changes, and
    /// whenever a new snapshot lacks the record, has it as lapsed, or shows that too few witnesses are left. Each
    /// new snapshot also removes the endpoints of absent instances.
    async fn follow_record_changes(&self) {
        let mut backend_updates = self.backend.subscribe();
        let mut snapshot_updates = self.snapshot.subscribe();
        let mut known = (None, None);
        loop {
            tokio::select! {
                _ = backend_updates.changed() => {
                    let next = (self.backend.listed(), self.backend.leaving());
                    if next == known {
                        continue;
                    }
                    known = next;
                }
                _ = snapshot_updates.changed() => {
                    self.read_recorded_leaving();
                    self.gateway.remove_absent_endpoints();
                    if self.has_current_record() && !self.support.has_lost_quorum() {
                        continue;
                    }
                }
            }
            self.member.request_update();
        }
    }

    /// Reads from the snapshot whether the backend server leaves.
    fn read_recorded_leaving(&self) {
        let snapshot = self.snapshot.borrow();
        let recorded = snapshot.leaving.get(&self.settings.name);
        self.backend.set_recorded_leaving(
            clock::now(),
            recorded.map(|recorded| &recorded.incarnations),
        );
    }

    /// Whether the snapshot has this agent's record and the record has not lapsed.
    fn has_current_record(&self) -> bool {
        let snapshot = self.snapshot.borrow();
        let observed = snapshot.instances.get(&self.settings.name);
        observed.is_some_and(|observed| observed.lapsed.is_none())
    }

    /// Binds all listeners. Returns those whose running requests are awaited at shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    async fn listen(self: &Rc<Self>) -> Result<Vec<HttpListener>> {
        let listen = &self.settings.listen;
        let (agent, peer_agent) = (Rc::clone(self), Rc::clone(self));
        let (ready_agent, metrics_agent) = (Rc::clone(self), Rc::clone(self));
        let settings_reader = Rc::clone(&self.settings_reader);
        let announcements = Rc::new(AnnouncementListener {
            reload_settings: Rc::new(move || settings_reader.reload()),
            backend: Rc::clone(&self.backend),
            gate: Rc::clone(&self.gate),
            member: Rc::clone(&self.member),
            snapshot: Rc::clone(&self.snapshot),
        });
        let caller_limits: LimitsFn = Rc::new(move || agent.caller_limits());
        let gateway = Rc::clone(&self.gateway);
        let begin: BeginFn = Rc::new(move |headers| gateway.mark_origin(headers));
        let peer_limits: LimitsFn = Rc::new(|| ReadLimits {
            idle_ms: PEER_IDLE_TIMEOUT_MS,
            ..DEFAULT_LIMITS
        });
        let agent = Rc::clone(self);
        let callers: Handler = Rc::new(move |request, received_at| {
            Box::pin(Rc::clone(&agent.gateway).serve(request, received_at))
        });
        let gates: Handler =
            Rc::new(move |request, received_at| peer_agent.serve_peer(request, received_at));
        let ready: Handler = Rc::new(move |request, _| {
            let response = ready_agent.answer_ready(&request);
            Box::pin(async move { response })
        });
        let announce: Handler = Rc::new(move |request, _| {
            let announcements = Rc::clone(&announcements);
            Box::pin(async move { announcements.answer(&request).await })
        });
        let metrics: Handler = Rc::new(move |_, _| {
            let response = metrics_agent.answer_metrics();
            Box::pin(async move { response })
        });
        let refuse_caller: RefuseFn = Rc::new(|| {
            let now = clock::now();
            let reason = "the agent has no memory for the request";
            refusal::not_run(reason, MEMORY_RETRY_MS, now, Millis::MAX)
        });
        let gate = Rc::clone(&self.gate);
        let refuse_peer: RefuseFn = Rc::new(move || {
            let load = gate.load(clock::now());
            let cause = NotRunCause::Overloaded;
            forward::encode_report(GateReport::not_run(cause, MEMORY_RETRY_MS, Some(load)))
        });
        // The agents' own messages keep leases and records alive. They are small and follow from no caller's load.
        let is_essential: EssentialFn = Rc::new(|headers| !forward::has_forwarded_mark(headers));
        let callers = HttpListener::new(callers, caller_limits)
            .with_memory(Rc::clone(&self.memory), refuse_caller)
            .with_begin(begin);
        let gates = HttpListener::new(gates, Rc::clone(&peer_limits))
            .with_memory(Rc::clone(&self.memory), refuse_peer)
            .with_essential(is_essential);
        let plain = |handle| HttpListener::new(handle, Rc::clone(&peer_limits));
        bind("caller", listen.caller, &callers).await?;
        bind("gate", listen.gate, &gates).await?;
        bind("ready", listen.ready, &plain(ready)).await?;
        bind("announce", listen.announce, &plain(announce)).await?;
        bind("metrics", listen.metrics, &plain(metrics)).await?;
        Ok(vec![callers, gates])
    }

    /// Returns the limits for callers from the configuration in force.
    fn caller_limits(&self) -> ReadLimits {
        let snapshot = self.snapshot.borrow();
        snapshot
            .routes
            .as_ref()
            .map_or(DEFAULT_LIMITS, |routes| ReadLimits {
                head_bytes: routes.limits.head_bytes,
                body_bytes: routes.limits.body_bytes,
                read_ms: routes.limits.read_ms,
                idle_ms: routes.limits.idle_ms + CALLER_IDLE_MARGIN_MS,
            })
    }

    /// Serves a request of another agent: for records, for credit, for support, or forwarded from a caller.
    fn serve_peer(
        &self,
        request: HttpRequest,
        received_at: Millis,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        if !forward::is_forwarded(&request)
            && let Some(answer) = self.answer_peer(&request)
        {
            return answer;
        }
        if let Some(ticket) = transfer::ticket_of(&request) {
            self.gate.end_transfer(ticket);
        }
        let id = header_text(&request.headers, headers::REQUEST_ID).map(Name::from);
        let job = id.and_then(|id| forward::decode_job(request, id, received_at));
        let gate = Rc::clone(&self.gate);
        Box::pin(async move {
            match job {
                Some(job) if gate.may_end_before(job.deadline) => {
                    log::info!(
                        "decision request refused: id={} left_ms={} is more than the agent has left",
                        job.id,
                        job.deadline.since(received_at)
                    );
                    let load = gate.load(received_at);
                    let cause = NotRunCause::Unavailable;
                    forward::encode_report(GateReport::not_run(cause, 0, Some(load)))
                }
                Some(job) => forward::encode_report(gate.serve(job).await),
                None => {
                    let reason = "a forwarded request lacks its headers";
                    refusal::rejected(StatusCode::BAD_REQUEST, reason)
                }
            }
        })
    }

    /// Answers another agent's own request, by its path: for records, for credit of a quota, for the
    /// transfer of a body, or for support. Returns `None` if it is none of these.
    fn answer_peer(&self, request: &HttpRequest) -> Option<LocalBoxFuture<'static, HttpResponse>> {
        match request.path() {
            feed::FLEET_PATH => Some(Self::answer_relay(request, self.fleet.clone())),
            feed::OPERATOR_PATH => Some(Self::answer_relay(request, self.operator.clone())),
            quota::QUOTA_PATH => {
                let response = self.quota.answer(request);
                Some(Box::pin(async move { response }))
            }
            transfer::TRANSFER_PATH => Some(Box::pin(
                Rc::clone(&self.gate).answer_transfer(request.clone()),
            )),
            _ => {
                let response = self.support.answer(request)?;
                Some(Box::pin(async move { response }))
            }
        }
    }

    /// Answers another agent that asks for records newer than the revision in the query.
    fn answer_relay(
        request: &HttpRequest,
        records: RelayedRecords,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        let (after, era) = feed::relay_query(&request.target);
        Box::pin(async move {
            let Some(body) = feed::answer_relay(after, era, records).await else {
                let reason = "the store is out of reach here";
                return refusal::rejected(StatusCode::SERVICE_UNAVAILABLE, reason);
            };
            let mut response = HttpResponse::new(StatusCode::OK, "");
            response.body = body.into();
            response
        })
    }

    /// Answers the readiness check.
    fn answer_ready(&self, request: &HttpRequest) -> HttpResponse {
        let is_ready = !self.is_shutting_down.get() && self.snapshot.borrow().routes.is_some();
        if request.path() != headers::READINESS_PATH {
            return refusal::rejected(StatusCode::NOT_FOUND, "there is nothing at this path");
        }
        if is_ready {
            HttpResponse::new(StatusCode::OK, "ready\n")
        } else {
            HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}

/// Creates the function that builds the agent's current record.
fn record_builder(
    settings: &EdgeSettings,
    run: Name,
    backend: &SharedBackend,
    is_shutting_down: &Rc<Cell<bool>>,
) -> RecordFn {
    let (node, zone) = (Name::clone(&settings.name), Name::clone(&settings.zone));
    let gate = settings.listen.gate;
    let (backend, is_shutting_down) = (Rc::clone(backend), Rc::clone(is_shutting_down));
    Rc::new(move || InstanceRecord {
        node: Name::clone(&node),
        run: Name::clone(&run),
        gate,
        zone: Name::clone(&zone),
        leaving: is_shutting_down.get(),
        backend: backend.listed(),
    })
}

/// Binds one listener.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
async fn bind(setting: &str, address: SocketAddr, listener: &HttpListener) -> Result<()> {
    listener.serve(address).await.with_context(|| {
        format!("could not listen on {address} (listen.{setting}); is another process using it?")
    })
}
