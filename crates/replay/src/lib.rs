//! Replays recorded traces of every area against their stated outcomes.

pub mod areas;
pub mod files;
