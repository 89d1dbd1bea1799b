//! State of a backend server: its slots, cold start, fences, journal and injected faults.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use jy_types::name::Name;
use jy_types::time::Millis;

use crate::backend_fault::AnswerFault;
use crate::backend_fault::BackendCounts;
use crate::backend_fault::BackendFault;
use crate::backend_fault::LoadReport;
use crate::backend_fault::RestartKind;
use crate::journal::RunEntry;
use crate::journal::RunJournal;
use crate::journal::RunOutcome;

/// Bounds the memory for load samples; the oldest ones are dropped first.
const MAX_LOAD_SAMPLES: usize = 65_536;

/// Settings of a backend server, from the command line.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Requests handled concurrently once warm.
    pub slots: u32,
    /// Whether requests with a fence lower than the highest of their unit are refused.
    pub checks_fence: bool,
    /// Duration of the work of a request that states none, in milliseconds.
    pub work_ms: u64,
    /// Duration of a cold start, in milliseconds.
    pub cold_ms: u64,
}

/// Reason why a request does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendRefusal {
    /// All slots are taken.
    Shed,
    /// The fence is lower than the highest of the unit.
    StaleFence,
    /// The request exceeded the concurrency limit of a cold start, which crashes the backend server.
    Crashed,
}

/// State of a backend server; used by a single thread.
#[derive(Debug)]
pub struct BackendState {
    settings: BackendSettings,
    started_at: Millis,
    start_stamp: u64,
    announces_cold: bool,
    draining: bool,
    in_flight: u32,
    counts: BackendCounts,
    highest_fences: HashMap<Name, u64>,
    journal: RunJournal,
    first_run_since_restart: usize,
    peers: HashSet<SocketAddr>,
    slowdown_factor: u64,
    slowdown_until: Millis,
    answer_fault: Option<AnswerFault>,
    answer_faults_left: u32,
    late_ms: u64,
    load_lag_ms: u64,
    load_percent: u32,
    samples: VecDeque<(Millis, u32)>,
}

impl BackendState {
    /// Makes the state of a backend server that starts now, cold.
    #[must_use]
    pub fn new(now: Millis, settings: BackendSettings, start_stamp: u64) -> Self {
        Self {
            settings,
            started_at: now,
            start_stamp,
            announces_cold: true,
            draining: false,
            in_flight: 0,
            counts: BackendCounts::default(),
            highest_fences: HashMap::new(),
            journal: RunJournal::new(),
            first_run_since_restart: 0,
            peers: HashSet::new(),
            slowdown_factor: 1,
            slowdown_until: Millis(0),
            answer_fault: None,
            answer_faults_left: 0,
            late_ms: 0,
            load_lag_ms: 0,
            load_percent: 100,
            samples: VecDeque::new(),
        }
    }

    /// Returns the random number that identifies the current start.
    #[must_use]
    pub const fn start_stamp(&self) -> u64 {
        self.start_stamp
    }

    /// Whether the backend server announces that it drains.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the announcements carry a cold start: it is in progress and not silent.
    #[must_use]
    pub fn is_announced_cold(&self, now: Millis) -> bool {
        self.announces_cold && self.is_cold(now)
    }

    /// Whether the cold start has not ended yet.
    fn is_cold(&self, now: Millis) -> bool {
        now.since(self.started_at) < self.settings.cold_ms
    }

    /// Requests that can run concurrently. In a cold start the limit grows linearly from one to all slots.
    fn concurrency_limit(&self, now: Millis) -> u32 {
        if !self.is_cold(now) {
            return self.settings.slots;
        }
        let uptime_ms = now.since(self.started_at);
        let limit = u64::from(self.settings.slots) * uptime_ms / self.settings.cold_ms.max(1);
        u32::try_from(limit).unwrap_or(u32::MAX).max(1)
    }

    /// Starts a run and returns its number in the journal.
    ///
    /// # Errors
    ///
    /// If the fence is stale, all slots are taken or a cold start is overloaded.
    pub fn begin(&mut self, entry: RunEntry) -> Result<usize, BackendRefusal> {
        let now = entry.start;
        self.check_fence(&entry)?;
        if self.is_cold(now) && self.in_flight >= self.concurrency_limit(now) {
            self.counts.overruns += 1;
            return Err(BackendRefusal::Crashed);
        }
        if self.in_flight >= self.settings.slots {
            self.counts.shed += 1;
            return Err(BackendRefusal::Shed);
        }
        self.in_flight += 1;
        self.counts.runs += 1;
        self.counts.peak = self.counts.peak.max(self.in_flight);
        self.record_load(now);
        Ok(self.journal.open(entry))
    }

    /// Checks the fence of a run and records the highest one of its unit.
    ///
    /// # Errors
    ///
    /// [`BackendRefusal::StaleFence`] if fences are checked and an earlier request of the unit had a higher
    /// one.
    fn check_fence(&mut self, entry: &RunEntry) -> Result<(), BackendRefusal> {
        let Some(unit) = &entry.unit else {
            return Ok(());
        };
        let highest = self.highest_fences.entry(Name::clone(unit)).or_default();
        if self.settings.checks_fence && entry.fence < *highest {
            self.counts.stale_fences += 1;
            return Err(BackendRefusal::StaleFence);
        }
        *highest = entry.fence.max(*highest);
        Ok(())
    }

    /// Ends a run. Runs from before the last restart no longer take a slot.
    pub fn end(&mut self, number: usize, now: Millis, outcome: RunOutcome) {
        if number >= self.first_run_since_restart {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        match outcome {
            RunOutcome::Cancelled => self.counts.cancelled += 1,
            RunOutcome::Late => self.counts.late += 1,
            RunOutcome::Open | RunOutcome::Done | RunOutcome::Lost => {}
        }
        self.record_load(now);
        self.journal.close(number, now, outcome);
    }

    /// Starts cold again; all runs in progress and all fences are lost.
    pub fn restart(&mut self, now: Millis, start_stamp: u64, kind: RestartKind) {
        self.started_at = now;
        self.start_stamp = start_stamp;
        self.announces_cold = kind == RestartKind::Announced;
        self.highest_fences.clear();
        self.first_run_since_restart = self.journal.entries().len();
        self.in_flight = 0;
    }

    /// Applies a command, except for its restart, which the caller performs.
    pub fn set_faults(&mut self, now: Millis, command: &BackendFault) {
        if let Some(fault) = command.answer {
            self.answer_fault = Some(fault);
            self.answer_faults_left = command.answers;
        }
        if let Some(factor) = command.straggle {
            self.slowdown_factor = u64::from(factor);
            self.slowdown_until = now.plus(command.straggle_for_ms);
        }
        self.late_ms = command.late_ms.unwrap_or(self.late_ms);
        self.draining = command.draining.unwrap_or(self.draining);
        self.load_lag_ms = command.load_lag_ms.unwrap_or(self.load_lag_ms);
        self.load_percent = command.load_percent.unwrap_or(self.load_percent);
    }

    /// Returns the fault of the next answer, if any, and counts it as used.
    pub fn take_fault(&mut self) -> Option<AnswerFault> {
        self.answer_faults_left = self.answer_faults_left.checked_sub(1)?;
        self.answer_fault
    }

    /// Returns the duration of a request's work, in milliseconds: the requested or the default one, times the
    /// slowdown in force.
    #[must_use]
    pub fn work_ms(&self, now: Millis, requested_ms: Option<u64>) -> u64 {
        let base_ms = requested_ms.unwrap_or(self.settings.work_ms);
        let factor = if now < self.slowdown_until {
            self.slowdown_factor
        } else {
            1
        };
        base_ms * factor
    }

    /// Returns the delay of [`AnswerFault::Late`], in milliseconds.
    #[must_use]
    pub const fn late_ms(&self) -> u64 {
        self.late_ms
    }

    /// Records the current load for load reports.
    fn record_load(&mut self, now: Millis) {
        if self.samples.len() >= MAX_LOAD_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, self.in_flight));
    }

    /// Returns the load report, with the injected age and percentage.
    #[must_use]
    pub fn load_report(&self, now: Millis) -> LoadReport {
        let as_of = now.minus(self.load_lag_ms);
        let sample = self.samples.iter().rev().find(|(at, _)| *at <= as_of);
        let in_flight = sample.map_or(0, |(_, load)| *load);
        LoadReport {
            in_flight: in_flight * self.load_percent / 100,
            slots: self.settings.slots,
        }
    }

    /// Counts a connection, unless its peer address was counted before.
    pub fn count_connection(&mut self, peer: Option<SocketAddr>) {
        let is_new = peer.is_some_and(|peer| self.peers.insert(peer));
        self.counts.connections += u64::from(is_new);
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counts(&self) -> BackendCounts {
        self.counts
    }

    /// Returns all runs, by number.
    #[must_use]
    pub fn journal(&self) -> &[RunEntry] {
        self.journal.entries()
    }
}
