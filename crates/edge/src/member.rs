//! Maintains the agent's own record in the store, bound to a lease that the agent renews.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_lease::witness::WitnessSet;
use jy_platform::store::CommitOutcome;
use jy_platform::store::GrantedLease;
use jy_platform::store::Result;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreCommit;
use jy_platform::store::StoreWrite;
use jy_policy::outage;
use jy_policy::quota::lender::LeaseTerm;
use jy_types::endpoint::InstanceRecord;
use jy_types::leaving::LeavingSet;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::era::EraAuthority;
use crate::era::StoreEra;
use crate::feed::SnapshotSender;
use crate::snapshot::FleetSnapshot;
use crate::snapshot::instance_key;
use crate::snapshot::leaving_key;
use crate::snapshot::witness_key;
use crate::support::LocalSupport;

/// Duration of the lease on the agent's record, in milliseconds. Other agents take the keys of a lost owner
/// only after the lease has expired, and the target is that every key is served again within 5 s.
pub const LEASE_MS: u64 = 3_500;
/// Time between renewals of the lease, in milliseconds: the lease outlasts the loss of two.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// Delay before the next attempt after an unconfirmed write, in milliseconds.
const CONFIRM_DELAY_MS: u64 = 200;

/// Longest time for which an agent grants keys after its last confirmed renewal, in milliseconds, while its
/// witnesses support it. Instances may be cut off from the store for 12 s on the deployments' days. Only the keys
/// of a lost owner whose witnesses can't be reached wait for the end of this time; all others are taken once
/// the witnesses deny the owner.
pub const AUTHORITY_MS: u64 = 20_000;
/// Margin for differences in clock rate and for answers in transit, in milliseconds.
pub const AUTHORITY_MARGIN_MS: u64 = 500;

/// How the stored record of this agent compares with the record to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordStatus {
    /// There is no record, or it was not written under the present lease.
    Absent,
    /// The record was written under the present lease, but the snapshot does not cover that write yet.
    Unconfirmed,
    /// The stored record has other contents.
    Outdated,
    /// The stored record has the right contents.
    Current,
}

/// Builds the agent's record from its present state.
pub type RecordFn = Rc<dyn Fn() -> InstanceRecord>;

/// Returns the backend server's incarnations of which this run of the agent knows that they leave or have left.
pub type LeavingFn = Rc<dyn Fn() -> Option<LeavingSet>>;

/// Whether the store's tables name the backend server as the owner of all that it holds.
pub type RestoredFn = Rc<dyn Fn(&FleetSnapshot) -> bool>;

/// The agent's membership in the fleet: its lease, its record and its authority to grant keys.
pub struct LocalMember {
    store: StoreClient,
    snapshot: Rc<SnapshotSender>,
    record: RecordFn,
    leaving: LeavingFn,
    support: Rc<LocalSupport>,
    node: Name,
    restored: RestoredFn,
    era: Rc<StoreEra>,
    changed: Notify,
    lease: Cell<GrantedLease>,
    /// Time until which the lease is certain to be in force.
    lease_until: Cell<Millis>,
    /// The last renewals of the present lease and of the one before.
    renewed: Cell<[RenewedLease; 2]>,
    written: Cell<WrittenRecord>,
    authority: Cell<EraAuthority>,
}

/// The lease and the revision of the last write of the record.
#[derive(Clone, Copy, Debug, Default)]
struct WrittenRecord {
    lease: GrantedLease,
    revision: u64,
}

/// A lease and the time until which its last renewal is certain to keep it in force.
#[derive(Clone, Copy, Debug, Default)]
struct RenewedLease {
    lease: GrantedLease,
    until: Millis,
}

impl LocalMember {
    /// Creates a membership without a lease or a record.
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
            leaving: Rc::new(|| None),
            support,
            node,
            restored: Rc::new(|_| true),
            era: Rc::default(),
            changed: Notify::new(),
            lease: Cell::default(),
            lease_until: Cell::new(Millis::default()),
            renewed: Cell::default(),
            written: Cell::default(),
            authority: Cell::default(),
        }
    }

    /// Sets the function that returns the backend server's incarnations that leave or have left. They are recorded
    /// beside the agent's record, and outlive both.
    #[must_use]
    pub fn with_leaving(mut self, leaving: LeavingFn) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets the function that tells whether the store's tables name the backend server as the owner of all that it
    /// holds.
    #[must_use]
    pub fn with_restored(mut self, restored: RestoredFn) -> Self {
        self.restored = restored;
        self
    }

    /// Sets the newest era that the store has stated to this agent.
    #[must_use]
    pub fn with_era(mut self, era: Rc<StoreEra>) -> Self {
        self.era = era;
        self
    }

    /// Returns until when the agent may grant keys; no other agent takes them before.
    ///
    /// After the store came back from an older copy, renewals count only once the store's tables name the owner again:
    /// other agents may give out by those tables as soon as the era is settled for them.
    #[must_use]
    pub fn authority(&self) -> Millis {
        let cap = {
            let snapshot = self.snapshot.borrow();
            let is_confirmed = snapshot.is_era_settled(clock::now()) || (self.restored)(&snapshot);
            self.authority.get().until(snapshot.era, is_confirmed)
        };
        self.support.authorized_until(cap)
    }

    /// Returns the lease of the agent's record, or `None` if there is none.
    #[must_use]
    pub fn lease_term(&self) -> Option<LeaseTerm> {
        let lease = self.lease.get();
        (lease.id != 0).then(|| LeaseTerm {
            lease: lease.id,
            until: self.lease_until.get(),
        })
    }

    /// Returns the lease of the agent's record if `era` granted it.
    #[must_use]
    pub fn lease_term_of(&self, era: u64) -> Option<LeaseTerm> {
        self.lease_term().filter(|_| self.lease.get().era == era)
    }

    /// Whether the lease that `era` granted under an id was certain to be in force at a time.
    #[must_use]
    pub fn was_in_force(&self, id: u64, era: u64, at: Millis) -> bool {
        let lease = GrantedLease { id, era };
        let mut renewed = self.renewed.get().into_iter();
        renewed.any(|renewed| renewed.lease == lease && at < renewed.until)
    }

    /// Records a renewal of the present lease.
    fn record_renewal(&self, until: Millis) {
        self.lease_until.set(until);
        let lease = self.lease.get();
        let [newest, before] = self.renewed.get();
        let before = if newest.lease == lease {
            before
        } else {
            newest
        };
        self.renewed.set([RenewedLease { lease, until }, before]);
    }

    /// Applies a commit of further records under the lease, whose expected revisions are of `era`. It is not sent, and
    /// counts as a conflict, if the store may be in another era by now; so does one that was applied in another era.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the store fails; the commit may take effect later all the same.
    pub async fn commit(&self, commit: &StoreCommit, era: u64) -> Result<CommitOutcome> {
        if !self.era.may_commit(clock::now(), era) {
            return Ok(CommitOutcome::Conflict);
        }
        let outcome = self.store.commit(commit).await?;
        let is_other_era =
            matches!(outcome, CommitOutcome::Applied { era: applied, .. } if applied != era);
        Ok(if is_other_era {
            CommitOutcome::Conflict
        } else {
            outcome
        })
    }

    /// Requests an immediate check of the record, since its contents have changed.
    pub fn request_update(&self) {
        self.changed.notify_one();
    }

    /// Renews the lease and updates the record periodically. Never returns.
    pub async fn run(&self) {
        let mut failures = 0;
        loop {
            let result = self.maintain().await;
            failures = if result.is_err() { failures + 1 } else { 0 };
            let wait_ms = match result {
                Ok(true) => RENEW_INTERVAL_MS,
                Ok(false) => CONFIRM_DELAY_MS,
                Err(error) => {
                    log::debug!("failed to maintain own record: {error}");
                    outage::retry_delay_ms(failures)
                }
            };
            let change = self.changed.notified();
            let _is_due = timeout(Duration::from_millis(wait_ms), change).await;
        }
    }

    /// Renews the lease and writes the record if it differs. Returns true if the lease is renewed and the
    /// record is current.
    ///
    /// # Errors
    ///
    /// Returns an error if a call to the store fails.
    async fn maintain(&self) -> Result<bool> {
        let sent_at = clock::now();
        if self.snapshot.borrow().revision == 0 {
            return Ok(false);
        }
        let lease = self.lease.get();
        if lease.id == 0 {
            self.lease.set(self.store.grant_lease(LEASE_MS).await?);
        } else if !self.store.renew_lease(lease).await? {
            log::info!("belief own lease={} era={} ended", lease.id, lease.era);
            self.lease.set(GrantedLease::default());
            return Ok(false);
        }
        if self.lease.get().era != self.snapshot.borrow().era {
            // The record is written once the feed has read the store's records in the era of the lease.
            return Ok(false);
        }
        self.record_renewal(sent_at.plus(LEASE_MS));
        let status = self.record_status();
        if status == RecordStatus::Unconfirmed {
            return Ok(false);
        }
        if status != RecordStatus::Absent {
            let (era, until) = (self.lease.get().era, sent_at.plus(AUTHORITY_MS));
            self.authority.set(self.authority.get().renewed(era, until));
            self.support.resolve_pending();
        }
        let set = self.support.replacement_set(clock::now());
        if status == RecordStatus::Current && set.is_none() {
            return Ok(true);
        }
        self.write(set).await
    }

    /// Compares the stored record with the one to be stored.
    ///
    /// No other agent takes the keys of this agent while its record is stored under the present lease. Keys
    /// taken before the record was written are known once the snapshot covers the revision of the write.
    fn record_status(&self) -> RecordStatus {
        let snapshot = self.snapshot.borrow();
        let written = self.written.get();
        let instance = snapshot
            .instances
            .get(&self.node)
            .filter(|instance| instance.lapsed.is_none());
        let is_bound = written.lease == self.lease.get();
        if is_bound && snapshot.revision < written.revision {
            return RecordStatus::Unconfirmed;
        }
        let Some(instance) = instance.filter(|_| is_bound) else {
            return RecordStatus::Absent;
        };
        if *instance.record == (self.record)() && self.unrecorded_leaving(&snapshot).is_none() {
            RecordStatus::Current
        } else {
            RecordStatus::Outdated
        }
    }

    /// Returns the backend server's incarnations that leave or have left if the store lacks some of them.
    fn unrecorded_leaving(&self, snapshot: &FleetSnapshot) -> Option<LeavingSet> {
        let local = (self.leaving)();
        let Some(recorded) = snapshot.leaving.get(&self.node) else {
            return local;
        };
        let known = recorded.incarnations.clone();
        let known = local.iter().fold(known, LeavingSet::merge);
        // A record that was lost with the store's last era is written again, also if the agent knows of the leaving only
        // from that record.
        let is_recorded = recorded.revision > 0 && recorded.incarnations == known;
        (!is_recorded).then_some(known)
    }

    /// Writes the record, the leaving of the backend server, and the set of witnesses if a new one is given.
    /// Returns false, since the write counts only once the snapshot shows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be written. Without an answer, either set may be the recorded one.
    async fn write(&self, set: Option<WitnessSet>) -> Result<bool> {
        let record = (self.record)();
        let (key, set_key) = (instance_key(&self.node), witness_key(&self.node));
        let (expected, leaving) = {
            let snapshot = self.snapshot.borrow();
            let instance = snapshot.instances.get(&self.node);
            let witnesses = snapshot.witnesses.get(&self.node);
            let expected = vec![
                (
                    Name::clone(&key),
                    instance.map_or(0, |instance| instance.revision),
                ),
                (
                    Name::clone(&set_key),
                    witnesses.map_or(0, |versioned| versioned.revision),
                ),
            ];
            (expected, self.unrecorded_leaving(&snapshot))
        };
        let (Ok(text), Ok(set_text), Ok(leaving_text)) = (
            serde_json::to_string(&record),
            set.as_ref().map(serde_json::to_string).transpose(),
            leaving.as_ref().map(serde_json::to_string).transpose(),
        ) else {
            log::error!("failed to encode own record");
            return Ok(false);
        };
        let own = StoreWrite {
            key,
            value: text.into(),
            lease: self.lease.get().id,
        };
        // The set is stored without a lease, since other agents need the witnesses of an owner whose record
        // has lapsed.
        let witnesses = set_text.map(|text| StoreWrite {
            key: set_key,
            value: text.into(),
            lease: 0,
        });
        // Only this instance's agent writes the leaving, so that it needs no precondition of its own.
        let leaving = leaving_text.map(|text| StoreWrite {
            key: leaving_key(&self.node),
            value: text.into(),
            lease: 0,
        });
        let writes = std::iter::once(own).chain(witnesses).chain(leaving);
        let commit = StoreCommit {
            expected,
            writes: writes.collect(),
            deletes: Vec::new(),
        };
        let epoch = set.as_ref().map(|set| set.epoch);
        if let Some(set) = set {
            self.support.propose(set);
        }
        let outcome = self.store.commit(&commit).await?;
        if let CommitOutcome::Applied { era, .. } = outcome
            && era != self.lease.get().era
        {
            // The lease and the expected revisions were those of an earlier era.
            self.lease.set(GrantedLease::default());
            return Ok(false);
        }
        match (outcome, epoch) {
            (CommitOutcome::Applied { .. }, Some(epoch)) => self.support.confirm(epoch),
            (CommitOutcome::Conflict | CommitOutcome::NoLease, Some(epoch)) => {
                self.support.withdraw(epoch);
            }
            (_, None) => {}
        }
        match outcome {
            CommitOutcome::Applied { revision, .. } => {
                log::info!("belief own record written revision={revision} witnesses={epoch:?}");
                let lease = self.lease.get();
                self.written.set(WrittenRecord { lease, revision });
            }
            CommitOutcome::Conflict => log::debug!("own record not written: conflicting write"),
            CommitOutcome::NoLease => self.lease.set(GrantedLease::default()),
        }
        Ok(false)
    }
}
