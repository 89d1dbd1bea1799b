//! `jybackend`: stand-in for a backend server.

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

/// Usage line, printed above the list of options.
const USAGE: &str = "usage: jybackend --listen IP:PORT --agent IP:PORT --workspace W --service S";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jybackend: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Parses the command line and serves until the process is told to stop.
///
/// # Errors
///
/// If an argument is missing or invalid, or the address can't be bound.
fn run() -> Result<()> {
    let mut options = Options::new();
    options.reqopt("", "listen", "address to listen on for requests", "IP:PORT");
    options.reqopt(
        "",
        "agent",
        "address of the agent's listener for backend servers",
        "IP:PORT",
    );
    options.reqopt("", "workspace", "workspace of the service", "NAME");
    options.reqopt("", "service", "service that it belongs to", "NAME");
    options.optopt("", "slots", "requests handled concurrently once warm", "N");
    options.optflag(
        "",
        "checks-fence",
        "refuse a fence lower than the highest of its unit",
    );
    options.optopt(
        "",
        "work-ms",
        "duration of a request, in ms (default: 2)",
        "N",
    );
    options.optopt(
        "",
        "cold-ms",
        "duration of a cold start, in ms (default: 0)",
        "N",
    );
    let matches = options
        .parse(std::env::args().skip(1))
        .with_context(|| options.usage(USAGE))?;
    let target = announce_target(&matches)?;
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

/// Reads the announced description of the backend server from the command line.
///
/// # Errors
///
/// If an address is missing or invalid, or a number is invalid.
fn announce_target(matches: &Matches) -> Result<AnnounceTarget> {
    let address = |name: &str| -> Result<SocketAddr> {
        matches
            .opt_get(name)
            .with_context(|| format!("invalid --{name}: expected IP:PORT"))?
            .with_context(|| format!("missing required option --{name}"))
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
