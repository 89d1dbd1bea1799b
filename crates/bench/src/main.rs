//! `jybench`: timed trials, checks over many seeds, and measurements. CI does not fail on its results.

use std::process::ExitCode;

use anyhow::Result;
use jy_bench::config_race;
use jy_bench::cost;
use jy_bench::demo;
use jy_bench::lease;
use jy_bench::lease_cost;
use jy_bench::lease_faults;
use jy_bench::lease_search;
use jy_bench::lease_traces;
use jy_bench::once;
use jy_bench::path;
use jy_bench::placement;
use jy_bench::policy;
use jy_bench::report;
use jy_bench::trials;

/// Subcommand: its name, one line of help, and the function that runs it with the remaining arguments.
struct BenchCommand {
    name: &'static str,
    help: &'static str,
    run: fn(&[String]) -> Result<report::FigureTable>,
}

const COMMANDS: &[BenchCommand] = &[
    BenchCommand {
        name: "config-race",
        help: "concurrent operators, lost answers, delayed agents: checks that no change is reverted",
        run: config_race::run,
    },
    BenchCommand {
        name: "demo",
        help: "load on both deployments as processes, while an owner is lost and an agent leaves",
        run: demo::run,
    },
    BenchCommand {
        name: "lease-check",
        help: "random schedules of the lease protocol, also with each rule broken on purpose",
        run: lease::check,
    },
    BenchCommand {
        name: "once",
        help: "random schedules of repeats, moves and losses: counts double runs and false refusals",
        run: once::run,
    },
    BenchCommand {
        name: "policy",
        help: "tail latency, overload, cold start and retries in virtual time, against a baseline",
        run: policy::run,
    },
    BenchCommand {
        name: "trial",
        help: "faults on real processes: owner, loss, outage, zone-out, answers, once, ...",
        run: trials::run,
    },
    BenchCommand {
        name: "lease-exhaustive",
        help: "every sequence of moves of small cases of the lease protocol",
        run: lease_search::exhaustive,
    },
    BenchCommand {
        name: "lease-faults",
        help: "effects of single faults on variants of the lease protocol",
        run: lease_faults::faults,
    },
    BenchCommand {
        name: "lease-cost",
        help: "processor time and bytes of the lease protocol",
        run: lease_cost::cost,
    },
    BenchCommand {
        name: "lease-record",
        help: "records the traces of the lease protocol into --dir",
        run: lease_traces::record,
    },
    BenchCommand {
        name: "placement",
        help: "imbalance, moves and settling time of placements; arguments: sizes of simulated fleets",
        run: placement::run,
    },
    BenchCommand {
        name: "path",
        help: "latency and processor time of a request: direct, same agent, across agents",
        run: path::run,
    },
    BenchCommand {
        name: "cost",
        help: "processor time, memory, bytes and store calls of the control plane, by fleet size",
        run: cost::run,
    },
];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command_name = arguments.first().map(String::as_str);
    let Some(command) = COMMANDS
        .iter()
        .find(|command| Some(command.name) == command_name)
    else {
        print_help();
        return ExitCode::from(2);
    };
    match (command.run)(&arguments[1..]).and_then(report::FigureTable::finish) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("jybench {}: {error:#}", command.name);
            ExitCode::from(2)
        }
    }
}

/// Prints the usage, the subcommands and the exit codes.
fn print_help() {
    eprintln!("usage: jybench COMMAND [--seed N] [--out FILE.json]\n\ncommands:");
    for command in COMMANDS {
        eprintln!("  {:<16} {}", command.name, command.help);
    }
    eprintln!("\nexit: 0 all bounds hold, 1 a bound is violated, 2 it could not run");
}
