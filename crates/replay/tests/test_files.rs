//! Tests of the listing and the replay of trace files.

use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;
use jy_replay::files;

/// Folder of the traces of the workspace.
fn traces_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

#[gtest]
fn replay_reports_bound_of_missing_figure() -> Result<()> {
    let trace = traces_folder().join("gate/leaving.jsonl");
    let outcome = Path::new(env!("CARGO_TARGET_TMPDIR")).join("impossible.outcome.json");
    let bound = r#"[{"figure": "no such figure", "at_most": 0}]"#;
    std::fs::write(&outcome, bound).or_fail()?;
    let result = files::replay(&trace, Some(&outcome)).or_fail()?;
    expect_that!(result.differences.len(), eq(1));
    expect_that!(result.differences[0].found, none());
    Ok(())
}

#[gtest]
fn list_traces_finds_all_areas() -> Result<()> {
    let found = files::list_traces(&traces_folder()).or_fail()?;
    for area in ["config", "control", "gate", "lease", "route"] {
        let in_area = found
            .iter()
            .filter(|path| path.parent().is_some_and(|dir| dir.ends_with(area)));
        expect_that!(in_area.count(), gt(0));
    }
    Ok(())
}

#[gtest]
fn replay_reports_line_of_unknown_area() -> Result<()> {
    let trace = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unknown.jsonl");
    let outcome = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unknown.outcome.json");
    std::fs::write(&trace, r#"{"area": "moon", "seed": 1, "settings": {}}"#).or_fail()?;
    std::fs::write(&outcome, "[]").or_fail()?;
    let error = files::replay(&trace, None).err().or_fail()?;
    expect_that!(error.to_string(), contains_substring("unknown.jsonl:1"));
    Ok(())
}
