//! Keeps the agent's own record in the store: joins, and tells of its backend server.

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

/// Wait for the backend server's first announcement before the agent joins without it, in
/// milliseconds.
const FIRST_ANNOUNCEMENT_MS: u64 = 3_000;

/// Wait after a failed write, in milliseconds.
const RETRY_WAIT_MS: u64 = 250;

/// The agent's own record.
pub struct MemberService {
    identity: Rc<AgentIdentity>,
    feed: Rc<FeedService>,
    store: StoreClient,
    endpoint: RefCell<Option<Endpoint>>,
    changed: Notify,
    joined: Cell<bool>,
}

impl MemberService {
    /// Makes the service; [`Self::run`] joins.
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

    /// Notes the backend server beside the agent, or that it is gone.
    pub fn set_endpoint(&self, endpoint: Option<Endpoint>) {
        if *self.endpoint.borrow() != endpoint {
            *self.endpoint.borrow_mut() = endpoint;
            self.changed.notify_one();
        }
    }

    /// Looks at the record again: the records changed.
    pub fn on_view(&self) {
        self.changed.notify_one();
    }

    /// Keeps the record as it should be. Never returns.
    pub async fn run(&self) {
        let patience = Duration::from_millis(FIRST_ANNOUNCEMENT_MS);
        // Without an announcement the agent joins as a gateway and monitor.
        drop(timeout(patience, self.changed.notified()).await);
        // The first list names the earlier incarnations that this one replaces.
        self.wait_for(1).await;
        loop {
            match self.write_due() {
                None => self.changed.notified().await,
                Some(call) => self.write(&call).await,
            }
        }
    }

    /// Returns the write that brings the record up to date, or none.
    fn write_due(&self) -> Option<SwapCall> {
        let view = self.feed.view();
        let endpoint = self.endpoint.borrow().clone();
        let (record, expect) = match view.members.get(&self.identity.id) {
            None if self.joined.get() => return None,
            None => (self.first_record(endpoint), 0),
            Some(known) => {
                let old = &known.value;
                if old.state.has_ended() || old.endpoint == endpoint {
                    return None;
                }
                let record = MemberRecord {
                    endpoint,
                    ..MemberRecord::clone(old)
                };
                (record, known.revision)
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

    /// The record that joins.
    fn first_record(&self, endpoint: Option<Endpoint>) -> MemberRecord {
        let settings = &self.identity.settings;
        let listen = &settings.listen;
        let advertise = &settings.advertise;
        let addrs = AgentAddrs {
            rpc: advertise.peer_rpc.unwrap_or(listen.peer_rpc),
            forward: advertise.peer_forward.unwrap_or(listen.peer_forward),
            operator: listen.operator,
        };
        MemberRecord {
            endpoint,
            replaces: self.replaced(),
            ..MemberRecord::new(self.identity.id.clone(), settings.place.clone(), addrs)
        }
    }

    /// Earlier incarnations at the addresses that this one listens on.
    fn replaced(&self) -> Vec<AgentId> {
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

    /// Writes the record; what stands afterwards comes with the records.
    async fn write(&self, call: &SwapCall) {
        let result = self.store.swap(call).await;
        self.feed.note_store(&result);
        match result {
            Ok(SwapOutcome::Applied { revision }) => {
                self.joined.set(true);
                self.wait_for(revision).await;
            }
            Ok(SwapOutcome::Conflict { .. }) | Err(_) => {
                sleep(Duration::from_millis(RETRY_WAIT_MS)).await;
            }
        }
    }

    /// Waits until the records have a revision.
    async fn wait_for(&self, revision: u64) {
        while self.feed.revision() < revision {
            self.changed.notified().await;
        }
    }
}
