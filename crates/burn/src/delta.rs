//! What happened between two looks at the same agent.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::WallMillis;

use crate::scrape::AgentSample;
use crate::scrape::AgentScrape;
use crate::scrape::DurationBucket;
use crate::scrape::ServiceCounters;
use crate::scrape::ServiceName;

/// An agent that is asked no more for this long has left, in milliseconds.
const GONE_AFTER_MS: u64 = 10_000;

/// Increase of one service's counters at one agent over a stretch of time.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterDelta {
    /// Name of the agent.
    pub agent: Name,
    /// Which service.
    pub service: ServiceName,
    /// Begin of the stretch.
    pub from: WallMillis,
    /// End of the stretch.
    pub to: WallMillis,
    /// The increase.
    pub counters: ServiceCounters,
}

/// Everything that a set of samples tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeltaSet {
    /// The increases, in order of their ends.
    pub deltas: Vec<CounterDelta>,
    /// Restarts seen, by agent.
    pub restarts: BTreeMap<Name, u32>,
    /// Looks at an agent that it did not answer, by agent.
    pub missed: BTreeMap<Name, u32>,
    /// Agents that answered at least once.
    pub agents: Vec<Name>,
    /// Of these, the ones that were not asked any more at the end.
    pub gone: Vec<Name>,
}

/// Works out the increases between the looks at each agent.
///
/// A changed start of the process tells a restart: the counters began at zero, and what the old
/// process counted after its last look is not seen. An agent that started after the first look at
/// anyone counts from zero as well; of any other the first look only sets the base.
#[must_use]
pub fn between(samples: &[AgentSample]) -> DeltaSet {
    let mut set = DeltaSet::default();
    let first = samples
        .iter()
        .map(|sample| sample.at)
        .min()
        .unwrap_or_default();
    let end = samples
        .iter()
        .map(|sample| sample.at)
        .max()
        .unwrap_or_default();
    let mut agents: BTreeMap<Name, Vec<&AgentSample>> = BTreeMap::new();
    for sample in samples {
        agents.entry(sample.agent.clone()).or_default().push(sample);
    }
    for (agent, mut looks) in agents {
        looks.sort_by_key(|sample| sample.at);
        take_agent(&mut set, &agent, &looks, first);
        let last = looks.last().map(|sample| sample.at).unwrap_or_default();
        if end.0.saturating_sub(last.0) > GONE_AFTER_MS {
            set.gone.push(agent);
        }
    }
    set.deltas.sort_by_key(|delta| delta.to);
    set
}

/// Takes in all looks at one agent.
fn take_agent(set: &mut DeltaSet, agent: &Name, looks: &[&AgentSample], first: WallMillis) {
    let mut last: Option<(WallMillis, &AgentScrape)> = None;
    for look in looks {
        let Some(scrape) = &look.scrape else {
            *set.missed.entry(agent.clone()).or_default() += 1;
            continue;
        };
        let start = start_of(scrape);
        let (from, base) = match last {
            Some((at, old)) if same_start(old, scrape) => (at, Some(old)),
            Some((at, _)) => {
                *set.restarts.entry(agent.clone()).or_default() += 1;
                (at.max(start), None)
            }
            None if start >= first => (start, None),
            None => (look.at, Some(scrape)),
        };
        push_deltas(&mut set.deltas, agent, (from, look.at), base, scrape);
        last = Some((look.at, scrape));
    }
    if last.is_some() {
        set.agents.push(agent.clone());
    }
}

/// Returns the start of an agent's process.
fn start_of(scrape: &AgentScrape) -> WallMillis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a time after 1970"
    )]
    WallMillis((scrape.start * 1_000.0) as u64)
}

/// Whether two looks saw the same process.
fn same_start(old: &AgentScrape, new: &AgentScrape) -> bool {
    start_of(old) == start_of(new)
}

/// Adds the increase of every service.
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

/// Subtracts older counters; a counter that is not there counts as zero.
fn increase(old: Option<&ServiceCounters>, new: &ServiceCounters) -> ServiceCounters {
    let Some(old) = old else {
        return new.clone();
    };
    let outcome = |(name, count): (&Name, &f64)| {
        let before = old.outcomes.get(name).copied().unwrap_or_default();
        (name.clone(), (count - before).max(0.0))
    };
    let bucket = |bucket: &DurationBucket| {
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
        outcomes: new.outcomes.iter().map(outcome).collect(),
        durations: new.durations.iter().map(bucket).collect(),
        unavailable_s: (new.unavailable_s - old.unavailable_s).max(0.0),
    }
}
