//! Shared immutable strings for names.

use std::sync::Arc;

/// A name, shared and never changed.
pub type Name = Arc<str>;
