//! Tables of key ranges in the store that were damaged or written by something else.

use googletest::prelude::*;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_testutils::mutation::mutate;
use jy_types::endpoint::BackendIncarnation;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 20_261_204;
const TABLES: usize = 5_000;

/// Guards against a damaged table that takes agents down, or that leaves a key without an entry.
#[gtest]
fn parse_malformed_is_rejected_or_complete() {
    let owner = |number: u64| RangeOwner {
        node: format!("n-{number}").into(),
        incarnation: BackendIncarnation {
            id: format!("i-{number}").into(),
            started_at: number,
        },
    };
    let table = RangeTable::new(&[(owner(1), 3), (owner(2), 2), (owner(3), 5)])
        .expect("the table of three owners is valid");
    let text = table.to_text().expect("the table can be encoded");
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..TABLES {
        let bytes = mutate(&mut rng, text.as_bytes());
        if let Ok(parsed) = RangeTable::parse(&String::from_utf8_lossy(&bytes)) {
            for key in [0, 1, 20_000, 65_534, 65_535] {
                expect_that!(parsed.find(key), some(anything()), "key {key}");
            }
        }
    }
}
