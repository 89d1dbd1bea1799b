//! Accepts a configuration by compare-and-swap on the revision that the operator saw.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use jy_store::client::StoreClient;
use jy_store::client::StoreError;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use jy_types::name::Name;
use jy_types::record::workspace_key;
use jy_types::workspace::AcceptNote;
use jy_types::workspace::WorkspaceRecord;

use crate::clock;
use crate::error::CtlError;
use crate::error::Result;

/// Attempts at a write whose answer is lost before it is given up.
const WRITE_ATTEMPTS: u32 = 5;

/// Time between them, in milliseconds.
const RETRY_PAUSE_MS: u64 = 300;

/// Waits for a number of milliseconds.
pub type PauseFn = Rc<dyn Fn(u64) -> LocalBoxFuture<'static, ()>>;

/// Who changes something, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeAuthor {
    /// Name.
    pub name: Name,
    /// Why, in the author's words.
    pub note: Option<Name>,
}

/// A workspace as the store has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedState {
    /// The record, or none.
    pub record: Option<WorkspaceRecord>,
    /// The store's revision of the record; zero without one.
    pub revision: u64,
}

/// How an accept ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// It is accepted at this revision.
    Accepted {
        /// The store's revision of the write.
        revision: u64,
    },
    /// Another change came first; nothing was written.
    Lost {
        /// What stands now.
        current: AcceptedState,
    },
    /// Several changes came since the base. Nothing was written, unless an answer was lost: then
    /// the record may have been in force before the newest change replaced it.
    Overtaken {
        /// What stands now.
        current: AcceptedState,
    },
}

/// Reads what is accepted for a workspace.
///
/// # Errors
///
/// [`CtlError::Store`], or [`CtlError::Refused`] if the record is not understood.
pub async fn read(store: &StoreClient, name: &str) -> Result<AcceptedState> {
    let key = workspace_key(name);
    let answer = store.list(&key).await?;
    let found = answer.records.into_iter().find(|record| record.key == key);
    let Some(record) = found else {
        return Ok(AcceptedState::default());
    };
    state(name, record.value, record.revision)
}

/// Reads every accepted workspace.
///
/// # Errors
///
/// As [`read`].
pub async fn read_all(store: &StoreClient) -> Result<Vec<AcceptedState>> {
    let prefix = workspace_key("");
    let answer = store.list(&prefix).await?;
    answer
        .records
        .into_iter()
        .filter(|record| record.value.is_some())
        .map(|record| {
            let name = record.key.trim_start_matches(&*prefix);
            state(name, record.value.clone(), record.revision)
        })
        .collect()
}

/// Parses a stored workspace.
///
/// # Errors
///
/// [`CtlError::Refused`] if it is not understood.
fn state(name: &str, value: Option<Name>, revision: u64) -> Result<AcceptedState> {
    let parse = |text: Name| {
        serde_json::from_str(&text).map_err(|cause| {
            let message = format!("workspace {name:?} in the store is not understood: {cause}");
            CtlError::refused(message, "it was written by another version; use its jyctl")
        })
    };
    Ok(AcceptedState {
        record: value.map(parse).transpose()?,
        revision,
    })
}

/// Returns a record ready to be written over `base`: with a fresh token and its author.
#[must_use]
pub fn sign(mut record: WorkspaceRecord, base: u64, author: &ChangeAuthor) -> WorkspaceRecord {
    record.token = clock::fresh_token();
    record.accepted = Some(AcceptNote {
        by: author.name.clone(),
        at: clock::wall_now(),
        base,
        note: author.note.clone(),
    });
    record
}

/// Says who accepted what stands, when, over which revision and why.
#[must_use]
pub fn author_text(state: &AcceptedState) -> String {
    let accepted = state
        .record
        .as_ref()
        .and_then(|record| record.accepted.as_ref());
    let Some(note) = accepted else {
        return "its author is not recorded".to_owned();
    };
    let why = note.note.as_ref().map(|why| format!(": {why:?}"));
    format!(
        "by {} at {} over revision {}{}",
        note.by,
        clock::wall_text(note.at),
        note.base,
        why.unwrap_or_default()
    )
}

/// Writes a record over the revision `base`. The record's token must be fresh.
///
/// A lost answer is resolved by reading back; the same call is sent again only while the store
/// still has the revision `base`, so it takes effect at most once.
///
/// # Errors
///
/// [`CtlError::Store`], or [`CtlError::Undecided`] if the write may still take effect.
pub async fn write(
    store: &StoreClient,
    pause: &PauseFn,
    base: u64,
    record: &WorkspaceRecord,
) -> Result<AcceptOutcome> {
    let value = serde_json::to_string(record).map_err(|cause| {
        CtlError::refused(
            cause.to_string(),
            "report this with the file that it came from",
        )
    })?;
    let call = SwapCall {
        key: workspace_key(&record.name),
        expect: base,
        value: Some(value.into()),
        lease: None,
    };
    let mut attempt = 1;
    loop {
        match store.swap(&call).await {
            Ok(end) => return finish(record, end),
            Err(StoreError::NoAnswer { .. } | StoreError::Malformed { .. })
                if attempt < WRITE_ATTEMPTS =>
            {
                attempt += 1;
                pause(RETRY_PAUSE_MS).await;
            }
            Err(cause @ (StoreError::NoAnswer { .. } | StoreError::Malformed { .. })) => {
                return Err(CtlError::Undecided { cause });
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Tells an own earlier attempt, recognised by its token, from another operator's change.
///
/// # Errors
///
/// [`CtlError::Refused`] if the other record is not understood.
fn finish(record: &WorkspaceRecord, end: SwapOutcome) -> Result<AcceptOutcome> {
    let (current, revision) = match end {
        SwapOutcome::Applied { revision } => return Ok(AcceptOutcome::Accepted { revision }),
        SwapOutcome::Conflict { current, revision } => (current, revision),
    };
    let current = state(&record.name, current, revision)?;
    let other = current.record.as_ref();
    if other.is_some_and(|other| other.token == record.token) {
        return Ok(AcceptOutcome::Accepted { revision });
    }
    let base = |record: &WorkspaceRecord| Some(record.accepted.as_ref()?.base);
    if other.and_then(base) == base(record) {
        return Ok(AcceptOutcome::Lost { current });
    }
    Ok(AcceptOutcome::Overtaken { current })
}
