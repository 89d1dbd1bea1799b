//! Creation times in request ids.

use jy_types::time::WallMillis;
use uuid::Uuid;

/// Version of UUIDs that begin with a timestamp.
const TIME_ORDERED_VERSION: usize = 7;

/// Returns when the caller created an id, by the caller's wall clock, if the id is a UUIDv7.
#[must_use]
pub fn id_created_at(id: &str) -> Option<WallMillis> {
    let uuid = Uuid::try_parse(id).ok()?;
    if uuid.get_version_num() != TIME_ORDERED_VERSION {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(WallMillis(seconds * 1_000 + u64::from(nanos) / 1_000_000))
}
