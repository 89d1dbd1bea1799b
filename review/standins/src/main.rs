//! The cases of the review: `jy-review CASE RECORD on|off`, with or without the disruption. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run.

mod case_cold;
mod case_drain;
mod case_keys;
mod case_left;
mod case_memory;
mod endpoint;
mod fleet;
mod http;
mod json;
mod record;
mod store;

use std::io::Error;
use std::io::Result;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Time after which a case that has not ended is given up.
const MAX_TIME: Duration = Duration::from_secs(110);

/// Whether the rule held or was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        fleet::kill_all();
        eprintln!("the case took too long");
        exit(2);
    });
    let code = match run(&arguments) {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    };
    exit(code);
}

fn run(arguments: &[String]) -> Result<Verdict> {
    let [_, case, record, trouble] = arguments else {
        return Err(Error::other("usage: jy-review CASE RECORD on|off"));
    };
    let has_trouble = match trouble.as_str() {
        "on" => true,
        "off" => false,
        _ => return Err(Error::other("trouble is either on or off")),
    };
    let record = Arc::new(Record::new(Path::new(record))?);
    let verdict = match case.as_str() {
        "cold" => case_cold::run(&record, has_trouble),
        "drain" => case_drain::run(&record, has_trouble),
        "keys" => case_keys::run(&record, has_trouble),
        "left" => case_left::run(&record, has_trouble),
        "memory" => case_memory::run(&record, has_trouble),
        _ => Err(Error::other(format!("unknown case {case}"))),
    };
    let end = match &verdict {
        Ok(Verdict::Held) => "the rule held".to_string(),
        Ok(Verdict::Broken) => "the rule was broken".to_string(),
        Err(error) => format!("the case couldn't run: {error}"),
    };
    record.say(&end);
    record.flush();
    verdict
}
