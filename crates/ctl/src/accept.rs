//! Reads and writes accepted configurations. A write is a compare-and-swap on the revision that the
//! operator saw.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use jy_store::client::StoreClient;
use jy_store::client::StoreError;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use jy_types::name::Name;
use jy_types::record::workspace_key;
use jy_types::workspace::AcceptanceInfo;
use jy_types::workspace::WorkspaceRecord;

use crate::clock;
use crate::error::CtlError;
use crate::error::Result;

/// Maximum number of attempts at a write that gets no valid answer.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Delay between write attempts.
const RETRY_DELAY_MS: u64 = 300;

/// Sleeps for a number of milliseconds.
pub type PauseFn = Rc<dyn Fn(u64) -> LocalBoxFuture<'static, ()>>;

/// Author of a change and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeAuthor {
    /// Name of the author.
    pub name: Name,
    /// Reason for the change, in the author's words.
    pub note: Option<Name>,
}

/// State of a workspace in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedState {
    /// The record, or `None` if there is none or it was deleted.
    pub record: Option<WorkspaceRecord>,
    /// Revision of the record or of its deletion in the store; zero if the store has neither.
    pub revision: u64,
}

/// Result of accepting a configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// The configuration was accepted.
    Accepted {
        /// Revision of the write.
        revision: u64,
    },
    /// Another change came first; nothing was written.
    Rejected {
        /// State that is in force now.
        current: AcceptedState,
    },
    /// Several changes were made since the base revision. Nothing was written, unless an answer was lost:
    /// then the record may have been in force before the newest change replaced it.
    Superseded {
        /// State that is in force now.
        current: AcceptedState,
    },
}

/// Reads the accepted configuration of a workspace.
///
/// # Errors
///
/// [`CtlError::Store`] if the call to the store fails, or [`CtlError::Refused`] if the record cannot be parsed.
pub async fn read(store: &StoreClient, name: &str) -> Result<AcceptedState> {
    let key = workspace_key(name);
    let answer = store.list(&key).await?;
    let found = answer.records.into_iter().find(|record| record.key == key);
    let Some(record) = found else {
        return Ok(AcceptedState::default());
    };
    parse_state(name, record.value, record.revision)
}

/// Reads the accepted configurations of all workspaces.
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
            parse_state(name, record.value.clone(), record.revision)
        })
        .collect()
}

/// Parses the stored record of a workspace.
///
/// # Errors
///
/// [`CtlError::Refused`] if the record cannot be parsed.
fn parse_state(name: &str, value: Option<Name>, revision: u64) -> Result<AcceptedState> {
    let parse = |text: Name| {
        serde_json::from_str(&text).map_err(|cause| {
            let message = format!("cannot parse workspace {name:?} in the store: {cause}");
            CtlError::refused(
                message,
                "it was written by another version of jyctl; use that version",
            )
        })
    };
    Ok(AcceptedState {
        record: value.map(parse).transpose()?,
        revision,
    })
}

/// Returns the record with a new token and its author, ready to be written with the base revision `base`.
#[must_use]
pub fn prepare_record(
    mut record: WorkspaceRecord,
    base: u64,
    author: &ChangeAuthor,
) -> WorkspaceRecord {
    record.token = clock::fresh_token();
    record.accepted = Some(AcceptanceInfo {
        by: author.name.clone(),
        at: clock::wall_now(),
        base,
        note: author.note.clone(),
    });
    record
}

/// Describes who accepted a configuration, when, over which revision and why.
#[must_use]
pub fn author_text(state: &AcceptedState) -> String {
    let accepted = state
        .record
        .as_ref()
        .and_then(|record| record.accepted.as_ref());
    let Some(acceptance) = accepted else {
        return "its author is not recorded".to_owned();
    };
    let reason = acceptance
        .note
        .as_ref()
        .map(|reason| format!(": {reason:?}"));
    format!(
        "by {} at {} over revision {}{}",
        acceptance.by,
        clock::wall_text(acceptance.at),
        acceptance.base,
        reason.unwrap_or_default()
    )
}

/// Writes a record if the store still has the revision `base`. The token of the record must be new.
///
/// If an answer is lost, the record is read back. The same call is sent again only while the store still
/// has the revision `base`, so it takes effect at most once.
///
/// # Errors
///
/// [`CtlError::OutcomeUnknown`] if no attempt got a valid answer, so that the write may still take effect;
/// [`CtlError::Store`] if the store fails otherwise; [`CtlError::Refused`] if the record cannot be
/// encoded, or the record in the store cannot be parsed.
pub async fn write(
    store: &StoreClient,
    pause: &PauseFn,
    base: u64,
    record: &WorkspaceRecord,
) -> Result<AcceptOutcome> {
    let value = serde_json::to_string(record).map_err(|cause| {
        CtlError::refused(
            cause.to_string(),
            "report this as a bug, together with the workspace file",
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
            Ok(outcome) => return resolve_swap(record, outcome),
            Err(StoreError::NoAnswer { .. } | StoreError::Malformed { .. })
                if attempt < MAX_WRITE_ATTEMPTS =>
            {
                attempt += 1;
                pause(RETRY_DELAY_MS).await;
            }
            Err(cause @ (StoreError::NoAnswer { .. } | StoreError::Malformed { .. })) => {
                return Err(CtlError::OutcomeUnknown { cause });
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Returns the result of a swap. After a conflict, the token shows whether the record in the store is from
/// an earlier attempt of this write or from another operator.
///
/// # Errors
///
/// [`CtlError::Refused`] if the record in the store cannot be parsed.
fn resolve_swap(record: &WorkspaceRecord, outcome: SwapOutcome) -> Result<AcceptOutcome> {
    let (current, revision) = match outcome {
        SwapOutcome::Applied { revision } => return Ok(AcceptOutcome::Accepted { revision }),
        SwapOutcome::Conflict { current, revision } => (current, revision),
    };
    let current = parse_state(&record.name, current, revision)?;
    let other = current.record.as_ref();
    if other.is_some_and(|other| other.token == record.token) {
        return Ok(AcceptOutcome::Accepted { revision });
    }
    let base = |record: &WorkspaceRecord| Some(record.accepted.as_ref()?.base);
    if other.and_then(base) == base(record) {
        return Ok(AcceptOutcome::Rejected { current });
    }
    Ok(AcceptOutcome::Superseded { current })
}
