//! `jybench lease-record`: records traces of the lease protocol under chosen faults.

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
use jy_testutils::lease_check::settings::DrawFaults;

use crate::report::FigureRow;
use crate::report::FigureTable;

/// A trace to record, of the agent on instance `TARGET`.
struct TraceCase {
    name: &'static str,
    agents: usize,
    seed: u64,
    draw_faults: DrawFaults,
}

/// Start of the first fault, in real time.
const FAULT_START_MS: u64 = 7_000;
/// Length of a trace, in real time.
const TRACE_DURATION_MS: u64 = 22_000;
/// Duration of partitions and of stale records.
const FAULT_DURATION_MS: u64 = 12_000;
/// Instance of the agent that is recorded.
const TARGET: usize = 0;

const TRACES: [TraceCase; 10] = [
    TraceCase {
        name: "kill",
        agents: 6,
        seed: 1,
        draw_faults: |_, _| vec![fault_after(0, KILL_TARGET)],
    },
    TraceCase {
        name: "freeze_and_return",
        agents: 6,
        seed: 1,
        draw_faults: |_, _| {
            let store_partition = one_way_partition(target(), MachineSet::of_store());
            vec![
                fault_after(0, STALE_RECORDS),
                fault_after(0, store_partition),
                fault_after(0, FREEZE_TARGET),
            ]
        },
    },
    TraceCase {
        name: "answers_cut",
        agents: 6,
        seed: 1,
        draw_faults: |_, _| {
            vec![fault_after(
                0,
                one_way_partition(target().complement(), target()),
            )]
        },
    },
    TraceCase {
        name: "one_monitor_cut",
        agents: 4,
        seed: 1,
        draw_faults: |_, _| two_way_partition(0, target(), MachineSet::of_slot(1)),
    },
    TraceCase {
        name: "stale_controller",
        agents: 6,
        seed: 1,
        draw_faults: |_, _| {
            vec![
                fault_after(0, FREEZE_CONTROLLER),
                fault_after(500, KILL_TARGET),
            ]
        },
    },
    TraceCase {
        name: "monitors_changed",
        agents: 9,
        seed: 1,
        draw_faults: |_, _| {
            let change = Fault::ChangeMonitors { count: 2 };
            vec![fault_after(0, STALE_RECORDS), fault_after(100, change)]
        },
    },
    TraceCase {
        name: "cut_with_drift",
        agents: 6,
        seed: 1,
        draw_faults: |_, _| {
            let mut faults = two_way_partition(0, target(), target().complement());
            faults.push(fault_after(0, STALE_RECORDS));
            faults
        },
    },
    TraceCase {
        name: "dead_monitor",
        agents: 4,
        seed: 1,
        draw_faults: |_, _| {
            let monitor = MachineSet::of_slot(1);
            let others = monitor.union(target()).complement();
            with_isolation(two_way_partition(3_500, monitor, others))
        },
    },
    TraceCase {
        name: "left_monitor",
        agents: 4,
        seed: 1,
        draw_faults: |_, _| with_isolation(vec![fault_after(3_500, Fault::Leave { slot: 1 })]),
    },
    TraceCase {
        name: "late_answers",
        agents: 5,
        seed: 9,
        draw_faults: |_, _| Vec::new(),
    },
];

const KILL_TARGET: Fault = Fault::Kill {
    slot: TARGET,
    restart_after: None,
};
const FREEZE_TARGET: Fault = Fault::Freeze {
    slot: TARGET,
    duration_ms: 5_000,
};
const STALE_RECORDS: Fault = Fault::DelayRecords {
    slot: TARGET,
    duration_ms: FAULT_DURATION_MS,
};
const FREEZE_CONTROLLER: Fault = Fault::FreezeController {
    controller: 0,
    duration_ms: 5_000,
};
/// Delays half of all messages by up to 4 s, for the trace `late_answers`.
const SLOW_NETWORK: NetworkProfile = NetworkProfile {
    max_usual_ms: 60,
    max_slow_ms: 4_000,
    slow_share: 0.5,
    lost_share: 0.0,
};

const fn target() -> MachineSet {
    MachineSet::of_slot(TARGET)
}

const fn fault_after(delay_ms: u64, fault: Fault) -> TimedFault {
    TimedFault {
        at: FAULT_START_MS + delay_ms,
        fault,
    }
}

const fn one_way_partition(from: MachineSet, to: MachineSet) -> Fault {
    Fault::Partition {
        from,
        to,
        duration_ms: FAULT_DURATION_MS,
    }
}

fn two_way_partition(delay_ms: u64, one: MachineSet, other: MachineSet) -> Vec<TimedFault> {
    vec![
        fault_after(delay_ms, one_way_partition(one, other)),
        fault_after(delay_ms, one_way_partition(other, one)),
    ]
}

/// Adds faults to the loss of monitor 1: its records are stale, the recorded agent reaches no
/// controller, and 1.5 s after the loss it is cut off from monitor 2 as well.
fn with_isolation(mut faults: Vec<TimedFault>) -> Vec<TimedFault> {
    faults.extend(two_way_partition(0, target(), MachineSet::of_controllers()));
    faults.extend(two_way_partition(5_000, target(), MachineSet::of_slot(2)));
    let duration_ms = FAULT_DURATION_MS;
    faults.push(fault_after(
        3_500,
        Fault::DelayRecords {
            slot: 1,
            duration_ms,
        },
    ));
    faults
}

impl TraceCase {
    /// Returns the settings of the schedule.
    fn settings(&self) -> CheckSettings {
        let settings = CheckSettings {
            duration_ms: TRACE_DURATION_MS,
            ..CheckSettings::reliable(self.agents, self.draw_faults)
        };
        if self.name == "late_answers" {
            CheckSettings {
                network: SLOW_NETWORK,
                ..settings
            }
        } else {
            settings
        }
    }
}

/// Runs `lease-record`: records every trace into a folder.
///
/// # Errors
///
/// If `--dir` is missing, an option is unknown, the seed is not a number, or a trace can't be encoded or
/// written.
pub fn record(arguments: &[String]) -> Result<FigureTable> {
    let mut options = Options::new();
    options.optopt("", "dir", "folder to write the traces to", "DIR");
    options.optopt("", "seed", "seed for all traces, instead of their own", "N");
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
