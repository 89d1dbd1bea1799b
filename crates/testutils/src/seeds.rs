//! Seeded random numbers, the same on every machine.

use rand::SeedableRng;
use rand::rngs::StdRng;

/// Makes a generator from a seed.
#[must_use]
pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
