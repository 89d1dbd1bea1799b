//! State of a backend server: slots, cold start, fences, straggling and faults.

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

/// Load samples that are kept.
const SAMPLES_KEPT: usize = 65_536;

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Requests handled at once when warm.
    pub slots: u32,
    /// Whether a lower fence of a unit is refused.
    pub checks_fence: bool,
    /// Time that the work of one request takes, in milliseconds.
    pub work_ms: u64,
    /// Time from a start until it is warm, in milliseconds.
    pub cold_ms: u64,
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendRefusal {
    /// All slots are taken.
    Shed,
    /// Its fence is lower than one seen.
    StaleFence,
    /// This request was one too many in a cold start: the backend server fell over.
    FellOver,
}

/// State of a backend server on its one thread.
#[derive(Debug)]
pub struct BackendState {
    settings: BackendSettings,
    started_at: Millis,
    start_stamp: u64,
    announces_cold: bool,
    draining: bool,
    in_flight: u32,
    counts: BackendCounts,
    fences: HashMap<Name, u64>,
    journal: RunJournal,
    first_run: usize,
    peers: HashSet<SocketAddr>,
    straggle: u64,
    straggle_until: Millis,
    fault: Option<AnswerFault>,
    faults_left: u32,
    late_ms: u64,
    load_lag_ms: u64,
    load_percent: u32,
    samples: VecDeque<(Millis, u32)>,
}

impl BackendState {
    /// Makes a backend server that starts now.
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
            fences: HashMap::new(),
            journal: RunJournal::new(),
            first_run: 0,
            peers: HashSet::new(),
            straggle: 1,
            straggle_until: Millis(0),
            fault: None,
            faults_left: 0,
            late_ms: 0,
            load_lag_ms: 0,
            load_percent: 100,
            samples: VecDeque::new(),
        }
    }

    /// Returns the number that differs for every start.
    #[must_use]
    pub const fn start_stamp(&self) -> u64 {
        self.start_stamp
    }

    /// Whether it drains.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether it starts cold and says so.
    #[must_use]
    pub fn says_cold(&self, now: Millis) -> bool {
        self.announces_cold && self.is_cold(now)
    }

    /// Whether it has not been up long enough to be warm.
    fn is_cold(&self, now: Millis) -> bool {
        now.since(self.started_at) < self.settings.cold_ms
    }

    /// Requests that it bears at once: grows from one to all slots in a cold start.
    fn concurrency_limit(&self, now: Millis) -> u32 {
        if !self.is_cold(now) {
            return self.settings.slots;
        }
        let up_ms = now.since(self.started_at);
        let share = u64::from(self.settings.slots) * up_ms / self.settings.cold_ms.max(1);
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }

    /// Starts a run and returns its number.
    ///
    /// # Errors
    ///
    /// Why the request is not run.
    pub fn begin(&mut self, entry: RunEntry) -> Result<usize, BackendRefusal> {
        let now = entry.start;
        self.check_fence(&entry)?;
        if self.is_cold(now) && self.in_flight >= self.concurrency_limit(now) {
            self.counts.overruns += 1;
            return Err(BackendRefusal::FellOver);
        }
        if self.in_flight >= self.settings.slots {
            self.counts.shed += 1;
            return Err(BackendRefusal::Shed);
        }
        self.in_flight += 1;
        self.counts.runs += 1;
        self.counts.peak = self.counts.peak.max(self.in_flight);
        self.sample(now);
        Ok(self.journal.open(entry))
    }

    /// Refuses a fence lower than one seen of the same unit.
    ///
    /// # Errors
    ///
    /// [`BackendRefusal::StaleFence`].
    fn check_fence(&mut self, entry: &RunEntry) -> Result<(), BackendRefusal> {
        let Some(unit) = &entry.unit else {
            return Ok(());
        };
        let newest = self.fences.entry(Name::clone(unit)).or_default();
        if self.settings.checks_fence && entry.fence < *newest {
            self.counts.stale_fences += 1;
            return Err(BackendRefusal::StaleFence);
        }
        *newest = entry.fence.max(*newest);
        Ok(())
    }

    /// Ends a run.
    pub fn end(&mut self, number: usize, now: Millis, how: RunOutcome) {
        if number >= self.first_run {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        match how {
            RunOutcome::Cancelled => self.counts.cancelled += 1,
            RunOutcome::Late => self.counts.late += 1,
            RunOutcome::Open | RunOutcome::Done | RunOutcome::Lost => {}
        }
        self.sample(now);
        self.journal.close(number, now, how);
    }

    /// Starts cold once more, with all runs lost.
    pub fn restart(&mut self, now: Millis, start_stamp: u64, kind: RestartKind) {
        self.started_at = now;
        self.start_stamp = start_stamp;
        self.announces_cold = kind == RestartKind::Announced;
        self.fences.clear();
        self.first_run = self.journal.entries().len();
        self.in_flight = 0;
    }

    /// Changes the faults as commanded; a restart is left to the caller.
    pub fn set_faults(&mut self, now: Millis, command: &BackendFault) {
        if let Some(fault) = command.answer {
            self.fault = Some(fault);
            self.faults_left = command.answers;
        }
        if let Some(factor) = command.straggle {
            self.straggle = u64::from(factor);
            self.straggle_until = now.plus(command.straggle_for_ms);
        }
        self.late_ms = command.late_ms.unwrap_or(self.late_ms);
        self.draining = command.draining.unwrap_or(self.draining);
        self.load_lag_ms = command.load_lag_ms.unwrap_or(self.load_lag_ms);
        self.load_percent = command.load_percent.unwrap_or(self.load_percent);
    }

    /// Takes the fault of the next answer, if one is left.
    pub fn take_fault(&mut self) -> Option<AnswerFault> {
        self.faults_left = self.faults_left.checked_sub(1)?;
        self.fault
    }

    /// Returns how long work of a usual length takes now, in milliseconds.
    #[must_use]
    pub fn work_ms(&self, now: Millis, asked: Option<u64>) -> u64 {
        let usual = asked.unwrap_or(self.settings.work_ms);
        let factor = if now < self.straggle_until {
            self.straggle
        } else {
            1
        };
        usual * factor
    }

    /// Returns the delay of a late answer, in milliseconds.
    #[must_use]
    pub const fn late_ms(&self) -> u64 {
        self.late_ms
    }

    /// Remembers the present load.
    fn sample(&mut self, now: Millis) {
        if self.samples.len() >= SAMPLES_KEPT {
            self.samples.pop_front();
        }
        self.samples.push_back((now, self.in_flight));
    }

    /// Returns the load report, as old and as false as commanded.
    #[must_use]
    pub fn load(&self, now: Millis) -> LoadReport {
        let as_of = now.minus(self.load_lag_ms);
        let sample = self.samples.iter().rev().find(|(at, _)| *at <= as_of);
        let in_flight = sample.map_or(0, |(_, load)| *load);
        LoadReport {
            in_flight: in_flight * self.load_percent / 100,
            slots: self.settings.slots,
        }
    }

    /// Counts a connection by the address of its other end.
    pub fn see_connection(&mut self, peer: Option<SocketAddr>) {
        let is_new = peer.is_some_and(|peer| self.peers.insert(peer));
        self.counts.connections += u64::from(is_new);
    }

    /// Returns the counts.
    #[must_use]
    pub const fn counts(&self) -> BackendCounts {
        self.counts
    }

    /// Returns all runs.
    #[must_use]
    pub fn journal(&self) -> &[RunEntry] {
        self.journal.entries()
    }
}
