//! The network between agents, controllers and the store.

use rand::Rng;
use rand::rngs::StdRng;

/// A set of machines: one bit an instance, then the controllers and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSet(u64);

/// Bit of the first controller.
const CONTROLLER_BIT: usize = 60;
/// Bit of the store.
const STORE_BIT: usize = 63;

/// One end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// The instance with this number.
    Slot(usize),
    /// The controller with this number.
    Controller(usize),
    /// The store.
    Store,
}

impl Machine {
    /// The machine's bit.
    const fn bit(self) -> u64 {
        match self {
            Self::Slot(slot) => 1 << slot,
            Self::Controller(controller) => 1 << (CONTROLLER_BIT + controller),
            Self::Store => 1 << STORE_BIT,
        }
    }
}

impl MachineSet {
    /// Makes a side from its bits.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// A side of one instance.
    #[must_use]
    pub const fn of_slot(slot: usize) -> Self {
        Self(Machine::Slot(slot).bit())
    }

    /// A side of all controllers.
    #[must_use]
    pub const fn of_controllers() -> Self {
        Self(Machine::Controller(0).bit() | Machine::Controller(1).bit())
    }

    /// A side of the store.
    #[must_use]
    pub const fn of_store() -> Self {
        Self(Machine::Store.bit())
    }

    /// This side and another.
    #[must_use]
    pub const fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Everything else.
    #[must_use]
    pub const fn others(self) -> Self {
        Self(!self.0)
    }

    /// Whether the machine is on this side.
    #[must_use]
    pub const fn contains(self, machine: Machine) -> bool {
        self.0 & machine.bit() != 0
    }
}

/// A network partition in force.
#[derive(Clone, Copy, Debug)]
pub struct NetworkPartition {
    /// Senders.
    pub from: MachineSet,
    /// Receivers.
    pub to: MachineSet,
    /// Real time of the beginning.
    pub begin: u64,
    /// Real time of the end.
    pub end: u64,
}

/// How messages fare.
#[derive(Clone, Copy, Debug)]
pub struct NetworkProfile {
    /// Longest delay of an ordinary message.
    pub usual_ms: u64,
    /// Longest delay of a slow message.
    pub slow_ms: u64,
    /// Share of slow messages.
    pub slow_share: f64,
    /// Share of lost messages.
    pub lost_share: f64,
}

impl NetworkProfile {
    /// A healthy region.
    #[must_use]
    pub const fn reliable() -> Self {
        Self {
            usual_ms: 4,
            slow_ms: 40,
            slow_share: 0.01,
            lost_share: 0.0,
        }
    }

    /// Delays up to 4 s and losses.
    #[must_use]
    pub const fn unreliable() -> Self {
        Self {
            usual_ms: 60,
            slow_ms: 4_000,
            slow_share: 0.15,
            lost_share: 0.03,
        }
    }

    /// Draws the delay of a message, or none if it is lost.
    #[must_use]
    pub fn draw(&self, rng: &mut StdRng) -> Option<u64> {
        if self.lost_share > 0.0 && rng.random_bool(self.lost_share) {
            return None;
        }
        let most = if rng.random_bool(self.slow_share) {
            self.slow_ms
        } else {
            self.usual_ms
        };
        Some(rng.random_range(1..=most))
    }
}
