//! Tells from its metadata whether a file may have changed since it was last read.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

use jy_types::time::Millis;

/// Time after which a change certainly has another timestamp than the one before, in milliseconds. The kernel takes
/// timestamps from a clock that advances every 10 ms at least.
const TIMESTAMP_RESOLUTION_MS: u64 = 20;

/// The version of a file that was last read.
#[derive(Debug, Default)]
pub struct FileVersion {
    /// Metadata of the version; `None` if no file was found.
    stamp: Option<FileStamp>,
    /// From this point on, another version has other metadata.
    distinct_from: Millis,
    /// Whether the version was read at that point or later.
    is_distinct: bool,
}

/// Metadata that differ between versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct FileStamp {
    device: u64,
    inode: u64,
    bytes: u64,
    /// Seconds and nanoseconds of the last change of the contents.
    modified: (i64, i64),
    /// Seconds and nanoseconds of the last change of the contents or the metadata.
    changed: (i64, i64),
}

impl FileStamp {
    fn new(metadata: &Metadata) -> Self {
        Self {
            device: metadata.dev(),
            inode: metadata.ino(),
            bytes: metadata.size(),
            modified: (metadata.mtime(), metadata.mtime_nsec()),
            changed: (metadata.ctime(), metadata.ctime_nsec()),
        }
    }
}

impl FileVersion {
    /// Creates the version of a file that was not read yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the file at `path` may have changed since this last returned true, after which the caller reads it.
    /// Always true if its metadata can't be read.
    pub fn may_have_changed(&mut self, path: &Path, now: Millis) -> bool {
        let stamp = path.metadata().ok().as_ref().map(FileStamp::new);
        let is_same = stamp.is_some() && stamp == self.stamp;
        if is_same && self.is_distinct {
            return false;
        }
        if !is_same {
            self.stamp = stamp;
            self.distinct_from = now.plus(TIMESTAMP_RESOLUTION_MS);
        }
        self.is_distinct = now >= self.distinct_from;
        true
    }
}
