//! `jybackend`: a stand-in for a backend server.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use getopts::Matches;
use getopts::Options;
use jy_standins::announce::AnnounceTarget;
use jy_standins::backend_api;
use jy_standins::backend_state::BackendSettings;
use jy_types::name::Name;

/// First line of the help.
const BRIEF: &str = "usage: jybackend --listen IP:PORT --agent IP:PORT --workspace W --service S";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jybackend: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Parses the arguments and serves.
///
/// # Errors
///
/// If an argument is not understood or the address can't be bound.
fn run() -> Result<()> {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to take requests on", "IP:PORT");
    options.reqopt(
        "",
        "agent",
        "the agent's listener for backend servers",
        "IP:PORT",
    );
    options.reqopt("", "workspace", "workspace it serves", "NAME");
    options.reqopt("", "service", "service it serves", "NAME");
    options.optopt("", "slots", "requests handled at once when warm", "N");
    options.optflag("", "checks-fence", "refuse a fence lower than one seen");
    options.optopt("", "work-ms", "time that a request takes", "N");
    options.optopt("", "cold-ms", "time until it is warm", "N");
    let matches = options
        .parse(std::env::args().skip(1))
        .with_context(|| options.usage(BRIEF))?;
    let target = target(&matches)?;
    let settings = BackendSettings {
        slots: target.slots,
        checks_fence: target.checks_fence,
        work_ms: matches.opt_get_default("work-ms", 2)?,
        cold_ms: matches.opt_get_default("cold-ms", 0)?,
    };
    let address = target.address;
    actix_rt::System::new()
        .block_on(backend_api::serve(target, settings))
        .with_context(|| format!("could not serve on {address}; is the port in use?"))
}

/// Reads who the backend server is.
///
/// # Errors
///
/// If an address or a number is not understood.
fn target(matches: &Matches) -> Result<AnnounceTarget> {
    let address = |name: &str| -> Result<SocketAddr> {
        matches
            .opt_get(name)
            .with_context(|| format!("--{name} must be an IP number with a port"))?
            .with_context(|| format!("--{name} is missing"))
    };
    let text = |name: &str| -> Name { matches.opt_str(name).unwrap_or_default().into() };
    Ok(AnnounceTarget {
        agent: address("agent")?,
        address: address("listen")?,
        workspace: text("workspace"),
        service: text("service"),
        slots: matches.opt_get_default("slots", 6)?,
        checks_fence: matches.opt_present("checks-fence"),
    })
}
