//! Reads records from other agents instead of the store.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Method;
use actix_http::StatusCode;
use jy_http::message::HttpRequest;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::record::describe_parse_error;
use jy_types::time::Millis;

use super::FeedPart;
use super::MAX_PROOF_AGE_MS;
use super::MIN_RELAY_AGENTS;
use super::RELAY_CONNECT_TIMEOUT_MS;
use super::RELAY_MAX_IDLE_MS;
use super::RELAY_RESPONSE_TIMEOUT_MS;
use super::RecordFeed;
use super::RelayOutcome;
use super::RelayResponse;

impl RecordFeed {
    /// Reads the records from the agent that reads the store for this availability zone, which answers when
    /// there are changes or the wait is over. Returns [`RelayOutcome::UseStore`] if this agent is to read the
    /// store itself.
    pub(super) async fn read_from_agent(&self) -> RelayOutcome {
        let now = clock::now();
        let (readers, is_small_zone) = {
            let snapshot = self.snapshot.borrow();
            let is_small_zone = snapshot.agents_in_zone(&self.zone) < MIN_RELAY_AGENTS;
            (snapshot.readers(&self.zone), is_small_zone)
        };
        if self.part == FeedPart::Operator && is_small_zone {
            return RelayOutcome::UseStore;
        }
        let preferred = readers
            .iter()
            .find(|reader| !self.is_avoided(now, &reader.node));
        let Some(reader) = preferred.filter(|reader| reader.node != self.node) else {
            return RelayOutcome::UseStore;
        };
        if self.read_from(reader, self.revision()).await {
            return RelayOutcome::Fresh;
        }
        log::info!(
            "belief no fresh records with prefix {} from instance={} proof_age_ms={}",
            self.part.prefix(),
            reader.node,
            clock::now().since(self.proved_until.get())
        );
        RelayOutcome::Stale
    }

    /// Reads the records of operators from an agent of any zone that may still reach the store, if withdrawn API keys
    /// must be refused in time. Without a proof, requests with keys would be refused while only this agent is cut off.
    /// Reads all records unless `is_relisted`, since the watch that was cut may have missed changes. Returns whether
    /// the records are fresh.
    pub(super) async fn read_while_cut_off(&self, is_relisted: bool) -> bool {
        if self.part != FeedPart::Operator || !self.is_revocation_bounded {
            return false;
        }
        let now = clock::now();
        let reader = {
            let snapshot = self.snapshot.borrow();
            let mut readers = snapshot.readers(&self.zone).into_iter();
            let is_usable = |reader: &Rc<InstanceRecord>| {
                reader.node != self.node && !self.is_avoided(now, &reader.node)
            };
            readers.find(is_usable).or_else(|| {
                let other_zones = snapshot
                    .zones()
                    .into_iter()
                    .filter(|zone| *zone != self.zone);
                let mut readers = other_zones.flat_map(|zone| snapshot.readers(&zone));
                readers.find(is_usable)
            })
        };
        let Some(reader) = reader else {
            return false;
        };
        let age_ms = now.since(self.proved_until.get());
        let after = if is_relisted { self.revision() } else { 0 };
        let is_fresh = self.read_from(&reader, after).await;
        if is_fresh && age_ms > MAX_PROOF_AGE_MS {
            log::info!(
                "belief operators' records read without the store from instance={} proof_age_ms={} before={age_ms}",
                reader.node,
                clock::now().since(self.proved_until.get())
            );
        }
        is_fresh
    }

    /// Whether an agent is not to be asked for records now.
    fn is_avoided(&self, now: Millis, node: &Name) -> bool {
        let avoided = self.avoided.borrow();
        avoided.get(node).is_some_and(|until| now < *until)
    }

    /// Reads the records that changed after a revision from another agent. Returns whether they are fresh; if not, the
    /// agent is avoided for a while.
    async fn read_from(&self, reader: &InstanceRecord, after: u64) -> bool {
        let now = clock::now();
        let response = self.request_changes(reader.gate, after).await;
        let is_fresh = match response.filter(|response| self.is_usable(response)) {
            Some(response) => {
                let proved_until = now.plus(response.waited_ms).minus(response.proof_age_ms);
                self.apply_batch(response.batch, response.is_whole);
                self.proved_until
                    .set(proved_until.max(self.proved_until.get()));
                let age_ms = clock::now().since(self.proved_until.get());
                self.part == FeedPart::Fleet || age_ms <= MAX_PROOF_AGE_MS
            }
            None => false,
        };
        if !is_fresh {
            let until = clock::now().plus(self.part.avoid_ms());
            let mut avoided = self.avoided.borrow_mut();
            avoided.insert(Name::clone(&reader.node), until);
        }
        is_fresh
    }

    /// Whether the records of another agent can be applied: they are of the newest era that this agent knows of, and
    /// complete if they are of a later one than its own records.
    fn is_usable(&self, response: &RelayResponse) -> bool {
        let own = self.replica.borrow().era();
        let era = response.batch.era;
        let is_usable =
            era >= self.era.newest() && (era == own || (era > own && response.is_whole));
        if !is_usable {
            log::info!(
                "belief records of another agent are of era {era}, own records of era {own}"
            );
        }
        is_usable
    }

    /// Requests the changes after a revision from another agent.
    async fn request_changes(&self, to: SocketAddr, after: u64) -> Option<RelayResponse> {
        let era = self.replica.borrow().era();
        let target = format!("{}?era={era}&after={after}", self.part.path());
        let request = HttpRequest::new(Method::GET, &target).with_header("host", "fleet");
        let options = SendOptions {
            connect_timeout_ms: RELAY_CONNECT_TIMEOUT_MS,
            response_timeout_ms: self.part.relay_wait_ms() + RELAY_RESPONSE_TIMEOUT_MS,
            max_idle_ms: RELAY_MAX_IDLE_MS,
            max_bytes_per_ms: None,
        };
        let response = match self.pool.send(to, &request, None, options).await {
            Ok(response) if response.status == StatusCode::OK => response,
            Ok(response) => {
                log::debug!(
                    "failed to read records from {to}: status {}",
                    response.status
                );
                return None;
            }
            Err(error) => {
                self.pool.close_idle(to);
                log::debug!("failed to read records from {to}: {error}");
                return None;
            }
        };
        match serde_json::from_slice(&response.body) {
            Ok(response) => Some(response),
            Err(error) => {
                log::warn!(
                    "invalid records from {to}: {}",
                    describe_parse_error(&error)
                );
                None
            }
        }
    }
}
