//! `jysoak`: runs the fault-injection soak test for a range of seeds.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use jy_soak::run::run;

/// Usage text, printed above the list of options.
const USAGE: &str = "usage: jysoak [--seed N] [--count N] [--seconds N] [--restores N] [--keep FOLDER]

Runs nine jyedge processes against stand-ins for the platform and injects the faults drawn from each seed.
The jyedge executable must be in the same folder as jysoak. Prints a line for each seed. The settings and
logs of a run stay in a subfolder of FOLDER unless the run passes.

exit: 0 no violations, 1 an invariant was violated, 2 it could not run

example: jysoak --seed 1 --count 50 --seconds 12";

fn main() -> ExitCode {
    match soak() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("jysoak: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs the seeds given on the command line; returns true if no invariant was violated.
///
/// # Errors
///
/// If the command line is invalid, a run can't be set up or controlled, or its folder can't be removed.
fn soak() -> Result<bool> {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed (default: 1)", "N");
    options.optopt("", "count", "number of seeds (default: 1)", "N");
    options.optopt(
        "",
        "seconds",
        "seconds during which faults occur (default: 12)",
        "N",
    );
    options.optopt(
        "",
        "restores",
        "restores of the store from an older copy per run (default: 0)",
        "N",
    );
    options.optopt(
        "",
        "keep",
        "folder for settings and logs (default: the temporary folder)",
        "FOLDER",
    );
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(std::env::args().skip(1))
        .context("invalid command line; see jysoak --help")?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(true);
    }
    let number = |name: &str, default: u64| -> Result<u64> {
        let text = matches.opt_str(name);
        text.map_or(Ok(default), |text| {
            text.parse()
                .with_context(|| format!("invalid --{name} {text:?}: expected a whole number"))
        })
    };
    let (seed, count, seconds) = (
        number("seed", 1)?,
        number("count", 1)?,
        number("seconds", 12)?,
    );
    let restores = usize::try_from(number("restores", 0)?)?;
    let program =
        std::env::current_exe().context("could not determine the path of this program")?;
    let agent = program.with_file_name("jyedge");
    let keep = matches
        .opt_str("keep")
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let mut no_violations = true;
    for seed in seed..seed + count {
        let folder = keep.join(format!("jysoak-{}-{seed}", std::process::id()));
        let running = run(&agent, &folder, seed, seconds * 1_000, restores);
        let report = actix_rt::System::new().block_on(running)?;
        println!(
            "seed {seed}: served {}, failed {}, recovered in {} ms, {} broken",
            report.served,
            report.failed,
            report.recovered_ms,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        } else {
            println!("  logs: {}", folder.display());
            no_violations = false;
        }
    }
    Ok(no_violations)
}
