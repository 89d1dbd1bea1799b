//! Replays recorded traces of all areas and compares the figures with the expected outcomes.

pub mod areas;
pub mod files;
