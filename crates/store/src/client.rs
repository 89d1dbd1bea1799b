//! Client of the key-value service: typed calls over a transport given as a closure.

use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use futures_util::future::LocalBoxFuture;
use jy_types::name::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::protocol::GrantAnswer;
use crate::protocol::GrantCall;
use crate::protocol::LEASE_GRANT_PATH;
use crate::protocol::LEASE_RENEW_PATH;
use crate::protocol::LIST_PATH;
use crate::protocol::ListCall;
use crate::protocol::MAX_VALUE_BYTES;
use crate::protocol::RecordsAnswer;
use crate::protocol::RenewAnswer;
use crate::protocol::RenewCall;
use crate::protocol::SWAP_PATH;
use crate::protocol::SwapAnswer;
use crate::protocol::SwapCall;
use crate::protocol::WATCH_PATH;
use crate::protocol::WatchCall;

/// Timeout of a call, in addition to the wait of a watch.
const CALL_TIMEOUT_MS: u64 = 1_500;

const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Largest status that HTTP defines.
const MAX_STATUS: u16 = 599;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No answer was received; a write may have taken effect.
    #[error("the store at {store} did not answer: {cause}; check its address and that it is up")]
    NoAnswer {
        /// Address of the store.
        store: Name,
        /// Error of the connection.
        cause: Name,
    },
    /// The store refused the call, which did not take effect.
    #[error("the store at {store} refused the call with status {status}")]
    Refused {
        /// Address of the store.
        store: Name,
        /// HTTP status.
        status: u16,
    },
    /// The call could not be encoded, or its answer could not be parsed; a write may have taken effect.
    #[error("cannot encode a call to the store at {store} or parse its answer: {cause}")]
    Malformed {
        /// Address of the store.
        store: Name,
        /// Error of the encoder or parser.
        cause: Name,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`]; nothing was sent.
    #[error("the value of {key} has {bytes} bytes and exceeds the limit of {MAX_VALUE_BYTES}")]
    TooLarge {
        /// Key of the record.
        key: Name,
        /// Size of the value.
        bytes: usize,
    },
}

/// Sends one call, given its path, body and timeout in milliseconds, and returns the body of the answer.
pub type SendFn = Rc<dyn Fn(&'static str, String, u64) -> LocalBoxFuture<'static, Result<Vec<u8>>>>;

/// Outcome of a write. If its answer was lost, the outcome is derived from the current record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write took effect.
    Applied {
        /// Revision that the store gave the write.
        revision: u64,
    },
    /// Another write came first. If the answer was lost, the other write may also have replaced this one.
    Conflict {
        /// Value of the current record; none if the key is absent or deleted.
        current: Option<Name>,
        /// Revision of the current record; zero without a record.
        revision: u64,
    },
}

/// Client of the platform's key-value service.
#[derive(Clone)]
pub struct StoreClient {
    address: Name,
    send: SendFn,
}

impl StoreClient {
    /// Creates a client that calls the store at `address` (IP and port) over HTTP.
    #[must_use]
    pub fn new(address: &str) -> Self {
        let address: Name = address.into();
        let client = Client::default();
        let target = Name::clone(&address);
        let send: SendFn = Rc::new(move |path, body, wait_ms| {
            Box::pin(post(
                client.clone(),
                Name::clone(&target),
                path,
                body,
                wait_ms,
            ))
        });
        Self::with_send(address, send)
    }

    /// Creates a client that sends its calls through `send`. The address only appears in errors.
    #[must_use]
    pub fn with_send(address: Name, send: SendFn) -> Self {
        Self { address, send }
    }

    /// Lists the records whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call fails.
    pub async fn list(&self, prefix: &str) -> Result<RecordsAnswer> {
        let call = ListCall {
            prefix: prefix.into(),
        };
        self.call(LIST_PATH, &call, 0).await
    }

    /// Waits up to `wait_ms` milliseconds for records newer than `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call fails. [`StoreError::Refused`] with status 410 means that the records must be
    /// listed again.
    pub async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<RecordsAnswer> {
        let call = WatchCall {
            prefix: prefix.into(),
            after,
            wait_ms,
        };
        self.call(WATCH_PATH, &call, wait_ms).await
    }

    /// Writes a key by compare-and-swap. If the answer is lost, reads the record back and compares its value,
    /// which contains a token of the writer, instead of writing again.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call fails. After [`StoreError::NoAnswer`] and [`StoreError::Malformed`] the write
    /// may have taken effect; also after [`StoreError::Refused`] if the answer was lost and the store refused
    /// the read.
    pub async fn swap(&self, call: &SwapCall) -> Result<SwapOutcome> {
        if let Some(value) = call
            .value
            .as_ref()
            .filter(|value| value.len() > MAX_VALUE_BYTES)
        {
            return Err(StoreError::TooLarge {
                key: call.key.clone(),
                bytes: value.len(),
            });
        }
        match self.call::<SwapAnswer>(SWAP_PATH, call, 0).await {
            Ok(SwapAnswer::Swapped { revision }) => Ok(SwapOutcome::Applied { revision }),
            Ok(SwapAnswer::Conflict { current }) => Ok(conflict(current)),
            Err(StoreError::Refused { store, status }) => {
                Err(StoreError::Refused { store, status })
            }
            Err(_) => self.read_back(call).await,
        }
    }

    /// Finds out whether a write whose answer was lost took effect.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the record cannot be read, or [`StoreError::NoAnswer`] if it still has the expected
    /// revision, since the write may arrive later.
    async fn read_back(&self, call: &SwapCall) -> Result<SwapOutcome> {
        let answer = self.list(&call.key).await?;
        let current = answer
            .records
            .into_iter()
            .find(|record| record.key == call.key);
        let revision = current.as_ref().map_or(0, |record| record.revision);
        let value = current.as_ref().and_then(|record| record.value.clone());
        if revision != call.expect && value == call.value {
            return Ok(SwapOutcome::Applied { revision });
        }
        if revision == call.expect {
            return Err(StoreError::NoAnswer {
                store: self.address.clone(),
                cause: "the write has not taken effect yet".into(),
            });
        }
        Ok(conflict(current))
    }

    /// Requests a lease that expires `ttl_ms` milliseconds after its last renewal.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call fails.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64> {
        let answer: GrantAnswer = self
            .call(LEASE_GRANT_PATH, &GrantCall { ttl_ms }, 0)
            .await?;
        Ok(answer.lease)
    }

    /// Renews a lease. Returns false if the lease has expired.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call fails.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool> {
        let answer: RenewAnswer = self.call(LEASE_RENEW_PATH, &RenewCall { lease }, 0).await?;
        Ok(answer.renewed)
    }

    /// Encodes and sends a call, and parses its answer.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the call fails or its answer cannot be parsed.
    async fn call<T: DeserializeOwned>(
        &self,
        path: &'static str,
        call: &impl Serialize,
        wait_ms: u64,
    ) -> Result<T> {
        let malformed = |cause: serde_json::Error| StoreError::Malformed {
            store: self.address.clone(),
            cause: cause.to_string().into(),
        };
        let body = serde_json::to_string(call).map_err(malformed)?;
        let answer = (self.send)(path, body, wait_ms.saturating_add(CALL_TIMEOUT_MS)).await?;
        serde_json::from_slice(&answer).map_err(malformed)
    }
}

/// Returns the conflict of a write with the current record.
fn conflict(current: Option<jy_types::record::Record>) -> SwapOutcome {
    SwapOutcome::Conflict {
        revision: current.as_ref().map_or(0, |record| record.revision),
        current: current.and_then(|record| record.value),
    }
}

/// Sends one call over HTTP.
///
/// # Errors
///
/// [`StoreError::NoAnswer`] if the exchange fails or HTTP does not define the status, [`StoreError::Refused`] if the status
/// is not 200.
async fn post(
    client: Client,
    store: Name,
    path: &'static str,
    body: String,
    wait_ms: u64,
) -> Result<Vec<u8>> {
    let no_answer = |cause: String| StoreError::NoAnswer {
        store: store.clone(),
        cause: cause.into(),
    };
    let mut response = client
        .post(format!("http://{store}{path}"))
        .timeout(Duration::from_millis(wait_ms))
        .insert_header(("content-type", "application/json"))
        .send_body(body)
        .await
        .map_err(|cause| no_answer(cause.to_string()))?;
    let status = response.status().as_u16();
    if status > MAX_STATUS {
        return Err(no_answer(format!(
            "the answer has the undefined status {status}"
        )));
    }
    if status != 200 {
        return Err(StoreError::Refused { store, status });
    }
    let bytes = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|cause| no_answer(cause.to_string()))?;
    Ok(bytes.to_vec())
}
