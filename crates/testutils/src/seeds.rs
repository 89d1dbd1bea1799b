//! Seeded random numbers, which are the same on every machine.

use rand::SeedableRng;
use rand::rngs::StdRng;

/// Creates a generator from a seed.
#[must_use]
pub fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
