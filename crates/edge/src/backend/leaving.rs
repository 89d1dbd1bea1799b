//! Which incarnations of the backend server beside the agent leave or have left.

use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::leaving::LeavingSet;
use jy_types::name::Name;
use jy_types::time::Millis;
use jy_types::time::WallMillis;

use super::BackendState;
use super::LocalBackend;

/// Largest number of reported ends that are kept.
const MAX_REPORTED_ENDS: usize = 8;

/// An end that was reported by another backend server than the one that announced itself last, so that its start is not known.
#[derive(Clone, Debug)]
pub(super) struct ReportedEnd {
    /// Its id, with the time of the report in place of the start.
    incarnation: BackendIncarnation,
    /// When the end was first reported.
    reported_at: Millis,
}

impl LocalBackend {
    /// Returns the incarnations of which this run of the agent knows that they leave or have left.
    #[must_use]
    pub fn leaving(&self) -> Option<LeavingSet> {
        let reported = self.reported_ends.borrow();
        let mut incarnations: Vec<BackendIncarnation> =
            reported.iter().map(|end| end.incarnation.clone()).collect();
        incarnations.extend(self.read(|state| {
            let state = state.filter(|state| state.leaving_since.is_some())?;
            Some(state.announced.incarnation.clone())
        }));
        let mut incarnations = incarnations.into_iter();
        let first = LeavingSet::new(incarnations.next()?);
        Some(incarnations.fold(first, LeavingSet::with))
    }

    /// Marks the backend server as ended, as it has reported at `now`, which is `wall_now` on the wall clock. Returns the
    /// incarnation that has ended.
    ///
    /// If it is not the one that announced itself last, this run of the agent may not have heard of it, and announcements of
    /// it may still be in transit. All incarnations under its id that started before the report have ended then.
    pub fn mark_ended(&self, now: Millis, wall_now: WallMillis, id: &str) -> BackendIncarnation {
        let mut current = self.state.borrow_mut();
        let known = current
            .as_mut()
            .filter(|state| *state.announced.incarnation.id == *id);
        let incarnation = if let Some(state) = known {
            log::info!("belief backend={id} reported its end");
            state.ended = true;
            state.leaving_since.get_or_insert(now);
            state.announced.incarnation.clone()
        } else {
            self.keep_reported_end(now, wall_now, id)
        };
        drop(current);
        self.changes.send_modify(|count| *count += 1);
        incarnation
    }

    /// Keeps the end of a backend server whose start is not known.
    fn keep_reported_end(&self, now: Millis, wall_now: WallMillis, id: &str) -> BackendIncarnation {
        let mut reported = self.reported_ends.borrow_mut();
        if let Some(end) = reported.iter_mut().find(|end| *end.incarnation.id == *id) {
            end.incarnation.started_at = end.incarnation.started_at.max(wall_now.0);
            return end.incarnation.clone();
        }
        log::info!("belief backend={id} reported its end; it did not announce itself last");
        let incarnation = BackendIncarnation {
            id: Name::from(id),
            started_at: wall_now.0,
        };
        if reported.len() == MAX_REPORTED_ENDS {
            reported.remove(0);
        }
        reported.push(ReportedEnd {
            incarnation: incarnation.clone(),
            reported_at: now,
        });
        incarnation
    }

    /// Marks a backend server that has just announced itself if it leaves or has left: by this announcement, by a reported
    /// end that arrived before it, or according to the store. `is_first_heard` tells whether this run of the agent has
    /// heard of no backend server before.
    pub(super) fn mark_leaving(&self, now: Millis, state: &mut BackendState, is_first_heard: bool) {
        let incarnation = &state.announced.incarnation;
        let since = if let Some(reported_at) = self.reported_end(incarnation) {
            state.ended = true;
            reported_at
        } else if self.is_recorded_leaving(incarnation) {
            now.minus(self.drain_ms)
        } else if state.announced.phase != BackendPhase::Draining {
            return;
        } else if is_first_heard {
            // An earlier run of the agent may have acknowledged that it leaves, at any time before.
            now.minus(self.drain_ms)
        } else {
            now
        };
        state.leaving_since.get_or_insert(since);
    }

    /// Returns when the end of an incarnation was reported, if that was before it announced itself.
    fn reported_end(&self, incarnation: &BackendIncarnation) -> Option<Millis> {
        let reported = self.reported_ends.borrow();
        let end = reported.iter().find(|end| {
            end.incarnation.id == incarnation.id
                && incarnation.started_at <= end.incarnation.started_at
        })?;
        Some(end.reported_at)
    }

    /// Sets the incarnations that began to leave according to the store, which earlier runs of the agent may have
    /// acknowledged. A late report of them does not bring them back into use.
    pub fn set_recorded_leaving(&self, now: Millis, incarnations: Option<&LeavingSet>) {
        if self.recorded_leaving.borrow().as_ref() == incarnations {
            return;
        }
        self.recorded_leaving.replace(incarnations.cloned());
        let mut current = self.state.borrow_mut();
        let Some(state) = current.as_mut() else {
            return;
        };
        let is_leaving = state.leaving_since.is_some();
        if is_leaving || !self.is_recorded_leaving(&state.announced.incarnation) {
            return;
        }
        log::info!(
            "belief backend={} leaves, as an earlier run of the agent recorded",
            state.announced.incarnation.id
        );
        state.leaving_since = Some(now.minus(self.drain_ms));
        drop(current);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether the store says that an incarnation has begun to leave.
    fn is_recorded_leaving(&self, incarnation: &BackendIncarnation) -> bool {
        let recorded = self.recorded_leaving.borrow();
        recorded
            .as_ref()
            .is_some_and(|recorded| recorded.contains(incarnation))
    }
}
