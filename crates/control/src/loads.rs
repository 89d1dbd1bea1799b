//! Request rates of units, smoothed over the reports of their owners.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::assign::Fence;
use jy_types::key::KeyHash;
use jy_types::key::PAGE_SLICES;
use jy_types::key::PAGES;
use jy_types::key::SLICES;
use jy_types::member::AgentId;
use jy_types::peer::AgentReport;
use jy_types::time::Millis;

/// Interval at which reports are merged into the smoothed loads.
const REFRESH_INTERVAL_MS: u64 = 2_000;

/// Weight of a new sample in the exponential moving average of a load.
const SMOOTHING_FACTOR: f32 = 0.3;

/// Number of samples of a slice that are discarded after a change of its pins. After a change of its fence, the
/// first sample under the new fence is discarded in addition. A discarded sample may cover only a part of the
/// report period, or the time before the change too.
const SKIPPED_SAMPLES: u8 = 1;

/// Samples that a slice needs to count as sampled in [`ServiceLoads::is_sampled`].
const MIN_SLICE_SAMPLES: u8 = 2;

/// Share of slices that need [`MIN_SLICE_SAMPLES`] before load is rebalanced.
const MIN_SAMPLED_SHARE: f64 = 0.95;

/// Reports that every owner must have sent before load is rebalanced.
const MIN_REPORTS: u32 = 3;

/// Time without a report after which rebalancing no longer waits for an owner.
const REPORT_TIMEOUT_MS: u64 = 10_000;

/// Smoothed load of one slice.
#[derive(Clone, Copy, Debug, Default)]
struct SliceLoadAverage {
    /// Requests per second.
    rate: f32,
    samples: u8,
    /// Samples still to discard.
    samples_to_skip: u8,
    /// Fence of the grant that the last sample was reported under.
    fence: Fence,
}

impl SliceLoadAverage {
    /// Adds a sample to the average, or discards it if the owner has just changed.
    fn add_sample(&mut self, fence: Fence, rate: f32) {
        if self.fence != fence {
            self.fence = fence;
            self.samples_to_skip = SKIPPED_SAMPLES;
            return;
        }
        if self.samples_to_skip > 0 {
            self.samples_to_skip -= 1;
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING_FACTOR.max(1.0 / f32::from(self.samples));
        self.rate += (rate - self.rate) * weight;
    }
}

/// Smoothed load of one hot key.
#[derive(Clone, Copy, Debug)]
pub struct HotKey {
    /// Requests per second.
    pub rate: f32,
    /// Samples in the average.
    pub samples: u8,
    /// Time of the last report that listed the key.
    last_reported: Millis,
}

/// Loads of one service.
#[derive(Clone, Debug)]
pub struct ServiceLoads {
    slices: Vec<SliceLoadAverage>,
    keys: BTreeMap<KeyHash, HotKey>,
    /// Number of reports and time of the last one, by owner.
    reports: BTreeMap<AgentId, (u32, Millis)>,
    /// Mean requests per second of the slices that have been reported.
    mean_rate: f32,
}

impl Default for ServiceLoads {
    fn default() -> Self {
        Self {
            slices: vec![SliceLoadAverage::default(); SLICES as usize],
            keys: BTreeMap::new(),
            reports: BTreeMap::new(),
            mean_rate: 0.0,
        }
    }
}

impl ServiceLoads {
    /// Returns the smoothed requests per second of a slice, excluding its pinned keys. A slice that
    /// has not been reported yet gets the mean rate.
    #[must_use]
    pub fn slice_rate(&self, slice: usize) -> f32 {
        match self.slices.get(slice) {
            Some(load) if load.samples > 0 => load.rate,
            _ => self.mean_rate,
        }
    }

    /// Whether at least [`MIN_SAMPLED_SHARE`] of the slices have enough samples.
    #[must_use]
    pub fn is_sampled(&self) -> bool {
        let has_samples = |load: &&SliceLoadAverage| load.samples >= MIN_SLICE_SAMPLES;
        let sampled = self.slices.iter().filter(has_samples).count();
        sampled as f64 >= self.slices.len() as f64 * MIN_SAMPLED_SHARE
    }

    /// Recomputes the mean rate of the slices that have been reported.
    fn update_mean_rate(&mut self) {
        let reported = self.slices.iter().filter(|load| load.samples > 0);
        let (count, sum) = reported.fold((0_u32, 0.0_f64), |(count, sum), load| {
            (count + 1, sum + f64::from(load.rate))
        });
        self.mean_rate = (sum / f64::from(count.max(1))) as f32;
    }

    /// Returns the smoothed requests per second of a key, or zero if it is not hot.
    #[must_use]
    pub fn key_rate(&self, key: KeyHash) -> f32 {
        self.keys.get(&key).map_or(0.0, |load| load.rate)
    }

    /// Returns the hot keys with their loads.
    pub fn hot_keys(&self) -> impl Iterator<Item = (KeyHash, HotKey)> {
        self.keys.iter().map(|(key, load)| (*key, *load))
    }

    /// Subtracts a key's rate from its slice when the key is pinned, or adds it back when it is unpinned.
    /// The next sample of the slice is discarded, because it covers the time before the change too.
    pub fn update_slice_for_pin(&mut self, key: KeyHash, pinned: bool) {
        let rate = self.key_rate(key);
        let slice = &mut self.slices[key.slice().0 as usize];
        let rate = if pinned { -rate } else { rate };
        slice.rate = (slice.rate + rate).max(0.0);
        slice.samples_to_skip = slice.samples_to_skip.max(SKIPPED_SAMPLES);
    }

    /// Whether an owner has sent [`MIN_REPORTS`] reports, or none for [`REPORT_TIMEOUT_MS`], so that
    /// rebalancing need not wait for it. `since` is when this controller was elected.
    #[must_use]
    pub fn has_enough_reports(&self, now: Millis, owner: &AgentId, since: Millis) -> bool {
        match self.reports.get(owner) {
            Some((reports, last)) => {
                *reports >= MIN_REPORTS || now.since(*last) > REPORT_TIMEOUT_MS
            }
            None => now.since(since) > REPORT_TIMEOUT_MS,
        }
    }
}

/// Loads of all keyed services.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    services: BTreeMap<ServiceKey, ServiceLoads>,
    /// The latest report of each agent since the last refresh.
    pending_reports: BTreeMap<AgentId, AgentReport>,
    /// Time of the next refresh.
    refresh_due: Millis,
}

impl LoadTable {
    /// Returns the loads of a service.
    #[must_use]
    pub fn service(&self, service: &ServiceKey) -> Option<&ServiceLoads> {
        self.services.get(service)
    }

    /// Returns the loads of a service for modification; adds empty ones if it has none.
    pub fn service_mut(&mut self, service: &ServiceKey) -> &mut ServiceLoads {
        self.services.entry(service.clone()).or_default()
    }

    /// Keeps a report until the next refresh, replacing the agent's earlier one.
    pub fn set_report(&mut self, report: AgentReport) {
        self.pending_reports.insert(report.from.clone(), report);
    }

    /// Removes all loads. Used on a change of role, when reports may have gone to another controller.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Merges the reports since the last refresh into the smoothed loads if a refresh is due. Returns
    /// whether it was due.
    pub fn refresh(&mut self, now: Millis, view: &FleetView) -> bool {
        if now < self.refresh_due {
            return false;
        }
        self.refresh_due = now.plus(REFRESH_INTERVAL_MS);
        let reports = std::mem::take(&mut self.pending_reports);
        let mut by_service: BTreeMap<ServiceKey, Vec<AgentReport>> = BTreeMap::new();
        for report in reports.into_values() {
            let endpoint = view
                .member(&report.from)
                .and_then(|member| member.endpoint.as_ref());
            if let Some(endpoint) = endpoint {
                let service = (endpoint.workspace.clone(), endpoint.service.clone());
                by_service.entry(service).or_default().push(report);
            }
        }
        for (service, reports) in by_service {
            if view.pages.contains_key(&service) {
                let loads = self.services.entry(service.clone()).or_default();
                merge_slice_loads(loads, now, view, &service, &reports);
                loads.update_mean_rate();
                merge_key_loads(loads, now, view, &service, &reports);
            }
        }
        true
    }
}

/// Merges the reported loads of slices. A slice that its owner's report omits had no requests.
fn merge_slice_loads(
    loads: &mut ServiceLoads,
    now: Millis,
    view: &FleetView,
    service: &ServiceKey,
    reports: &[AgentReport],
) {
    let mut rates = vec![0.0_f32; SLICES as usize];
    let mut reporters = vec![usize::MAX; SLICES as usize];
    for (index, report) in reports.iter().enumerate() {
        let entry = loads.reports.entry(report.from.clone()).or_default();
        *entry = (entry.0 + 1, now);
        for load in &report.slices {
            let slice = load.slice.0 as usize;
            if slice < rates.len() && load.rate.is_finite() {
                rates[slice] = load.rate.max(0.0);
                reporters[slice] = index;
            }
        }
    }
    let Some(pages) = view.pages.get(service) else {
        return;
    };
    for (number, page) in pages.iter().filter(|(number, _)| **number < PAGES) {
        let report_of = |id: &AgentId| reports.iter().position(|report| report.from == *id);
        let report_by_owner: Vec<Option<usize>> = page.value.owners.iter().map(report_of).collect();
        for (offset, grant) in page.value.slices.iter().enumerate() {
            let owner_report = grant
                .owner
                .and_then(|owner| report_by_owner[usize::from(owner)]);
            let Some(owner_report) = owner_report else {
                continue;
            };
            let slice = *number as usize * PAGE_SLICES as usize + offset;
            let from_owner = reporters[slice] == owner_report;
            let rate = if from_owner { rates[slice] } else { 0.0 };
            loads.slices[slice].add_sample(grant.fence, rate);
        }
    }
}

/// Merges the reported loads of hot keys. A key that its owner's report omits gets a sample of zero; the
/// load of a key whose owner did not report is not changed.
fn merge_key_loads(
    loads: &mut ServiceLoads,
    now: Millis,
    view: &FleetView,
    service: &ServiceKey,
    reports: &[AgentReport],
) {
    let reporters: BTreeSet<&AgentId> = reports.iter().map(|report| &report.from).collect();
    let has_reported = |key: KeyHash| {
        let grant = view.grant(service, view.unit_of(service, key));
        let owner = grant.and_then(|grant| grant.owner);
        owner.is_none_or(|owner| reporters.contains(&owner))
    };
    let mut rates: BTreeMap<KeyHash, f32> = BTreeMap::new();
    for load in reports.iter().flat_map(|report| &report.keys) {
        if load.rate.is_finite() {
            *rates.entry(load.key).or_default() += load.rate.max(0.0);
        }
    }
    for (key, load) in &mut loads.keys {
        let rate = rates.remove(key);
        if rate.is_some() {
            load.last_reported = now;
        }
        if !has_reported(*key) {
            continue;
        }
        load.samples = load.samples.saturating_add(1);
        let weight = SMOOTHING_FACTOR.max(1.0 / f32::from(load.samples));
        load.rate += (rate.unwrap_or_default() - load.rate) * weight;
    }
    loads
        .keys
        .retain(|_, load| now.since(load.last_reported) < HOT_KEY_RETENTION_MS);
    for (key, rate) in rates {
        let load = HotKey {
            rate,
            samples: 1,
            last_reported: now,
        };
        loads.keys.insert(key, load);
    }
}

/// Time after which a key that no report has listed is no longer tracked as hot.
const HOT_KEY_RETENTION_MS: u64 = 20_000;
