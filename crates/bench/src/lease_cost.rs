//! `jybench lease-cost`: processor time of the decisions and size of the messages of the lease
//! protocol.

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

/// Rounds to time if the arguments have no `--schedules`.
const DEFAULT_ROUNDS: u64 = 200_000;
/// Monitors of each agent, and agents that each monitor watches.
const MONITORS: u64 = 3;
/// Bound on the share of a core that a node spends on control.
const MAX_CORE_PERCENT: f64 = 4.1;
/// Bound on the bytes per second that a node sends and receives for control.
const MAX_BYTES_PER_S: f64 = 22_000.0;

/// Runs `lease-cost`: times each step and measures the size of each message.
///
/// # Errors
///
/// If an option is unknown, or its value is missing or not a number, or if a message can't be encoded as JSON.
pub fn cost(arguments: &[String]) -> Result<FigureTable> {
    let options = LeaseOptions::parse(arguments, DEFAULT_ROUNDS)?;
    let rounds = options.schedules;
    let title = format!("lease-cost: {rounds} rounds, {MONITORS} monitors");
    let mut table = FigureTable::new(title, options.out);
    let holder_us = time_holder(rounds);
    let monitor_us = time_monitor(rounds);
    let rounds_per_s = 1_000.0 / LeaseTiming::default().renew_every_ms as f64;
    let core_percent = (holder_us + monitor_us) * rounds_per_s / 1e6 * 100.0;
    let renewal_bytes = json_bytes(&renewal())?;
    let reply_bytes = json_bytes(&reply())?;
    let sent_bytes_per_s = (renewal_bytes + reply_bytes) * MONITORS as f64 * rounds_per_s;
    table.rows = vec![
        FigureRow::new("holder: a round and its answers", holder_us, "us"),
        FigureRow::new("monitor: a renewal of each watched agent", monitor_us, "us"),
        FigureRow::new("decisions of a node", core_percent, "% core")
            .with_at_most(MAX_CORE_PERCENT),
        FigureRow::new("renewal", renewal_bytes, "bytes"),
        FigureRow::new("reply", reply_bytes, "bytes"),
        FigureRow::new("vote", json_bytes(&vote())?, "bytes"),
        FigureRow::new(
            "messages of a node, sent and received",
            4.0 * MONITORS as f64 * rounds_per_s,
            "/s",
        ),
        FigureRow::new(
            "payload of a node, sent and received",
            2.0 * sent_bytes_per_s,
            "bytes/s",
        )
        .with_at_most(MAX_BYTES_PER_S),
    ];
    Ok(table)
}

/// Makes an agent id with a name of typical length and a long incarnation number.
fn agent(number: u64) -> AgentId {
    AgentId::new(
        format!("verifier-kingston-b-{number:03}"),
        u64::MAX - number,
    )
}

/// Returns the mean microseconds of a holder's round of renewals with all replies.
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
    mean_us(start, rounds)
}

/// Returns the mean microseconds of a monitor for one renewal from each watched agent.
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
    mean_us(start, rounds)
}

fn mean_us(start: Instant, rounds: u64) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

/// Returns the size of a message encoded as JSON.
///
/// # Errors
///
/// If the message can't be encoded.
fn json_bytes(message: &impl Serialize) -> Result<f64> {
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
