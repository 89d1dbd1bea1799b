//! `jystore`: stand-in for the platform's key-value service.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use jy_standins::store_api;
use jy_standins::store_api::StoreLimits;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jystore: {error:#}");
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
    options.reqopt("", "listen", "address to listen on", "IP:PORT");
    options.optopt("", "writes", "limit on writes per second", "N");
    options.optopt("", "reads", "limit on reads per second", "N");
    let usage = || options.usage("usage: jystore --listen IP:PORT");
    let matches = options
        .parse(std::env::args().skip(1))
        .with_context(usage)?;
    let listen: SocketAddr = matches.opt_get("listen")?.with_context(usage)?;
    let defaults = StoreLimits::default();
    let limits = StoreLimits {
        writes: matches.opt_get_default("writes", defaults.writes)?,
        reads: matches.opt_get_default("reads", defaults.reads)?,
    };
    actix_rt::System::new()
        .block_on(store_api::serve(listen, limits))
        .with_context(|| format!("could not serve on {listen}; is the port in use?"))
}
