//! The agent's own record in the store, bound to a lease that the agent renews.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_platform::store::CommitEnd;
use jy_platform::store::Result;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreCommit;
use jy_platform::store::StoreWrite;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::beliefs::instance_key;
use crate::feed::BeliefCell;

/// The agent's record ends this long after its last renewal, in milliseconds.
pub const LEASE_MS: u64 = 4_000;
/// Time between renewals, in milliseconds: three may get lost.
const RENEW_MS: u64 = 1_000;
/// Wait after a failed call, in milliseconds: entries are to be back within 2 s of the store's return.
const PAUSE_MS: u64 = 200;

/// After its last confirmed renewal an agent grants keys this long, in milliseconds. It bridges outages of
/// the store of 9 s, as the deployments' pages list them; a lost owner's keys are free only after it.
pub const AUTHORITY_MS: u64 = 10_500;
/// Margin for clocks that run at unlike speeds and for answers on their way, in milliseconds.
pub const AUTHORITY_MARGIN_MS: u64 = 500;

/// The store's record of this agent against the one that should stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordStanding {
    /// It is not there, or not under the present lease.
    Absent,
    /// It is there with other contents.
    Outdated,
    /// It is there as it should be.
    Current,
}

/// Makes the record as it should stand now.
pub type RecordFn = Rc<dyn Fn() -> InstanceRecord>;

/// The agent's membership.
pub struct OwnMember {
    store: StoreClient,
    beliefs: Rc<BeliefCell>,
    record: RecordFn,
    node: Name,
    changed: Notify,
    lease: Cell<u64>,
    written: Cell<WrittenRecord>,
    authority: Cell<Millis>,
}

/// Under which lease and at which revision the record was written last.
#[derive(Clone, Copy, Debug, Default)]
struct WrittenRecord {
    lease: u64,
    revision: u64,
}

impl OwnMember {
    /// Makes a membership that is not in the store yet.
    #[must_use]
    pub fn new(store: StoreClient, beliefs: Rc<BeliefCell>, node: Name, record: RecordFn) -> Self {
        Self {
            store,
            beliefs,
            record,
            node,
            changed: Notify::new(),
            lease: Cell::new(0),
            written: Cell::default(),
            authority: Cell::new(Millis::default()),
        }
    }

    /// Until when the agent may grant keys: nobody takes them before.
    #[must_use]
    pub fn authority(&self) -> Millis {
        self.authority.get()
    }

    /// Tells that the record should be written anew.
    pub fn touch(&self) {
        self.changed.notify_one();
    }

    /// Keeps lease and record for ever.
    pub async fn run(&self) {
        loop {
            let result = self.keep().await;
            if let Err(error) = &result {
                log::debug!("own record not kept: {error}");
            }
            let wait_ms = if matches!(result, Ok(true)) {
                RENEW_MS
            } else {
                PAUSE_MS
            };
            let waiting = self.changed.notified();
            let _is_due = timeout(Duration::from_millis(wait_ms), waiting).await;
        }
    }

    /// Renews the lease and writes the record if it differs; true if both stand.
    ///
    /// # Errors
    ///
    /// What the store says.
    async fn keep(&self) -> Result<bool> {
        let sent = clock::now();
        if self.beliefs.borrow().revision == 0 {
            return Ok(false);
        }
        if self.lease.get() == 0 {
            self.lease.set(self.store.grant_lease(LEASE_MS).await?);
        } else if !self.store.renew_lease(self.lease.get()).await? {
            log::info!("belief own lease={} ended", self.lease.get());
            self.lease.set(0);
            return Ok(false);
        }
        let standing = self.standing();
        if standing != RecordStanding::Absent {
            self.authority.set(sent.plus(AUTHORITY_MS));
        }
        if standing == RecordStanding::Current {
            return Ok(true);
        }
        self.write().await
    }

    /// Compares the store's record with the one that should stand.
    ///
    /// While the record stands under the present lease nobody takes the keys of this agent. What was
    /// taken before it was written is known once the beliefs have reached the revision of the write.
    fn standing(&self) -> RecordStanding {
        let beliefs = self.beliefs.borrow();
        let written = self.written.get();
        let seen = beliefs
            .instances
            .get(&self.node)
            .filter(|seen| seen.lapsed.is_none());
        let is_bound = written.lease == self.lease.get() && beliefs.revision >= written.revision;
        let Some(seen) = seen.filter(|_| is_bound) else {
            return RecordStanding::Absent;
        };
        if *seen.record == (self.record)() {
            RecordStanding::Current
        } else {
            RecordStanding::Outdated
        }
    }

    /// Writes the record; false so that the watch confirms it first.
    ///
    /// # Errors
    ///
    /// What the store says.
    async fn write(&self) -> Result<bool> {
        let record = (self.record)();
        let revision = {
            let beliefs = self.beliefs.borrow();
            let seen = beliefs.instances.get(&self.node);
            seen.map_or(0, |seen| seen.revision)
        };
        let key = instance_key(&self.node);
        let Ok(text) = serde_json::to_string(&record) else {
            log::error!("own record can't be written down");
            return Ok(false);
        };
        let commit = StoreCommit {
            expected: vec![(Name::clone(&key), revision)],
            writes: vec![StoreWrite {
                key,
                value: text.into(),
                lease: self.lease.get(),
            }],
        };
        match self.store.commit(&commit).await? {
            CommitEnd::Applied { revision } => {
                log::info!("belief own record written revision={revision}");
                let lease = self.lease.get();
                self.written.set(WrittenRecord { lease, revision });
            }
            CommitEnd::Conflict => log::debug!("own record changed meanwhile"),
            CommitEnd::NoLease => self.lease.set(0),
        }
        Ok(false)
    }
}
