//! A store in memory for replays and tests: compare-and-swap and lists, with faults on demand.

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

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// It never arrives.
    LostCall,
    /// It takes effect and its answer is lost.
    LostAnswer,
    /// No answer comes, and a write arrives after the next call.
    LateCall,
}

/// Runs before the next call of a kind takes effect.
type CallHook = Box<dyn FnOnce()>;

/// What the store holds and what is to go wrong.
#[derive(Default)]
struct FakeState {
    records: BTreeMap<Name, Record>,
    revision: u64,
    writes: Vec<Record>,
    write_faults: Vec<StoreFault>,
    late: Vec<SwapCall>,
    down: bool,
    before_write: Option<CallHook>,
    before_list: Option<CallHook>,
}

/// A store in memory. Clones share it.
#[derive(Clone, Default)]
pub struct FakeStore {
    state: Rc<RefCell<FakeState>>,
}

impl FakeStore {
    /// Makes an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client of it.
    #[must_use]
    pub fn client(&self) -> StoreClient {
        let store = self.clone();
        let send: SendFn = Rc::new(move |path, body, _| {
            let answer = store.answer(path, &body);
            Box::pin(async move { answer })
        });
        StoreClient::with_send("fake".into(), send)
    }

    /// Sets what happens to the next writes, in order.
    pub fn fail_writes(&self, faults: &[StoreFault]) {
        self.state.borrow_mut().write_faults = faults.to_vec();
    }

    /// Takes the store down or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state.borrow_mut().down = down;
    }

    /// Runs `hook` before the next write takes effect, as another operator's change would come.
    pub fn before_write(&self, hook: impl FnOnce() + 'static) {
        self.state.borrow_mut().before_write = Some(Box::new(hook));
    }

    /// Runs `hook` before the next list is made.
    pub fn before_list(&self, hook: impl FnOnce() + 'static) {
        self.state.borrow_mut().before_list = Some(Box::new(hook));
    }

    /// Returns every write that took effect, in order.
    #[must_use]
    pub fn writes(&self) -> Vec<Record> {
        self.state.borrow().writes.clone()
    }

    /// Answers one call.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoAnswer`] as the faults ask for.
    fn answer(&self, path: &str, body: &str) -> Result<Vec<u8>> {
        if self.state.borrow().down {
            return Err(no_answer());
        }
        let answer = match path {
            LIST_PATH => self.list(&parse(body)),
            SWAP_PATH => self.swap(&parse(body)),
            _ => Err(no_answer()),
        };
        let late = std::mem::take(&mut self.state.borrow_mut().late);
        let deferred = path == SWAP_PATH && answer.is_err();
        match deferred {
            true => self.state.borrow_mut().late = late,
            false => late
                .iter()
                .for_each(|call| drop(self.state.borrow_mut().apply(call))),
        }
        answer
    }

    /// Lists by prefix.
    ///
    /// # Errors
    ///
    /// None; the type is that of the other calls.
    fn list(&self, call: &ListCall) -> Result<Vec<u8>> {
        let hook = self.state.borrow_mut().before_list.take();
        if let Some(hook) = hook {
            hook();
        }
        Ok(encode(&self.state.borrow().list(call)))
    }

    /// Takes a write as the next fault says.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoAnswer`] as the fault asks for.
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
            Some(StoreFault::LateCall) => {
                state.late.push(call.clone());
                Err(no_answer())
            }
        }
    }
}

impl FakeState {
    /// Lists by prefix.
    fn list(&self, call: &ListCall) -> RecordsAnswer {
        let has_prefix = |record: &&Record| record.key.starts_with(&*call.prefix);
        RecordsAnswer {
            records: self.records.values().filter(has_prefix).cloned().collect(),
            revision: self.revision,
        }
    }

    /// Writes if the revision is the expected one.
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

/// Says that no answer came.
fn no_answer() -> StoreError {
    StoreError::NoAnswer {
        store: "fake".into(),
        cause: "told to fail".into(),
    }
}

/// Parses a call.
///
/// # Panics
///
/// If the client sent something else.
fn parse<T: DeserializeOwned>(body: &str) -> T {
    serde_json::from_str(body).expect("the client sends calls of the protocol")
}

/// Writes an answer.
///
/// # Panics
///
/// Never: answers are plain data.
fn encode(answer: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(answer).expect("answers are plain data")
}
