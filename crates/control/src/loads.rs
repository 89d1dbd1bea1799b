//! Load of units, smoothed over the reports of their owners.

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

/// Reports are taken into the smoothed loads this often, in milliseconds.
const REFRESH_EVERY_MS: u64 = 2_000;

/// Share of a new sample in the smoothed load.
const SAMPLE_SHARE: f32 = 0.3;

/// Samples of a unit left out after its owner changed: they cover only a part of the time.
const SKIPPED_SAMPLES: u8 = 1;

/// Samples of a slice that are needed before its load counts.
const NEEDED_SAMPLES: u8 = 2;

/// Share of slices whose load must count before loads are evened out.
const SAMPLED_SHARE: f64 = 0.95;

/// Reports of every owner that are needed before loads count.
const NEEDED_REPORTS: u32 = 3;

/// An owner that has not reported for this long does not hold up the others, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 10_000;

/// Load of one unit.
#[derive(Clone, Copy, Debug, Default)]
struct UnitLoad {
    rate: f32,
    samples: u8,
    skip: u8,
    fence: Fence,
}

impl UnitLoad {
    /// Takes a sample in, unless the owner has just changed.
    fn take(&mut self, fence: Fence, rate: f32) {
        if self.fence != fence {
            self.fence = fence;
            self.skip = SKIPPED_SAMPLES;
            return;
        }
        if self.skip > 0 {
            self.skip -= 1;
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let share = SAMPLE_SHARE.max(1.0 / f32::from(self.samples));
        self.rate += (rate - self.rate) * share;
    }
}

/// Load of one hot key.
#[derive(Clone, Copy, Debug)]
pub struct HotKey {
    /// Smoothed requests a second.
    pub rate: f32,
    /// Samples taken.
    pub samples: u8,
    /// Owner's report that named it last.
    named: Millis,
}

/// Loads of one service.
#[derive(Clone, Debug)]
pub struct ServiceLoads {
    slices: Vec<UnitLoad>,
    keys: BTreeMap<KeyHash, HotKey>,
    reports: BTreeMap<AgentId, (u32, Millis)>,
    mean_rate: f32,
}

impl Default for ServiceLoads {
    fn default() -> Self {
        Self {
            slices: vec![UnitLoad::default(); SLICES as usize],
            keys: BTreeMap::new(),
            reports: BTreeMap::new(),
            mean_rate: 0.0,
        }
    }
}

impl ServiceLoads {
    /// Returns the smoothed requests a second of a slice, pinned keys not counted. A slice that
    /// nobody has reported yet counts as an average one.
    #[must_use]
    pub fn slice_rate(&self, slice: usize) -> f32 {
        match self.slices.get(slice) {
            Some(load) if load.samples > 0 => load.rate,
            _ => self.mean_rate,
        }
    }

    /// Whether nearly all slices have been reported often enough.
    #[must_use]
    pub fn is_sampled(&self) -> bool {
        let known = |load: &&UnitLoad| load.samples >= NEEDED_SAMPLES;
        let known = self.slices.iter().filter(known).count();
        known as f64 >= self.slices.len() as f64 * SAMPLED_SHARE
    }

    /// Works out the mean of the slices that have been reported.
    fn average(&mut self) {
        let known = self.slices.iter().filter(|load| load.samples > 0);
        let (count, sum) = known.fold((0_u32, 0.0_f64), |(count, sum), load| {
            (count + 1, sum + f64::from(load.rate))
        });
        self.mean_rate = (sum / f64::from(count.max(1))) as f32;
    }

    /// Returns the smoothed requests a second of a key; zero if it is not hot.
    #[must_use]
    pub fn key_rate(&self, key: KeyHash) -> f32 {
        self.keys.get(&key).map_or(0.0, |load| load.rate)
    }

    /// Iterates over the hot keys.
    pub fn hot_keys(&self) -> impl Iterator<Item = (KeyHash, HotKey)> {
        self.keys.iter().map(|(key, load)| (*key, *load))
    }

    /// Takes a key's rate out of its slice or puts it back, when it is pinned or unpinned.
    pub fn shift_key(&mut self, key: KeyHash, pinned: bool) {
        let rate = self.key_rate(key);
        let slice = &mut self.slices[key.slice().0 as usize];
        let rate = if pinned { -rate } else { rate };
        slice.rate = (slice.rate + rate).max(0.0);
        slice.skip = slice.skip.max(SKIPPED_SAMPLES);
    }

    /// Whether an owner has reported often enough, or not at all for so long that it is not
    /// waited for.
    #[must_use]
    pub fn is_measured(&self, now: Millis, owner: &AgentId, since: Millis) -> bool {
        match self.reports.get(owner) {
            Some((reports, last)) => {
                *reports >= NEEDED_REPORTS || now.since(*last) > REPORT_TIMEOUT_MS
            }
            None => now.since(since) > REPORT_TIMEOUT_MS,
        }
    }
}

/// Loads of all keyed services.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    services: BTreeMap<ServiceKey, ServiceLoads>,
    waiting: BTreeMap<AgentId, AgentReport>,
    due: Millis,
}

impl LoadTable {
    /// Returns the loads of a service.
    #[must_use]
    pub fn service(&self, service: &ServiceKey) -> Option<&ServiceLoads> {
        self.services.get(service)
    }

    /// Returns the loads of a service to change them.
    pub fn service_mut(&mut self, service: &ServiceKey) -> &mut ServiceLoads {
        self.services.entry(service.clone()).or_default()
    }

    /// Keeps a report until the next refresh.
    pub fn take(&mut self, report: AgentReport) {
        self.waiting.insert(report.from.clone(), report);
    }

    /// Forgets everything: another controller had the reports meanwhile.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes the reports since the last refresh into the smoothed loads, if that is due. Returns
    /// whether it was.
    pub fn refresh(&mut self, now: Millis, view: &FleetView) -> bool {
        if now < self.due {
            return false;
        }
        self.due = now.plus(REFRESH_EVERY_MS);
        let reports = std::mem::take(&mut self.waiting);
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
                take_slices(loads, now, view, &service, &reports);
                loads.average();
                take_keys(loads, now, view, &service, &reports);
            }
        }
        true
    }
}

/// Takes the slices' loads of reports in. A slice that its owner's report leaves out has none.
fn take_slices(
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
        let reporter = |id: &AgentId| reports.iter().position(|report| report.from == *id);
        let by_owner: Vec<Option<usize>> = page.value.owners.iter().map(reporter).collect();
        for (place, grant) in page.value.slices.iter().enumerate() {
            let owner = grant.owner.and_then(|owner| by_owner[usize::from(owner)]);
            let Some(owner) = owner else {
                continue;
            };
            let slice = *number as usize * PAGE_SLICES as usize + place;
            let own = reporters[slice] == owner;
            let rate = if own { rates[slice] } else { 0.0 };
            loads.slices[slice].take(grant.fence, rate);
        }
    }
}

/// Takes the hot keys of reports in. A key that its owner's report leaves out cools down; one whose
/// owner did not report stays as it is.
fn take_keys(
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
            load.named = now;
        }
        if !has_reported(*key) {
            continue;
        }
        load.samples = load.samples.saturating_add(1);
        let share = SAMPLE_SHARE.max(1.0 / f32::from(load.samples));
        load.rate += (rate.unwrap_or_default() - load.rate) * share;
    }
    loads
        .keys
        .retain(|_, load| now.since(load.named) < KEY_FORGET_MS);
    for (key, rate) in rates {
        let load = HotKey {
            rate,
            samples: 1,
            named: now,
        };
        loads.keys.insert(key, load);
    }
}

/// A key that no report has named for this long is forgotten, in milliseconds.
const KEY_FORGET_MS: u64 = 20_000;
