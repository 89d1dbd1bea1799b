//! Operators who race each other, answers that get lost, and agents that hear late, by many seeds.

use std::path::PathBuf;

use anyhow::Result;
use jy_ctl::replay::BrokenRule;
use jy_ctl::replay::RaceCounts;
use jy_ctl::replay::RaceEvent;
use jy_ctl::replay::RaceSettings;
use jy_ctl::replay::RaceState;
use jy_store::memory::StoreFault;
use jy_testutils::seeds;
use rand::Rng;
use rand::rngs::StdRng;

use crate::args;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Operators, one setting each.
const OPERATORS: [&str; 6] = ["ada", "bo", "cy", "di", "eli", "fay"];
/// Agents that hear of the configuration.
const AGENTS: usize = 5;
/// Steps of a round.
const STEPS: u32 = 120;
/// Default number of rounds.
const ROUNDS: u32 = 1_000;
/// Most attempts of one write that meet a fault.
const FAULTS_AT_MOST: usize = 3;
/// Share of an agent's events that are restarts.
const RESTART_SHARE: f64 = 0.02;
/// Faults that an attempt may meet.
const FAULTS: [StoreFault; 3] = [
    StoreFault::LostCall,
    StoreFault::LostAnswer,
    StoreFault::LateCall,
];

/// Runs `jybench config-race`.
///
/// # Errors
///
/// If an argument is not understood.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, ROUNDS)?;
    let tally = |broken| tally(args.seed, args.rounds, broken);
    let ours = tally(None);
    let last_writer = tally(Some(BrokenRule::WriteOverSeen));
    let copies = tally(Some(BrokenRule::MoveForward));
    let title = format!("config-race, seed {}, {} rounds", args.seed, args.rounds);
    Ok(table(title, args.out, &ours, &last_writer, &copies))
}

/// Writes the figures.
fn table(
    title: String,
    out: Option<PathBuf>,
    ours: &RaceCounts,
    last_writer: &RaceCounts,
    copies: &RaceCounts,
) -> FigureTable {
    let mut table = FigureTable::new(title, out);
    for (name, count) in ours.counts() {
        let row = row(name, count);
        let bounded = [
            "taken_back",
            "written_twice",
            "told_false",
            "agents_back",
            "agents_behind",
        ];
        table.rows.push(if bounded.contains(&name) {
            row.with_at_most(0.0)
        } else {
            row
        });
    }
    let baselines = [
        ("last writer wins: writes", last_writer.writes),
        ("last writer wins: taken_back", last_writer.taken_back),
        ("peers' records copied: agents_back", copies.agents_back),
    ];
    table
        .rows
        .extend(baselines.map(|(name, count)| row(name, count)));
    table
}

/// Makes one row.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn row(name: &str, count: u64) -> FigureRow {
    FigureRow::new(name, count as f64, "count")
}

/// Runs all rounds, with a rule switched off or not.
fn tally(seed: u64, rounds: u32, broken: Option<BrokenRule>) -> RaceCounts {
    let settings = RaceSettings {
        operators: OPERATORS.map(Into::into).to_vec(),
        agents: AGENTS,
        broken,
    };
    let round = |round: u32| {
        let mut random = seeds::rng(seed.wrapping_add(u64::from(round)));
        let mut state = RaceState::new(settings.clone());
        let mut seen = [false; OPERATORS.len()];
        for step in 0..STEPS {
            state.step(&event(&mut random, &mut seen, step));
        }
        for agent in 0..AGENTS {
            state.step(&RaceEvent::Pull { agent, from: None });
        }
        state.finish()
    };
    let tallies = (0..rounds).map(round);
    tallies.fold(RaceCounts::default(), |sum, tally| sum.plus(&tally))
}

/// Draws the next event. An operator looks before each write.
fn event(random: &mut StdRng, seen: &mut [bool; OPERATORS.len()], step: u32) -> RaceEvent {
    let agent = random.random_range(0..AGENTS);
    if random.random_bool(RESTART_SHARE) {
        return RaceEvent::Restart { agent };
    }
    if random.random_bool(0.5) {
        let from = random.random_range(0..=AGENTS);
        return RaceEvent::Pull {
            agent,
            from: (from < AGENTS).then_some(from),
        };
    }
    let operator = random.random_range(0..OPERATORS.len());
    seen[operator] = !seen[operator];
    if seen[operator] {
        return RaceEvent::Read { operator };
    }
    let faults = match random.random_bool(0.5) {
        true => random.random_range(1..=FAULTS_AT_MOST),
        false => 0,
    };
    RaceEvent::Write {
        operator,
        slots: 1_000 + step,
        faults: (0..faults)
            .map(|_| FAULTS[random.random_range(0..FAULTS.len())])
            .collect(),
    }
}
