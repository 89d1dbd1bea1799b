//! `jyctl`: runs a command, prints its outcome and exits with its exit code.

use std::io::Write;
use std::process::ExitCode;

use jy_ctl::error::CtlError;
use serde_json::json;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let json = arguments.iter().any(|argument| argument == "--json");
    let outcome = actix_rt::System::new().block_on(jy_ctl::run(&arguments));
    match outcome {
        Ok(outcome) if json && !outcome.json.is_null() => {
            print_output(&format!("{}\n", outcome.json));
            ExitCode::from(outcome.exit)
        }
        Ok(outcome) => {
            print_output(&outcome.text);
            ExitCode::from(outcome.exit)
        }
        Err(error) => {
            print_error(&error, json);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints an error as text to standard error, or as JSON to standard output.
fn print_error(error: &CtlError, json: bool) {
    if !json {
        eprintln!("jyctl: {error}");
        return;
    }
    let findings = match error {
        CtlError::Findings(list) => list.0.as_slice(),
        _ => &[],
    };
    let exit = error.exit_code();
    let json = json!({"error": error.to_string(), "exit": exit, "findings": findings});
    print_output(&format!("{json}\n"));
}

/// Prints to standard output. Write errors are ignored, since a reader such as `head` may close the pipe
/// early.
fn print_output(text: &str) {
    let mut output = std::io::stdout().lock();
    let written = output.write_all(text.as_bytes());
    drop(written.and_then(|()| output.flush()));
}
