//! Typed calls over a connection that a closure makes.

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
use crate::protocol::RecordsAnswer;
use crate::protocol::RenewAnswer;
use crate::protocol::RenewCall;
use crate::protocol::SWAP_PATH;
use crate::protocol::SwapAnswer;
use crate::protocol::SwapCall;
use crate::protocol::VALUE_LIMIT;
use crate::protocol::WATCH_PATH;
use crate::protocol::WatchCall;

/// Longest wait for an answer, in milliseconds, on top of a watch's own wait.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Result of this module.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No answer came: a write may have taken effect.
    #[error("the store at {store} did not answer: {cause}; check its address and that it is up")]
    NoAnswer {
        /// Address of the store.
        store: Name,
        /// What the connection said.
        cause: Name,
    },
    /// The store refused the call; it did not take effect.
    #[error("the store at {store} refused the call with status {status}")]
    Refused {
        /// Address of the store.
        store: Name,
        /// HTTP status.
        status: u16,
    },
    /// The answer is not what the call asks for: a write may have taken effect.
    #[error("the answer of the store at {store} is not understood: {cause}")]
    Malformed {
        /// Address of the store.
        store: Name,
        /// What the parser found.
        cause: Name,
    },
    /// The value is past the store's limit; nothing was sent.
    #[error("the value of {key} has {bytes} bytes, past the limit of {VALUE_LIMIT}")]
    TooLarge {
        /// The key.
        key: Name,
        /// Its size.
        bytes: usize,
    },
}

/// Sends one call: path, body and longest wait in milliseconds; returns the answer's body.
pub type SendFn = Rc<dyn Fn(&'static str, String, u64) -> LocalBoxFuture<'static, Result<Vec<u8>>>>;

/// How a write ended, its own doubt resolved as far as the store allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// It took effect.
    Applied {
        /// The store's revision of the write.
        revision: u64,
    },
    /// Another write came first; what stands now.
    Conflict {
        /// The current record's value, or none.
        current: Option<Name>,
        /// Its revision; zero without a record.
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
    /// Makes a client of the store at `address` (IP and port) over HTTP.
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

    /// Makes a client that sends its calls by `send`.
    #[must_use]
    pub fn with_send(address: Name, send: SendFn) -> Self {
        Self { address, send }
    }

    /// Lists records by prefix.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
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
    /// [`StoreError`]; status 410 asks for a new list.
    pub async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<RecordsAnswer> {
        let call = WatchCall {
            prefix: prefix.into(),
            after,
            wait_ms,
        };
        self.call(WATCH_PATH, &call, wait_ms).await
    }

    /// Writes a key by compare-and-swap. When the answer is lost, reads back and compares the
    /// value, which carries a token of the writer, instead of writing again.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; after [`StoreError::NoAnswer`] the write may have taken effect.
    pub async fn swap(&self, call: &SwapCall) -> Result<SwapOutcome> {
        if let Some(value) = call
            .value
            .as_ref()
            .filter(|value| value.len() > VALUE_LIMIT)
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
    /// [`StoreError`].
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
                cause: "the write has not taken effect so far".into(),
            });
        }
        Ok(conflict(current))
    }

    /// Grants a lease that ends `ttl_ms` milliseconds after its last renewal.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64> {
        let answer: GrantAnswer = self
            .call(LEASE_GRANT_PATH, &GrantCall { ttl_ms }, 0)
            .await?;
        Ok(answer.lease)
    }

    /// Renews a lease; false if it has ended.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn renew_lease(&self, lease: u64) -> Result<bool> {
        let answer: RenewAnswer = self.call(LEASE_RENEW_PATH, &RenewCall { lease }, 0).await?;
        Ok(answer.renewed)
    }

    /// Sends a call and parses its answer.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
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

/// Describes what stands in the way of a write.
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
/// [`StoreError::NoAnswer`] or [`StoreError::Refused`].
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
    if status != 200 {
        return Err(StoreError::Refused { store, status });
    }
    let bytes = response
        .body()
        .limit(ANSWER_LIMIT)
        .await
        .map_err(|cause| no_answer(cause.to_string()))?;
    Ok(bytes.to_vec())
}
