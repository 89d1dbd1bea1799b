//! The agent's own record in the store, bound to a lease that the agent renews.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_lease::witness::WitnessSet;
use jy_platform::store::CommitOutcome;
use jy_platform::store::Result;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreCommit;
use jy_platform::store::StoreWrite;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::feed::SnapshotSender;
use crate::snapshot::instance_key;
use crate::snapshot::witness_key;
use crate::support::LocalSupport;

/// The agent's record ends this long after its last renewal, in milliseconds.
/// Others wait for that end before they take the keys of a lost owner, and the target says 5 s until a key
/// is served again.
pub const LEASE_MS: u64 = 3_500;
/// Time between renewals, in milliseconds: two may get lost.
const RENEW_MS: u64 = 1_000;
/// Wait after a failed call, in milliseconds: entries are to be back within 2 s of the store's return.
const PAUSE_MS: u64 = 200;

/// After its last confirmed renewal an agent grants keys this long at most, in milliseconds. It bridges
/// outages of the store of 9 s, as the deployments' pages list them. The keys of a lost owner whose
/// witnesses can't be asked are free only after it.
pub const AUTHORITY_MS: u64 = 10_500;
/// Margin for clocks that run at unlike speeds and for answers on their way, in milliseconds.
pub const AUTHORITY_MARGIN_MS: u64 = 500;

/// The store's record of this agent against the one that should stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordStanding {
    /// It is not there, or not under the present lease.
    Absent,
    /// It was written under the present lease, but has not come back with the store's records yet.
    Unseen,
    /// It is there with other contents.
    Outdated,
    /// It is there as it should be.
    Current,
}

/// Makes the record as it should stand now.
pub type RecordFn = Rc<dyn Fn() -> InstanceRecord>;

/// The agent's membership.
pub struct LocalMember {
    store: StoreClient,
    snapshot: Rc<SnapshotSender>,
    record: RecordFn,
    support: Rc<LocalSupport>,
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

impl LocalMember {
    /// Makes a membership that is not in the store yet.
    #[must_use]
    pub fn new(
        store: StoreClient,
        snapshot: Rc<SnapshotSender>,
        node: Name,
        record: RecordFn,
        support: Rc<LocalSupport>,
    ) -> Self {
        Self {
            store,
            snapshot,
            record,
            support,
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
        self.support.until(self.authority.get())
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
        if self.snapshot.borrow().revision == 0 {
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
        if standing == RecordStanding::Unseen {
            return Ok(false);
        }
        if standing != RecordStanding::Absent {
            self.authority.set(sent.plus(AUTHORITY_MS));
            self.support.resolve_pending();
        }
        let set = self.support.due_set(clock::now());
        if standing == RecordStanding::Current && set.is_none() {
            return Ok(true);
        }
        self.write(set).await
    }

    /// Compares the store's record with the one that should stand.
    ///
    /// While the record stands under the present lease nobody takes the keys of this agent. What was
    /// taken before it was written is known once the beliefs have reached the revision of the write.
    fn standing(&self) -> RecordStanding {
        let snapshot = self.snapshot.borrow();
        let written = self.written.get();
        let seen = snapshot
            .instances
            .get(&self.node)
            .filter(|seen| seen.lapsed.is_none());
        let is_bound = written.lease == self.lease.get();
        if is_bound && snapshot.revision < written.revision {
            return RecordStanding::Unseen;
        }
        let Some(seen) = seen.filter(|_| is_bound) else {
            return RecordStanding::Absent;
        };
        if *seen.record == (self.record)() {
            RecordStanding::Current
        } else {
            RecordStanding::Outdated
        }
    }

    /// Writes the record, and the set of witnesses if there is another; false so that the watch confirms it
    /// first.
    ///
    /// # Errors
    ///
    /// What the store says. Without an answer either set may be the recorded one.
    async fn write(&self, set: Option<WitnessSet>) -> Result<bool> {
        let record = (self.record)();
        let (key, set_key) = (instance_key(&self.node), witness_key(&self.node));
        let expected = {
            let snapshot = self.snapshot.borrow();
            let seen = snapshot.instances.get(&self.node);
            let witnesses = snapshot.witnesses.get(&self.node);
            vec![
                (Name::clone(&key), seen.map_or(0, |seen| seen.revision)),
                (
                    Name::clone(&set_key),
                    witnesses.map_or(0, |seen| seen.revision),
                ),
            ]
        };
        let (Ok(text), Ok(set_text)) = (
            serde_json::to_string(&record),
            set.as_ref().map(serde_json::to_string).transpose(),
        ) else {
            log::error!("own record can't be written down");
            return Ok(false);
        };
        let own = StoreWrite {
            key,
            value: text.into(),
            lease: self.lease.get(),
        };
        // Without a lease: others must know the witnesses of an owner whose record is gone.
        let witnesses = set_text.map(|text| StoreWrite {
            key: set_key,
            value: text.into(),
            lease: 0,
        });
        let commit = StoreCommit {
            expected,
            writes: std::iter::once(own).chain(witnesses).collect(),
            deletes: Vec::new(),
        };
        let epoch = set.as_ref().map(|set| set.epoch);
        if let Some(set) = set {
            self.support.propose(set);
        }
        let end = self.store.commit(&commit).await?;
        match (end, epoch) {
            (CommitOutcome::Applied { .. }, Some(epoch)) => self.support.confirm(epoch),
            (CommitOutcome::Conflict | CommitOutcome::NoLease, Some(epoch)) => {
                self.support.withdraw(epoch);
            }
            (_, None) => {}
        }
        match end {
            CommitOutcome::Applied { revision } => {
                log::info!("belief own record written revision={revision} witnesses={epoch:?}");
                let lease = self.lease.get();
                self.written.set(WrittenRecord { lease, revision });
            }
            CommitOutcome::Conflict => log::debug!("own record changed meanwhile"),
            CommitOutcome::NoLease => self.lease.set(0),
        }
        Ok(false)
    }
}
