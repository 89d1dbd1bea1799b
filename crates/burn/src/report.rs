//! Computes the report: error budgets, burn rates, objectives that page, and top causes of failures.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::WallMillis;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::WorkspaceRecord;
use serde::Serialize;

use crate::delta;
use crate::delta::CounterDelta;
use crate::delta::DeltaSet;
use crate::scrape::AgentSample;
use crate::scrape::ServiceName;
use crate::window;
use crate::window::RequestCounts;
use crate::window::TimeWindow;

/// Number of points in the series of a service.
const SERIES_POINTS: u64 = 60;

/// Windows, and the burn rate at which an objective pages.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnSettings {
    /// Length of the short window, in milliseconds.
    pub short_ms: u64,
    /// Length of the long window, in milliseconds.
    pub long_ms: u64,
    /// Period of the error budget, in milliseconds.
    pub period_ms: u64,
    /// An objective pages if its burn rate reaches this value in both windows.
    pub page_at: f64,
}

impl Default for BurnSettings {
    fn default() -> Self {
        Self {
            short_ms: 5 * 60 * 1_000,
            long_ms: 60 * 60 * 1_000,
            period_ms: 30 * 24 * 60 * 60 * 1_000,
            page_at: 14.4,
        }
    }
}

/// Report on all services.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// Time of the newest sample.
    pub at: WallMillis,
    /// Time of the oldest sample.
    pub since: WallMillis,
    /// Settings that the report was computed with.
    pub settings: BurnSettings,
    /// Agents that answered at least once.
    pub agents: Vec<Name>,
    /// Agents with unanswered samples, and the number of these. What an agent counted in the meantime may be
    /// missing.
    pub missed: BTreeMap<Name, u32>,
    /// Agents that restarted, and the number of restarts. What the old process counted after its last answered
    /// sample is missing.
    pub restarts: BTreeMap<Name, u32>,
    /// Agents without recent samples. What they counted after their last answered sample is missing.
    pub gone: Vec<Name>,
    /// Services of the workspaces.
    pub services: Vec<ServiceBurn>,
}

/// Report on one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Workspace and name of the service.
    #[serde(flatten)]
    pub name: ServiceName,
    /// Availability zones of the workspace that are taken out of service.
    pub zones_out: Vec<Name>,
    /// Objective for the share of requests served.
    pub availability: ObjectiveBurn,
    /// Objective for the share of answers within the latency bound.
    pub latency: ObjectiveBurn,
    /// Latency bound used, in milliseconds. It is the highest bucket bound that is not above the target.
    pub latency_bound_ms: Option<f64>,
    /// Time during which keys were unavailable.
    pub unavailable: UnavailableBurn,
    /// Causes of failed and slow requests in the long window, most frequent first.
    pub causes: Vec<CauseCount>,
    /// Requests over the covered part of the long window.
    pub series: Vec<SeriesPoint>,
}

/// Measurements of one objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObjectiveBurn {
    /// Target, in percent.
    pub target_percent: f64,
    /// Measurements over the short window.
    pub short: WindowBurn,
    /// Measurements over the long window.
    pub long: WindowBurn,
    /// Remaining error budget according to all samples within the period, in percent of the budget. Negative if
    /// overspent, `None` without requests.
    pub budget_left_percent: Option<f64>,
    /// Whether the burn rates of both windows are high enough to page.
    pub pages: bool,
}

/// Measurements of one objective over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Length of the part of the window that the samples cover, in milliseconds.
    pub covered_ms: u64,
    /// Number of requests that met the objective.
    pub good: f64,
    /// Number of requests that count towards the objective.
    pub total: f64,
    /// Share of bad requests divided by the share that the target allows. `None` without requests.
    pub burn_rate: Option<f64>,
}

/// Time during which keys were unavailable in the long window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UnavailableBurn {
    /// Target for the longest unavailable period, in seconds.
    pub target_s: f64,
    /// Total unavailable time, in seconds.
    pub total_s: f64,
    /// Longest unavailable period at one agent, in seconds.
    pub longest_s: f64,
    /// Whether the longest period exceeds the target.
    pub pages: bool,
}

/// Number of failed or slow requests with the same cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CauseCount {
    /// Name of the refusal, or `slow` for answers that exceeded the latency bound.
    pub cause: Name,
    /// Number of requests.
    pub count: f64,
    /// Share of all requests that count towards availability, in percent.
    pub share_percent: f64,
}

/// Requests in one interval of the long window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SeriesPoint {
    /// End of the interval.
    pub at: WallMillis,
    /// Number of requests that count towards availability.
    pub total: f64,
    /// Share of these requests that were not served, in percent.
    pub bad_percent: f64,
    /// Share of answers that exceeded the latency bound, in percent.
    pub slow_percent: f64,
}

/// Computes the report on the services of `workspaces` from samples.
#[must_use]
pub fn build_report(
    samples: &[AgentSample],
    workspaces: &[WorkspaceRecord],
    settings: &BurnSettings,
) -> BurnReport {
    let sample_times = || samples.iter().map(|sample| sample.at);
    let set = delta::compute(samples);
    let since = sample_times().min().unwrap_or_default();
    let at = sample_times().max().unwrap_or_default();
    let mut services = Vec::new();
    for workspace in workspaces {
        for spec in &workspace.services {
            let analysis = ServiceAnalysis::new(workspace, spec, &set, (since, at), settings);
            services.push(analysis.into_report());
        }
    }
    let DeltaSet {
        restarts,
        missed,
        agents,
        gone,
        ..
    } = set;
    BurnReport {
        at,
        since,
        settings: settings.clone(),
        agents,
        missed,
        restarts,
        gone,
        services,
    }
}

/// Inputs of the report on one service.
struct ServiceAnalysis<'a> {
    name: ServiceName,
    workspace: &'a WorkspaceRecord,
    spec: &'a ServiceSpec,
    deltas: Vec<&'a CounterDelta>,
    since: WallMillis,
    at: WallMillis,
    settings: &'a BurnSettings,
}

impl<'a> ServiceAnalysis<'a> {
    /// Creates an analysis of a service and selects its deltas.
    fn new(
        workspace: &'a WorkspaceRecord,
        spec: &'a ServiceSpec,
        set: &'a DeltaSet,
        (since, at): (WallMillis, WallMillis),
        settings: &'a BurnSettings,
    ) -> Self {
        let name = ServiceName {
            workspace: workspace.name.clone(),
            service: spec.name.clone(),
        };
        let deltas = set.deltas.iter().filter(|delta| delta.service == name);
        Self {
            deltas: deltas.collect(),
            name,
            workspace,
            spec,
            since,
            at,
            settings,
        }
    }

    /// Computes the report on the service.
    fn into_report(self) -> ServiceBurn {
        let target = &self.spec.target;
        let long_counts = self.count_requests(self.settings.long_ms);
        ServiceBurn {
            zones_out: self.workspace.zones_out.clone(),
            availability: self.objective(target.availability_percent, RequestCounts::availability),
            latency: self.objective(target.latency_percent, RequestCounts::latency),
            latency_bound_ms: long_counts.latency_bound_ms,
            unavailable: self.unavailable(),
            causes: causes(&long_counts),
            series: self.series(),
            name: self.name,
        }
    }

    /// Returns the window of the given length that ends with the newest sample.
    fn window(&self, length_ms: u64) -> TimeWindow {
        TimeWindow {
            from: WallMillis(self.at.0.saturating_sub(length_ms)),
            to: self.at,
        }
    }

    /// Counts the requests in the window of the given length.
    fn count_requests(&self, length_ms: u64) -> RequestCounts {
        RequestCounts::new(
            &self.deltas,
            self.window(length_ms),
            self.spec.target.latency_ms,
        )
    }

    /// Computes one objective. `count` returns the numbers of good requests and of all requests that count.
    fn objective(
        &self,
        target_percent: f64,
        count: impl Fn(&RequestCounts) -> (f64, f64),
    ) -> ObjectiveBurn {
        let allowed = 1.0 - target_percent / 100.0;
        let burn_rate =
            |(good, total): (f64, f64)| (total > 0.0).then(|| (total - good) / total / allowed);
        let window = |window_ms: u64| {
            let (good, total) = count(&self.count_requests(window_ms));
            WindowBurn {
                window_ms,
                covered_ms: window_ms.min(self.at.0 - self.since.0),
                good,
                total,
                burn_rate: burn_rate((good, total)),
            }
        };
        let short = window(self.settings.short_ms);
        let long = window(self.settings.long_ms);
        let budget_used = burn_rate(count(&self.count_requests(self.settings.period_ms)));
        let is_paging_rate = |window: &WindowBurn| {
            window
                .burn_rate
                .is_some_and(|rate| rate >= self.settings.page_at)
        };
        ObjectiveBurn {
            target_percent,
            pages: is_paging_rate(&short) && is_paging_rate(&long),
            short,
            long,
            budget_left_percent: budget_used.map(|used| 100.0 * (1.0 - used)),
        }
    }

    /// Computes the time during which keys were unavailable.
    fn unavailable(&self) -> UnavailableBurn {
        let window = self.window(self.settings.long_ms);
        let total_s = self
            .deltas
            .iter()
            .map(|delta| delta.counters.unavailable_s * window.share(delta))
            // `sum` of no items would return negative zero.
            .fold(0.0, |total, part| total + part);
        let longest_s = window::longest_unavailable_s(&self.deltas, window);
        let target = std::time::Duration::from_millis(self.spec.target.key_unavailable_ms);
        let target_s = target.as_secs_f64();
        UnavailableBurn {
            target_s,
            total_s,
            longest_s,
            pages: longest_s > target_s,
        }
    }

    /// Returns the requests over time, in equal intervals of the covered part of the long window.
    fn series(&self) -> Vec<SeriesPoint> {
        let long_window = self.window(self.settings.long_ms);
        let from = long_window.from.max(self.since);
        let interval_ms = (self.at.0 - from.0) / SERIES_POINTS;
        if interval_ms == 0 {
            return Vec::new();
        }
        let point = |index: u64| {
            let interval = TimeWindow {
                from: WallMillis(from.0 + index * interval_ms),
                to: WallMillis(from.0 + (index + 1) * interval_ms),
            };
            let counts = RequestCounts::new(&self.deltas, interval, self.spec.target.latency_ms);
            SeriesPoint {
                at: interval.to,
                total: counts.availability().1,
                bad_percent: bad_percent(counts.availability()),
                slow_percent: bad_percent(counts.latency()),
            }
        };
        (0..SERIES_POINTS).map(point).collect()
    }
}

/// Returns the share of bad requests, in percent. Zero without requests.
fn bad_percent((good, total): (f64, f64)) -> f64 {
    if total > 0.0 {
        100.0 * (total - good) / total
    } else {
        0.0
    }
}

/// Returns the causes of failed and slow requests, most frequent first.
fn causes(counts: &RequestCounts) -> Vec<CauseCount> {
    let (_, total) = counts.availability();
    let (within_bound, answers) = counts.latency();
    let slow = ("slow".into(), answers - within_bound);
    let cause_counts = counts.bad.clone().into_iter().chain([slow]);
    let mut causes: Vec<_> = cause_counts
        .filter(|(_, count)| *count > 0.0)
        .map(|(cause, count)| CauseCount {
            cause,
            count,
            share_percent: if total > 0.0 {
                100.0 * count / total
            } else {
                0.0
            },
        })
        .collect();
    causes.sort_by(|left, right| right.count.total_cmp(&left.count));
    causes
}
