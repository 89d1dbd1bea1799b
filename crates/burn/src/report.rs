//! The report: error budget, burn rates, what would page, and top causes.

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

/// Points of a plot.
const SERIES_POINTS: u64 = 60;

/// Windows and the burn rate that pages.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnSettings {
    /// Length of the short window, in milliseconds.
    pub short_ms: u64,
    /// Length of the long window, in milliseconds.
    pub long_ms: u64,
    /// The period that the error budget is for, in milliseconds.
    pub period_ms: u64,
    /// A burn rate at least this high in both windows pages.
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

/// What the samples say about all services.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// When the newest sample was taken.
    pub at: WallMillis,
    /// When the oldest sample was taken.
    pub since: WallMillis,
    /// The windows.
    pub settings: BurnSettings,
    /// Agents that answered.
    pub agents: Vec<Name>,
    /// Agents that did not answer, with the number of misses: what they counted meanwhile may be
    /// missing.
    pub missed: BTreeMap<Name, u32>,
    /// Agents that restarted, with the number of times: what the old process counted after its last
    /// look is missing.
    pub restarts: BTreeMap<Name, u32>,
    /// Agents that left: what they counted after their last look is missing.
    pub gone: Vec<Name>,
    /// The services.
    pub services: Vec<ServiceBurn>,
}

/// What the samples say about one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Which service.
    #[serde(flatten)]
    pub name: ServiceName,
    /// Availability zones taken out.
    pub zones_out: Vec<Name>,
    /// Share of requests served.
    pub availability: ObjectiveBurn,
    /// Share of requests served within the latency bound.
    pub latency: ObjectiveBurn,
    /// The latency bound that was used, in milliseconds: the highest bucket within the target.
    pub latency_bound_ms: Option<f64>,
    /// Unavailable time of keys.
    pub unavailable: UnavailableBurn,
    /// What went wrong in the long window, most frequent first.
    pub causes: Vec<CauseCount>,
    /// Requests over time.
    pub series: Vec<SeriesPoint>,
}

/// One objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObjectiveBurn {
    /// Its target, in percent.
    pub target_percent: f64,
    /// The short window.
    pub short: WindowBurn,
    /// The long window.
    pub long: WindowBurn,
    /// Error budget left of all samples within the period, in percent of the budget; negative if
    /// overdrawn, none without requests.
    pub budget_left_percent: Option<f64>,
    /// Whether both windows burn fast enough to page.
    pub pages: bool,
}

/// One objective over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window_ms: u64,
    /// How much of it the samples cover.
    pub covered_ms: u64,
    /// Requests that met the objective.
    pub good: f64,
    /// Requests that count.
    pub total: f64,
    /// Share of bad requests over the share that the target allows; none without requests.
    pub burn_rate: Option<f64>,
}

/// Unavailable time of keys over the long window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UnavailableBurn {
    /// The target, in seconds.
    pub target_s: f64,
    /// All unavailable time counted, in seconds.
    pub total_s: f64,
    /// The longest stretch at one agent, in seconds.
    pub longest_s: f64,
    /// Whether it is past the target.
    pub pages: bool,
}

/// How often something went wrong.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CauseCount {
    /// Name of the refusal, or `slow` for an answer past the latency bound.
    pub cause: Name,
    /// Requests.
    pub count: f64,
    /// Share of all requests that count, in percent.
    pub share_percent: f64,
}

/// Requests within one part of the long window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SeriesPoint {
    /// End of the part.
    pub at: WallMillis,
    /// Requests that count.
    pub total: f64,
    /// Of these, not served, in percent.
    pub bad_percent: f64,
    /// Of the answers, past the latency bound, in percent.
    pub slow_percent: f64,
}

/// Makes the report of the services of `workspaces` from samples.
#[must_use]
pub fn make(
    samples: &[AgentSample],
    workspaces: &[WorkspaceRecord],
    settings: &BurnSettings,
) -> BurnReport {
    let times = || samples.iter().map(|sample| sample.at);
    let set = delta::between(samples);
    let since = times().min().unwrap_or_default();
    let at = times().max().unwrap_or_default();
    let mut services = Vec::new();
    for workspace in workspaces {
        for spec in &workspace.services {
            let frame = ServiceFrame::new(workspace, spec, &set, (since, at), settings);
            services.push(frame.burn());
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

/// All that the figures of one service are made from.
struct ServiceFrame<'a> {
    name: ServiceName,
    workspace: &'a WorkspaceRecord,
    spec: &'a ServiceSpec,
    deltas: Vec<&'a CounterDelta>,
    since: WallMillis,
    at: WallMillis,
    settings: &'a BurnSettings,
}

impl<'a> ServiceFrame<'a> {
    /// Chooses the deltas of a service.
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

    /// Works out all figures.
    fn burn(self) -> ServiceBurn {
        let target = &self.spec.target;
        let long = self.tally(self.settings.long_ms);
        ServiceBurn {
            zones_out: self.workspace.zones_out.clone(),
            availability: self.objective(target.availability_percent, RequestCounts::availability),
            latency: self.objective(target.latency_percent, RequestCounts::latency),
            latency_bound_ms: long.latency_bound_ms,
            unavailable: self.unavailable(),
            causes: causes(&long),
            series: self.series(),
            name: self.name,
        }
    }

    /// Returns the window that ends with the newest sample.
    fn window(&self, length_ms: u64) -> TimeWindow {
        TimeWindow {
            from: WallMillis(self.at.0.saturating_sub(length_ms)),
            to: self.at,
        }
    }

    /// Adds up the requests of a window.
    fn tally(&self, length_ms: u64) -> RequestCounts {
        RequestCounts::new(
            &self.deltas,
            self.window(length_ms),
            self.spec.target.latency_ms,
        )
    }

    /// Works out one objective.
    fn objective(
        &self,
        target_percent: f64,
        count: impl Fn(&RequestCounts) -> (f64, f64),
    ) -> ObjectiveBurn {
        let allowed = 1.0 - target_percent / 100.0;
        let rate =
            |(good, total): (f64, f64)| (total > 0.0).then(|| (total - good) / total / allowed);
        let window = |window_ms: u64| {
            let (good, total) = count(&self.tally(window_ms));
            WindowBurn {
                window_ms,
                covered_ms: window_ms.min(self.at.0 - self.since.0),
                good,
                total,
                burn_rate: rate((good, total)),
            }
        };
        let short = window(self.settings.short_ms);
        let long = window(self.settings.long_ms);
        let used = rate(count(&self.tally(self.settings.period_ms)));
        let fast = |window: &WindowBurn| {
            window
                .burn_rate
                .is_some_and(|rate| rate >= self.settings.page_at)
        };
        ObjectiveBurn {
            target_percent,
            pages: fast(&short) && fast(&long),
            short,
            long,
            budget_left_percent: used.map(|used| 100.0 * (1.0 - used)),
        }
    }

    /// Works out the unavailable time of keys.
    fn unavailable(&self) -> UnavailableBurn {
        let window = self.window(self.settings.long_ms);
        let total_s = self
            .deltas
            .iter()
            .map(|delta| delta.counters.unavailable_s * window.share(delta))
            // The sum of nothing would be a negative zero.
            .fold(0.0, |total, part| total + part);
        let longest_s = window::longest_stretch_s(&self.deltas, window);
        let target_s = std::time::Duration::from_millis(self.spec.target.key_unavailable_ms);
        let target_s = target_s.as_secs_f64();
        UnavailableBurn {
            target_s,
            total_s,
            longest_s,
            pages: longest_s > target_s,
        }
    }

    /// Cuts the covered part of the long window into equal parts.
    fn series(&self) -> Vec<SeriesPoint> {
        let whole = self.window(self.settings.long_ms);
        let from = whole.from.max(self.since);
        let length = (self.at.0 - from.0) / SERIES_POINTS;
        if length == 0 {
            return Vec::new();
        }
        let point = |index: u64| {
            let part = TimeWindow {
                from: WallMillis(from.0 + index * length),
                to: WallMillis(from.0 + (index + 1) * length),
            };
            let tally = RequestCounts::new(&self.deltas, part, self.spec.target.latency_ms);
            SeriesPoint {
                at: part.to,
                total: tally.availability().1,
                bad_percent: bad_percent(tally.availability()),
                slow_percent: bad_percent(tally.latency()),
            }
        };
        (0..SERIES_POINTS).map(point).collect()
    }
}

/// Returns the share of bad requests in percent; zero without requests.
fn bad_percent((good, total): (f64, f64)) -> f64 {
    if total > 0.0 {
        100.0 * (total - good) / total
    } else {
        0.0
    }
}

/// Sorts what went wrong by how often it did.
fn causes(tally: &RequestCounts) -> Vec<CauseCount> {
    let (_, total) = tally.availability();
    let (fast, answers) = tally.latency();
    let slow = ("slow".into(), answers - fast);
    let counts = tally.bad.clone().into_iter().chain([slow]);
    let mut causes: Vec<_> = counts
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
