//! Cases of an independent review. Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

use std::path::PathBuf;
use std::rc::Rc;

use anyhow::Context;
use anyhow::Result;

mod drain;
mod endpoint;
mod exiting;
mod fleet;
mod link;
mod owner;
mod record;
mod reuse;
mod silent;

use record::RunRecord;

fn main() {
    let code = match actix_rt::System::new().block_on(run()) {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error:#}");
            2
        }
    };
    std::process::exit(code);
}

/// Runs the case that the first argument names. Returns the number of violations.
///
/// # Errors
///
/// If it can't run.
async fn run() -> Result<usize> {
    let mut arguments = std::env::args().skip(1);
    let mut next = |name: &str| {
        arguments
            .next()
            .with_context(|| format!("argument {name} is missing"))
    };
    let case = next("CASE")?;
    let program = PathBuf::from(next("PROGRAM")?);
    let folder = PathBuf::from(next("FOLDER")?);
    let record = Rc::new(RunRecord::create(&PathBuf::from(next("RECORD")?))?);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let shared = Rc::clone(&record);
    let result = match case.as_str() {
        "silent" => silent::run(&program, &folder, shared, has_trouble).await,
        "drain" => drain::run(&program, &folder, shared, has_trouble).await,
        "exiting" => exiting::run(&program, &folder, shared, has_trouble).await,
        "reuse" => reuse::run(&program, &folder, shared, has_trouble).await,
        other => Err(anyhow::anyhow!("there is no case {other}")),
    };
    record.finish();
    result?;
    Ok(record.violation_count())
}
