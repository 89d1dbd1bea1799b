//! Options and arguments that several commands share. Errors carry a hint on how to correct the command line.

use std::net::SocketAddr;

use getopts::Matches;
use getopts::Options;

use crate::accept::ChangeAuthor;
use crate::error::CtlError;
use crate::error::Result;

/// Adds `--store`.
pub fn add_store(options: &mut Options) {
    options.optopt("", "store", "address of the store", "IP:PORT");
}

/// Adds `--agent`.
pub fn add_agent(options: &mut Options) {
    let help =
        "operator listener of an agent; repeat the option to try others if one does not answer";
    options.optmulti("", "agent", help, "IP:PORT");
}

/// Adds `--workspace` and `--service`.
pub fn add_service(options: &mut Options) {
    options.optopt("", "workspace", "name of the workspace", "NAME");
    options.optopt("", "service", "name of the service", "NAME");
}

/// Adds `--by` and `--note`.
pub fn add_author(options: &mut Options) {
    options.optopt("", "by", "author of the change, $USER by default", "NAME");
    options.optopt(
        "",
        "note",
        "reason for the change, for other operators",
        "TEXT",
    );
}

/// Returns the value of a required option.
///
/// # Errors
///
/// [`CtlError::Usage`] if the option is missing.
pub fn required_option(matches: &Matches, name: &str) -> Result<String> {
    let hint = format!("add --{name}; see --help for an example");
    matches
        .opt_str(name)
        .ok_or_else(|| CtlError::usage(format!("missing option --{name}"), hint))
}

/// Returns the author of a change, from `--by`, `$USER` or else `unnamed`.
#[must_use]
pub fn author(matches: &Matches) -> ChangeAuthor {
    let name = matches.opt_str("by").or_else(|| std::env::var("USER").ok());
    ChangeAuthor {
        name: name.unwrap_or_else(|| "unnamed".to_owned()).into(),
        note: matches.opt_str("note").map(Into::into),
    }
}

/// Returns the address of the store, from `--store`.
///
/// # Errors
///
/// [`CtlError::Usage`] if it is missing or invalid.
pub fn store_address(matches: &Matches) -> Result<SocketAddr> {
    parse_address("store", &required_option(matches, "store")?)
}

/// Returns the addresses of the agents to ask, at least one, from `--agent`.
///
/// # Errors
///
/// [`CtlError::Usage`] if none is given or one is invalid.
pub fn agent_addresses(matches: &Matches) -> Result<Vec<SocketAddr>> {
    let given = matches.opt_strs("agent");
    if given.is_empty() {
        let hint = "add --agent with the operator listener of any agent";
        return Err(CtlError::usage("missing option --agent", hint));
    }
    given
        .iter()
        .map(|text| parse_address("agent", text))
        .collect()
}

/// Parses the IP address and port given for the option `name`.
///
/// # Errors
///
/// [`CtlError::Usage`] if the text is no such address.
fn parse_address(name: &str, text: &str) -> Result<SocketAddr> {
    let hint = "write an IP address and a port, such as 127.0.0.1:7000";
    text.parse().map_err(|_| {
        CtlError::usage(
            format!("invalid value {text:?} for --{name}: expected an address"),
            hint,
        )
    })
}

/// Returns the only positional argument. `description` names it in errors.
///
/// # Errors
///
/// [`CtlError::Usage`] if there is none or more than one.
pub fn single_argument(matches: &Matches, description: &str) -> Result<String> {
    match matches.free.as_slice() {
        [one] => Ok(one.clone()),
        [] => Err(CtlError::usage(
            format!("missing argument: {description}"),
            "see --help for an example",
        )),
        [_, extra, ..] => Err(CtlError::usage(
            format!("unexpected argument {extra:?}"),
            format!("give exactly one {description}"),
        )),
    }
}

/// Returns the value of an option as an integer, or `None` without the option.
///
/// # Errors
///
/// [`CtlError::Usage`] if the value is not an integer that fits.
pub fn integer(matches: &Matches, name: &str) -> Result<Option<u64>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let error = || {
        CtlError::usage(
            format!("invalid value {text:?} for --{name}: expected a whole number"),
            "for example 12",
        )
    };
    text.parse().map(Some).map_err(|_| error())
}

/// Returns the value of an option that takes a duration such as `500ms`, `30s` or `5m`, in milliseconds.
///
/// # Errors
///
/// [`CtlError::Usage`] if the value is not a duration.
pub fn duration_ms(matches: &Matches, name: &str, default: u64) -> Result<u64> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    let hint = "write a whole number and a unit (ms, s, m or h), such as 30s";
    parse_duration_ms(&text).ok_or_else(|| {
        CtlError::usage(
            format!("invalid value {text:?} for --{name}: expected a duration"),
            hint,
        )
    })
}

/// Units of a duration and their length in milliseconds. `ms` must come before `s`, which is a suffix of it.
const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses a duration, such as `30s`, to milliseconds.
fn parse_duration_ms(text: &str) -> Option<u64> {
    let (number, millis) = DURATION_UNITS
        .iter()
        .find_map(|(unit, millis)| Some((text.strip_suffix(unit)?, millis)))?;
    number.parse::<u64>().ok()?.checked_mul(*millis)
}
