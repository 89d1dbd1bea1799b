//! The network between agents, controllers and the store.

use rand::Rng;
use rand::rngs::StdRng;

/// A set of machines as a bit mask: one bit for each instance and controller, and one for the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSet(u64);

/// Index of the bit of the first controller.
const CONTROLLER_BIT: usize = 60;
/// Index of the bit of the store.
const STORE_BIT: usize = 63;

/// The sender or receiver of a message.
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
    /// Returns the mask that has only the machine's bit set.
    const fn mask(self) -> u64 {
        match self {
            Self::Slot(slot) => 1 << slot,
            Self::Controller(controller) => 1 << (CONTROLLER_BIT + controller),
            Self::Store => 1 << STORE_BIT,
        }
    }
}

impl MachineSet {
    /// Creates a set from a bit mask.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the set of one instance.
    #[must_use]
    pub const fn of_slot(slot: usize) -> Self {
        Self(Machine::Slot(slot).mask())
    }

    /// Returns the set of all controllers.
    #[must_use]
    pub const fn of_controllers() -> Self {
        Self(Machine::Controller(0).mask() | Machine::Controller(1).mask())
    }

    /// Returns the set of the store alone.
    #[must_use]
    pub const fn of_store() -> Self {
        Self(Machine::Store.mask())
    }

    /// Returns the union of two sets.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns all machines that are not in this set.
    #[must_use]
    pub const fn complement(self) -> Self {
        Self(!self.0)
    }

    /// Whether the machine is in this set.
    #[must_use]
    pub const fn contains(self, machine: Machine) -> bool {
        self.0 & machine.mask() != 0
    }
}

/// A period in which the network drops all messages from one set of machines to another.
#[derive(Clone, Copy, Debug)]
pub struct NetworkPartition {
    /// Senders whose messages are dropped.
    pub from: MachineSet,
    /// Receivers that the messages do not reach.
    pub to: MachineSet,
    /// Real time at which it begins.
    pub begin: u64,
    /// Real time at which it ends.
    pub end: u64,
}

/// Distribution of message delays and losses.
#[derive(Clone, Copy, Debug)]
pub struct NetworkProfile {
    /// Maximum delay of an ordinary message.
    pub max_usual_ms: u64,
    /// Maximum delay of a slow message.
    pub max_slow_ms: u64,
    /// Share of slow messages.
    pub slow_share: f64,
    /// Share of lost messages.
    pub lost_share: f64,
}

impl NetworkProfile {
    /// A healthy network within one region: delays of at most 40 ms and no losses.
    #[must_use]
    pub const fn reliable() -> Self {
        Self {
            max_usual_ms: 4,
            max_slow_ms: 40,
            slow_share: 0.01,
            lost_share: 0.0,
        }
    }

    /// A network with delays of up to 4 s and with losses.
    #[must_use]
    pub const fn unreliable() -> Self {
        Self {
            max_usual_ms: 60,
            max_slow_ms: 4_000,
            slow_share: 0.15,
            lost_share: 0.03,
        }
    }

    /// Draws the delay of a message; `None` if it is lost.
    #[must_use]
    pub fn draw(&self, rng: &mut StdRng) -> Option<u64> {
        if self.lost_share > 0.0 && rng.random_bool(self.lost_share) {
            return None;
        }
        let max_ms = if rng.random_bool(self.slow_share) {
            self.max_slow_ms
        } else {
            self.max_usual_ms
        };
        Some(rng.random_range(1..=max_ms))
    }
}
