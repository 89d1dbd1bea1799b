//! Reports how much work the gate and its backend server have.

use std::collections::BTreeMap;

use jy_policy::choice::DEFAULT_SERVICE_TIME_RATIO;
use jy_policy::choice::GateLoad;
use jy_types::time::Millis;

use super::LocalGate;

/// How long a service time reported by the backend server is used, in milliseconds. The value changes many
/// times a second.
const SERVICE_TIME_REPORT_TTL_MS: u64 = 300;

impl LocalGate {
    /// Returns the load that the gate reports to gateways.
    #[must_use]
    pub fn load(&self, now: Millis) -> GateLoad {
        let state = self.state.borrow();
        let slots = self
            .backend
            .read(|backend| backend.map_or(0, |backend| backend.announced.slots));
        let (reported_at, percent) = state.reported_service_time;
        let reported_ratio = if now.since(reported_at) <= SERVICE_TIME_REPORT_TTL_MS {
            f64::from(percent) / 100.0
        } else {
            1.0
        };
        let service_time_ratio = state
            .relative_service_time
            .mean_ms(DEFAULT_SERVICE_TIME_RATIO)
            * reported_ratio.max(1.0);
        let used_share = state.offered_work.share(now, slots);
        GateLoad {
            busy: state.queue.running()
                + state.queue.waiting()
                + u32::try_from(state.transfers.len()).unwrap_or(u32::MAX),
            slots,
            service_time_percent: ((service_time_ratio * 100.0) as u32).max(1),
            used_percent: (used_share * 100.0) as u32,
            transfer_backlog_ms: state.transfers.backlog_ms(now) as u32,
        }
    }

    /// Returns the number of waiting requests, and of those that will be late.
    #[must_use]
    pub fn waiting(&self) -> (u32, u32) {
        let state = self.state.borrow();
        (state.queue.waiting(), state.queue.waiting_late())
    }

    /// Returns the bytes of requests that the backend server holds, and the bound on them if there is one.
    #[must_use]
    pub fn held(&self, now: Millis) -> (u64, Option<u64>) {
        let held_bytes = &self.state.borrow().held_bytes;
        (held_bytes.in_flight(), held_bytes.bound(now))
    }

    /// Returns the share of the capacity in use, and the share that each bucket of keys uses.
    #[must_use]
    pub fn usage(&self, now: Millis) -> (f64, BTreeMap<u16, f64>) {
        let slots = self
            .backend
            .read(|backend| backend.map_or(1, |backend| backend.announced.slots.max(1)));
        let offered_work = &self.state.borrow().offered_work;
        (
            offered_work.share(now, slots),
            offered_work.by_bucket(now, slots),
        )
    }
}
