//! The cases of the third review that need processes of their own.
//!
//! Usage: `review-3 CASE FOLDER`, in the root of the repository. Writes `record.txt` to the folder. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod early_leave;
mod fleet;
mod kept_limits;
mod owner;
mod record;
mod reused_address;
mod slow_endpoint;
mod slow_reader;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status if the case couldn't run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let path = PathBuf::from(folder).join("record.txt");
    let result = actix_rt::System::new().block_on(async {
        match &*name {
            "slow-reader" => slow_reader::run(has_trouble, &path).await,
            "slow-endpoint" => slow_endpoint::run(has_trouble, &path).await,
            "reused-address" => reused_address::run(has_trouble, &path).await,
            "early-leave" => early_leave::run(has_trouble, &path).await,
            "kept-limits" => kept_limits::run(has_trouble, &path).await,
            _ => Err(std::io::ErrorKind::InvalidInput.into()),
        }
    });
    match result {
        Ok(false) => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            println!("{name}: the rule was broken, see {}", path.display());
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{name} could not run: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
