//! `jybench config-race`: simulates operators that race each other, lost calls and answers, and agents
//! that pull late, over many seeds, and counts reverted, repeated and misreported changes.

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

/// Operators, each of which changes one setting.
const OPERATORS: [&str; 6] = ["ada", "bo", "cy", "di", "eli", "fay"];
const AGENT_COUNT: usize = 5;
const STEPS_PER_ROUND: u32 = 120;
const DEFAULT_ROUNDS: u32 = 1_000;
const MAX_FAULTS_PER_WRITE: usize = 3;
/// Share of all events that restart an agent.
const RESTART_SHARE: f64 = 0.02;
/// Faults that an attempt to write may meet.
const FAULTS: [StoreFault; 3] = [
    StoreFault::LostCall,
    StoreFault::LostAnswer,
    StoreFault::DelayedCall,
];

/// Runs all rounds with every rule kept, and for the baselines with one of two rules broken.
///
/// # Errors
///
/// If the arguments cannot be parsed.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, DEFAULT_ROUNDS)?;
    let run_all = |broken| run_rounds(args.seed, args.rounds, broken);
    let correct = run_all(None);
    let last_writer_wins = run_all(Some(BrokenRule::WriteOverSeen));
    let peer_copies = run_all(Some(BrokenRule::MoveForward));
    let title = format!("config-race, seed {}, {} rounds", args.seed, args.rounds);
    Ok(build_table(
        title,
        args.out,
        &correct,
        &last_writer_wins,
        &peer_copies,
    ))
}

/// Tabulates the counts; each count of a violation must be zero.
fn build_table(
    title: String,
    out: Option<PathBuf>,
    correct: &RaceCounts,
    last_writer_wins: &RaceCounts,
    peer_copies: &RaceCounts,
) -> FigureTable {
    let mut table = FigureTable::new(title, out);
    for (name, count) in correct.counts() {
        let count_row = row(name, count);
        let violations = [
            "taken_back",
            "written_twice",
            "told_false",
            "agents_back",
            "agents_behind",
        ];
        table.rows.push(if violations.contains(&name) {
            count_row.with_at_most(0.0)
        } else {
            count_row
        });
    }
    let baselines = [
        ("last writer wins: writes", last_writer_wins.writes),
        ("last writer wins: taken_back", last_writer_wins.taken_back),
        (
            "peers' records copied: agents_back",
            peer_copies.agents_back,
        ),
    ];
    table
        .rows
        .extend(baselines.map(|(name, count)| row(name, count)));
    table
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn row(name: &str, count: u64) -> FigureRow {
    FigureRow::new(name, count as f64, "count")
}

/// Runs all rounds, optionally with one rule broken, and sums their counts.
fn run_rounds(seed: u64, rounds: u32, broken: Option<BrokenRule>) -> RaceCounts {
    let settings = RaceSettings {
        operators: OPERATORS.map(Into::into).to_vec(),
        agents: AGENT_COUNT,
        broken,
    };
    let run_round = |index: u32| {
        let mut rng = seeds::rng(seed.wrapping_add(u64::from(index)));
        let mut state = RaceState::new(settings.clone());
        let mut has_read = [false; OPERATORS.len()];
        for step in 0..STEPS_PER_ROUND {
            state.step(&draw_event(&mut rng, &mut has_read, step));
        }
        for agent in 0..AGENT_COUNT {
            state.step(&RaceEvent::Pull { agent, from: None });
        }
        state.finish()
    };
    let round_counts = (0..rounds).map(run_round);
    round_counts.fold(RaceCounts::default(), |sum, counts| sum.plus(&counts))
}

/// Draws the next event. An operator reads the configuration before each write.
fn draw_event(rng: &mut StdRng, has_read: &mut [bool; OPERATORS.len()], step: u32) -> RaceEvent {
    let agent = rng.random_range(0..AGENT_COUNT);
    if rng.random_bool(RESTART_SHARE) {
        return RaceEvent::Restart { agent };
    }
    if rng.random_bool(0.5) {
        let from = rng.random_range(0..=AGENT_COUNT);
        return RaceEvent::Pull {
            agent,
            from: (from < AGENT_COUNT).then_some(from),
        };
    }
    let operator = rng.random_range(0..OPERATORS.len());
    has_read[operator] = !has_read[operator];
    if has_read[operator] {
        return RaceEvent::Read { operator };
    }
    let faults = match rng.random_bool(0.5) {
        true => rng.random_range(1..=MAX_FAULTS_PER_WRITE),
        false => 0,
    };
    RaceEvent::Write {
        operator,
        slots: 1_000 + step,
        faults: (0..faults)
            .map(|_| FAULTS[rng.random_range(0..FAULTS.len())])
            .collect(),
    }
}
