//! Records the traces of the lease protocol.

use std::fs;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use jy_testutils::lease_check::fault::Fault;
use jy_testutils::lease_check::fault::TimedFault;
use jy_testutils::lease_check::network::MachineSet;
use jy_testutils::lease_check::network::NetworkProfile;
use jy_testutils::lease_check::record::record_random;
use jy_testutils::lease_check::settings::CheckSettings;
use jy_testutils::lease_check::settings::FaultDraw;

use crate::report::FigureRow;
use crate::report::FigureTable;

/// A trace to record; it is about the agent of instance 0.
struct TraceCase {
    name: &'static str,
    agents: usize,
    seed: u64,
    draw: FaultDraw,
}

/// When the fault begins, in real milliseconds.
const BEGIN_MS: u64 = 7_000;
/// Length of a trace in real milliseconds.
const LENGTH_MS: u64 = 22_000;
/// How long a fault lasts that ends by itself.
const LASTS_MS: u64 = 12_000;
/// The agent that a trace is about.
const TARGET: usize = 0;

/// All traces.
const TRACES: [TraceCase; 10] = [
    TraceCase {
        name: "kill",
        agents: 6,
        seed: 1,
        draw: |_, _| vec![after(0, KILL)],
    },
    TraceCase {
        name: "freeze_and_return",
        agents: 6,
        seed: 1,
        draw: |_, _| {
            let unread = cut(target(), MachineSet::of_store());
            vec![after(0, BEHIND), after(0, unread), after(0, FREEZE)]
        },
    },
    TraceCase {
        name: "answers_cut",
        agents: 6,
        seed: 1,
        draw: |_, _| vec![after(0, cut(target().others(), target()))],
    },
    TraceCase {
        name: "one_monitor_cut",
        agents: 4,
        seed: 1,
        draw: |_, _| cut_both(0, target(), MachineSet::of_slot(1)),
    },
    TraceCase {
        name: "stale_controller",
        agents: 6,
        seed: 1,
        draw: |_, _| vec![after(0, STALE), after(500, KILL)],
    },
    TraceCase {
        name: "monitors_changed",
        agents: 9,
        seed: 1,
        draw: |_, _| {
            let change = Fault::ChangeMonitors { count: 2 };
            vec![after(0, BEHIND), after(100, change)]
        },
    },
    TraceCase {
        name: "cut_with_drift",
        agents: 6,
        seed: 1,
        draw: |_, _| {
            let mut faults = cut_both(0, target(), target().others());
            faults.push(after(0, BEHIND));
            faults
        },
    },
    TraceCase {
        name: "dead_monitor",
        agents: 4,
        seed: 1,
        draw: |_, _| {
            let monitor = MachineSet::of_slot(1);
            let rest = monitor.with(target()).others();
            with_isolation(cut_both(3_500, monitor, rest))
        },
    },
    TraceCase {
        name: "left_monitor",
        agents: 4,
        seed: 1,
        draw: |_, _| with_isolation(vec![after(3_500, Fault::Leave { slot: 1 })]),
    },
    TraceCase {
        name: "late_answers",
        agents: 5,
        seed: 9,
        draw: |_, _| Vec::new(),
    },
];

const KILL: Fault = Fault::Kill {
    slot: TARGET,
    restart_after: None,
};
const FREEZE: Fault = Fault::Freeze {
    slot: TARGET,
    lasts: 5_000,
};
const BEHIND: Fault = Fault::Behind {
    slot: TARGET,
    lasts: LASTS_MS,
};
const STALE: Fault = Fault::FreezeController {
    controller: 0,
    lasts: 5_000,
};
/// Half of all messages late, as in the trace of late answers.
const LATE: NetworkProfile = NetworkProfile {
    usual_ms: 60,
    slow_ms: 4_000,
    slow_share: 0.5,
    lost_share: 0.0,
};

const fn target() -> MachineSet {
    MachineSet::of_slot(TARGET)
}

const fn after(later: u64, fault: Fault) -> TimedFault {
    TimedFault {
        at: BEGIN_MS + later,
        fault,
    }
}

const fn cut(from: MachineSet, to: MachineSet) -> Fault {
    Fault::Cut {
        from,
        to,
        lasts: LASTS_MS,
    }
}

fn cut_both(later: u64, one: MachineSet, other: MachineSet) -> Vec<TimedFault> {
    vec![after(later, cut(one, other)), after(later, cut(other, one))]
}

/// Adds to the loss of monitor 1 that it is behind on the records, that the agent reaches no
/// controller and that it is cut from monitor 2.
fn with_isolation(mut faults: Vec<TimedFault>) -> Vec<TimedFault> {
    faults.extend(cut_both(0, target(), MachineSet::of_controllers()));
    faults.extend(cut_both(5_000, target(), MachineSet::of_slot(2)));
    let lasts = LASTS_MS;
    faults.push(after(3_500, Fault::Behind { slot: 1, lasts }));
    faults
}

impl TraceCase {
    /// Settings of the schedule.
    fn settings(&self) -> CheckSettings {
        let settings = CheckSettings {
            length: LENGTH_MS,
            ..CheckSettings::reliable(self.agents, self.draw)
        };
        if self.name == "late_answers" {
            CheckSettings {
                network: LATE,
                ..settings
            }
        } else {
            settings
        }
    }
}

/// `lease-record`: records every trace into a folder.
///
/// # Errors
///
/// If the arguments are wrong or a file can't be written.
pub fn record(arguments: &[String]) -> Result<FigureTable> {
    let mut options = Options::new();
    options.optopt("", "dir", "folder of the traces", "DIR");
    options.optopt("", "seed", "seed in place of each trace's own", "N");
    options.optopt("", "out", "also write the figures as JSON", "FILE");
    let matches = options.parse(arguments)?;
    let dir = matches.opt_str("dir").context("--dir is missing")?;
    let seed = matches.opt_get("seed").context("--seed must be a number")?;
    let out = matches.opt_str("out").map(Into::into);
    let mut table = FigureTable::new("lease-record", out);
    for case in &TRACES {
        let seed = seed.unwrap_or(case.seed);
        let text = record_random(&case.settings(), TARGET, seed)?;
        let path = Path::new(&dir).join(format!("{}.jsonl", case.name));
        fs::write(&path, &text).with_context(|| format!("could not write {}", path.display()))?;
        let row = FigureRow::new(case.name, text.lines().count() as f64, "lines");
        table.rows.push(row.with_at_least(2.0));
    }
    Ok(table)
}
