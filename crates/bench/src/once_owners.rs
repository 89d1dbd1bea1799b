//! Owners of units in a schedule of `jybench once`: leases, planned moves, freezes and losses.

use std::sync::Arc;

use jy_gate::api::BackendEvent;
use jy_gate::api::GateEvent;
use jy_gate::api::GrantMap;
use jy_gate::api::OwnedUnit;
use jy_gate::core::GateState;
use jy_kernel::state::StateCell;
use jy_types::assign::Fence;
use jy_types::key::SliceId;
use jy_types::key::Unit;
use jy_types::peer::WindowEntry;
use jy_types::time::Millis;
use jy_types::time::WallMillis;
use rand::Rng;

use crate::once_model::GATES;
use crate::once_model::OnceEvent;
use crate::once_model::OnceModel;
use crate::once_model::UNITS;
use crate::once_model::WALL_ZERO;

/// Length of a lease, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Time between renewals, in milliseconds.
const RENEW_MS: u64 = 500;

/// One gate with its agent's lease and grants.
pub(crate) struct OnceGate {
    pub(crate) state: StateCell<GateState>,
    pub(crate) incarnation: u64,
    pub(crate) due: Millis,
    pub(crate) frozen: bool,
    /// What it has not heard of while frozen.
    pub(crate) held: Vec<GateEvent>,
    /// Whether a verdict awaits it.
    lost: bool,
    lease: Millis,
    grants: GrantMap,
}

/// What happens to owners.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// All agents that are well renew.
    Renew,
    /// Something is moved, killed or frozen.
    Disturb,
    /// A gate goes on after a freeze.
    Thaw(usize),
    /// The lease of a gate is over: others get its units, and it starts anew.
    Verdict(usize, u64),
    /// A process that a verdict has declared dead ends, and a new one starts.
    Replace(usize, u64),
    /// Released units reach their next owner.
    Moved(Vec<Unit>, Vec<WindowEntry>, usize, u64),
}

impl OnceModel {
    /// Starts the gates and gives every unit its first owner, long ago.
    pub(crate) fn begin_owners(&mut self) {
        for number in 0..GATES {
            let gate = self.new_gate(number as u64);
            self.gates.push(gate);
            self.welcome(number);
        }
        for slice in 0..UNITS {
            self.grant(slice as usize % GATES, Unit::Slice(SliceId(slice)), true);
        }
        self.push(RENEW_MS, OnceEvent::Owner(OwnerEvent::Renew));
        self.push(1_000, OnceEvent::Owner(OwnerEvent::Disturb));
    }

    /// Makes a process of a gate.
    fn new_gate(&self, incarnation: u64) -> OnceGate {
        OnceGate {
            state: StateCell::new(GateState::new(self.settings.clone())),
            incarnation,
            due: Millis::MAX,
            frozen: false,
            held: Vec::new(),
            lost: false,
            lease: Millis(0),
            grants: GrantMap::new(),
        }
    }

    /// Tells a new gate what it needs.
    fn welcome(&mut self, number: usize) {
        let wall = WallMillis(WALL_ZERO + self.now.0);
        self.step(number, GateEvent::Clock { wall });
        self.renew(number);
        let notice = BackendEvent::Announced {
            start_stamp: 1,
            slots: 4,
            cold: false,
            draining: false,
        };
        self.step(number, GateEvent::Backend(notice));
    }

    /// Extends a lease.
    fn renew(&mut self, number: usize) {
        let until = self.now.plus(LEASE_MS);
        self.gates[number].lease = until;
        self.step(number, GateEvent::Lease { until });
    }

    /// Returns the gate that owns a unit and is well.
    pub(crate) fn owner_of(&self, unit: Unit) -> Option<usize> {
        self.gates
            .iter()
            .position(|gate| gate.grants.contains_key(&unit))
    }

    /// Gives a unit to a gate.
    fn grant(&mut self, number: usize, unit: Unit, handed_over: bool) {
        let owned = OwnedUnit {
            fence: Fence(self.now.0),
            leaving: false,
            handed_over,
        };
        self.gates[number].grants.insert(unit, owned);
        self.notify_grants(number);
    }

    /// Tells a gate its grants.
    fn notify_grants(&mut self, number: usize) {
        let grants = Arc::new(self.gates[number].grants.clone());
        self.step(number, GateEvent::Grants(grants));
    }

    /// Takes an event.
    pub(crate) fn owner_event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Renew => {
                for number in 0..GATES {
                    if !self.gates[number].frozen && !self.gates[number].lost {
                        self.renew(number);
                    }
                }
                if self.is_on() {
                    self.push(RENEW_MS, OnceEvent::Owner(OwnerEvent::Renew));
                }
            }
            OwnerEvent::Disturb => self.disturb(),
            OwnerEvent::Thaw(number) => self.thaw(number),
            OwnerEvent::Verdict(number, incarnation) => self.verdict(number, incarnation),
            OwnerEvent::Replace(number, incarnation) => self.replace(number, incarnation),
            OwnerEvent::Moved(units, entries, from, incarnation) => {
                self.moved(&units, &entries, from, incarnation);
            }
        }
    }

    /// Moves a unit, kills a gate or freezes one.
    fn disturb(&mut self) {
        if self.is_on() {
            let gap = self.rng.random_range(300..3_000);
            self.push(gap, OnceEvent::Owner(OwnerEvent::Disturb));
        }
        let number = self.rng.random_range(0..GATES);
        if self.gates[number].lost || self.gates[number].frozen {
            return;
        }
        match self.rng.random_range(0..6) {
            0 => self.kill(number),
            1 => self.freeze(number),
            _ => self.move_unit(number),
        }
    }

    /// Marks a unit of a gate as leaving.
    fn move_unit(&mut self, number: usize) {
        let units = self.gates[number].grants.iter_mut();
        let Some((_, owned)) = units.into_iter().find(|(_, owned)| !owned.leaving) else {
            return;
        };
        owned.leaving = true;
        self.notify_grants(number);
    }

    /// Takes units that a gate released: on their way to the next owner.
    pub(crate) fn released(&mut self, from: usize, units: Vec<Unit>, entries: Vec<WindowEntry>) {
        let incarnation = self.gates[from].incarnation;
        let way_ms = self.rng.random_range(1..60);
        let event = OwnerEvent::Moved(units, entries, from, incarnation);
        self.push(way_ms, OnceEvent::Owner(event));
    }

    /// Hands units over, unless their old owner was lost meanwhile.
    fn moved(&mut self, units: &[Unit], entries: &[WindowEntry], from: usize, incarnation: u64) {
        if self.gates[from].incarnation != incarnation || self.gates[from].lost {
            return;
        }
        let to = (from + self.rng.random_range(1..GATES)) % GATES;
        if self.gates[to].lost || self.gates[to].frozen {
            let event = OwnerEvent::Moved(units.to_vec(), entries.to_vec(), from, incarnation);
            self.push(100, OnceEvent::Owner(event));
            return;
        }
        let (units_to, entries) = (units.to_vec(), entries.to_vec());
        let units = units_to.clone();
        self.step(to, GateEvent::Handover { units, entries });
        for unit in units_to {
            self.counts.moves += 1;
            self.gates[from].grants.remove(&unit);
            self.grant(to, unit, true);
        }
        self.notify_grants(from);
    }

    /// A process ends; what it sent runs on.
    fn kill(&mut self, number: usize) {
        self.gates[number].lost = true;
        self.gates[number].frozen = true;
        self.await_verdict(number);
    }

    /// A process stops for a while, longer than its lease or shorter.
    fn freeze(&mut self, number: usize) {
        self.gates[number].frozen = true;
        let frozen_ms = self.rng.random_range(100..4_000);
        let lease = self.gates[number].lease;
        if self.now.plus(frozen_ms) >= lease {
            self.gates[number].lost = true;
            self.await_verdict(number);
        }
        self.push(frozen_ms, OnceEvent::Owner(OwnerEvent::Thaw(number)));
    }

    /// The verdict comes once the lease is over.
    fn await_verdict(&mut self, number: usize) {
        self.counts.losses += 1;
        let left_ms = self.gates[number].lease.since(self.now);
        let after_ms = left_ms + self.rng.random_range(1..300);
        let event = OwnerEvent::Verdict(number, self.gates[number].incarnation);
        self.push(after_ms, OnceEvent::Owner(event));
    }

    /// A frozen process goes on as if nothing had happened, unless it was replaced.
    fn thaw(&mut self, number: usize) {
        self.gates[number].frozen = false;
        for event in std::mem::take(&mut self.gates[number].held) {
            self.step(number, event);
        }
    }

    /// Gives the units of a lost gate to others. The old process may go on for a moment.
    fn verdict(&mut self, number: usize, incarnation: u64) {
        let well = |other: &usize| !self.gates[*other].lost && !self.gates[*other].frozen;
        let next: Vec<usize> = (0..GATES).filter(well).collect();
        let units = std::mem::take(&mut self.gates[number].grants);
        if next.is_empty() {
            self.replace(number, incarnation);
            for unit in units.into_keys() {
                self.grant(number, unit, false);
            }
            return;
        }
        for unit in units.into_keys() {
            let to = next[self.rng.random_range(0..next.len())];
            self.grant(to, unit, false);
        }
        let after_ms = self.rng.random_range(0..1_000);
        let event = OwnerEvent::Replace(number, incarnation);
        self.push(after_ms, OnceEvent::Owner(event));
    }

    /// Starts a new process in place of one that was declared dead.
    fn replace(&mut self, number: usize, incarnation: u64) {
        self.gates[number] = self.new_gate(incarnation + GATES as u64);
        self.welcome(number);
    }
}
