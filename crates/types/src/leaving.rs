//! The incarnations of the backend server on an instance that began to leave.

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::BackendIncarnation;

/// Largest number of incarnations in a set. Announcements of earlier ones are no longer in transit.
const MAX_INCARNATIONS: usize = 8;

/// The last incarnations that began to leave, as far as they have different ids.
///
/// Each stands for all that started under its id until then: an end may be reported without the start, and then ends
/// every incarnation under this id that had started before the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingSet {
    /// The one that was added last. A record of an earlier version has no others.
    #[serde(flatten)]
    latest: BackendIncarnation,
    /// The others, in the order in which they were added.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    earlier: Vec<BackendIncarnation>,
}

impl LeavingSet {
    /// Creates the set of one incarnation.
    #[must_use]
    pub const fn new(incarnation: BackendIncarnation) -> Self {
        Self {
            latest: incarnation,
            earlier: Vec::new(),
        }
    }

    /// Adds an incarnation. The one that was added first is dropped if the set is full.
    #[must_use]
    pub fn with(self, incarnation: BackendIncarnation) -> Self {
        if self.contains(&incarnation) {
            return self;
        }
        let known = self.earlier.into_iter().chain([self.latest]);
        let mut earlier: Vec<BackendIncarnation> =
            known.filter(|known| known.id != incarnation.id).collect();
        let surplus = (earlier.len() + 1).saturating_sub(MAX_INCARNATIONS);
        earlier.drain(..surplus);
        Self {
            latest: incarnation,
            earlier,
        }
    }

    /// Adds all incarnations of another set.
    #[must_use]
    pub fn merge(self, other: &Self) -> Self {
        other.iter().cloned().fold(self, Self::with)
    }

    /// Whether an incarnation began to leave.
    #[must_use]
    pub fn contains(&self, incarnation: &BackendIncarnation) -> bool {
        self.iter()
            .any(|known| known.id == incarnation.id && incarnation.started_at <= known.started_at)
    }

    /// Returns the incarnations in the order in which they were added.
    fn iter(&self) -> impl Iterator<Item = &BackendIncarnation> {
        self.earlier.iter().chain([&self.latest])
    }
}
