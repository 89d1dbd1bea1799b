//! Increases of counters between consecutive samples of the same agent.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::WallMillis;

use crate::scrape::AgentSample;
use crate::scrape::AgentScrape;
use crate::scrape::DurationBucket;
use crate::scrape::ServiceCounters;
use crate::scrape::ServiceName;

/// An agent without samples for longer than this before the newest sample is reported as gone.
const GONE_AFTER_MS: u64 = 10_000;

/// Increase of one service's counters at one agent over an interval.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterDelta {
    /// Name of the agent.
    pub agent: Name,
    /// Workspace and name of the service.
    pub service: ServiceName,
    /// Start of the interval.
    pub from: WallMillis,
    /// End of the interval.
    pub to: WallMillis,
    /// Increase of each counter.
    pub counters: ServiceCounters,
}

/// Increases of counters in a set of samples, and gaps in the samples.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeltaSet {
    /// Increases, ordered by the end of their interval.
    pub deltas: Vec<CounterDelta>,
    /// Number of detected restarts by agent.
    pub restarts: BTreeMap<Name, u32>,
    /// Number of unanswered samples by agent.
    pub missed: BTreeMap<Name, u32>,
    /// Agents that answered at least once.
    pub agents: Vec<Name>,
    /// Agents without recent samples at the end.
    pub gone: Vec<Name>,
}

/// Computes the increases between consecutive samples of each agent.
///
/// A changed start time of the process indicates a restart: the counters started at zero, and what the old
/// process counted after its last answered sample is lost. The counters of an agent whose process started at
/// or after the first sample of any agent are also counted from zero. For every other agent the first answered
/// sample is only the base.
#[must_use]
pub fn compute(samples: &[AgentSample]) -> DeltaSet {
    let mut set = DeltaSet::default();
    let first_at = samples
        .iter()
        .map(|sample| sample.at)
        .min()
        .unwrap_or_default();
    let last_at = samples
        .iter()
        .map(|sample| sample.at)
        .max()
        .unwrap_or_default();
    let mut agents: BTreeMap<Name, Vec<&AgentSample>> = BTreeMap::new();
    for sample in samples {
        agents.entry(sample.agent.clone()).or_default().push(sample);
    }
    for (agent, mut agent_samples) in agents {
        agent_samples.sort_by_key(|sample| sample.at);
        add_agent(&mut set, &agent, &agent_samples, first_at);
        let agent_last_at = agent_samples
            .last()
            .map(|sample| sample.at)
            .unwrap_or_default();
        if last_at.0.saturating_sub(agent_last_at.0) > GONE_AFTER_MS {
            set.gone.push(agent);
        }
    }
    set.deltas.sort_by_key(|delta| delta.to);
    set
}

/// Adds all samples of one agent, ordered by time.
fn add_agent(set: &mut DeltaSet, agent: &Name, samples: &[&AgentSample], first_at: WallMillis) {
    let mut last: Option<(WallMillis, &AgentScrape)> = None;
    for sample in samples {
        let Some(scrape) = &sample.scrape else {
            *set.missed.entry(agent.clone()).or_default() += 1;
            continue;
        };
        let start = process_start(scrape);
        let (from, base) = match last {
            Some((at, old)) if is_same_process(old, scrape) => (at, Some(old)),
            Some((at, _)) => {
                *set.restarts.entry(agent.clone()).or_default() += 1;
                (at.max(start), None)
            }
            None if start >= first_at => (start, None),
            None => (sample.at, Some(scrape)),
        };
        push_deltas(&mut set.deltas, agent, (from, sample.at), base, scrape);
        last = Some((sample.at, scrape));
    }
    if last.is_some() {
        set.agents.push(agent.clone());
    }
}

/// Returns the start time of an agent's process.
fn process_start(scrape: &AgentScrape) -> WallMillis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the start time is after the Unix epoch"
    )]
    WallMillis((scrape.start * 1_000.0) as u64)
}

/// Returns whether two scrapes are of the same process, judged by its start time.
fn is_same_process(old: &AgentScrape, new: &AgentScrape) -> bool {
    process_start(old) == process_start(new)
}

/// Adds the increase of every service. Without a `base` the counters started at zero.
fn push_deltas(
    deltas: &mut Vec<CounterDelta>,
    agent: &Name,
    (from, to): (WallMillis, WallMillis),
    base: Option<&AgentScrape>,
    scrape: &AgentScrape,
) {
    for service in &scrape.services {
        let old = base.and_then(|base| {
            base.services
                .iter()
                .find(|other| other.name == service.name)
                .map(|other| &other.counters)
        });
        deltas.push(CounterDelta {
            agent: agent.clone(),
            service: service.name.clone(),
            from,
            to,
            counters: increase(old, &service.counters),
        });
    }
}

/// Subtracts the older counters. A missing older counter counts as zero, and a decrease as no increase.
fn increase(old: Option<&ServiceCounters>, new: &ServiceCounters) -> ServiceCounters {
    let Some(old) = old else {
        return new.clone();
    };
    let outcome_increase = |(name, count): (&Name, &f64)| {
        let before = old.outcomes.get(name).copied().unwrap_or_default();
        (name.clone(), (count - before).max(0.0))
    };
    let bucket_increase = |bucket: &DurationBucket| {
        let before = old
            .durations
            .iter()
            .find(|other| other.bound == bucket.bound);
        DurationBucket {
            bound: bucket.bound,
            count: (bucket.count - before.map_or(0.0, |before| before.count)).max(0.0),
        }
    };
    ServiceCounters {
        outcomes: new.outcomes.iter().map(outcome_increase).collect(),
        durations: new.durations.iter().map(bucket_increase).collect(),
        unavailable_s: (new.unavailable_s - old.unavailable_s).max(0.0),
    }
}
