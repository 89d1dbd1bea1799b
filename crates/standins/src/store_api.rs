//! The key-value service's calls over HTTP: the one module that knows its interface.

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
use jy_store::protocol::RecordsAnswer;
use jy_store::protocol::RenewAnswer;
use jy_store::protocol::RenewCall;
use jy_store::protocol::SWAP_PATH;
use jy_store::protocol::SwapAnswer;
use jy_store::protocol::SwapCall;
use jy_store::protocol::VALUE_LIMIT;
use jy_store::protocol::WATCH_PATH;
use jy_store::protocol::WatchCall;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::http;
use crate::http::HandleFn;
use crate::rate::RateLimit;
use crate::store_fault::COUNTS_PATH;
use crate::store_fault::CallCounts;
use crate::store_fault::FAULT_PATH;
use crate::store_fault::FaultState;
use crate::store_fault::Outage;
use crate::store_fault::StoreFault;
use crate::store_state::StoreState;

/// Time between looks for leases that are over, in milliseconds.
const LEASE_SWEEP_MS: u64 = 20;

/// A call without an answer is given up after this, in milliseconds.
const HANG_MS: u64 = 20_000;

/// Limits on the rate of calls.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Writes a second.
    pub writes: u32,
    /// Reads a second; a waiting watch counts as one.
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

/// Answer of a handler: either side is sent.
type Answer = Result<Response<BoxBody>, Response<BoxBody>>;

/// The service's state on its one thread.
struct StoreService {
    state: RefCell<StoreState>,
    faults: Cell<FaultState>,
    counts: Cell<CallCounts>,
    writes: RefCell<RateLimit>,
    reads: RefCell<RateLimit>,
    changed: watch::Sender<u64>,
}

/// Serves the key-value service until the process is told to stop.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve(listen: SocketAddr, limits: StoreLimits) -> std::io::Result<()> {
    http::serve("store", listen, move || handler(limits)).await
}

/// Makes the handler and starts the sweep of leases.
fn handler(limits: StoreLimits) -> HandleFn {
    let now = clock::now();
    let service = Rc::new(StoreService {
        state: RefCell::new(StoreState::new()),
        faults: Cell::default(),
        counts: Cell::default(),
        writes: RefCell::new(RateLimit::new(now, limits.writes)),
        reads: RefCell::new(RateLimit::new(now, limits.reads)),
        changed: watch::Sender::new(0),
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

/// Ends leases whose time is over, for ever.
async fn sweep_leases(service: Rc<StoreService>) {
    loop {
        sleep(Duration::from_millis(LEASE_SWEEP_MS)).await;
        let ended = service.state.borrow_mut().end_overdue(clock::now());
        if ended {
            service.notify();
        }
    }
}

impl StoreService {
    /// Answers a request.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn answer(&self, mut request: Request) -> Answer {
        let path = request.path().to_owned();
        match &*path {
            FAULT_PATH => return self.set_faults(&http::read_json(&mut request).await?),
            COUNTS_PATH => return Ok(http::answer_json(&self.read_counts())),
            _ => {}
        }
        self.suffer_faults().await?;
        match &*path {
            LIST_PATH => self.list(&http::read_json(&mut request).await?),
            WATCH_PATH => self.watch(http::read_json(&mut request).await?).await,
            SWAP_PATH => self.swap(&http::read_json(&mut request).await?).await,
            LEASE_GRANT_PATH => self.grant(&http::read_json(&mut request).await?).await,
            LEASE_RENEW_PATH => self.renew(&http::read_json(&mut request).await?).await,
            _ => Err(http::refuse(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    /// Changes the faults.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    fn set_faults(&self, command: &StoreFault) -> Answer {
        let mut faults = self.faults.get();
        faults.outage = command.outage.unwrap_or(faults.outage);
        faults.slow_ms = command.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = command.lose_answers.unwrap_or(faults.lose_answers);
        self.faults.set(faults);
        if command.forget_deletions {
            self.state.borrow_mut().forget_deletions();
        }
        let key = command.lapse_lease_of.as_ref();
        if key.is_some_and(|key| !self.state.borrow_mut().lapse_lease_of(key)) {
            return Err(http::refuse(StatusCode::NOT_FOUND, "the key has no lease"));
        }
        self.notify();
        Ok(http::answer_json(command))
    }

    /// Returns the counts of calls.
    fn read_counts(&self) -> CallCounts {
        CallCounts {
            revision: self.state.borrow().revision(),
            ..self.counts.get()
        }
    }

    /// Changes the counts of calls.
    fn count(&self, change: impl FnOnce(&mut CallCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Wakes waiting watches.
    fn notify(&self) {
        self.changed.send_replace(self.state.borrow().revision());
    }

    /// Delays or refuses a call as the faults in force have it.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn suffer_faults(&self) -> Result<(), Response<BoxBody>> {
        let faults = self.faults.get();
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        match self.faults.get().outage {
            Outage::None => Ok(()),
            Outage::Refuse => {
                self.count(|counts| counts.faulted += 1);
                Err(http::refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"))
            }
            Outage::Hang => Err(self.hang().await),
        }
    }

    /// Gives no answer for a long time.
    async fn hang(&self) -> Response<BoxBody> {
        self.count(|counts| counts.faulted += 1);
        sleep(Duration::from_millis(HANG_MS)).await;
        http::refuse(StatusCode::GATEWAY_TIMEOUT, "no answer")
    }

    /// Counts a call and refuses it if it is past the limit.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    fn admit(
        &self,
        limit: &RefCell<RateLimit>,
        change: impl FnOnce(&mut CallCounts),
    ) -> Result<(), Response<BoxBody>> {
        self.count(change);
        if limit.borrow_mut().take(clock::now()) {
            return Ok(());
        }
        self.count(|counts| counts.limited += 1);
        Err(http::refuse(
            StatusCode::TOO_MANY_REQUESTS,
            "too many calls",
        ))
    }

    /// Lists records.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    fn list(&self, call: &ListCall) -> Answer {
        self.admit(&self.reads, |counts| counts.lists += 1)?;
        let answer = self.state.borrow().list(&call.prefix);
        Ok(self.answer_records(&answer))
    }

    /// Waits for records.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn watch(&self, call: WatchCall) -> Answer {
        self.admit(&self.reads, |counts| counts.watches += 1)?;
        let mut changed = self.changed.subscribe();
        let wait = async {
            loop {
                changed.mark_unchanged();
                let found = self.state.borrow().changes(&call.prefix, call.after);
                let is_new = found.as_ref().is_none_or(|found| !found.records.is_empty());
                if is_new || changed.changed().await.is_err() {
                    return found;
                }
            }
        };
        let found = match timeout(Duration::from_millis(call.wait_ms), wait).await {
            Ok(found) => found,
            Err(_) => self.state.borrow().changes(&call.prefix, call.after),
        };
        self.suffer_faults().await?;
        let gone = || {
            http::refuse(
                StatusCode::GONE,
                "deletions are no longer known; list again",
            )
        };
        Ok(self.answer_records(&found.ok_or_else(gone)?))
    }

    /// Answers with records and counts their bytes.
    fn answer_records(&self, answer: &RecordsAnswer) -> Response<BoxBody> {
        let size = |value: &Option<jy_types::name::Name>| value.as_ref().map_or(0, |v| v.len());
        let bytes: usize = answer
            .records
            .iter()
            .map(|record| size(&record.value))
            .sum();
        self.count(|counts| counts.bytes_out += bytes as u64);
        http::answer_json(answer)
    }

    /// Writes a key.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn swap(&self, call: &SwapCall) -> Answer {
        self.admit(&self.writes, |counts| counts.swaps += 1)?;
        if call.value.as_ref().is_some_and(|v| v.len() > VALUE_LIMIT) {
            let text = "the value is past the limit";
            return Err(http::refuse(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        let answer = self.state.borrow_mut().swap(call);
        match answer {
            SwapAnswer::Swapped { .. } => self.notify(),
            SwapAnswer::Conflict { .. } => self.count(|counts| counts.conflicts += 1),
        }
        self.lose_answer().await?;
        Ok(http::answer_json(&answer))
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn grant(&self, call: &GrantCall) -> Answer {
        self.admit(&self.writes, |counts| counts.lease_grants += 1)?;
        let now = clock::now();
        let lease = self.state.borrow_mut().grant_lease(now, call.ttl_ms);
        self.lose_answer().await?;
        Ok(http::answer_json(&GrantAnswer { lease }))
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn renew(&self, call: &RenewCall) -> Answer {
        self.admit(&self.writes, |counts| counts.lease_renewals += 1)?;
        let now = clock::now();
        let renewed = self.state.borrow_mut().renew_lease(now, call.lease);
        self.lose_answer().await?;
        Ok(http::answer_json(&RenewAnswer { renewed }))
    }

    /// Loses the answer of a write that took effect, if that is commanded.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
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
