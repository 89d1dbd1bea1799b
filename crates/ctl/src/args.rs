//! Options that several commands share, parsed with a hint.

use std::net::SocketAddr;

use getopts::Matches;
use getopts::Options;

use crate::accept::ChangeAuthor;
use crate::error::CtlError;
use crate::error::Result;

/// Adds `--store`.
pub fn add_store(options: &mut Options) {
    options.optopt("", "store", "the platform's key-value service", "IP:PORT");
}

/// Adds `--agent`.
pub fn add_agent(options: &mut Options) {
    let help = "operators' listener of any agent; give several in case one is gone";
    options.optmulti("", "agent", help, "IP:PORT");
}

/// Adds `--workspace` and `--service`.
pub fn add_service(options: &mut Options) {
    options.optopt("", "workspace", "name of the workspace", "NAME");
    options.optopt("", "service", "name of the service", "NAME");
}

/// Adds `--by` and `--note`.
pub fn add_author(options: &mut Options) {
    options.optopt("", "by", "who changes it; by default $USER", "NAME");
    options.optopt("", "note", "why, for the others", "TEXT");
}

/// Returns an option that must be given.
///
/// # Errors
///
/// [`CtlError::Usage`].
pub fn required(matches: &Matches, name: &str) -> Result<String> {
    let hint = format!("add --{name}; --help shows an example");
    matches
        .opt_str(name)
        .ok_or_else(|| CtlError::usage(format!("--{name} is missing"), hint))
}

/// Returns who makes a change.
#[must_use]
pub fn author(matches: &Matches) -> ChangeAuthor {
    let name = matches.opt_str("by").or_else(|| std::env::var("USER").ok());
    ChangeAuthor {
        name: name.unwrap_or_else(|| "unnamed".to_owned()).into(),
        note: matches.opt_str("note").map(Into::into),
    }
}

/// Returns the address of the store.
///
/// # Errors
///
/// [`CtlError::Usage`].
pub fn store(matches: &Matches) -> Result<SocketAddr> {
    address("store", &required(matches, "store")?)
}

/// Returns the addresses of agents, at least one.
///
/// # Errors
///
/// [`CtlError::Usage`].
pub fn agents(matches: &Matches) -> Result<Vec<SocketAddr>> {
    let given = matches.opt_strs("agent");
    if given.is_empty() {
        let hint = "add --agent with the operators' listener of any agent";
        return Err(CtlError::usage("--agent is missing", hint));
    }
    given.iter().map(|text| address("agent", text)).collect()
}

/// Parses an IP address and port.
///
/// # Errors
///
/// [`CtlError::Usage`].
fn address(name: &str, text: &str) -> Result<SocketAddr> {
    let hint = "write an IP address and a port, such as 127.0.0.1:7000";
    text.parse()
        .map_err(|_| CtlError::usage(format!("--{name} {text:?} is not an address"), hint))
}

/// Returns the only argument besides options.
///
/// # Errors
///
/// [`CtlError::Usage`].
pub fn only(matches: &Matches, what: &str) -> Result<String> {
    match matches.free.as_slice() {
        [one] => Ok(one.clone()),
        [] => Err(CtlError::usage(
            format!("{what} is missing"),
            "--help shows an example",
        )),
        [_, extra, ..] => Err(CtlError::usage(
            format!("unexpected argument {extra:?}"),
            format!("give one {what}"),
        )),
    }
}

/// Returns a whole number.
///
/// # Errors
///
/// [`CtlError::Usage`].
pub fn integer(matches: &Matches, name: &str) -> Result<Option<u64>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let error = || {
        CtlError::usage(
            format!("--{name} {text:?} is not a whole number"),
            "such as 12",
        )
    };
    text.parse().map(Some).map_err(|_| error())
}

/// Returns a time in milliseconds, written such as `500ms`, `30s` or `5m`.
///
/// # Errors
///
/// [`CtlError::Usage`].
pub fn millis(matches: &Matches, name: &str, default: u64) -> Result<u64> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    let hint = "write a number and ms, s, m or h, such as 30s";
    parse_millis(&text)
        .ok_or_else(|| CtlError::usage(format!("--{name} {text:?} is not a time"), hint))
}

/// Units of time and their milliseconds. `ms` comes before `s` and `m`.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses a time.
fn parse_millis(text: &str) -> Option<u64> {
    let (number, millis) = UNITS
        .iter()
        .find_map(|(unit, millis)| Some((text.strip_suffix(unit)?, millis)))?;
    number.parse::<u64>().ok()?.checked_mul(*millis)
}
