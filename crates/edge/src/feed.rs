//! Keeps the beliefs up to date: a list of the store's records, then a watch from its revision on.

use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_platform::operator::OPERATOR_PREFIX;
use jy_platform::store::Result;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreError;
use jy_types::time::Millis;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::beliefs::FleetBeliefs;
use crate::beliefs::OWN_PREFIX;

/// Longest wait of one watch, in milliseconds. A connection that went silent is noticed after it, so it
/// lies under the shortest bound on a configuration's coming into force together with one list.
const WATCH_MS: u64 = 3_000;
/// Prefix of everything that is watched.
const ALL: &str = "";
/// Wait before the next call after a failed one, in milliseconds; doubled up to the limit.
const FIRST_PAUSE_MS: u64 = 50;
/// Longest wait before the next call, in milliseconds: a store that is back is used soon.
const LONGEST_PAUSE_MS: u64 = 400;

/// The beliefs and the news of them.
pub type BeliefCell = watch::Sender<Rc<FleetBeliefs>>;

/// Whether the store answers, as far as the feed knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedState {
    /// When the store answered last.
    pub heard: Millis,
    /// Since when it has not, if the last call failed.
    pub lost: Option<Millis>,
}

/// Reads the store for ever.
pub async fn run(store: StoreClient, beliefs: Rc<BeliefCell>, state: Rc<watch::Sender<FeedState>>) {
    let mut pause_ms = FIRST_PAUSE_MS;
    let mut is_listed = false;
    loop {
        let result = if is_listed {
            follow(&store, &beliefs).await
        } else {
            list(&store, &beliefs).await
        };
        let now = clock::now();
        match result {
            Ok(()) => {
                is_listed = true;
                pause_ms = FIRST_PAUSE_MS;
                note_answer(&state, now);
                continue;
            }
            Err(StoreError::Compacted { after }) => {
                log::info!("belief store history dropped after={after}; listing again");
                is_listed = false;
                note_answer(&state, now);
                continue;
            }
            Err(error) => {
                // A watch that was cut may have missed changes without a word, so all is read again.
                is_listed = false;
                note_failure(&state, now, &error);
            }
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}

/// Reads all records.
///
/// # Errors
///
/// [`StoreError`].
async fn list(store: &StoreClient, beliefs: &BeliefCell) -> Result<()> {
    let mut batch = store.list(OPERATOR_PREFIX).await?;
    let own = store.list(OWN_PREFIX).await?;
    batch.records.extend(own.records);
    let current = Rc::clone(&beliefs.borrow());
    let next = (*current).clone().with_list(clock::now(), &batch);
    beliefs.send_replace(Rc::new(next));
    Ok(())
}

/// Waits for changes once.
///
/// # Errors
///
/// [`StoreError`].
async fn follow(store: &StoreClient, beliefs: &BeliefCell) -> Result<()> {
    let current = Rc::clone(&beliefs.borrow());
    let batch = store.watch(ALL, current.revision, WATCH_MS).await?;
    if batch.records.is_empty() && batch.complete_to <= current.revision {
        return Ok(());
    }
    let next = (*current).clone().with_changes(clock::now(), &batch);
    beliefs.send_replace(Rc::new(next));
    Ok(())
}

/// Notes that the store answered.
fn note_answer(state: &watch::Sender<FeedState>, now: Millis) {
    let lost = state.borrow().lost;
    if let Some(lost) = lost {
        log::info!("dependency store regained after_ms={}", now.since(lost));
    }
    state.send_replace(FeedState {
        heard: now,
        lost: None,
    });
}

/// Notes that the store did not answer.
fn note_failure(state: &watch::Sender<FeedState>, now: Millis, error: &StoreError) {
    let before = *state.borrow();
    if before.lost.is_some() {
        return;
    }
    log::warn!("dependency store lost: {error}");
    state.send_replace(FeedState {
        heard: before.heard,
        lost: Some(now),
    });
}
