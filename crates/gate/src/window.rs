//! The window of request ids: what became of non-idempotent requests, for their repeats.
//!
//! The window is bounded in entries, bytes and age. Past the bytes the oldest answers go and their
//! ids stay, as of unknown outcome. Past the entries the oldest ids go, and the window remembers up
//! to which point it has forgotten: ids that could be as old are not admitted any more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::name::Name;
use jy_types::peer::StoredAnswer;
use jy_types::peer::WindowEntry;
use jy_types::time::Millis;

use crate::grants::slice_of;

/// The id of an entry that stands for all ids its sender can't vouch for: those first sent more
/// than the window's length less `forget_in_ms` ago.
pub const GAP_ID: &str = "";

/// The earliest point of an entry; zero stands for a memory without a gap.
const EARLIEST: Millis = Millis(1);

/// What is known of one id.
#[derive(Clone, Debug)]
struct SeenRequest {
    digest: u64,
    unit: Unit,
    first_seen: Millis,
    outcome: SeenOutcome,
}

/// What became of a request.
#[derive(Clone, Debug)]
enum SeenOutcome {
    Running,
    Answered(StoredAnswer),
    Unknown,
}

/// What the window says of an arriving id.
#[derive(Clone, Debug, PartialEq)]
pub enum WindowVerdict {
    /// It holds no such id.
    Fresh,
    /// The request was answered.
    Answered(StoredAnswer),
    /// The request waits or runs.
    Running,
    /// The id belongs to another request.
    Reused,
    /// The outcome is not known.
    Unknown,
}

/// Bounds of a window.
#[derive(Clone, Copy, Debug)]
pub struct WindowBounds {
    /// Longest age of an entry, in milliseconds.
    pub age_ms: u64,
    /// Most entries.
    pub entries: usize,
    /// Most bytes of answers.
    pub bytes: u64,
}

/// Ids of non-idempotent requests, with their outcomes.
#[derive(Clone, Debug)]
pub struct RequestWindow {
    bounds: WindowBounds,
    seen: BTreeMap<Name, SeenRequest>,
    order: BTreeSet<(Millis, Name)>,
    /// Entries before this one hold no answer.
    answers_from: (Millis, Name),
    bytes: u64,
    forgotten_to: Millis,
    gaps: BTreeMap<SliceId, Millis>,
}

impl RequestWindow {
    /// Makes an empty window.
    #[must_use]
    pub fn new(bounds: WindowBounds) -> Self {
        Self {
            bounds,
            seen: BTreeMap::new(),
            order: BTreeSet::new(),
            answers_from: (Millis::default(), GAP_ID.into()),
            bytes: 0,
            forgotten_to: Millis::default(),
            gaps: BTreeMap::new(),
        }
    }

    /// Sets other bounds; they count from the next entry on.
    pub const fn configure(&mut self, bounds: WindowBounds) {
        self.bounds = bounds;
    }

    /// Number of ids that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Bytes of remembered answers.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the point before which ids of a unit may have been forgotten early.
    #[must_use]
    pub fn memory_from(&self, unit: Unit) -> Millis {
        let gap = self.gaps.get(&slice_of(unit)).copied();
        self.forgotten_to.max(gap.unwrap_or_default())
    }

    /// Says what is known of an id.
    #[must_use]
    pub fn verdict(&self, id: &str, digest: u64) -> WindowVerdict {
        match self.seen.get(id) {
            None => WindowVerdict::Fresh,
            Some(seen) if seen.digest != digest => WindowVerdict::Reused,
            Some(seen) => match &seen.outcome {
                SeenOutcome::Running => WindowVerdict::Running,
                SeenOutcome::Answered(answer) => WindowVerdict::Answered(answer.clone()),
                SeenOutcome::Unknown => WindowVerdict::Unknown,
            },
        }
    }

    /// Remembers an id whose request is admitted now.
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
        self.shrink(now);
    }

    /// Records the answer of an admitted request; an answer too large to keep is none.
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
        let place = (seen.first_seen, id.into());
        self.answers_from = place.min(self.answers_from.clone());
        self.shrink(now);
    }

    /// Forgets an id whose request did not run.
    pub fn withdraw(&mut self, id: &str) {
        if let Some(seen) = self.seen.remove(id) {
            self.forget(&seen.outcome);
            self.order.remove(&(seen.first_seen, id.into()));
        }
    }

    /// Returns what is remembered of units, to be handed over.
    #[must_use]
    pub fn entries(
        &self,
        now: Millis,
        units: &[Unit],
        gap: impl Fn(Unit) -> Millis,
    ) -> Vec<WindowEntry> {
        let slices: BTreeSet<SliceId> = units.iter().map(|unit| slice_of(*unit)).collect();
        let left = |point: Millis| point.plus(self.bounds.age_ms).since(now);
        let gap_entry = |unit: &Unit| WindowEntry {
            id: GAP_ID.into(),
            digest: 0,
            unit: *unit,
            forget_in_ms: left(gap(*unit).max(self.memory_from(*unit))),
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
            let forget_in_ms = left(*first_seen);
            Some(WindowEntry {
                id: id.clone(),
                digest,
                unit,
                forget_in_ms,
                answer,
            })
        };
        let gaps = units.iter().map(gap_entry);
        let entries = self.order.iter().filter_map(entry);
        gaps.chain(entries)
            .filter(|entry| entry.forget_in_ms > 0)
            .collect()
    }

    /// Takes entries from the old owner of units to come.
    pub fn take_over(&mut self, now: Millis, entries: Vec<WindowEntry>) {
        for entry in entries {
            let age = self.bounds.age_ms.saturating_sub(entry.forget_in_ms);
            let first_seen = now.minus(age).max(EARLIEST);
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
        self.shrink(now);
    }

    /// Forgets everything of slices that are no longer owned.
    pub fn drop_slices(&mut self, slices: &[SliceId]) {
        if slices.is_empty() {
            return;
        }
        let gone: BTreeSet<SliceId> = slices.iter().copied().collect();
        self.gaps.retain(|slice, _| !gone.contains(slice));
        let is_gone = |seen: &SeenRequest| gone.contains(&slice_of(seen.unit));
        let ids: Vec<Name> = self
            .seen
            .iter()
            .filter(|(_, seen)| is_gone(seen))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.withdraw(&id);
        }
    }

    /// Adds an entry.
    fn insert(&mut self, id: Name, seen: SeenRequest) {
        let place = (seen.first_seen, id.clone());
        if let SeenOutcome::Answered(answer) = &seen.outcome {
            self.bytes += answer_bytes(answer);
            self.answers_from = place.clone().min(self.answers_from.clone());
        }
        self.order.insert(place);
        self.seen.insert(id, seen);
    }

    /// Brings the window back within its bounds.
    fn shrink(&mut self, now: Millis) {
        while let Some((first_seen, id)) = self.order.first().cloned() {
            let is_full = self.seen.len() > self.bounds.entries;
            let is_young = first_seen.plus(self.bounds.age_ms) > now;
            if is_young && !is_full {
                break;
            }
            self.withdraw(&id);
            self.forgotten_to = self.forgotten_to.max(first_seen);
        }
        while self.bytes > self.bounds.bytes && self.drop_oldest_answer() {}
    }

    /// Drops the oldest answer and keeps its id, as of unknown outcome.
    fn drop_oldest_answer(&mut self) -> bool {
        let from = self.answers_from.clone();
        let Some(place) = self.order.range(from..).next().cloned() else {
            return false;
        };
        if let Some(seen) = self.seen.get_mut(&place.1)
            && matches!(seen.outcome, SeenOutcome::Answered(_))
        {
            let outcome = std::mem::replace(&mut seen.outcome, SeenOutcome::Unknown);
            self.forget(&outcome);
        }
        // The id with a zero byte after it is the least one that follows.
        let after: Name = format!("{}\0", place.1).into();
        self.answers_from = (place.0, after);
        true
    }

    /// Gives back the bytes of an outcome.
    fn forget(&mut self, outcome: &SeenOutcome) {
        if let SeenOutcome::Answered(answer) = outcome {
            self.bytes -= answer_bytes(answer);
        }
    }
}

/// Bytes of a remembered answer.
fn answer_bytes(answer: &StoredAnswer) -> u64 {
    let content_type = answer.content_type.as_deref().unwrap_or_default();
    (answer.body.len() + content_type.len()) as u64
}
