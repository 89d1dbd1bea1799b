//! Cost of the lease protocol: processor time of the decisions and bytes of the messages.

use std::hint::black_box;
use std::time::Instant;

use anyhow::Result;
use jy_lease::holder::HolderEvent;
use jy_lease::holder::HolderState;
use jy_lease::monitor::MonitorEvent;
use jy_lease::monitor::MonitorState;
use jy_lease::timing::LeaseTiming;
use jy_types::member::AgentId;
use jy_types::member::MonitorSet;
use jy_types::peer::Renewal;
use jy_types::peer::RenewalReply;
use jy_types::peer::VoteNotice;
use jy_types::time::Millis;
use serde::Serialize;

use crate::lease::LeaseOptions;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Rounds to time unless told otherwise by `--schedules`.
const ROUNDS: u64 = 200_000;
/// Monitors of each agent, and agents that each monitor watches.
const MONITORS: u64 = 3;
/// Most of a core that a node may spend on control.
const CORE_LIMIT_PERCENT: f64 = 4.1;
/// Most bytes a second that a node may send and receive for control.
const BYTES_LIMIT: f64 = 22_000.0;

/// `lease-cost`: time of each step and size of each message.
///
/// # Errors
///
/// If the arguments are wrong or a message has no JSON form.
pub fn cost(arguments: &[String]) -> Result<FigureTable> {
    let options = LeaseOptions::new(arguments, ROUNDS)?;
    let rounds = options.schedules;
    let title = format!("lease-cost: {rounds} rounds, {MONITORS} monitors");
    let mut table = FigureTable::new(title, options.out);
    let holder_us = time_holder(rounds);
    let monitor_us = time_monitor(rounds);
    let per_second = 1_000.0 / LeaseTiming::default().renew_every_ms as f64;
    let core = (holder_us + monitor_us) * per_second / 1e6 * 100.0;
    let renewal = bytes_of(&renewal())?;
    let reply = bytes_of(&reply())?;
    let sent = (renewal + reply) * MONITORS as f64 * per_second;
    table.rows = vec![
        FigureRow::new("holder: a round and its answers", holder_us, "us"),
        FigureRow::new("monitor: a renewal of each watched agent", monitor_us, "us"),
        FigureRow::new("decisions of a node", core, "% core").with_at_most(CORE_LIMIT_PERCENT),
        FigureRow::new("renewal", renewal, "bytes"),
        FigureRow::new("reply", reply, "bytes"),
        FigureRow::new("vote", bytes_of(&vote())?, "bytes"),
        FigureRow::new(
            "messages of a node, sent and received",
            4.0 * MONITORS as f64 * per_second,
            "/s",
        ),
        FigureRow::new(
            "payload of a node, sent and received",
            2.0 * sent,
            "bytes/s",
        )
        .with_at_most(BYTES_LIMIT),
    ];
    Ok(table)
}

/// An agent with a name of usual length.
fn agent(number: u64) -> AgentId {
    AgentId::new(
        format!("verifier-kingston-b-{number:03}"),
        u64::MAX - number,
    )
}

/// Microseconds of a round of renewals and the answers to it.
fn time_holder(rounds: u64) -> f64 {
    let monitors: Vec<AgentId> = (1..=MONITORS).map(agent).collect();
    let current = MonitorSet {
        epoch: 1,
        monitors: monitors.clone(),
    };
    let timing = LeaseTiming::default();
    let event = HolderEvent::Sets {
        current,
        next: None,
    };
    let (mut holder, _) = HolderState::new(agent(0), timing).step(Millis(1), event);
    let start = Instant::now();
    for round in 1..=rounds {
        let now = Millis(round * timing.renew_every_ms);
        holder = holder.step(now, HolderEvent::Tick).0;
        for monitor in &monitors {
            let event = HolderEvent::Reply {
                monitor: monitor.clone(),
                sequence: round,
                accepted: true,
            };
            holder = black_box(holder.step(now, event).0);
        }
    }
    micros_each(start, rounds)
}

/// Microseconds of a renewal of each watched agent.
fn time_monitor(rounds: u64) -> f64 {
    let agents: Vec<AgentId> = (1..=MONITORS).map(agent).collect();
    let timing = LeaseTiming::default();
    let until = Millis::MAX;
    let monitor = MonitorState::new(agent(0), timing);
    let (monitor, _) = monitor.step(Millis(1), MonitorEvent::OwnLease { until });
    let (mut monitor, _) = monitor.step(Millis(1), MonitorEvent::Watched(agents.clone()));
    let start = Instant::now();
    for round in 1..=rounds {
        let now = Millis(round * timing.renew_every_ms);
        for from in &agents {
            let event = MonitorEvent::Renewal {
                from: from.clone(),
                sequence: round,
            };
            monitor = black_box(monitor.step(now, event).0);
        }
    }
    micros_each(start, rounds)
}

fn micros_each(start: Instant, rounds: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

/// Length of a message's JSON text.
///
/// # Errors
///
/// If it has none.
fn bytes_of(message: &impl Serialize) -> Result<f64> {
    Ok(serde_json::to_string(message)?.len() as f64)
}

fn renewal() -> Renewal {
    Renewal {
        from: agent(0),
        to: agent(1),
        sequence: 1_000_000,
        revision: 10_000_000,
    }
}

const fn reply() -> RenewalReply {
    RenewalReply {
        sequence: 1_000_000,
        accepted: true,
        revision: 10_000_000,
    }
}

fn vote() -> VoteNotice {
    VoteNotice {
        from: agent(0),
        target: agent(1),
    }
}
