//! Obtains support for the agent's right to grant keys from other agents, its witnesses, and gives support to
//! other owners as their witness.
//!
//! The rules are those of [`jy_lease::witness`]; this module chooses the witnesses, sends the requests and
//! answers them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use futures_util::future::join_all;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_lease::witness::Denial;
use jy_lease::witness::OwnerSupport;
use jy_lease::witness::WITNESS_QUORUM;
use jy_lease::witness::WITNESSES;
use jy_lease::witness::WitnessId;
use jy_lease::witness::WitnessPromises;
use jy_lease::witness::WitnessSet;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::feed::SnapshotSender;
use crate::refusal;
use crate::snapshot::FleetSnapshot;

/// Path at which an owner asks its witnesses for support.
const SUPPORT_PATH: &str = "/jy/support";
/// Path at which other agents ask an owner's witnesses to deny it.
const DENY_PATH: &str = "/jy/deny";
/// Time between requests for support, in milliseconds: a promise outlasts the loss of five requests.
const SUPPORT_INTERVAL_MS: u64 = 500;
/// Longest wait for a connection to a witness, in milliseconds: a round trip takes 1 ms.
const CONNECT_TIMEOUT_MS: u64 = 150;
const RESPONSE_TIMEOUT_MS: u64 = 300;
/// Longest time for which an idle connection to a witness is kept for reuse, in milliseconds.
const MAX_IDLE_CONNECTION_MS: u64 = 15_000;
/// Time until an owner's witnesses are asked again for a denial if none of them named the time that its
/// promise has left, in milliseconds.
const DENIAL_RETRY_MS: u64 = 1_000;
/// Delay before an absent witness is replaced, in milliseconds, so that witnesses that restart one after the
/// other are replaced in one write. Two of three witnesses suffice meanwhile.
const REPLACE_DELAY_MS: u64 = 1_500;
/// Time for which a witness whose promise expired is not chosen again, in milliseconds.
const AVOID_MS: u64 = 5_000;

/// A request to a witness to support or to deny an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SupportRequest {
    owner: Name,
    epoch: u64,
    /// Run of the witness that the recorded set names.
    run: Name,
}

/// A witness's response to a request for support.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SupportResponse {
    is_granted: bool,
    /// Newest epoch under which the witness has denied the owner, or zero; agents of earlier versions don't say.
    #[serde(default)]
    denied_epoch: u64,
}

/// The support that this agent has as an owner, and the promises that it has given as a witness.
pub struct LocalSupport {
    node: Name,
    zone: Name,
    snapshot: Rc<SnapshotSender>,
    state: RefCell<OwnerSupport>,
    promises: RefCell<WitnessPromises>,
    pool: ConnectionPool,
    /// Whether the agent needs witnesses, because it manages the key ranges of a service.
    is_wanted: Cell<bool>,
    is_paused: Cell<bool>,
    /// Since when the recorded set has differed from the one that would be chosen.
    stale_since: Cell<Option<Millis>>,
    /// Witnesses whose promise expired, and until when they are not chosen.
    avoided: RefCell<BTreeMap<Name, Millis>>,
    changed: Notify,
}

impl LocalSupport {
    /// Creates the state of a new run of an agent, without support or promises.
    #[must_use]
    pub fn new(node: Name, zone: Name, run: Name, snapshot: Rc<SnapshotSender>) -> Self {
        Self {
            node,
            zone,
            snapshot,
            state: RefCell::new(OwnerSupport::new()),
            promises: RefCell::new(WitnessPromises::new(run, clock::now())),
            pool: ConnectionPool::new(),
            is_wanted: Cell::new(false),
            is_paused: Cell::new(false),
            stale_since: Cell::new(None),
            avoided: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Sets whether no support is requested, so that the agent's authority ends with the support that it has.
    pub fn set_paused(&self, is_paused: bool) {
        if self.is_paused.replace(is_paused) != is_paused {
            log::info!("decision support paused={is_paused}");
        }
    }

    /// Sets whether the agent needs witnesses, which it does while it manages the key ranges of a service.
    pub fn set_wanted(&self, is_wanted: bool) {
        self.is_wanted.set(is_wanted);
    }

    /// Returns until when the agent may grant keys, at most until `cap`.
    #[must_use]
    pub fn authorized_until(&self, cap: Millis) -> Millis {
        self.state.borrow().authorized_until(cap)
    }

    /// Requests support from the witnesses periodically and whenever a new set is proposed. Never returns.
    pub async fn run(self: &Rc<Self>) {
        loop {
            let has_witnesses = self.state.borrow().sets().any(WitnessSet::is_deniable);
            let changed = self.changed.notified();
            if !has_witnesses {
                changed.await;
                continue;
            }
            if !self.is_paused.get() {
                self.request_all_support();
            }
            let _is_changed = timeout(Duration::from_millis(SUPPORT_INTERVAL_MS), changed).await;
        }
    }

    /// Requests support from all witnesses of all sets that may be recorded.
    fn request_all_support(self: &Rc<Self>) {
        let sets: Vec<WitnessSet> = self.state.borrow().sets().cloned().collect();
        for set in sets {
            for witness in set.witnesses {
                let support = Rc::clone(self);
                actix_rt::spawn(async move { support.request_support(witness, set.epoch).await });
            }
        }
    }

    /// Requests support from one witness and records its promise.
    async fn request_support(&self, witness: WitnessId, epoch: u64) {
        let sent_at = clock::now();
        let node = Name::clone(&witness.node);
        let support_request = SupportRequest {
            owner: Name::clone(&self.node),
            epoch,
            run: witness.run,
        };
        let response: Option<SupportResponse> = self
            .send_request(SUPPORT_PATH, &node, &support_request)
            .await;
        let Some(response) = response else {
            return;
        };
        let mut state = self.state.borrow_mut();
        if response.is_granted {
            state.record_support(&node, epoch, sent_at);
        } else if state.record_refusal(response.denied_epoch) {
            log::info!(
                "belief witness={node} refuses support epoch={epoch} denied_epoch={}",
                response.denied_epoch
            );
        }
    }

    /// Asks an owner's witnesses to deny it.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again, in milliseconds, if fewer than a quorum of them do.
    pub async fn deny(&self, owner: &Name, set: &WitnessSet) -> Result<(), u64> {
        let ask = async |witness: &WitnessId| {
            let support_request = SupportRequest {
                owner: Name::clone(owner),
                epoch: set.epoch,
                run: Name::clone(&witness.run),
            };
            if witness.node == self.node {
                return Some(self.answer_denial(&support_request));
            }
            self.send_request(DENY_PATH, &witness.node, &support_request)
                .await
        };
        let answers: Vec<Option<Denial>> = join_all(set.witnesses.iter().map(ask)).await;
        let denials = answers
            .iter()
            .filter(|answer| matches!(answer, Some(Denial::Denied)));
        let is_denied = denials.count() >= WITNESS_QUORUM;
        log::info!(
            "decision owner={owner} epoch={} denied={is_denied} witnesses={:?} answers={answers:?}",
            set.epoch,
            set.witnesses
        );
        if is_denied {
            return Ok(());
        }
        let left_ms = |answer: &Option<Denial>| match answer {
            Some(Denial::Supported { left_ms }) => Some(*left_ms),
            Some(Denial::Denied) | None => None,
        };
        let longest_left_ms = answers.iter().filter_map(left_ms).max();
        Err(longest_left_ms.unwrap_or(DENIAL_RETRY_MS))
    }

    /// Sends a request to another agent. Returns `None` if no valid response comes back.
    async fn send_request<T: DeserializeOwned>(
        &self,
        path: &str,
        node: &Name,
        support_request: &SupportRequest,
    ) -> Option<T> {
        let to = self.address(node)?;
        let query = match serde_urlencoded::to_string(support_request) {
            Ok(query) => query,
            Err(error) => {
                log::error!("failed to encode a support request: {error}");
                return None;
            }
        };
        let request = HttpRequest::new(Method::GET, &format!("{path}?{query}"));
        let options = SendOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            response_timeout_ms: RESPONSE_TIMEOUT_MS,
            max_idle_ms: MAX_IDLE_CONNECTION_MS,
            max_bytes_per_ms: None,
        };
        let request = request.with_header("host", "fleet");
        match self.pool.send(to, &request, None, options).await {
            Ok(response) => match serde_json::from_slice(&response.body) {
                Ok(body) => Some(body),
                Err(error) => {
                    log::warn!("invalid support response from {node}: {error}");
                    None
                }
            },
            Err(error) => {
                self.pool.close_idle(to);
                log::debug!("support request to {node} failed: {error}");
                None
            }
        }
    }

    /// Returns the address at which an agent answers other agents.
    fn address(&self, node: &Name) -> Option<SocketAddr> {
        let snapshot = self.snapshot.borrow();
        let instance = snapshot.instances.get(node)?;
        Some(instance.record.gate)
    }

    /// Answers another agent's request for support or denial. Returns `None` for other paths.
    #[must_use]
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let path = request.path();
        if path != SUPPORT_PATH && path != DENY_PATH {
            return None;
        }
        let query = request.target.split_once('?').map(|(_, query)| query);
        let support_request =
            serde_urlencoded::from_str::<SupportRequest>(query.unwrap_or_default());
        let support_request = match support_request {
            Ok(support_request) => support_request,
            Err(error) => {
                let reason = format!("the question about support is not understood: {error}");
                return Some(refusal::rejected(StatusCode::BAD_REQUEST, &reason));
            }
        };
        let body = if path == SUPPORT_PATH {
            serde_json::to_vec(&self.answer_support(&support_request))
        } else {
            serde_json::to_vec(&self.answer_denial(&support_request))
        };
        Some(match body {
            Ok(body) => {
                let mut response = HttpResponse::new(StatusCode::OK, "");
                response.body = body.into();
                response
            }
            Err(error) => {
                log::error!("failed to encode a support response: {error}");
                refusal::rejected(StatusCode::INTERNAL_SERVER_ERROR, "no answer")
            }
        })
    }

    /// Promises support to an owner, unless the owner was denied.
    fn answer_support(&self, support_request: &SupportRequest) -> SupportResponse {
        let mut promises = self.promises.borrow_mut();
        let SupportRequest { owner, epoch, run } = support_request;
        let is_granted = promises.support(clock::now(), owner, *epoch, run);
        SupportResponse {
            is_granted,
            denied_epoch: promises.denied_epoch(owner),
        }
    }

    /// Denies an owner, unless a promise of support to it may still be in force, or the store has come back from an
    /// older copy: the recorded set may then not be the one that supports the owner.
    fn answer_denial(&self, support_request: &SupportRequest) -> Denial {
        let (now, settled_at) = (clock::now(), self.snapshot.borrow().era_settled_at());
        if now < settled_at {
            let left_ms = settled_at.since(now);
            return Denial::Supported { left_ms };
        }
        let mut promises = self.promises.borrow_mut();
        let SupportRequest { owner, epoch, run } = support_request;
        let denial = promises.deny(now, owner, *epoch, run);
        log::info!("belief owner={owner} epoch={epoch} denial={denial:?}");
        denial
    }

    /// Confirms the newest proposed set if the store's records show that it was written, after a write whose
    /// outcome was unknown.
    pub fn resolve_pending(&self) {
        let recorded = self.recorded_set();
        let mut state = self.state.borrow_mut();
        let is_recorded = state.sets().last() == Some(&*recorded);
        if state.has_unconfirmed_set() && is_recorded {
            state.confirm(recorded.epoch);
        }
    }

    /// Returns the set of witnesses that should replace the recorded one, or `None` if that one remains.
    #[must_use]
    pub fn replacement_set(&self, now: Millis) -> Option<WitnessSet> {
        let recorded = self.recorded_set();
        let (is_resolved, is_denied, epoch, current) = {
            let state = self.state.borrow();
            let newest = state.sets().last().cloned().unwrap_or_default();
            let is_resolved = !state.has_unconfirmed_set() && newest == *recorded;
            let epoch = state.next_epoch(recorded.epoch);
            (is_resolved, state.is_denied(), epoch, newest)
        };
        let chosen = self.choose(now, &current);
        let is_stale = chosen != current.witnesses;
        if !is_stale {
            self.stale_since.set(None);
        }
        if is_resolved {
            let since = self.stale_since.get().unwrap_or(now);
            self.stale_since.set(is_stale.then_some(since));
            let is_due = !current.is_deniable()
                || !self.has_quorum(&current)
                || now.since(since) >= REPLACE_DELAY_MS;
            let is_replaced = is_denied || (is_stale && is_due);
            if !is_replaced {
                return None;
            }
        }
        Some(WitnessSet {
            epoch,
            witnesses: chosen,
        })
    }

    /// Whether the newest set of witnesses can support this agent no more, since their runs have ended.
    #[must_use]
    pub fn has_lost_quorum(&self) -> bool {
        let state = self.state.borrow();
        let newest = state.sets().last();
        newest.is_some_and(|set| !self.has_quorum(set))
    }

    /// Whether enough witnesses of a set are present.
    fn has_quorum(&self, set: &WitnessSet) -> bool {
        let snapshot = self.snapshot.borrow();
        set.has_quorum(|witness| is_present(&snapshot, witness))
    }

    /// Adds a set that is about to be written to the store.
    pub fn propose(&self, set: WitnessSet) {
        log::info!(
            "decision witnesses epoch={} witnesses={:?}",
            set.epoch,
            set.witnesses
        );
        self.state.borrow_mut().propose(set);
        self.changed.notify_one();
    }

    /// Marks the set of an epoch as recorded in the store.
    pub fn confirm(&self, epoch: u64) {
        self.state.borrow_mut().confirm(epoch);
    }

    /// Removes the set of an epoch, which was not recorded in the store.
    pub fn withdraw(&self, epoch: u64) {
        self.state.borrow_mut().withdraw(epoch);
    }

    /// Returns the recorded set, or the first empty one if there is none.
    fn recorded_set(&self) -> Rc<WitnessSet> {
        let snapshot = self.snapshot.borrow();
        let versioned = snapshot.witnesses.get(&self.node);
        versioned.map_or_else(Rc::default, |versioned| Rc::clone(&versioned.set))
    }

    /// Chooses witnesses: those of the current set that are still eligible, then others. Returns an empty
    /// list if there are not enough.
    fn choose(&self, now: Millis, current: &WitnessSet) -> Vec<WitnessId> {
        if !self.is_wanted.get() {
            return Vec::new();
        }
        self.avoid_unresponsive(now, current);
        let snapshot = self.snapshot.borrow();
        let avoided = self.avoided.borrow();
        let is_eligible = |node: &Name| avoided.get(node).is_none_or(|until| now >= *until);
        let mut chosen: Vec<WitnessId> = current
            .witnesses
            .iter()
            .filter(|witness| is_present(&snapshot, witness) && is_eligible(&witness.node))
            .cloned()
            .collect();
        let mut zones: BTreeSet<Name> = chosen
            .iter()
            .filter_map(|witness| snapshot.instances.get(&witness.node))
            .map(|instance| Name::clone(&instance.record.zone))
            .collect();
        let candidates = self.candidates(&snapshot);
        // The first pass takes at most one witness per zone. The second pass takes any, for fleets with fewer
        // zones than witnesses.
        for is_new_zone_required in [true, false] {
            for record in &candidates {
                let is_chosen = chosen.iter().any(|witness| witness.node == record.node);
                let is_wanted = chosen.len() < WITNESSES && !is_chosen && is_eligible(&record.node);
                if is_wanted && (zones.insert(Name::clone(&record.zone)) || !is_new_zone_required) {
                    chosen.push(WitnessId {
                        node: Name::clone(&record.node),
                        run: Name::clone(&record.run),
                    });
                }
            }
        }
        if chosen.len() < WITNESSES {
            chosen.clear();
        }
        chosen
    }

    /// Returns the agents that may support this one: those of other availability zones first, each group in
    /// order of name starting after this agent's, so that owners choose different witnesses.
    fn candidates<'a>(&self, snapshot: &'a FleetSnapshot) -> Vec<&'a InstanceRecord> {
        let mut records: Vec<&InstanceRecord> = snapshot
            .instances
            .values()
            .filter(|instance| instance.lapsed.is_none())
            .map(|instance| &*instance.record)
            .filter(|record| !record.leaving && record.node != self.node)
            .collect();
        let own = suffix(&self.node);
        records.sort_by_key(|record| {
            let name = suffix(&record.node);
            (record.zone == self.zone, name < own, name)
        });
        records
    }

    /// Excludes witnesses whose promise has expired although they were asked to renew it.
    fn avoid_unresponsive(&self, now: Millis, current: &WitnessSet) {
        let state = self.state.borrow();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| now < *until);
        for witness in &current.witnesses {
            let until = state.promised_until(&witness.node);
            if until > Millis::default() && now >= until {
                avoided.insert(Name::clone(&witness.node), now.plus(AVOID_MS));
            }
        }
    }
}

/// Whether the run that a witness set names is still in the store and not leaving.
fn is_present(snapshot: &FleetSnapshot, witness: &WitnessId) -> bool {
    snapshot
        .instances
        .get(&witness.node)
        .is_some_and(|instance| {
            instance.lapsed.is_none()
                && !instance.record.leaving
                && instance.record.run == witness.run
        })
}

/// Returns the sort key of an instance's name: the number at its end, then the name. Instances with
/// consecutive numbers lie in different zones.
fn suffix(node: &str) -> (u64, &str) {
    let digits = node.rsplit(|letter: char| !letter.is_ascii_digit()).next();
    let number = digits.and_then(|digits| digits.parse().ok());
    (number.unwrap_or(0), node)
}
