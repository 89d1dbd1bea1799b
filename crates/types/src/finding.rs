//! Findings of a check with their source locations, collected and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// A position in a source text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SourceLocation {
    /// Name of the file or other source.
    pub source: Name,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.source, self.line, self.column)
    }
}

/// One error found by a check, with its location and a hint on how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// Location of the error.
    #[serde(rename = "place")]
    pub location: SourceLocation,
    /// Description of the error.
    pub message: Name,
    /// How to fix it.
    pub hint: Name,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}\n  hint: {}",
            self.location, self.message, self.hint
        )
    }
}

/// All findings of one check.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct FindingList(pub Vec<Finding>);

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} finding(s)", self.0.len())
    }
}
