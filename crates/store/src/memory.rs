//! In-memory store for replays and tests: supports compare-and-swap and lists, with injected faults.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::client::Result;
use crate::client::SendFn;
use crate::client::StoreClient;
use crate::client::StoreError;
use crate::protocol::LIST_PATH;
use crate::protocol::ListCall;
use crate::protocol::RecordsAnswer;
use crate::protocol::SWAP_PATH;
use crate::protocol::SwapAnswer;
use crate::protocol::SwapCall;
use jy_types::name::Name;
use jy_types::record::Record;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Fault injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// The call does not reach the store.
    LostCall,
    /// The call takes effect, but its answer is lost.
    LostAnswer,
    /// No answer is sent, and the write takes effect after the next call other than a failed write.
    #[serde(rename = "late_call")]
    DelayedCall,
}

/// Function that runs once, before the next call of a kind takes effect.
type CallHook = Box<dyn FnOnce()>;

/// Contents of the store and faults to inject.
#[derive(Default)]
struct FakeState {
    records: BTreeMap<Name, Record>,
    revision: u64,
    writes: Vec<Record>,
    write_faults: Vec<StoreFault>,
    delayed_writes: Vec<SwapCall>,
    is_down: bool,
    before_write: Option<CallHook>,
    before_list: Option<CallHook>,
}

/// In-memory store. Clones share their contents.
#[derive(Clone, Default)]
pub struct FakeStore {
    state: Rc<RefCell<FakeState>>,
}

impl FakeStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client of the store.
    #[must_use]
    pub fn client(&self) -> StoreClient {
        let store = self.clone();
        let send: SendFn = Rc::new(move |path, body, _| {
            let answer = store.answer(path, &body);
            Box::pin(async move { answer })
        });
        StoreClient::with_send("fake".into(), send)
    }

    /// Injects faults into the next writes, in order.
    pub fn fail_writes(&self, faults: &[StoreFault]) {
        self.state.borrow_mut().write_faults = faults.to_vec();
    }

    /// Sets whether the store is down; while it is, no call is answered or takes effect.
    pub fn set_down(&self, is_down: bool) {
        self.state.borrow_mut().is_down = is_down;
    }

    /// Runs `hook` before the next write takes effect, to simulate a concurrent change by another operator.
    pub fn before_write(&self, hook: impl FnOnce() + 'static) {
        self.state.borrow_mut().before_write = Some(Box::new(hook));
    }

    /// Runs `hook` before the next list is answered.
    pub fn before_list(&self, hook: impl FnOnce() + 'static) {
        self.state.borrow_mut().before_list = Some(Box::new(hook));
    }

    /// Returns every write that took effect, in order.
    #[must_use]
    pub fn writes(&self) -> Vec<Record> {
        self.state.borrow().writes.clone()
    }

    /// Handles one call and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoAnswer`] if the store is down, the path is not supported or a fault is injected.
    fn answer(&self, path: &str, body: &str) -> Result<Vec<u8>> {
        if self.state.borrow().is_down {
            return Err(no_answer());
        }
        let answer = match path {
            LIST_PATH => self.list(&parse(body)),
            SWAP_PATH => self.swap(&parse(body)),
            _ => Err(no_answer()),
        };
        let delayed_writes = std::mem::take(&mut self.state.borrow_mut().delayed_writes);
        let is_failed_write = path == SWAP_PATH && answer.is_err();
        match is_failed_write {
            true => self.state.borrow_mut().delayed_writes = delayed_writes,
            false => delayed_writes
                .iter()
                .for_each(|call| drop(self.state.borrow_mut().apply(call))),
        }
        answer
    }

    /// Handles a list.
    ///
    /// # Errors
    ///
    /// Never: the result has the type of the other calls.
    fn list(&self, call: &ListCall) -> Result<Vec<u8>> {
        let hook = self.state.borrow_mut().before_list.take();
        if let Some(hook) = hook {
            hook();
        }
        Ok(encode(&self.state.borrow().list(call)))
    }

    /// Handles a write, with the next fault injected.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoAnswer`] if a fault is injected.
    fn swap(&self, call: &SwapCall) -> Result<Vec<u8>> {
        let hook = self.state.borrow_mut().before_write.take();
        if let Some(hook) = hook {
            hook();
        }
        let mut state = self.state.borrow_mut();
        let fault = match state.write_faults.is_empty() {
            true => None,
            false => Some(state.write_faults.remove(0)),
        };
        match fault {
            None => Ok(encode(&state.apply(call))),
            Some(StoreFault::LostCall) => Err(no_answer()),
            Some(StoreFault::LostAnswer) => {
                state.apply(call);
                Err(no_answer())
            }
            Some(StoreFault::DelayedCall) => {
                state.delayed_writes.push(call.clone());
                Err(no_answer())
            }
        }
    }
}

impl FakeState {
    /// Returns the records whose keys begin with the prefix.
    fn list(&self, call: &ListCall) -> RecordsAnswer {
        let has_prefix = |record: &&Record| record.key.starts_with(&*call.prefix);
        RecordsAnswer {
            records: self.records.values().filter(has_prefix).cloned().collect(),
            revision: self.revision,
        }
    }

    /// Applies the write if the current revision is the expected one.
    fn apply(&mut self, call: &SwapCall) -> SwapAnswer {
        let current = self.records.get(&call.key).cloned();
        if current.as_ref().map_or(0, |record| record.revision) != call.expect {
            return SwapAnswer::Conflict { current };
        }
        self.revision += 1;
        let record = Record {
            key: call.key.clone(),
            revision: self.revision,
            value: call.value.clone(),
        };
        self.writes.push(record.clone());
        self.records.insert(call.key.clone(), record);
        SwapAnswer::Swapped {
            revision: self.revision,
        }
    }
}

/// Returns the error of a call that is not answered.
fn no_answer() -> StoreError {
    StoreError::NoAnswer {
        store: "fake".into(),
        cause: "injected fault".into(),
    }
}

/// Parses the body of a call.
///
/// # Panics
///
/// If the body is not a call of type `T`.
fn parse<T: DeserializeOwned>(body: &str) -> T {
    serde_json::from_str(body).expect("the client sends valid calls")
}

/// Encodes an answer.
///
/// # Panics
///
/// Never: answers can always be encoded as JSON.
fn encode(answer: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(answer).expect("answers can be encoded as JSON")
}
