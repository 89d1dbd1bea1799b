//! Window of request ids: outcomes of recent non-idempotent requests, to detect and answer repeats.
//!
//! The window is bounded in entries, bytes and age. Over the byte limit, the oldest answers are dropped and
//! their ids stay with an unknown outcome. Over the entry limit, the oldest ids are evicted, and the window
//! records the time up to which it has evicted: ids that could be as old are no longer admitted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::name::Name;
use jy_types::peer::StoredAnswer;
use jy_types::peer::WindowEntry;
use jy_types::time::Millis;

use crate::grants::slice_of;

/// Id of an entry that stands for a gap in the sender's history: ids created more than the window's length
/// less `expires_in_ms` ago may be missing.
pub const GAP_ID: &str = "";

/// Earliest time of an entry; zero is reserved for a history without a gap.
const MIN_FIRST_SEEN: Millis = Millis(1);

/// Entry of one id.
#[derive(Clone, Debug)]
struct SeenRequest {
    digest: u64,
    unit: Unit,
    first_seen: Millis,
    outcome: SeenOutcome,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
enum SeenOutcome {
    Running,
    Answered(StoredAnswer),
    Unknown,
}

/// Result of looking up an arriving id.
#[derive(Clone, Debug, PartialEq)]
pub enum WindowLookup {
    /// The id is not in the window.
    Fresh,
    /// The request was answered.
    Answered(StoredAnswer),
    /// The request is queued or running.
    Running,
    /// The id was used for a different request.
    Reused,
    /// The outcome is unknown.
    Unknown,
}

/// Bounds of a window.
#[derive(Clone, Copy, Debug)]
pub struct WindowBounds {
    /// Maximum age of an entry, in milliseconds.
    pub age_ms: u64,
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum total size of answers, in bytes.
    pub bytes: u64,
}

/// Ids of recent non-idempotent requests, with their outcomes.
#[derive(Clone, Debug)]
pub struct RequestWindow {
    bounds: WindowBounds,
    seen: BTreeMap<Name, SeenRequest>,
    by_age: BTreeSet<(Millis, Name)>,
    /// Entries that sort before this key in `by_age` hold no answer.
    answers_from: (Millis, Name),
    bytes: u64,
    /// Latest `first_seen` of an evicted entry; zero if none was evicted.
    evicted_to: Millis,
    /// Time before which ids of a slice may be missing, as handed over by its previous owner.
    gaps: BTreeMap<SliceId, Millis>,
}

impl RequestWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new(bounds: WindowBounds) -> Self {
        Self {
            bounds,
            seen: BTreeMap::new(),
            by_age: BTreeSet::new(),
            answers_from: (Millis::default(), GAP_ID.into()),
            bytes: 0,
            evicted_to: Millis::default(),
            gaps: BTreeMap::new(),
        }
    }

    /// Replaces the bounds; they are enforced when entries are next added or answered.
    pub const fn configure(&mut self, bounds: WindowBounds) {
        self.bounds = bounds;
    }

    /// Returns the number of ids in the window.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether the window holds no ids.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Returns the total size of the stored answers, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the time before which ids of a unit may be missing from the window.
    #[must_use]
    pub fn complete_from(&self, unit: Unit) -> Millis {
        let gap = self.gaps.get(&slice_of(unit)).copied();
        self.evicted_to.max(gap.unwrap_or_default())
    }

    /// Looks up an id.
    #[must_use]
    pub fn lookup(&self, id: &str, digest: u64) -> WindowLookup {
        match self.seen.get(id) {
            None => WindowLookup::Fresh,
            Some(seen) if seen.digest != digest => WindowLookup::Reused,
            Some(seen) => match &seen.outcome {
                SeenOutcome::Running => WindowLookup::Running,
                SeenOutcome::Answered(answer) => WindowLookup::Answered(answer.clone()),
                SeenOutcome::Unknown => WindowLookup::Unknown,
            },
        }
    }

    /// Adds the id of a request that is admitted now.
    pub fn begin(&mut self, now: Millis, id: &Name, digest: u64, unit: Unit) {
        let outcome = SeenOutcome::Running;
        let first_seen = now;
        let seen = SeenRequest {
            digest,
            unit,
            first_seen,
            outcome,
        };
        self.insert(id.clone(), seen);
        self.enforce_bounds(now);
    }

    /// Records the outcome of an admitted request: its answer, or `None` if there is none or it is too large
    /// to keep.
    pub fn finish(&mut self, now: Millis, id: &str, answer: Option<StoredAnswer>) {
        let Some(seen) = self.seen.get_mut(id) else {
            return;
        };
        let Some(answer) = answer else {
            seen.outcome = SeenOutcome::Unknown;
            return;
        };
        self.bytes += answer_bytes(&answer);
        seen.outcome = SeenOutcome::Answered(answer);
        let age_key = (seen.first_seen, id.into());
        self.answers_from = age_key.min(self.answers_from.clone());
        self.enforce_bounds(now);
    }

    /// Removes the entry of an id.
    pub fn remove_request(&mut self, id: &str) {
        if let Some(seen) = self.seen.remove(id) {
            self.subtract_bytes(&seen.outcome);
            self.by_age.remove(&(seen.first_seen, id.into()));
        }
    }

    /// Returns the unexpired entries of units for their next owner, preceded by a gap entry for each unit
    /// whose history is incomplete.
    #[must_use]
    pub fn entries(
        &self,
        now: Millis,
        units: &[Unit],
        gap: impl Fn(Unit) -> Millis,
    ) -> Vec<WindowEntry> {
        let slices: BTreeSet<SliceId> = units.iter().map(|unit| slice_of(*unit)).collect();
        let remaining_ms = |time: Millis| time.plus(self.bounds.age_ms).since(now);
        let gap_entry = |unit: &Unit| WindowEntry {
            id: GAP_ID.into(),
            digest: 0,
            unit: *unit,
            expires_in_ms: remaining_ms(gap(*unit).max(self.complete_from(*unit))),
            answer: None,
        };
        let entry = |(first_seen, id): &(Millis, Name)| {
            let seen = self
                .seen
                .get(id)
                .filter(|seen| slices.contains(&slice_of(seen.unit)))?;
            let answer = match &seen.outcome {
                SeenOutcome::Answered(answer) => Some(answer.clone()),
                SeenOutcome::Running | SeenOutcome::Unknown => None,
            };
            let (digest, unit) = (seen.digest, seen.unit);
            let expires_in_ms = remaining_ms(*first_seen);
            Some(WindowEntry {
                id: id.clone(),
                digest,
                unit,
                expires_in_ms,
                answer,
            })
        };
        let gaps = units.iter().map(gap_entry);
        let entries = self.by_age.iter().filter_map(entry);
        gaps.chain(entries)
            .filter(|entry| entry.expires_in_ms > 0)
            .collect()
    }

    /// Adds the entries that the previous owner of units handed over.
    pub fn merge_handover(&mut self, now: Millis, entries: Vec<WindowEntry>) {
        for entry in entries {
            let age = self.bounds.age_ms.saturating_sub(entry.expires_in_ms);
            let first_seen = now.minus(age).max(MIN_FIRST_SEEN);
            if &*entry.id == GAP_ID {
                let gap = self.gaps.entry(slice_of(entry.unit)).or_default();
                *gap = first_seen.max(*gap);
                continue;
            }
            if self.seen.contains_key(&entry.id) {
                continue;
            }
            let outcome = entry
                .answer
                .map_or(SeenOutcome::Unknown, SeenOutcome::Answered);
            let (digest, unit) = (entry.digest, entry.unit);
            self.insert(
                entry.id,
                SeenRequest {
                    digest,
                    unit,
                    first_seen,
                    outcome,
                },
            );
        }
        self.enforce_bounds(now);
    }

    /// Removes all entries of slices that are no longer owned.
    pub fn remove_slices(&mut self, slices: &[SliceId]) {
        if slices.is_empty() {
            return;
        }
        let removed: BTreeSet<SliceId> = slices.iter().copied().collect();
        self.gaps.retain(|slice, _| !removed.contains(slice));
        let is_removed = |seen: &SeenRequest| removed.contains(&slice_of(seen.unit));
        let ids: Vec<Name> = self
            .seen
            .iter()
            .filter(|(_, seen)| is_removed(seen))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.remove_request(&id);
        }
    }

    fn insert(&mut self, id: Name, seen: SeenRequest) {
        let age_key = (seen.first_seen, id.clone());
        if let SeenOutcome::Answered(answer) = &seen.outcome {
            self.bytes += answer_bytes(answer);
            self.answers_from = age_key.clone().min(self.answers_from.clone());
        }
        self.by_age.insert(age_key);
        self.seen.insert(id, seen);
    }

    /// Removes expired entries, then the oldest entries and answers over the bounds.
    fn enforce_bounds(&mut self, now: Millis) {
        while let Some((first_seen, id)) = self.by_age.first().cloned() {
            let is_full = self.seen.len() > self.bounds.entries;
            let is_unexpired = first_seen.plus(self.bounds.age_ms) > now;
            if is_unexpired && !is_full {
                break;
            }
            self.remove_request(&id);
            self.evicted_to = self.evicted_to.max(first_seen);
        }
        while self.bytes > self.bounds.bytes && self.drop_oldest_answer() {}
    }

    /// Drops the answer of the oldest entry that may hold one and keeps its id with an unknown outcome.
    ///
    /// Returns false if there is no such entry.
    fn drop_oldest_answer(&mut self) -> bool {
        let from = self.answers_from.clone();
        let Some(age_key) = self.by_age.range(from..).next().cloned() else {
            return false;
        };
        if let Some(seen) = self.seen.get_mut(&age_key.1)
            && matches!(seen.outcome, SeenOutcome::Answered(_))
        {
            let outcome = std::mem::replace(&mut seen.outcome, SeenOutcome::Unknown);
            self.subtract_bytes(&outcome);
        }
        // An id followed by a zero byte sorts directly after that id.
        let next_id: Name = format!("{}\0", age_key.1).into();
        self.answers_from = (age_key.0, next_id);
        true
    }

    /// Subtracts the size of a dropped answer from the total.
    fn subtract_bytes(&mut self, outcome: &SeenOutcome) {
        if let SeenOutcome::Answered(answer) = outcome {
            self.bytes -= answer_bytes(answer);
        }
    }
}

/// Returns the size that a stored answer counts for, in bytes.
fn answer_bytes(answer: &StoredAnswer) -> u64 {
    let content_type = answer.content_type.as_deref().unwrap_or_default();
    (answer.body.len() + content_type.len()) as u64
}
