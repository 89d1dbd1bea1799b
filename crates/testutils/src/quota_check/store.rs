//! The store of the fleet, and how agents renew their leases and claim slots.

use jy_policy::quota::claims::SlotCandidate;
use jy_policy::quota::claims::SlotView;
use jy_types::name::Name;
use jy_types::time::Millis;
use rand::Rng;

use super::Event;
use super::LEASE_MS;
use super::StoreCall;
use super::StoredSlot;
use super::World;
use super::node;

/// Time between renewals of a lease, in milliseconds.
const RENEW_MS: u64 = 1_000;
/// Time between an agent's checks of its lease and of slots, in milliseconds.
const TICK_MS: u64 = 50;

impl World {
    /// Sends a call to the store, unless the agent is cut off.
    pub(super) fn send_to_store(&mut self, agent: usize, call: StoreCall) {
        let state = &self.agents[agent];
        if state.cut_until <= self.now {
            let sent_at = self.now + state.offset;
            let at = self.now + self.rng.random_range(1..=self.delays_ms.1);
            self.schedule(at, agent, Event::Store(call, sent_at));
        }
    }

    /// The store executes a call, also of a run that has ended. Its reply may be lost.
    pub(super) fn call_store(&mut self, agent: usize, run: u64, call: StoreCall, sent_at: u64) {
        let now = self.now;
        self.leases.retain(|_, (_, _, end)| *end > now);
        let leases = &self.leases;
        self.slots
            .retain(|_, slot| leases.contains_key(&slot.lease));
        match call {
            StoreCall::Renew(lease) => {
                self.revision += 1;
                let lease = match self.leases.get_mut(&lease) {
                    Some((_, _, end)) => {
                        *end = now + LEASE_MS;
                        lease
                    }
                    None => {
                        let renewed = (agent, run, now + LEASE_MS);
                        self.leases.insert(self.revision, renewed);
                        self.revision
                    }
                };
                self.sequence += 1;
                if self.rng.random::<f64>() >= self.loss && self.agents[agent].run == run {
                    let at = now + self.rng.random_range(1..=self.delays_ms.1);
                    self.schedule(at, agent, Event::Renewed(lease, sent_at));
                }
            }
            StoreCall::Claim(lease, claims) => {
                self.claims += 1;
                let revision_of = |slot| self.slots.get(slot).map_or(0, |slot| slot.revision);
                let matches = claims.iter().all(|(slot, seen)| revision_of(slot) == *seen);
                if matches && self.leases.contains_key(&lease) {
                    self.revision += 1;
                    let revision = self.revision;
                    for (slot, _) in claims {
                        let stored = StoredSlot {
                            agent,
                            run,
                            lease,
                            revision,
                        };
                        self.slots.insert(slot, stored);
                    }
                }
            }
        }
    }

    /// Renews the lease, reads the records, and claims slots.
    pub(super) fn tick(&mut self, agent: usize) {
        let now = self.now;
        self.schedule(now + TICK_MS + agent as u64 % 7, agent, Event::Tick);
        let state = &mut self.agents[agent];
        if state.lease == 0 || now >= state.renewed_at + RENEW_MS {
            state.renewed_at = now;
            let lease = state.lease;
            self.send_to_store(agent, StoreCall::Renew(lease));
        }
        let state = &mut self.agents[agent];
        if state.cut_until <= now {
            let is_valid = |slot: &StoredSlot| {
                self.leases
                    .get(&slot.lease)
                    .is_some_and(|(_, _, end)| *end > now)
            };
            let slots = self.slots.iter().filter(|(_, slot)| is_valid(slot));
            state.slots = slots.map(|(slot, stored)| (*slot, *stored)).collect();
            let live = self.leases.values().filter(|(_, _, end)| *end > now);
            state.live = live.map(|(node, run, _)| (*node, *run)).collect();
        }
        let (run, lease) = (state.run, state.lease);
        let is_current =
            |slot: &StoredSlot| (slot.agent, slot.run, slot.lease) == (agent, run, lease);
        let (slots, local) = (&state.slots, Millis(now + state.offset));
        state
            .lender
            .retain(|slot, _| slots.get(&slot).is_some_and(is_current));
        for (slot, _) in slots.iter().filter(|(_, stored)| is_current(stored)) {
            state.lender.hold(local, *slot, lease, self.rng.random());
        }
        if lease == 0 || local >= state.lease_until || state.live.get(&agent) != Some(&run) {
            return;
        }
        let nodes: Vec<Name> = (0..self.agents.len()).map(node).collect();
        let state = &mut self.agents[agent];
        let view = |stored: &StoredSlot| SlotView {
            node: &nodes[stored.agent],
            is_current: is_current(stored),
            revision: stored.revision,
        };
        let records = state
            .slots
            .iter()
            .map(|(slot, stored)| (*slot, view(stored)))
            .collect();
        let candidate = |agent: &usize| SlotCandidate {
            node: node(*agent),
            zone: format!("zone-{}", agent % 3).into(),
        };
        let candidates: Vec<SlotCandidate> = state.live.keys().map(candidate).collect();
        let rng = &mut self.rng;
        let claims = state
            .planner
            .plan(local, &nodes[agent], &candidates, &records, || rng.random());
        if !claims.is_empty() {
            state.planner.delay(local, &claims, rng.random());
            self.send_to_store(agent, StoreCall::Claim(lease, claims));
        }
    }
}
