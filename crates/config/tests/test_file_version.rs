//! Tests whether changes of a file are noticed.

use std::path::PathBuf;

use googletest::prelude::*;
use jy_config::file_version::FileVersion;
use jy_types::time::Millis;

/// A file that is removed with its folder at the end of a test.
struct TestFile(PathBuf);

impl TestFile {
    /// Writes a file for the test with this name.
    ///
    /// # Panics
    ///
    /// Panics if it can't be written.
    fn new(test: &str, text: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("jy-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("failed to create the folder");
        let file = Self(folder.join("settings"));
        file.write(text);
        file
    }

    /// Overwrites the file in place.
    ///
    /// # Panics
    ///
    /// Panics if it can't be written.
    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("failed to write the file");
    }

    /// Puts another file in its place.
    ///
    /// # Panics
    ///
    /// Panics if it can't be written.
    fn replace(&self, text: &str) {
        let next = self.0.with_extension("next");
        std::fs::write(&next, text).expect("failed to write the file");
        std::fs::rename(&next, &self.0).expect("failed to replace the file");
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        // The system removes what is left in its folder for temporary files.
        let _is_removed = self
            .0
            .parent()
            .is_some_and(|folder| std::fs::remove_dir_all(folder).is_ok());
    }
}

/// Returns a version of the file that is not read again unless it changes.
fn settled(file: &TestFile) -> FileVersion {
    let mut version = FileVersion::new();
    version.may_have_changed(&file.0, Millis(0));
    version.may_have_changed(&file.0, Millis(1_000));
    version
}

/// Guards against reading a file for each request although it does not change.
#[gtest]
fn may_have_changed_same_file_is_read_twice() {
    let file = TestFile::new("same", "a");
    let mut version = FileVersion::new();
    let reads = [0, 1_000, 1_001, 9_000].map(|at| version.may_have_changed(&file.0, Millis(at)));
    expect_that!(reads, eq([true, true, false, false]));
}

/// Guards against a change that is missed because it falls on the timestamp of the version before.
#[gtest]
fn may_have_changed_recent_file_is_read_again() {
    let file = TestFile::new("recent", "a");
    let mut version = FileVersion::new();
    let reads = [0, 1, 5, 10].map(|at| version.may_have_changed(&file.0, Millis(at)));
    expect_that!(reads, eq([true; 4]));
}

/// Guards against a change that is missed.
#[gtest]
fn may_have_changed_other_text_is_noticed() {
    let file = TestFile::new("text", "a");
    let mut version = settled(&file);
    file.write("ab");
    expect_that!(version.may_have_changed(&file.0, Millis(1_001)), eq(true));
}

/// Guards against a change that is missed because the next file was written earlier or has the same length.
#[gtest]
fn may_have_changed_replaced_file_is_noticed() {
    let file = TestFile::new("replaced", "a");
    let mut version = settled(&file);
    file.replace("b");
    expect_that!(version.may_have_changed(&file.0, Millis(1_001)), eq(true));
}

/// Guards against a file that comes back unnoticed.
#[gtest]
fn may_have_changed_missing_file_is_looked_for() {
    let file = TestFile::new("missing", "a");
    let mut version = settled(&file);
    std::fs::remove_file(&file.0).expect("failed to remove the file");
    let reads = [1_001, 2_000, 3_000].map(|at| version.may_have_changed(&file.0, Millis(at)));
    expect_that!(reads, eq([true; 3]));
    file.write("a");
    expect_that!(version.may_have_changed(&file.0, Millis(3_001)), eq(true));
}
