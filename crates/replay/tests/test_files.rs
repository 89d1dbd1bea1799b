//! Traces, outcomes and what is said of them.

use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;
use jy_replay::files;

/// The repository's traces.
fn traces() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

#[gtest]
fn replay_reports_broken_bound() -> Result<()> {
    let trace = traces().join("gate/leaving.jsonl");
    let outcome = Path::new(env!("CARGO_TARGET_TMPDIR")).join("impossible.outcome.json");
    let bound = r#"[{"figure": "no such figure", "at_most": 0}]"#;
    std::fs::write(&outcome, bound).or_fail()?;
    let result = files::replay(&trace, Some(&outcome)).or_fail()?;
    expect_that!(result.differences.len(), eq(1));
    expect_that!(result.differences[0].found, none());
    Ok(())
}

#[gtest]
fn list_finds_traces_of_every_area() -> Result<()> {
    let found = files::list(&traces()).or_fail()?;
    for area in ["config", "control", "gate", "lease", "route"] {
        let of_area = found
            .iter()
            .filter(|path| path.parent().is_some_and(|dir| dir.ends_with(area)));
        expect_that!(of_area.count(), gt(0));
    }
    Ok(())
}

#[gtest]
fn replay_names_unknown_area() -> Result<()> {
    let trace = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unknown.jsonl");
    let outcome = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unknown.outcome.json");
    std::fs::write(&trace, r#"{"area": "moon", "seed": 1, "settings": {}}"#).or_fail()?;
    std::fs::write(&outcome, "[]").or_fail()?;
    let error = files::replay(&trace, None).err().or_fail()?;
    expect_that!(error.to_string(), contains_substring("unknown.jsonl:1"));
    Ok(())
}
