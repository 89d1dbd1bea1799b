//! Answers the announcements of the backend server beside the agent.
//!
//! An answer grants the keys that the backend server owns. One that leaves is answered once the table moves its
//! keys, so that it releases them at once.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_kernel::clock;
use jy_platform::announce;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::GrantReply;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::time::timeout;

use crate::backend::AnnounceOutcome;
use crate::backend::ReloadFn;
use crate::backend::SharedBackend;
use crate::feed::SnapshotSender;
use crate::gate::LocalGate;
use crate::member::LocalMember;
use crate::refusal;
use crate::snapshot::FleetSnapshot;

/// Longest delay of the answer to a backend server that leaves, or of the first answers of a run of the agent, in
/// milliseconds. The platform takes an answer that comes within a second.
const MAX_REPLY_DELAY_MS: u64 = 400;

/// Answers announcements.
pub struct AnnouncementListener {
    /// What the agent knows of the backend server.
    pub backend: SharedBackend,
    /// The agent's gate, which measures the backend server.
    pub gate: Rc<LocalGate>,
    /// The agent's right to grant keys.
    pub member: Rc<LocalMember>,
    /// The latest snapshot of the fleet's records.
    pub snapshot: Rc<SnapshotSender>,
    /// Reads the settings file again.
    pub reload_settings: ReloadFn,
}

impl AnnouncementListener {
    /// Answers an announcement.
    pub async fn answer(&self, request: &HttpRequest) -> HttpResponse {
        let reply_by = clock::now().plus(MAX_REPLY_DELAY_MS);
        let id = match announce::announced_id(request.path()) {
            Ok(id) => id,
            Err(error) => {
                return refusal::rejected(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        if request.method == Method::DELETE {
            let ended = self
                .backend
                .mark_ended(clock::now(), clock::wall_now(), &id);
            return if self.is_leaving_recorded(&ended, reply_by).await {
                HttpResponse::new(StatusCode::OK, "{}")
            } else {
                not_recorded()
            };
        }
        let announced = match announce::decode(id, &request.body) {
            Ok(announced) => announced,
            Err(error) => {
                log::warn!("ignored an invalid announcement: {error}");
                return refusal::rejected(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        if !self.agrees_with_settings(&announced) {
            // The file may have changed since it was last read, and it names the place of the backend server.
            (self.reload_settings)();
        }
        self.read_recorded_leaving(reply_by).await;
        let incarnation = announced.incarnation.clone();
        let outcome = self.apply(announced, reply_by).await;
        self.start_measurement();
        let leaving = self.backend.leaving();
        let is_leaving = leaving.is_some_and(|leaving| leaving.contains(&incarnation));
        if is_leaving && !self.is_leaving_recorded(&incarnation, reply_by).await {
            return not_recorded();
        }
        self.encode_outcome(&outcome)
    }

    /// Whether an announcement comes from the backend server that the settings name.
    fn agrees_with_settings(&self, announced: &Announcement) -> bool {
        announced.address == self.gate.address.get()
            && announced.service == self.backend.configured_service()
    }

    /// Applies an announcement and grants keys in reply. One that leaves keys unmarked for their next owners is
    /// replied to once they are marked, until `reply_by` at most.
    async fn apply(&self, announced: Announcement, reply_by: Millis) -> AnnounceOutcome {
        let address = self.gate.address.get();
        let snapshot = Rc::clone(&self.snapshot.borrow());
        self.backend.set_snapshot(&snapshot);
        if !self.keeps_keys_while_leaving(&announced, &snapshot) {
            let table = snapshot.table(&announced.service);
            let authority = self.member.authority();
            let now = clock::now();
            let outcome = self
                .backend
                .announce(now, address, announced, table, authority);
            self.gate.forget_failures_if_leaving();
            return outcome;
        }
        let (now, no_authority) = (clock::now(), Millis::default());
        let outcome = self
            .backend
            .announce(now, address, announced.clone(), None, no_authority);
        self.gate.forget_failures_if_leaving();
        match outcome {
            AnnounceOutcome::Accepted(_) => {
                AnnounceOutcome::Accepted(self.grant_after_moves(&announced, reply_by).await)
            }
            AnnounceOutcome::Outdated | AnnounceOutcome::Foreign => outcome,
        }
    }

    /// Encodes the outcome of an announcement as the response.
    fn encode_outcome(&self, outcome: &AnnounceOutcome) -> HttpResponse {
        match outcome {
            AnnounceOutcome::Accepted(reply) => match announce::encode_reply(reply.as_ref()) {
                Ok(body) => {
                    let mut response = HttpResponse::new(StatusCode::OK, "")
                        .with_header("content-type", "application/json");
                    response.body = body;
                    response
                }
                Err(error) => {
                    log::error!("could not encode a grant: {error}");
                    HttpResponse::new(StatusCode::OK, "{}")
                }
            },
            AnnounceOutcome::Outdated => HttpResponse::new(StatusCode::OK, "{}"),
            AnnounceOutcome::Foreign => {
                let address = self.gate.address.get();
                log::warn!("ignored an announcement: its address is not {address}");
                refusal::rejected(StatusCode::BAD_REQUEST, "the address is another instance's")
            }
        }
    }

    /// Measures the service time of a new incarnation of the backend server if its service is divided by key.
    fn start_measurement(&self) {
        let announced = self
            .backend
            .read(|state| state.map(|state| Name::clone(&state.announced.service)));
        let health_path = announced.and_then(|service| {
            let snapshot = self.snapshot.borrow();
            let rule = snapshot.routes.as_ref()?.services.get(&service)?;
            rule.keyed.then(|| Name::clone(&rule.health_path))
        });
        let Some(health_path) = health_path else {
            return;
        };
        let Some(incarnation) = self.backend.take_measurement() else {
            return;
        };
        let (gate, backend) = (Rc::clone(&self.gate), Rc::clone(&self.backend));
        actix_rt::spawn(async move {
            if let Some(percent) = gate.measure_service_time(&health_path).await {
                backend.set_service_time(&incarnation, percent);
            }
        });
    }

    /// Reads from the store's records whether the backend server began to leave before this run of the agent, so
    /// that a late report does not bring it back into use. Waits for the first records until `reply_by` at most.
    async fn read_recorded_leaving(&self, reply_by: Millis) {
        let mut updates = self.snapshot.subscribe();
        let read = updates.wait_for(|snapshot| snapshot.revision > 0);
        if timeout(time_until(reply_by), read).await.is_err() {
            log::warn!("belief announced before any record was read from the store");
        }
        let snapshot = self.snapshot.borrow();
        let recorded = snapshot.leaving.get(self.backend.node());
        self.backend.set_recorded_leaving(
            clock::now(),
            recorded.map(|recorded| &recorded.incarnations),
        );
    }

    /// Waits until the store says that an incarnation of the backend server leaves, so that the acknowledgement outlives
    /// this run of the agent. Returns false if it does not until `reply_by`: the store may be out of reach.
    async fn is_leaving_recorded(&self, leaving: &BackendIncarnation, reply_by: Millis) -> bool {
        let mut updates = self.snapshot.subscribe();
        let node = self.backend.node();
        let recorded = updates.wait_for(|snapshot| {
            let recorded = snapshot.leaving.get(node);
            recorded.is_some_and(|recorded| {
                recorded.revision > 0 && recorded.incarnations.contains(leaving)
            })
        });
        let is_recorded = timeout(time_until(reply_by), recorded).await.is_ok();
        if !is_recorded {
            log::warn!(
                "belief backend={} leaves: not recorded within {MAX_REPLY_DELAY_MS} ms, and not acknowledged",
                leaving.id
            );
        }
        is_recorded
    }

    /// Whether a leaving backend server has keys that are not marked for their next owners.
    fn keeps_keys_while_leaving(&self, announced: &Announcement, snapshot: &FleetSnapshot) -> bool {
        // Keys are not moved before the era is settled, so that waiting is of no use.
        let ranges = snapshot.ranges.get(&announced.service);
        snapshot.is_era_settled(clock::now())
            && ranges.is_some_and(|ranges| {
                self.backend
                    .keeps_keys_while_leaving(announced, &ranges.table)
            })
    }

    /// Waits until the keys of a leaving backend server are marked for their next owners, until `reply_by` at most,
    /// and grants the others. Its announcement has been applied, so that the moves can start.
    async fn grant_after_moves(
        &self,
        announced: &Announcement,
        reply_by: Millis,
    ) -> Option<GrantReply> {
        let mut updates = self.snapshot.subscribe();
        let moved =
            updates.wait_for(|snapshot| !self.keeps_keys_while_leaving(announced, snapshot));
        let incarnation = &announced.incarnation;
        if timeout(time_until(reply_by), moved).await.is_err() {
            log::info!(
                "belief backend={} leaves with its keys: no move within {MAX_REPLY_DELAY_MS} ms",
                incarnation.id
            );
        }
        let snapshot = Rc::clone(&self.snapshot.borrow());
        self.backend.set_snapshot(&snapshot);
        let table = snapshot.table(&announced.service)?;
        let authority = self.member.authority();
        let sequence = announced.sequence;
        self.backend
            .grant_later(clock::now(), incarnation, sequence, table, authority)
    }
}

/// Returns the response to a report of a leaving that would be forgotten with this run of the agent.
fn not_recorded() -> HttpResponse {
    let reason = "the leaving could not be recorded in the store yet";
    refusal::rejected(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// Returns the time from now until `end`.
fn time_until(end: Millis) -> Duration {
    Duration::from_millis(end.since(clock::now()))
}
