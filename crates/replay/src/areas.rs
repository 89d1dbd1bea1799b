//! Which decision replays a trace, by the area that its header names.

use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::read_header;

/// Replays a trace and returns its figures.
type ReplayFn = fn(&str, &str) -> Result<FigureMap>;

/// Decisions by area.
pub const AREAS: [(&str, ReplayFn); 5] = [
    ("config", jy_ctl::replay::replay),
    ("control", jy_control::replay::replay),
    ("lease", jy_lease::replay::replay),
    ("gate", jy_gate::replay::replay),
    ("route", jy_route::replay::replay),
];

/// Finds the replay of a trace by its header; none if no decision has that area.
///
/// # Errors
///
/// If the header is not understood.
pub fn find(source: &str, text: &str) -> Result<Option<ReplayFn>> {
    let header = read_header(source, text)?;
    let found = AREAS.iter().find(|(area, _)| *area == &*header.area);
    Ok(found.map(|(_, replay)| *replay))
}
