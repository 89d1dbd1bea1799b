//! Parses the metrics that the report needs from the OpenMetrics text of an agent.

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

/// Result of parsing metrics.
pub type Result<T> = std::result::Result<T, ScrapeError>;

/// Error in the metrics of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScrapeError {
    /// A line of a required metric can't be parsed.
    #[error(
        "can't parse line {line} of the metrics: {text}; check that the agent runs this version"
    )]
    InvalidLine {
        /// Line number, from 1.
        line: usize,
        /// Text of the line.
        text: Name,
    },
    /// The start time of the process is missing, without which a restart can't be detected.
    #[error("the metrics lack {START_METRIC}; check that the agent runs this version")]
    MissingStart,
}

/// Workspace and service name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceName {
    /// Name of the workspace.
    pub workspace: Name,
    /// Name of the service.
    pub service: Name,
}

/// Cumulative bucket of a histogram of request durations.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurationBucket {
    /// Upper bound, in seconds. `None` for the bucket of all requests.
    pub bound: Option<f64>,
    /// Number of requests that took at most `bound`.
    pub count: f64,
}

/// Counters of one service at one agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Number of finished requests by outcome.
    pub outcomes: BTreeMap<Name, f64>,
    /// Buckets of request durations, ordered by bound.
    pub durations: Vec<DurationBucket>,
    /// Seconds during which keys were unavailable.
    pub unavailable_s: f64,
}

/// Counters of one service at one agent, with the service's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceScrape {
    /// Workspace and name of the service.
    #[serde(flatten)]
    pub name: ServiceName,
    /// Counters of the service.
    #[serde(flatten)]
    pub counters: ServiceCounters,
}

/// One sample of one agent. A file of samples contains one per line, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSample {
    /// Time of the sample on the clock of the operator's machine.
    pub at: WallMillis,
    /// Name of the agent.
    pub agent: Name,
    /// Counters of the agent. `None` if it did not answer or the answer can't be parsed.
    pub scrape: Option<AgentScrape>,
}

/// Counters of an agent at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentScrape {
    /// Start time of the process, in seconds since the Unix epoch. The counters were zero at that time.
    pub start: f64,
    /// Counters of each service.
    pub services: Vec<ServiceScrape>,
}

/// A parsed line of a metric.
struct MetricLine<'a> {
    name: &'a str,
    labels: Vec<(&'a str, Name)>,
    value: f64,
}

impl MetricLine<'_> {
    /// Returns the value of a label.
    fn label(&self, name: &str) -> Option<Name> {
        let found = self.labels.iter().find(|(other, _)| *other == name);
        found.map(|(_, value)| value.clone())
    }

    /// Returns the service in the labels.
    fn service(&self) -> Option<ServiceName> {
        Some(ServiceName {
            workspace: self.label("workspace")?,
            service: self.label("service")?,
        })
    }
}

/// Parses the required lines of an agent's metrics and ignores all others.
///
/// # Errors
///
/// Returns a [`ScrapeError`] if a required line can't be parsed or the start time of the process is missing.
pub fn parse(text: &str) -> Result<AgentScrape> {
    let mut services: BTreeMap<ServiceName, ServiceCounters> = BTreeMap::new();
    let mut start = None;
    for (index, line) in text.lines().enumerate() {
        if !is_required(line) {
            continue;
        }
        let added = parse_line(line).and_then(|metric| {
            if metric.name == START_METRIC {
                start = Some(metric.value);
                return Some(());
            }
            add_metric(&metric, services.entry(metric.service()?).or_default())
        });
        added.ok_or_else(|| ScrapeError::InvalidLine {
            line: index + 1,
            text: line.into(),
        })?;
    }
    for counters in services.values_mut() {
        counters
            .durations
            .sort_by(|left, right| sort_key(left).total_cmp(&sort_key(right)));
    }
    let entry = |(name, counters)| ServiceScrape { name, counters };
    Ok(AgentScrape {
        start: start.ok_or(ScrapeError::MissingStart)?,
        services: services.into_iter().map(entry).collect(),
    })
}

/// Returns the key that orders buckets by bound.
fn sort_key(bucket: &DurationBucket) -> f64 {
    bucket.bound.unwrap_or(f64::INFINITY)
}

/// Returns whether a line belongs to a required metric.
fn is_required(line: &str) -> bool {
    let name = line.split(['{', ' ']).next().unwrap_or_default();
    name == START_METRIC
        || name
            .strip_suffix("_total")
            .is_some_and(|name| name == REQUESTS_METRIC || name == UNAVAILABLE_METRIC)
        || name.strip_suffix("_bucket") == Some(DURATION_METRIC)
}

/// Adds a line to the counters of its service. Returns `None` if a label is missing or invalid.
fn add_metric(metric: &MetricLine<'_>, counters: &mut ServiceCounters) -> Option<()> {
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

/// Parses the bound of a bucket. The inner value is `None` for `+Inf`.
fn parse_bound(text: &str) -> Option<Option<f64>> {
    match text {
        "+Inf" => Some(None),
        text => text.parse().ok().map(Some),
    }
}

/// Parses `name{label="value",...} value` and ignores anything after the value.
fn parse_line(line: &str) -> Option<MetricLine<'_>> {
    let end = line.find(['{', ' '])?;
    let (name, mut remaining) = line.split_at(end);
    let mut labels = Vec::new();
    if let Some(label_text) = remaining.strip_prefix('{') {
        remaining = label_text;
        while !remaining.starts_with('}') {
            let (label, after) = remaining.split_once("=\"")?;
            let (value, after) = parse_quoted(after)?;
            labels.push((label, value));
            remaining = after.strip_prefix(',').unwrap_or(after);
        }
        remaining = remaining.strip_prefix('}')?;
    }
    let value = remaining.split_whitespace().next()?.parse().ok()?;
    Some(MetricLine {
        name,
        labels,
        value,
    })
}

/// Parses a quoted value after its opening quote. Returns the unescaped value and the text after the closing
/// quote.
fn parse_quoted(text: &str) -> Option<(Name, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => return Some((value.into(), &text[index + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}
