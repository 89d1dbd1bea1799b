//! Slices and pages of keys, and the parsing of record keys.

use googletest::prelude::*;
use jy_types::key::KeyHash;
use jy_types::key::PAGE_SLICES;
use jy_types::key::PAGES;
use jy_types::key::SLICES;
use jy_types::key::SliceId;
use jy_types::record::RecordKey;
use jy_types::record::page_key;

#[gtest]
fn slice_is_in_range() {
    for number in 0..10_000 {
        let slice = KeyHash::new(&format!("batch-{number}")).slice();
        expect_that!(slice.0, lt(SLICES));
    }
}

#[gtest]
fn page_covers_every_slice() {
    expect_that!(PAGES * PAGE_SLICES, eq(SLICES));
    expect_that!(SliceId(SLICES - 1).page(), eq((PAGES - 1, 1023)));
}

#[gtest]
fn parse_reads_page_key() {
    let parsed = RecordKey::parse(&page_key("seals", "verifier", 3));
    let expected = RecordKey::Page {
        workspace: "seals".into(),
        service: "verifier".into(),
        page: 3,
    };
    expect_that!(parsed, some(eq(&expected)));
}

#[gtest]
fn parse_unknown_key_is_none() {
    expect_that!(RecordKey::parse("x/controller"), none());
    expect_that!(RecordKey::parse("s/page/a/b/c/d"), none());
}
