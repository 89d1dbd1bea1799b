//! Maintains the agent's own record in the store: joins the fleet and publishes the backend server's
//! endpoint.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use jy_store::client::StoreClient;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::Endpoint;
use jy_types::member::MemberRecord;
use jy_types::record::member_key;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::feed::FeedService;
use crate::identity::AgentIdentity;

/// Name of this service.
pub const SERVICE: &str = "member";

/// Time to wait for the backend server's first announcement before the agent joins without an endpoint, in
/// milliseconds.
const FIRST_ANNOUNCEMENT_TIMEOUT_MS: u64 = 3_000;

/// Delay after a failed write, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// Joins the fleet and keeps the agent's own record up to date.
pub struct MemberService {
    identity: Rc<AgentIdentity>,
    feed: Rc<FeedService>,
    store: StoreClient,
    endpoint: RefCell<Option<Endpoint>>,
    changed: Notify,
    joined: Cell<bool>,
}

impl MemberService {
    /// Creates the service. The agent joins in [`Self::run`].
    #[must_use]
    pub fn new(identity: Rc<AgentIdentity>, feed: Rc<FeedService>, store: StoreClient) -> Self {
        Self {
            identity,
            feed,
            store,
            endpoint: RefCell::default(),
            changed: Notify::new(),
            joined: Cell::new(false),
        }
    }

    /// Sets the endpoint of the backend server beside the agent, or `None` if there is none.
    pub fn set_endpoint(&self, endpoint: Option<Endpoint>) {
        if *self.endpoint.borrow() != endpoint {
            *self.endpoint.borrow_mut() = endpoint;
            self.changed.notify_one();
        }
    }

    /// Triggers a check of the own record after a change of the records.
    pub fn on_view(&self) {
        self.changed.notify_one();
    }

    /// Joins the fleet, then writes each change of the endpoint to the record. Never returns.
    pub async fn run(&self) {
        let first_timeout = Duration::from_millis(FIRST_ANNOUNCEMENT_TIMEOUT_MS);
        // If no announcement arrives in time, the agent joins as a gateway and monitor only.
        drop(timeout(first_timeout, self.changed.notified()).await);
        // The first list of the records contains the earlier incarnations that this one replaces.
        self.wait_for_revision(1).await;
        loop {
            match self.pending_write() {
                None => self.changed.notified().await,
                Some(call) => self.write(&call).await,
            }
        }
    }

    /// Returns the write that brings the record up to date, or `None` if no write is needed.
    fn pending_write(&self) -> Option<SwapCall> {
        let view = self.feed.view();
        let endpoint = self.endpoint.borrow().clone();
        let (record, expect) = match view.members.get(&self.identity.id) {
            None if self.joined.get() => return None,
            None => (self.initial_record(endpoint), 0),
            Some(stored) => {
                let old = &stored.value;
                if old.state.has_ended() || old.endpoint == endpoint {
                    return None;
                }
                let record = MemberRecord {
                    endpoint,
                    ..MemberRecord::clone(old)
                };
                (record, stored.revision)
            }
        };
        let value = serde_json::to_string(&record).ok()?;
        Some(SwapCall {
            key: member_key(&self.identity.id),
            expect,
            value: Some(value.into()),
            lease: None,
        })
    }

    /// Returns the record with which the agent joins.
    fn initial_record(&self, endpoint: Option<Endpoint>) -> MemberRecord {
        let settings = &self.identity.settings;
        let listen = &settings.listen;
        let advertise = &settings.advertise;
        let addresses = AgentAddrs {
            rpc: advertise.peer_rpc.unwrap_or(listen.peer_rpc),
            forward: advertise.peer_forward.unwrap_or(listen.peer_forward),
            operator: listen.operator,
        };
        MemberRecord {
            endpoint,
            replaces: self.earlier_incarnations(),
            ..MemberRecord::new(self.identity.id.clone(), settings.place.clone(), addresses)
        }
    }

    /// Returns the earlier incarnations of this agent: those with its name and operator address.
    fn earlier_incarnations(&self) -> Vec<AgentId> {
        let id = &self.identity.id;
        let listen = self.identity.settings.listen.operator;
        self.feed
            .view()
            .present()
            .filter(|member| member.id != *id && member.id.name == id.name)
            .filter(|member| member.operator_addr == listen)
            .map(|member| member.id.clone())
            .collect()
    }

    /// Writes the record and waits until the replica contains the write. After a conflict or an error, waits
    /// for the retry delay; the next attempt is based on the replica's records.
    async fn write(&self, call: &SwapCall) {
        let result = self.store.swap(call).await;
        self.feed.record_store_result(&result);
        match result {
            Ok(SwapOutcome::Applied { revision }) => {
                self.joined.set(true);
                self.wait_for_revision(revision).await;
            }
            Ok(SwapOutcome::Conflict { .. }) | Err(_) => {
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }

    /// Waits until the replica is complete up to a revision.
    async fn wait_for_revision(&self, revision: u64) {
        while self.feed.revision() < revision {
            self.changed.notified().await;
        }
    }
}
