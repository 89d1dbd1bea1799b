//! `jyctl burn`: collects the agents' counters and reports the service-level burn.

use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream;
use getopts::Matches;
use getopts::Options;
use jy_burn::html;
use jy_burn::report;
use jy_burn::report::BurnSettings;
use jy_burn::scrape;
use jy_burn::scrape::AgentSample;
use jy_burn::text;
use jy_store::client::StoreClient;
use jy_types::status::METRICS_PATH;
use jy_types::status::MemberStatus;
use jy_types::workspace::WorkspaceRecord;

use crate::accept;
use crate::args;
use crate::clock;
use crate::command::CommandOutcome;
use crate::command::CommandSpec;
use crate::error::CtlError;
use crate::error::Result;
use crate::files;
use crate::fleet::CallMethod;
use crate::fleet::FleetClient;
use crate::watch::ProgressLine;

/// How long to collect, in milliseconds.
const FOR_MS: u64 = 30_000;

/// Time between two looks at every agent, in milliseconds.
const EVERY_MS: u64 = 2_000;

/// Shortest time between two looks, in milliseconds.
const LEAST_EVERY_MS: u64 = 100;

/// Agents asked at the same time.
const LOOKS_AT_ONCE: usize = 64;

/// `jyctl burn`.
pub const BURN: CommandSpec = CommandSpec {
    name: "burn",
    arguments: "--agent IP:PORT (--store IP:PORT | --targets WORKSPACE.jsonc) [--for TIME]",
    about: "Collects the agents' counters and reports error budgets and burn rates.",
    example: "jyctl burn --agent 127.0.0.1:7104 --store 127.0.0.1:7000 --for 30s \
              --samples burn.jsonl --html burn.html",
    options,
    run: |matches| Box::pin(burn(matches)),
};

/// Options of `jyctl burn`.
fn options(options: &mut Options) {
    args::add_agent(options);
    args::add_store(options);
    let help = "take the targets from this file instead of the store";
    options.optmulti("", "targets", help, "WORKSPACE.jsonc");
    options.optopt(
        "",
        "for",
        "how long to collect, by default 30s; 0s only reports",
        "TIME",
    );
    options.optopt("", "every", "time between two looks, by default 2s", "TIME");
    let help = "keep the samples here, so that windows span runs";
    options.optopt("", "samples", help, "FILE.jsonl");
    options.optopt("", "html", "write the report as a page", "FILE.html");
    options.optopt("", "short", "short window, by default 5m", "TIME");
    options.optopt("", "long", "long window, by default 1h", "TIME");
    options.optopt(
        "",
        "page-at",
        "burn rate that pages, by default 14.4",
        "RATE",
    );
}

/// Runs `jyctl burn`.
///
/// # Errors
///
/// [`CtlError`].
async fn burn(matches: Matches) -> Result<CommandOutcome> {
    let settings = settings(&matches)?;
    let fleet = FleetClient::new(args::agents(&matches)?);
    let length = Duration::from_millis(args::millis(&matches, "for", FOR_MS)?);
    let every = args::millis(&matches, "every", EVERY_MS)?.max(LEAST_EVERY_MS);
    let path = matches.opt_str("samples");
    let workspaces = targets(&matches).await?;
    let mut samples = path
        .as_deref()
        .map(read_samples)
        .transpose()?
        .unwrap_or_default();
    if !length.is_zero() {
        let fresh = collect(&fleet, length, Duration::from_millis(every)).await?;
        if let Some(path) = &path {
            append_samples(path, &fresh)?;
        }
        samples.extend(fresh);
    }
    let report = report::make(&samples, &workspaces, &settings);
    let mut text = text::write(&report);
    if let Some(path) = matches.opt_str("html") {
        fs::write(&path, html::write(&report)).map_err(file_error(&path))?;
        text += &format!("\npage written to {path}\n");
    }
    let json = serde_json::to_value(&report).unwrap_or_default();
    Ok(CommandOutcome::new(text, json))
}

/// Reads windows and the burn rate that pages.
///
/// # Errors
///
/// [`CtlError::Usage`].
fn settings(matches: &Matches) -> Result<BurnSettings> {
    let standard = BurnSettings::default();
    let settings = BurnSettings {
        short_ms: args::millis(matches, "short", standard.short_ms)?,
        long_ms: args::millis(matches, "long", standard.long_ms)?,
        page_at: rate(matches, standard.page_at)?,
        ..standard
    };
    if settings.short_ms == 0 || settings.short_ms > settings.long_ms {
        let hint = "such as --short 5m --long 1h";
        return Err(CtlError::usage(
            "the short window must fit into the long one",
            hint,
        ));
    }
    Ok(settings)
}

/// Reads the burn rate that pages.
///
/// # Errors
///
/// [`CtlError::Usage`].
fn rate(matches: &Matches, default: f64) -> Result<f64> {
    let Some(text) = matches.opt_str("page-at") else {
        return Ok(default);
    };
    let rate = text
        .parse()
        .ok()
        .filter(|rate: &f64| rate.is_finite() && *rate > 0.0);
    let error = || {
        CtlError::usage(
            format!("--page-at {text:?} is not a burn rate"),
            "such as 14.4",
        )
    };
    rate.ok_or_else(error)
}

/// Returns the workspaces with their targets, from files or from the store.
///
/// # Errors
///
/// [`CtlError`].
async fn targets(matches: &Matches) -> Result<Vec<WorkspaceRecord>> {
    let paths = matches.opt_strs("targets");
    if !paths.is_empty() {
        return paths.iter().map(|path| files::render(path)).collect();
    }
    if !matches.opt_present("store") {
        let hint = "add --store IP:PORT, or --targets WORKSPACE.jsonc while the store is down";
        return Err(CtlError::usage("nothing says what the targets are", hint));
    }
    let store = StoreClient::new(&args::store(matches)?.to_string());
    let states = accept::read_all(&store).await?;
    let records: Vec<_> = states
        .into_iter()
        .filter_map(|state| state.record)
        .collect();
    if records.is_empty() {
        let hint = "accept one first: `jyctl accept --help`";
        return Err(CtlError::refused("no workspace is accepted", hint));
    }
    Ok(records)
}

/// Looks at every agent again and again.
///
/// # Errors
///
/// [`CtlError`] if no given agent answers at first.
async fn collect(
    fleet: &FleetClient,
    length: Duration,
    every: Duration,
) -> Result<Vec<AgentSample>> {
    let mut members = fleet.present().await?;
    let start = Instant::now();
    let mut line = ProgressLine::new();
    let mut samples = Vec::new();
    loop {
        samples.extend(look(fleet, &members).await);
        let left = length.saturating_sub(start.elapsed());
        line.show(&format!(
            "{} agents, {} s to go",
            members.len(),
            left.as_secs()
        ));
        if left.is_zero() {
            line.end();
            return Ok(samples);
        }
        actix_rt::time::sleep(every.min(left)).await;
        members = fleet.present().await.unwrap_or(members);
    }
}

/// Looks at every agent once.
async fn look(fleet: &FleetClient, members: &[MemberStatus]) -> Vec<AgentSample> {
    let ask = |member: &MemberStatus| {
        let (name, address) = (member.id.name.clone(), member.operator_addr);
        async move {
            let body = fleet
                .body(address, CallMethod::Get, METRICS_PATH)
                .await
                .ok();
            let scrape = body.and_then(|body| scrape::read(&String::from_utf8_lossy(&body)).ok());
            AgentSample {
                at: clock::wall_now(),
                agent: name,
                scrape,
            }
        }
    };
    let asks: Vec<_> = members.iter().map(ask).collect();
    stream::iter(asks)
        .buffer_unordered(LOOKS_AT_ONCE)
        .collect()
        .await
}

/// Reads kept samples; a file that is not there has none.
///
/// # Errors
///
/// [`CtlError::File`], or [`CtlError::Refused`] with the line that is not a sample.
fn read_samples(path: &str) -> Result<Vec<AgentSample>> {
    let text = match fs::read_to_string(path) {
        Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        read => read.map_err(file_error(path))?,
    };
    let parse = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|cause| {
            let message = format!("{path}:{}: not a sample: {cause}", index + 1);
            CtlError::refused(message, "drop this line, or give --samples another file")
        })
    };
    text.lines().enumerate().map(parse).collect()
}

/// Adds samples to a file.
///
/// # Errors
///
/// [`CtlError::File`].
fn append_samples(path: &str, samples: &[AgentSample]) -> Result<()> {
    let mut lines = String::new();
    for sample in samples {
        lines += &serde_json::to_string(sample).unwrap_or_default();
        lines.push('\n');
    }
    let mut open = OpenOptions::new();
    let file = open.create(true).append(true).open(path);
    file.and_then(|mut file| file.write_all(lines.as_bytes()))
        .map_err(file_error(path))
}

/// Names the file of an error.
fn file_error(path: &str) -> impl FnOnce(std::io::Error) -> CtlError {
    move |cause| CtlError::File {
        path: path.into(),
        cause,
    }
}
