//! Selects the replay function of a trace by the area in its header.

use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::read_header;

/// Replays a trace, given the name of its source and its text, and returns its figures.
type ReplayFn = fn(&str, &str) -> Result<FigureMap>;

/// Replay functions by area.
pub const REPLAYS: [(&str, ReplayFn); 5] = [
    ("config", jy_ctl::replay::replay),
    ("control", jy_control::replay::replay),
    ("lease", jy_lease::replay::replay),
    ("gate", jy_gate::replay::replay),
    ("route", jy_route::replay::replay),
];

/// Finds the replay function of a trace by its header; `None` if the area is unknown.
///
/// # Errors
///
/// If the header is missing or invalid.
pub fn find_replay(source: &str, text: &str) -> Result<Option<ReplayFn>> {
    let header = read_header(source, text)?;
    let found = REPLAYS.iter().find(|(area, _)| *area == &*header.area);
    Ok(found.map(|(_, replay)| *replay))
}
