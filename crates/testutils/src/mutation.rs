//! Random changes of valid messages, to test decoders with malformed ones.

use rand::Rng;
use rand::rngs::SmallRng;

/// Values that decoders often handle wrongly.
const ODD_VALUES: [&str; 12] = [
    "null",
    "-1",
    "1e400",
    "70000",
    "18446744073709551616",
    "\"\"",
    "[]",
    "{}",
    "[[]]",
    "\u{0}",
    "\"r\"",
    "0.5",
];

/// Largest number of changes of one message.
const MAX_CHANGES: usize = 4;

/// Returns a message with a few random changes: bytes replaced, removed, repeated or cut off, and odd values.
#[must_use]
pub fn mutate(rng: &mut SmallRng, sample: &[u8]) -> Vec<u8> {
    let mut bytes = sample.to_vec();
    for _ in 0..rng.random_range(1..=MAX_CHANGES) {
        if bytes.is_empty() {
            return bytes;
        }
        let at = rng.random_range(0..bytes.len());
        let end = (at + rng.random_range(1..16)).min(bytes.len());
        match rng.random_range(0..5) {
            0 => bytes[at] = rng.random(),
            1 => drop(bytes.drain(at..end)),
            2 => {
                let part = bytes[at..end].to_vec();
                bytes.splice(at..at, part);
            }
            3 => bytes.truncate(at),
            _ => {
                let value = ODD_VALUES[rng.random_range(0..ODD_VALUES.len())];
                bytes.splice(at..end, value.bytes());
            }
        }
    }
    bytes
}
