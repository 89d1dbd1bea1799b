//! One look at an agent's metrics: the few lines of OpenMetrics text that the report needs.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::status::DURATION_METRIC;
use jy_types::status::REQUESTS_METRIC;
use jy_types::status::START_METRIC;
use jy_types::status::UNAVAILABLE_METRIC;
use jy_types::time::WallMillis;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Result of this module.
pub type Result<T> = std::result::Result<T, ScrapeError>;

/// Why an agent's metrics were not read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScrapeError {
    /// A line of a needed metric is not understood.
    #[error(
        "line {line} of the metrics is not understood: {text}; is it an agent of this version?"
    )]
    Line {
        /// Line, from 1.
        line: usize,
        /// The line.
        text: Name,
    },
    /// The start of the process is missing, without which a restart can't be told.
    #[error("the metrics lack {START_METRIC}; is it an agent of this version?")]
    NoStart,
}

/// Workspace and service name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceName {
    /// Workspace.
    pub workspace: Name,
    /// Service.
    pub service: Name,
}

/// Requests that took at most `bound` seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurationBucket {
    /// Upper bound, in seconds; none for the bucket of all.
    pub bound: Option<f64>,
    /// Requests.
    pub count: f64,
}

/// Counters of one service at one agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Finished requests by outcome.
    pub outcomes: BTreeMap<Name, f64>,
    /// Durations, in order of their bounds.
    pub durations: Vec<DurationBucket>,
    /// Seconds during which keys were unavailable.
    pub unavailable_s: f64,
}

/// Counters of one service, for a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceScrape {
    /// Which service.
    #[serde(flatten)]
    pub name: ServiceName,
    /// Its counters.
    #[serde(flatten)]
    pub counters: ServiceCounters,
}

/// One look at one agent. A file of samples holds one a line, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSample {
    /// When, by the operator's clock.
    pub at: WallMillis,
    /// Name of the agent.
    pub agent: Name,
    /// What it said; none if it did not answer.
    pub scrape: Option<AgentScrape>,
}

/// What an agent's metrics say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentScrape {
    /// Start of the process, in seconds since the Unix epoch. Counters begin at zero there.
    pub start: f64,
    /// Counters of each service.
    pub services: Vec<ServiceScrape>,
}

/// One line of a metric.
struct MetricLine<'a> {
    name: &'a str,
    labels: Vec<(&'a str, Name)>,
    value: f64,
}

impl MetricLine<'_> {
    /// Returns a label's value.
    fn label(&self, name: &str) -> Option<Name> {
        let found = self.labels.iter().find(|(other, _)| *other == name);
        found.map(|(_, value)| value.clone())
    }

    /// Returns the service that the line is about.
    fn service(&self) -> Option<ServiceName> {
        Some(ServiceName {
            workspace: self.label("workspace")?,
            service: self.label("service")?,
        })
    }
}

/// Reads the needed lines of an agent's metrics; all others are passed over.
///
/// # Errors
///
/// [`ScrapeError`].
pub fn read(text: &str) -> Result<AgentScrape> {
    let mut services: BTreeMap<ServiceName, ServiceCounters> = BTreeMap::new();
    let mut start = None;
    for (index, line) in text.lines().enumerate() {
        if !is_needed(line) {
            continue;
        }
        let taken = parse_line(line).and_then(|metric| {
            if metric.name == START_METRIC {
                start = Some(metric.value);
                return Some(());
            }
            take(&metric, services.entry(metric.service()?).or_default())
        });
        taken.ok_or_else(|| ScrapeError::Line {
            line: index + 1,
            text: line.into(),
        })?;
    }
    for counters in services.values_mut() {
        counters
            .durations
            .sort_by(|left, right| order(left).total_cmp(&order(right)));
    }
    let entry = |(name, counters)| ServiceScrape { name, counters };
    Ok(AgentScrape {
        start: start.ok_or(ScrapeError::NoStart)?,
        services: services.into_iter().map(entry).collect(),
    })
}

/// The bound of a bucket, to sort by.
fn order(bucket: &DurationBucket) -> f64 {
    bucket.bound.unwrap_or(f64::INFINITY)
}

/// Whether a line is of a needed metric.
fn is_needed(line: &str) -> bool {
    let name = line.split(['{', ' ']).next().unwrap_or_default();
    name == START_METRIC
        || name
            .strip_suffix("_total")
            .is_some_and(|name| name == REQUESTS_METRIC || name == UNAVAILABLE_METRIC)
        || name.strip_suffix("_bucket") == Some(DURATION_METRIC)
}

/// Adds a line to the counters of its service.
fn take(metric: &MetricLine<'_>, counters: &mut ServiceCounters) -> Option<()> {
    match metric.name.strip_suffix("_total") {
        Some(REQUESTS_METRIC) => {
            let outcome = metric.label("outcome")?;
            *counters.outcomes.entry(outcome).or_default() += metric.value;
        }
        Some(UNAVAILABLE_METRIC) => counters.unavailable_s += metric.value,
        _ => counters.durations.push(DurationBucket {
            bound: parse_bound(&metric.label("le")?)?,
            count: metric.value,
        }),
    }
    Some(())
}

/// Parses the bound of a bucket.
fn parse_bound(text: &str) -> Option<Option<f64>> {
    match text {
        "+Inf" => Some(None),
        text => text.parse().ok().map(Some),
    }
}

/// Parses `name{label="value",...} value`, with whatever comes after the value left out.
fn parse_line(line: &str) -> Option<MetricLine<'_>> {
    let end = line.find(['{', ' '])?;
    let (name, mut rest) = line.split_at(end);
    let mut labels = Vec::new();
    if let Some(inside) = rest.strip_prefix('{') {
        rest = inside;
        while !rest.starts_with('}') {
            let (label, after) = rest.split_once("=\"")?;
            let (value, after) = parse_quoted(after)?;
            labels.push((label, value));
            rest = after.strip_prefix(',').unwrap_or(after);
        }
        rest = rest.strip_prefix('}')?;
    }
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some(MetricLine {
        name,
        labels,
        value,
    })
}

/// Reads a quoted value up to its closing quote and returns what follows.
fn parse_quoted(text: &str) -> Option<(Name, &str)> {
    let mut value = String::new();
    let mut letters = text.char_indices();
    while let Some((index, letter)) = letters.next() {
        match letter {
            '"' => return Some((value.into(), &text[index + 1..])),
            '\\' => match letters.next()?.1 {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}
