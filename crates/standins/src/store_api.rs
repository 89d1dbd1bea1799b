//! HTTP interface of the key-value service; no other module depends on its paths and calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use jy_kernel::clock;
use jy_store::protocol::GrantAnswer;
use jy_store::protocol::GrantCall;
use jy_store::protocol::LEASE_GRANT_PATH;
use jy_store::protocol::LEASE_RENEW_PATH;
use jy_store::protocol::LIST_PATH;
use jy_store::protocol::ListCall;
use jy_store::protocol::MAX_VALUE_BYTES;
use jy_store::protocol::RecordsAnswer;
use jy_store::protocol::RenewAnswer;
use jy_store::protocol::RenewCall;
use jy_store::protocol::SWAP_PATH;
use jy_store::protocol::SwapAnswer;
use jy_store::protocol::SwapCall;
use jy_store::protocol::WATCH_PATH;
use jy_store::protocol::WatchCall;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::http;
use crate::http::Handler;
use crate::rate::RateLimit;
use crate::store_fault::COUNTS_PATH;
use crate::store_fault::CallCounts;
use crate::store_fault::FAULT_PATH;
use crate::store_fault::FaultState;
use crate::store_fault::Outage;
use crate::store_fault::StoreFault;
use crate::store_state::StoreState;

const LEASE_SWEEP_INTERVAL_MS: u64 = 20;

/// Time after which a call that a fault leaves hanging ends with status 504.
const HANG_MS: u64 = 20_000;

/// Limits on the rate of calls, from the command line.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Writes per second.
    pub writes: u32,
    /// Reads per second; a waiting watch counts as one.
    pub reads: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            writes: 300,
            reads: 2_000,
        }
    }
}

/// Answer of a handler; both variants are sent to the client.
type Answer = Result<Response<BoxBody>, Response<BoxBody>>;

/// State of the service; used by a single thread.
struct StoreService {
    state: RefCell<StoreState>,
    faults: Cell<FaultState>,
    counts: Cell<CallCounts>,
    write_limit: RefCell<RateLimit>,
    read_limit: RefCell<RateLimit>,
    revision_updates: watch::Sender<u64>,
}

/// Serves the key-value service until the process is told to stop.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve(listen: SocketAddr, limits: StoreLimits) -> std::io::Result<()> {
    http::serve("store", listen, move || handler(limits)).await
}

/// Makes the request handler and starts the task that ends expired leases.
fn handler(limits: StoreLimits) -> Handler {
    let now = clock::now();
    let service = Rc::new(StoreService {
        state: RefCell::new(StoreState::new()),
        faults: Cell::default(),
        counts: Cell::default(),
        write_limit: RefCell::new(RateLimit::new(now, limits.writes)),
        read_limit: RefCell::new(RateLimit::new(now, limits.reads)),
        revision_updates: watch::Sender::new(0),
    });
    actix_rt::spawn(sweep_leases(Rc::clone(&service)));
    Rc::new(move |request| {
        let service = Rc::clone(&service);
        Box::pin(async move {
            service
                .answer(request)
                .await
                .unwrap_or_else(|answer| answer)
        })
    })
}

/// Ends expired leases periodically, without end.
async fn sweep_leases(service: Rc<StoreService>) {
    loop {
        sleep(Duration::from_millis(LEASE_SWEEP_INTERVAL_MS)).await;
        let is_changed = service.state.borrow_mut().end_expired_leases(clock::now());
        if is_changed {
            service.wake_watches();
        }
    }
}

impl StoreService {
    /// Answers a call, or an admin request, which no fault affects.
    ///
    /// # Errors
    ///
    /// The answer to a call that is refused or that a fault ends.
    async fn answer(&self, mut request: Request) -> Answer {
        let path = request.path().to_owned();
        match &*path {
            FAULT_PATH => return self.set_faults(&http::read_json(&mut request).await?),
            COUNTS_PATH => return Ok(http::answer_json(&self.read_counts())),
            _ => {}
        }
        self.apply_faults().await?;
        match &*path {
            LIST_PATH => self.list(&http::read_json(&mut request).await?),
            WATCH_PATH => self.watch(http::read_json(&mut request).await?).await,
            SWAP_PATH => self.swap(&http::read_json(&mut request).await?).await,
            LEASE_GRANT_PATH => self.grant(&http::read_json(&mut request).await?).await,
            LEASE_RENEW_PATH => self.renew(&http::read_json(&mut request).await?).await,
            _ => Err(http::answer_text(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    /// Applies a fault command and echoes it.
    ///
    /// # Errors
    ///
    /// The answer to send if the command names a key without a lease.
    fn set_faults(&self, command: &StoreFault) -> Answer {
        let mut faults = self.faults.get();
        faults.outage = command.outage.unwrap_or(faults.outage);
        faults.slow_ms = command.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = command.lose_answers.unwrap_or(faults.lose_answers);
        self.faults.set(faults);
        if command.forget_deletions {
            self.state.borrow_mut().discard_deletions();
        }
        let key = command.lapse_lease_of.as_ref();
        if key.is_some_and(|key| !self.state.borrow_mut().end_lease_of(key)) {
            return Err(http::answer_text(
                StatusCode::NOT_FOUND,
                "the key has no lease",
            ));
        }
        self.wake_watches();
        Ok(http::answer_json(command))
    }

    /// Returns the counters and the current revision.
    fn read_counts(&self) -> CallCounts {
        CallCounts {
            revision: self.state.borrow().revision(),
            ..self.counts.get()
        }
    }

    /// Updates the counters.
    fn update_counts(&self, update: impl FnOnce(&mut CallCounts)) {
        let mut counts = self.counts.get();
        update(&mut counts);
        self.counts.set(counts);
    }

    /// Wakes all waiting watches.
    fn wake_watches(&self) {
        self.revision_updates
            .send_replace(self.state.borrow().revision());
    }

    /// Delays or refuses a call if a fault in effect demands it.
    ///
    /// # Errors
    ///
    /// The answer to send under an outage.
    async fn apply_faults(&self) -> Result<(), Response<BoxBody>> {
        let faults = self.faults.get();
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        match self.faults.get().outage {
            Outage::None => Ok(()),
            Outage::Refuse => {
                self.update_counts(|counts| counts.faulted += 1);
                Err(http::answer_text(StatusCode::SERVICE_UNAVAILABLE, "outage"))
            }
            Outage::Hang => Err(self.hang().await),
        }
    }

    /// Leaves a call without an answer for [`HANG_MS`].
    async fn hang(&self) -> Response<BoxBody> {
        self.update_counts(|counts| counts.faulted += 1);
        sleep(Duration::from_millis(HANG_MS)).await;
        http::answer_text(StatusCode::GATEWAY_TIMEOUT, "no answer")
    }

    /// Counts a call and refuses it if it exceeds the rate limit.
    ///
    /// # Errors
    ///
    /// The answer to send if the rate limit is exceeded.
    fn admit(
        &self,
        limit: &RefCell<RateLimit>,
        count: impl FnOnce(&mut CallCounts),
    ) -> Result<(), Response<BoxBody>> {
        self.update_counts(count);
        if limit.borrow_mut().try_acquire(clock::now()) {
            return Ok(());
        }
        self.update_counts(|counts| counts.limited += 1);
        Err(http::answer_text(
            StatusCode::TOO_MANY_REQUESTS,
            "too many calls",
        ))
    }

    /// Answers with all records of a prefix.
    ///
    /// # Errors
    ///
    /// The answer to send if the rate limit is exceeded.
    fn list(&self, call: &ListCall) -> Answer {
        self.admit(&self.read_limit, |counts| counts.lists += 1)?;
        let answer = self.state.borrow().list(&call.prefix);
        Ok(self.answer_records(&answer))
    }

    /// Answers with the changes after a revision; if there are none yet, waits for one for up to the time that
    /// the call states.
    ///
    /// # Errors
    ///
    /// The answer to send if the rate limit is exceeded, an outage begins or deletions after the revision have
    /// been discarded.
    async fn watch(&self, call: WatchCall) -> Answer {
        self.admit(&self.read_limit, |counts| counts.watches += 1)?;
        let mut updates = self.revision_updates.subscribe();
        let wait = async {
            loop {
                updates.mark_unchanged();
                let found = self.state.borrow().changes(&call.prefix, call.after);
                let is_new = found.as_ref().is_none_or(|found| !found.records.is_empty());
                if is_new || updates.changed().await.is_err() {
                    return found;
                }
            }
        };
        let found = match timeout(Duration::from_millis(call.wait_ms), wait).await {
            Ok(found) => found,
            Err(_) => self.state.borrow().changes(&call.prefix, call.after),
        };
        self.apply_faults().await?;
        let gone_answer = || {
            http::answer_text(
                StatusCode::GONE,
                "deletions are no longer known; list again",
            )
        };
        Ok(self.answer_records(&found.ok_or_else(gone_answer)?))
    }

    /// Builds an answer with records and counts the bytes of their values.
    fn answer_records(&self, answer: &RecordsAnswer) -> Response<BoxBody> {
        let size = |value: &Option<jy_types::name::Name>| value.as_ref().map_or(0, |v| v.len());
        let bytes: usize = answer
            .records
            .iter()
            .map(|record| size(&record.value))
            .sum();
        self.update_counts(|counts| counts.bytes_out += bytes as u64);
        http::answer_json(answer)
    }

    /// Writes or deletes a key if its revision is the expected one.
    ///
    /// # Errors
    ///
    /// The answer to send if the rate limit is exceeded, the value is too large or the answer is to be lost.
    async fn swap(&self, call: &SwapCall) -> Answer {
        self.admit(&self.write_limit, |counts| counts.swaps += 1)?;
        if call
            .value
            .as_ref()
            .is_some_and(|v| v.len() > MAX_VALUE_BYTES)
        {
            let text = "the value is past the limit";
            return Err(http::answer_text(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        let answer = self.state.borrow_mut().swap(call);
        match answer {
            SwapAnswer::Swapped { .. } => self.wake_watches(),
            SwapAnswer::Conflict { .. } => self.update_counts(|counts| counts.conflicts += 1),
        }
        self.lose_answer().await?;
        Ok(http::answer_json(&answer))
    }

    /// Grants a lease, not yet bound to a key.
    ///
    /// # Errors
    ///
    /// The answer to send if the rate limit is exceeded or the answer is to be lost.
    async fn grant(&self, call: &GrantCall) -> Answer {
        self.admit(&self.write_limit, |counts| counts.lease_grants += 1)?;
        let now = clock::now();
        let lease = self.state.borrow_mut().grant_lease(now, call.ttl_ms);
        self.lose_answer().await?;
        Ok(http::answer_json(&GrantAnswer { lease }))
    }

    /// Renews a lease; the answer states whether it had not ended.
    ///
    /// # Errors
    ///
    /// The answer to send if the rate limit is exceeded or the answer is to be lost.
    async fn renew(&self, call: &RenewCall) -> Answer {
        self.admit(&self.write_limit, |counts| counts.lease_renewals += 1)?;
        let now = clock::now();
        let renewed = self.state.borrow_mut().renew_lease(now, call.lease);
        self.lose_answer().await?;
        Ok(http::answer_json(&RenewAnswer { renewed }))
    }

    /// Leaves a write that took effect without an answer, if the faults demand it.
    ///
    /// # Errors
    ///
    /// The answer that ends the call after [`HANG_MS`].
    async fn lose_answer(&self) -> Result<(), Response<BoxBody>> {
        let mut faults = self.faults.get();
        if faults.lose_answers == 0 {
            return Ok(());
        }
        faults.lose_answers -= 1;
        self.faults.set(faults);
        Err(self.hang().await)
    }
}
