//! Simulates the owners of units for `jybench once`: leases, planned moves, freezes and losses.

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

use crate::once_model::GATE_COUNT;
use crate::once_model::OnceEvent;
use crate::once_model::OnceModel;
use crate::once_model::UNIT_COUNT;
use crate::once_model::WALL_CLOCK_OFFSET_MS;

const LEASE_MS: u64 = 2_000;

const RENEWAL_INTERVAL_MS: u64 = 500;

/// One gate with its agent's lease and grants.
pub(crate) struct OnceGate {
    pub(crate) state: StateCell<GateState>,
    pub(crate) incarnation: u64,
    pub(crate) next_tick_at: Millis,
    pub(crate) frozen: bool,
    /// Events that arrived while the gate was frozen.
    pub(crate) deferred_events: Vec<GateEvent>,
    /// Whether the gate is about to be declared dead.
    lost: bool,
    lease_ends_at: Millis,
    grants: GrantMap,
}

/// Event of an owner. Gates are named by number and, where they may be replaced, by incarnation.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// All agents that are neither frozen nor lost renew their leases.
    Renew,
    /// A unit is moved, or a gate is killed or frozen.
    Disturb,
    /// A frozen gate resumes.
    Thaw(usize),
    /// The lease of a gate has ended: other gates get its units, and it is replaced.
    DeclareDead(usize, u64),
    /// A process that was declared dead ends, and a new one starts.
    Replace(usize, u64),
    /// Released units reach their next owner.
    HandOver(Vec<Unit>, Vec<WindowEntry>, usize, u64),
}

impl OnceModel {
    /// Starts the gates and gives every unit its first owner, as if by a planned move.
    pub(crate) fn start_gates(&mut self) {
        for number in 0..GATE_COUNT {
            let gate = self.new_gate(number as u64);
            self.gates.push(gate);
            self.initialize_gate(number);
        }
        for slice in 0..UNIT_COUNT {
            self.grant(
                slice as usize % GATE_COUNT,
                Unit::Slice(SliceId(slice)),
                true,
            );
        }
        self.schedule(RENEWAL_INTERVAL_MS, OnceEvent::Owner(OwnerEvent::Renew));
        self.schedule(1_000, OnceEvent::Owner(OwnerEvent::Disturb));
    }

    /// Creates a gate process without a lease or grants.
    fn new_gate(&self, incarnation: u64) -> OnceGate {
        OnceGate {
            state: StateCell::new(GateState::new(self.settings.clone())),
            incarnation,
            next_tick_at: Millis::MAX,
            frozen: false,
            deferred_events: Vec::new(),
            lost: false,
            lease_ends_at: Millis(0),
            grants: GrantMap::new(),
        }
    }

    /// Gives a new gate the time, a lease and the announcement of its backend server.
    fn initialize_gate(&mut self, number: usize) {
        let wall = WallMillis(WALL_CLOCK_OFFSET_MS + self.now.0);
        self.step(number, GateEvent::Clock { wall });
        self.renew(number);
        let announcement = BackendEvent::Announced {
            start_stamp: 1,
            slots: 4,
            cold: false,
            draining: false,
        };
        self.step(number, GateEvent::Backend(announcement));
    }

    fn renew(&mut self, number: usize) {
        let until = self.now.plus(LEASE_MS);
        self.gates[number].lease_ends_at = until;
        self.step(number, GateEvent::Lease { until });
    }

    /// Returns the gate that a unit is granted to.
    pub(crate) fn owner_of(&self, unit: Unit) -> Option<usize> {
        self.gates
            .iter()
            .position(|gate| gate.grants.contains_key(&unit))
    }

    /// Grants a unit to a gate. `handed_over` is false after the loss of the previous owner.
    fn grant(&mut self, number: usize, unit: Unit, handed_over: bool) {
        let owned = OwnedUnit {
            fence: Fence(self.now.0),
            leaving: false,
            handed_over,
        };
        self.gates[number].grants.insert(unit, owned);
        self.notify_grants(number);
    }

    fn notify_grants(&mut self, number: usize) {
        let grants = Arc::new(self.gates[number].grants.clone());
        self.step(number, GateEvent::Grants(grants));
    }

    pub(crate) fn handle_owner_event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Renew => {
                for number in 0..GATE_COUNT {
                    if !self.gates[number].frozen && !self.gates[number].lost {
                        self.renew(number);
                    }
                }
                if self.has_active_callers() {
                    self.schedule(RENEWAL_INTERVAL_MS, OnceEvent::Owner(OwnerEvent::Renew));
                }
            }
            OwnerEvent::Disturb => self.disturb(),
            OwnerEvent::Thaw(number) => self.thaw(number),
            OwnerEvent::DeclareDead(number, incarnation) => self.declare_dead(number, incarnation),
            OwnerEvent::Replace(number, incarnation) => self.replace(number, incarnation),
            OwnerEvent::HandOver(units, entries, from, incarnation) => {
                self.hand_over(&units, &entries, from, incarnation);
            }
        }
    }

    /// Kills or freezes a random gate, or starts to move one of its units.
    fn disturb(&mut self) {
        if self.has_active_callers() {
            let delay_ms = self.rng.random_range(300..3_000);
            self.schedule(delay_ms, OnceEvent::Owner(OwnerEvent::Disturb));
        }
        let number = self.rng.random_range(0..GATE_COUNT);
        if self.gates[number].lost || self.gates[number].frozen {
            return;
        }
        match self.rng.random_range(0..6) {
            0 => self.kill(number),
            1 => self.freeze(number),
            _ => self.move_unit(number),
        }
    }

    /// Marks a unit of a gate as leaving, which starts a planned move.
    fn move_unit(&mut self, number: usize) {
        let units = self.gates[number].grants.iter_mut();
        let Some((_, owned)) = units.into_iter().find(|(_, owned)| !owned.leaving) else {
            return;
        };
        owned.leaving = true;
        self.notify_grants(number);
    }

    /// Transfers units that a gate released, with their window entries, to the next owner after a delay.
    pub(crate) fn transfer_released(
        &mut self,
        from: usize,
        units: Vec<Unit>,
        entries: Vec<WindowEntry>,
    ) {
        let incarnation = self.gates[from].incarnation;
        let transfer_ms = self.rng.random_range(1..60);
        let event = OwnerEvent::HandOver(units, entries, from, incarnation);
        self.schedule(transfer_ms, OnceEvent::Owner(event));
    }

    /// Hands units over to another gate, unless their old owner has been lost since. Tries again later if the
    /// other gate is lost or frozen.
    fn hand_over(
        &mut self,
        units: &[Unit],
        entries: &[WindowEntry],
        from: usize,
        incarnation: u64,
    ) {
        if self.gates[from].incarnation != incarnation || self.gates[from].lost {
            return;
        }
        let to = (from + self.rng.random_range(1..GATE_COUNT)) % GATE_COUNT;
        if self.gates[to].lost || self.gates[to].frozen {
            let event = OwnerEvent::HandOver(units.to_vec(), entries.to_vec(), from, incarnation);
            self.schedule(100, OnceEvent::Owner(event));
            return;
        }
        let (moved_units, entries) = (units.to_vec(), entries.to_vec());
        let units = moved_units.clone();
        self.step(to, GateEvent::Handover { units, entries });
        for unit in moved_units {
            self.counts.moves += 1;
            self.gates[from].grants.remove(&unit);
            self.grant(to, unit, true);
        }
        self.notify_grants(from);
    }

    /// Kills a gate process. Requests that it has sent continue to run.
    fn kill(&mut self, number: usize) {
        self.gates[number].lost = true;
        self.gates[number].frozen = true;
        self.schedule_declare_dead(number);
    }

    /// Freezes a gate process for a random time, which may outlast its lease.
    fn freeze(&mut self, number: usize) {
        self.gates[number].frozen = true;
        let frozen_ms = self.rng.random_range(100..4_000);
        let lease_ends_at = self.gates[number].lease_ends_at;
        if self.now.plus(frozen_ms) >= lease_ends_at {
            self.gates[number].lost = true;
            self.schedule_declare_dead(number);
        }
        self.schedule(frozen_ms, OnceEvent::Owner(OwnerEvent::Thaw(number)));
    }

    /// Counts the loss of a gate, and has it declared dead some time after its lease ends.
    fn schedule_declare_dead(&mut self, number: usize) {
        self.counts.losses += 1;
        let left_ms = self.gates[number].lease_ends_at.since(self.now);
        let after_ms = left_ms + self.rng.random_range(1..300);
        let event = OwnerEvent::DeclareDead(number, self.gates[number].incarnation);
        self.schedule(after_ms, OnceEvent::Owner(event));
    }

    /// Resumes a frozen process, which then gets the events that it missed. If it has been replaced,
    /// there are none.
    fn thaw(&mut self, number: usize) {
        self.gates[number].frozen = false;
        for event in std::mem::take(&mut self.gates[number].deferred_events) {
            self.step(number, event);
        }
    }

    /// Grants the units of a lost gate to other gates. The old process may still run until it is replaced.
    fn declare_dead(&mut self, number: usize, incarnation: u64) {
        let is_available = |other: &usize| !self.gates[*other].lost && !self.gates[*other].frozen;
        let new_owners: Vec<usize> = (0..GATE_COUNT).filter(is_available).collect();
        let units = std::mem::take(&mut self.gates[number].grants);
        if new_owners.is_empty() {
            self.replace(number, incarnation);
            for unit in units.into_keys() {
                self.grant(number, unit, false);
            }
            return;
        }
        for unit in units.into_keys() {
            let to = new_owners[self.rng.random_range(0..new_owners.len())];
            self.grant(to, unit, false);
        }
        let after_ms = self.rng.random_range(0..1_000);
        let event = OwnerEvent::Replace(number, incarnation);
        self.schedule(after_ms, OnceEvent::Owner(event));
    }

    /// Starts a new process in place of one that was declared dead.
    fn replace(&mut self, number: usize, incarnation: u64) {
        self.gates[number] = self.new_gate(incarnation + GATE_COUNT as u64);
        self.initialize_gate(number);
    }
}
