//! Checks the journals of all backend servers for overlapping owners, stale runs and double runs.

use std::collections::BTreeMap;

use jy_standins::journal::RunEntry;
use jy_standins::journal::RunOutcome;
use jy_types::name::Name;
use jy_types::time::Millis;

/// A run with the backend server that ran it.
#[derive(Clone, Debug)]
pub struct ServerRun {
    /// Name of the backend server's node.
    pub server: Name,
    /// The run.
    pub run: RunEntry,
}

/// Findings of a check of journals.
#[derive(Clone, Debug, Default)]
pub struct JournalFindings {
    /// Number of runs.
    pub runs: u64,
    /// Number of runs that carried a unit. Owners can be compared only for these.
    pub runs_with_unit: u64,
    /// Pairs of runs of one unit at two backend servers at the same time.
    pub overlaps: Vec<(ServerRun, ServerRun)>,
    /// Runs of a unit that began under a lower fence after a run of the unit under a higher fence had begun.
    pub stale_runs: Vec<ServerRun>,
    /// Idempotency keys of requests that ran more than once, with the number of runs.
    pub double_runs: Vec<(Name, usize)>,
}

/// Checks the runs of all journals. Each run comes with its scope, `workspace/service`: units with the same
/// name in different scopes are different units.
#[must_use]
pub fn check(runs: &[(Name, ServerRun)]) -> JournalFindings {
    let mut by_unit: BTreeMap<(Name, Name), Vec<&ServerRun>> = BTreeMap::new();
    let mut by_id: BTreeMap<Name, usize> = BTreeMap::new();
    for (scope, run) in runs {
        if let Some(unit) = &run.run.unit {
            let unit = (Name::clone(scope), Name::clone(unit));
            by_unit.entry(unit).or_default().push(run);
        }
        if let Some(id) = &run.run.idempotency_key {
            *by_id.entry(Name::clone(id)).or_default() += 1;
        }
    }
    let mut findings = JournalFindings {
        runs: runs.len() as u64,
        runs_with_unit: by_unit.values().map(|runs| runs.len() as u64).sum(),
        double_runs: by_id.into_iter().filter(|(_, count)| *count > 1).collect(),
        ..JournalFindings::default()
    };
    for runs in by_unit.values_mut() {
        check_unit(runs, &mut findings);
    }
    findings
}

/// Checks the runs of one unit for overlaps between backend servers and for stale runs.
fn check_unit(runs: &mut [&ServerRun], findings: &mut JournalFindings) {
    runs.sort_by_key(|run| run.run.start);
    for (index, first) in runs.iter().enumerate() {
        let first_end = end_of(first);
        let later = runs[index + 1..].iter();
        for second in later.take_while(|second| second.run.start < first_end) {
            if second.server != first.server {
                findings
                    .overlaps
                    .push((ServerRun::clone(first), ServerRun::clone(second)));
            }
        }
    }
    let mut newest: Option<(u64, Millis)> = None;
    for run in runs.iter() {
        if newest.is_some_and(|(fence, _)| run.run.fence < fence) {
            findings.stale_runs.push(ServerRun::clone(run));
        }
        newest = newest.max(Some((run.run.fence, run.run.start)));
    }
}

/// Returns the end of a run, or the latest point in time while the run is open. A run whose answer could not
/// be sent has ended too.
const fn end_of(run: &ServerRun) -> Millis {
    match run.run.how {
        RunOutcome::Open => Millis::MAX,
        _ => run.run.end,
    }
}
