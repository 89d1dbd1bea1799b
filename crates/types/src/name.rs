//! Shared, immutable strings for names and other texts.

use std::sync::Arc;

/// An immutable string that is cheap to clone.
pub type Name = Arc<str>;
