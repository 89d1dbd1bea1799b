//! The witnesses of the agent's right to grant keys, and what it promises to others as theirs.
//!
//! The rules are those of [`jy_lease::witness`]; here the witnesses are chosen, asked and answered.

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
use jy_http::message::HttpAnswer;
use jy_http::message::HttpRequest;
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
/// Path at which others ask the witnesses to deny it.
const DENY_PATH: &str = "/jy/deny";
/// Time between requests for support, in milliseconds: a promise outlasts five that get lost.
const ASK_MS: u64 = 500;
/// Longest wait for a connection to a witness, in milliseconds: a round trip takes 1 ms.
const CONNECT_MS: u64 = 150;
/// Longest wait for a witness's answer, in milliseconds.
const ANSWER_MS: u64 = 300;
/// Connections to witnesses are reused after resting this long at most, in milliseconds.
const REST_MS: u64 = 15_000;
/// Witnesses that did not answer are asked to deny an owner again after this long, in milliseconds.
const SILENT_RETRY_MS: u64 = 1_000;
/// A witness that is gone is replaced after this long, in milliseconds, so that several that restart one
/// after the other cost one write. Two of three suffice meanwhile.
const REPLACE_MS: u64 = 1_500;
/// A witness whose promise ended is not chosen again for this long, in milliseconds.
const AVOID_MS: u64 = 5_000;

/// A question between agents about an owner's support.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SupportQuestion {
    owner: Name,
    epoch: u64,
    /// Run of the witness as the recorded set names it.
    run: Name,
}

/// Whether a witness promises support.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SupportAnswer {
    is_granted: bool,
}

/// The support that this agent has and the promises that it has given.
pub struct LocalSupport {
    node: Name,
    zone: Name,
    snapshot: Rc<SnapshotSender>,
    state: RefCell<OwnerSupport>,
    promises: RefCell<WitnessPromises>,
    pool: ConnectionPool,
    /// Whether the backend server beside the agent holds keys.
    is_wanted: Cell<bool>,
    /// Since when the recorded set should be replaced.
    stale_since: Cell<Option<Millis>>,
    /// Witnesses that did not answer, and until when they are not chosen.
    avoided: RefCell<BTreeMap<Name, Millis>>,
    changed: Notify,
}

impl LocalSupport {
    /// Makes the support of an agent's run.
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
            stale_since: Cell::new(None),
            avoided: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Takes note whether the backend server beside the agent holds keys.
    pub fn set_wanted(&self, is_wanted: bool) {
        self.is_wanted.set(is_wanted);
    }

    /// Until when the agent may grant keys, at most until `cap`.
    #[must_use]
    pub fn until(&self, cap: Millis) -> Millis {
        self.state.borrow().until(cap)
    }

    /// Asks the witnesses for ever.
    pub async fn run(self: &Rc<Self>) {
        loop {
            let has_witnesses = self.state.borrow().sets().any(WitnessSet::is_deniable);
            let changed = self.changed.notified();
            if !has_witnesses {
                changed.await;
                continue;
            }
            self.ask_all();
            let _is_changed = timeout(Duration::from_millis(ASK_MS), changed).await;
        }
    }

    /// Asks all witnesses of all sets that may be recorded.
    fn ask_all(self: &Rc<Self>) {
        let sets: Vec<WitnessSet> = self.state.borrow().sets().cloned().collect();
        for set in sets {
            for witness in set.witnesses {
                let support = Rc::clone(self);
                actix_rt::spawn(async move { support.ask(witness, set.epoch).await });
            }
        }
    }

    /// Asks one witness for support.
    async fn ask(&self, witness: WitnessId, epoch: u64) {
        let sent = clock::now();
        let node = Name::clone(&witness.node);
        let question = SupportQuestion {
            owner: Name::clone(&self.node),
            epoch,
            run: witness.run,
        };
        let answer: Option<SupportAnswer> = self.question(SUPPORT_PATH, &node, &question).await;
        if answer.is_some_and(|answer| answer.is_granted) {
            self.state.borrow_mut().supported(&node, epoch, sent);
        }
    }

    /// Asks an owner's witnesses to deny it.
    ///
    /// # Errors
    ///
    /// If not enough of them do: when to ask again, in milliseconds.
    pub async fn deny(&self, owner: &Name, set: &WitnessSet) -> Result<(), u64> {
        let ask = async |witness: &WitnessId| {
            let question = SupportQuestion {
                owner: Name::clone(owner),
                epoch: set.epoch,
                run: Name::clone(&witness.run),
            };
            if witness.node == self.node {
                return Some(self.answer_denial(&question));
            }
            self.question(DENY_PATH, &witness.node, &question).await
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
        let longest = answers.iter().filter_map(left_ms).max();
        Err(longest.unwrap_or(SILENT_RETRY_MS))
    }

    /// Sends a question to another agent; none without an answer that is understood.
    async fn question<T: DeserializeOwned>(
        &self,
        path: &str,
        node: &Name,
        question: &SupportQuestion,
    ) -> Option<T> {
        let to = self.address(node)?;
        let query = match serde_urlencoded::to_string(question) {
            Ok(query) => query,
            Err(error) => {
                log::error!("a question about support can't be written down: {error}");
                return None;
            }
        };
        let request = HttpRequest::new(Method::GET, &format!("{path}?{query}"));
        let terms = SendOptions {
            connect_ms: CONNECT_MS,
            answer_ms: ANSWER_MS,
            rest_ms: REST_MS,
        };
        let request = request.with_header("host", "fleet");
        match self.pool.send(to, &request, None, terms).await {
            Ok(answer) => match serde_json::from_slice(&answer.body) {
                Ok(answer) => Some(answer),
                Err(error) => {
                    log::warn!("the answer of {node} on support is not understood: {error}");
                    None
                }
            },
            Err(error) => {
                self.pool.forget(to);
                log::debug!("no answer of {node} on support: {error}");
                None
            }
        }
    }

    /// Where an agent answers others.
    fn address(&self, node: &Name) -> Option<SocketAddr> {
        let snapshot = self.snapshot.borrow();
        let seen = snapshot.instances.get(node)?;
        Some(seen.record.gate)
    }

    /// Answers another agent's question; none for other paths.
    #[must_use]
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpAnswer> {
        let path = request.path();
        if path != SUPPORT_PATH && path != DENY_PATH {
            return None;
        }
        let query = request.target.split_once('?').map(|(_, query)| query);
        let question = serde_urlencoded::from_str::<SupportQuestion>(query.unwrap_or_default());
        let question = match question {
            Ok(question) => question,
            Err(error) => {
                let reason = format!("the question about support is not understood: {error}");
                return Some(refusal::rejected(StatusCode::BAD_REQUEST, &reason));
            }
        };
        let body = if path == SUPPORT_PATH {
            serde_json::to_vec(&self.answer_support(&question))
        } else {
            serde_json::to_vec(&self.answer_denial(&question))
        };
        Some(match body {
            Ok(body) => {
                let mut answer = HttpAnswer::new(StatusCode::OK, "");
                answer.body = body.into();
                answer
            }
            Err(error) => {
                log::error!("an answer on support can't be written down: {error}");
                refusal::rejected(StatusCode::INTERNAL_SERVER_ERROR, "no answer")
            }
        })
    }

    /// Promises support to an owner, unless it was denied.
    fn answer_support(&self, question: &SupportQuestion) -> SupportAnswer {
        let mut promises = self.promises.borrow_mut();
        let SupportQuestion { owner, epoch, run } = question;
        let is_granted = promises.support(clock::now(), owner, *epoch, run);
        SupportAnswer { is_granted }
    }

    /// Denies an owner unless a promise may stand.
    fn answer_denial(&self, question: &SupportQuestion) -> Denial {
        let mut promises = self.promises.borrow_mut();
        let SupportQuestion { owner, epoch, run } = question;
        let denial = promises.deny(clock::now(), owner, *epoch, run);
        log::info!("belief owner={owner} epoch={epoch} denial={denial:?}");
        denial
    }

    /// Takes in which set the store records, once that settles what was open.
    pub fn resolve_pending(&self) {
        let recorded = self.recorded_epoch();
        let mut state = self.state.borrow_mut();
        let newest = state.sets().last().map_or(0, |set| set.epoch);
        if state.is_open() && recorded == newest {
            state.confirm(newest);
        }
    }

    /// The set that is to be recorded instead of the one that is; none if that may stay.
    #[must_use]
    pub fn due_set(&self, now: Millis) -> Option<WitnessSet> {
        let recorded = self.recorded_epoch();
        let (is_known, newest, current) = {
            let state = self.state.borrow();
            let newest = state.sets().last().cloned().unwrap_or_default();
            let is_known = !state.is_open() && newest.epoch == recorded;
            (is_known, newest.epoch.max(recorded), newest)
        };
        let chosen = self.choose(now, &current);
        let is_stale = chosen != current.witnesses;
        if !is_stale {
            self.stale_since.set(None);
        }
        if is_known {
            let since = self.stale_since.get().unwrap_or(now);
            self.stale_since.set(is_stale.then_some(since));
            let is_due = !current.is_deniable() || now.since(since) >= REPLACE_MS;
            if !is_stale || !is_due {
                return None;
            }
        }
        Some(WitnessSet {
            epoch: newest + 1,
            witnesses: chosen,
        })
    }

    /// Takes note that a set is about to be recorded.
    pub fn propose(&self, set: WitnessSet) {
        log::info!(
            "decision witnesses epoch={} witnesses={:?}",
            set.epoch,
            set.witnesses
        );
        self.state.borrow_mut().propose(set);
        self.changed.notify_one();
    }

    /// Takes note that the set of an epoch is recorded.
    pub fn confirm(&self, epoch: u64) {
        self.state.borrow_mut().confirm(epoch);
    }

    /// Takes note that the set of an epoch was not recorded.
    pub fn withdraw(&self, epoch: u64) {
        self.state.borrow_mut().withdraw(epoch);
    }

    /// Epoch of the recorded set; zero without one.
    fn recorded_epoch(&self) -> u64 {
        let snapshot = self.snapshot.borrow();
        let seen = snapshot.witnesses.get(&self.node);
        seen.map_or(0, |seen| seen.set.epoch)
    }

    /// Chooses witnesses: those of the current set that still serve, then others. Nobody unless there are
    /// enough.
    fn choose(&self, now: Millis, current: &WitnessSet) -> Vec<WitnessId> {
        if !self.is_wanted.get() {
            return Vec::new();
        }
        self.avoid_silent(now, current);
        let snapshot = self.snapshot.borrow();
        let avoided = self.avoided.borrow();
        let is_able = |node: &Name| avoided.get(node).is_none_or(|until| now >= *until);
        let mut chosen: Vec<WitnessId> = current
            .witnesses
            .iter()
            .filter(|witness| is_present(&snapshot, witness) && is_able(&witness.node))
            .cloned()
            .collect();
        let mut zones: BTreeSet<Name> = chosen
            .iter()
            .filter_map(|witness| snapshot.instances.get(&witness.node))
            .map(|seen| Name::clone(&seen.record.zone))
            .collect();
        let candidates = self.candidates(&snapshot);
        // One a zone first; where there are fewer zones than witnesses, any.
        for is_spread in [true, false] {
            for record in &candidates {
                let is_chosen = chosen.iter().any(|witness| witness.node == record.node);
                let is_wanted = chosen.len() < WITNESSES && !is_chosen && is_able(&record.node);
                if is_wanted && (zones.insert(Name::clone(&record.zone)) || !is_spread) {
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

    /// Agents that may support this one: those of other availability zones first, from the own name on,
    /// so that owners choose different ones.
    fn candidates<'a>(&self, snapshot: &'a FleetSnapshot) -> Vec<&'a InstanceRecord> {
        let mut records: Vec<&InstanceRecord> = snapshot
            .instances
            .values()
            .filter(|seen| seen.lapsed.is_none())
            .map(|seen| &*seen.record)
            .filter(|record| !record.leaving && record.node != self.node)
            .collect();
        let own = suffix(&self.node);
        records.sort_by_key(|record| {
            let name = suffix(&record.node);
            (record.zone == self.zone, name < own, name)
        });
        records
    }

    /// Leaves witnesses alone for a while whose promise has ended although the set was asked.
    fn avoid_silent(&self, now: Millis, current: &WitnessSet) {
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

/// Whether a witness's run is still there and stays.
fn is_present(snapshot: &FleetSnapshot, witness: &WitnessId) -> bool {
    snapshot.instances.get(&witness.node).is_some_and(|seen| {
        seen.lapsed.is_none() && !seen.record.leaving && seen.record.run == witness.run
    })
}

/// Number at the end of an instance's name, and the name: neighbours in number lie in different zones.
fn suffix(node: &str) -> (u64, &str) {
    let digits = node.rsplit(|letter: char| !letter.is_ascii_digit()).next();
    let number = digits.and_then(|digits| digits.parse().ok());
    (number.unwrap_or(0), node)
}
