//! `jyctl burn`: samples the agents' metrics and reports error budgets and burn rates.

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

const DEFAULT_DURATION_MS: u64 = 30_000;

const DEFAULT_INTERVAL_MS: u64 = 2_000;

const MIN_INTERVAL_MS: u64 = 100;

const MAX_CONCURRENT_SCRAPES: usize = 64;

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

/// Adds the options of `jyctl burn`.
fn options(options: &mut Options) {
    args::add_agent(options);
    args::add_store(options);
    let help = "read the targets from this file instead of the store";
    options.optmulti("", "targets", help, "WORKSPACE.jsonc");
    options.optopt(
        "",
        "for",
        "how long to collect samples, 30s by default; 0s only reports",
        "TIME",
    );
    options.optopt(
        "",
        "every",
        "time between two samples, 2s by default",
        "TIME",
    );
    let help = "add the samples to this file and report on all in it, so that windows span runs";
    options.optopt("", "samples", help, "FILE.jsonl");
    options.optopt("", "html", "write the report as an HTML page", "FILE.html");
    options.optopt("", "short", "short window, 5m by default", "TIME");
    options.optopt("", "long", "long window, 1h by default", "TIME");
    options.optopt(
        "",
        "page-at",
        "burn rate that triggers a page, 14.4 by default",
        "RATE",
    );
}

/// Runs `jyctl burn`.
///
/// # Errors
///
/// [`CtlError`] if the command line is invalid, the targets cannot be read, no given agent answers, or a
/// file cannot be read or written.
async fn burn(matches: Matches) -> Result<CommandOutcome> {
    let settings = settings(&matches)?;
    let fleet = FleetClient::new(args::agent_addresses(&matches)?);
    let duration = Duration::from_millis(args::duration_ms(&matches, "for", DEFAULT_DURATION_MS)?);
    let interval = args::duration_ms(&matches, "every", DEFAULT_INTERVAL_MS)?.max(MIN_INTERVAL_MS);
    let path = matches.opt_str("samples");
    let workspaces = targets(&matches).await?;
    let mut samples = path
        .as_deref()
        .map(read_samples)
        .transpose()?
        .unwrap_or_default();
    if !duration.is_zero() {
        let new_samples = collect(&fleet, duration, Duration::from_millis(interval)).await?;
        if let Some(path) = &path {
            append_samples(path, &new_samples)?;
        }
        samples.extend(new_samples);
    }
    let report = report::build_report(&samples, &workspaces, &settings);
    let mut text = text::write(&report);
    if let Some(path) = matches.opt_str("html") {
        fs::write(&path, html::write(&report)).map_err(file_error(&path))?;
        text += &format!("\npage written to {path}\n");
    }
    let json = serde_json::to_value(&report).unwrap_or_default();
    Ok(CommandOutcome::new(text, json))
}

/// Returns the windows and the burn rate that triggers a page.
///
/// # Errors
///
/// [`CtlError::Usage`] if a value is invalid, or the short window is zero or longer than the long one.
fn settings(matches: &Matches) -> Result<BurnSettings> {
    let defaults = BurnSettings::default();
    let settings = BurnSettings {
        short_ms: args::duration_ms(matches, "short", defaults.short_ms)?,
        long_ms: args::duration_ms(matches, "long", defaults.long_ms)?,
        page_at: rate(matches, defaults.page_at)?,
        ..defaults
    };
    if settings.short_ms == 0 || settings.short_ms > settings.long_ms {
        let hint = "for example --short 5m --long 1h";
        return Err(CtlError::usage(
            "the short window must be above zero and at most as long as the long window",
            hint,
        ));
    }
    Ok(settings)
}

/// Returns the burn rate that triggers a page.
///
/// # Errors
///
/// [`CtlError::Usage`] if the value is not a finite number above zero.
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
            format!("invalid value {text:?} for --page-at: expected a number above zero"),
            "for example 14.4",
        )
    };
    rate.ok_or_else(error)
}

/// Returns the workspaces with their targets, from files or from the store.
///
/// # Errors
///
/// [`CtlError::Usage`] if neither files nor a store are given, [`CtlError::Refused`] if the store has no
/// workspace, or the errors of reading them.
async fn targets(matches: &Matches) -> Result<Vec<WorkspaceRecord>> {
    let paths = matches.opt_strs("targets");
    if !paths.is_empty() {
        return paths.iter().map(|path| files::render(path)).collect();
    }
    if !matches.opt_present("store") {
        let hint = "add --store IP:PORT, or --targets WORKSPACE.jsonc while the store is down";
        return Err(CtlError::usage("no source for the targets is given", hint));
    }
    let store = StoreClient::new(&args::store_address(matches)?.to_string());
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

/// Samples all agents at an interval.
///
/// # Errors
///
/// [`CtlError`] if no given agent returns the member list at the start. Later failures keep the last list.
async fn collect(
    fleet: &FleetClient,
    duration: Duration,
    interval: Duration,
) -> Result<Vec<AgentSample>> {
    let mut members = fleet.active_members().await?;
    let start = Instant::now();
    let mut progress_line = ProgressLine::new();
    let mut samples = Vec::new();
    loop {
        samples.extend(sample_all(fleet, &members).await);
        let remaining = duration.saturating_sub(start.elapsed());
        progress_line.show(&format!(
            "{} agents, {} s to go",
            members.len(),
            remaining.as_secs()
        ));
        if remaining.is_zero() {
            progress_line.end();
            return Ok(samples);
        }
        actix_rt::time::sleep(interval.min(remaining)).await;
        members = fleet.active_members().await.unwrap_or(members);
    }
}

/// Samples every agent once. An agent that does not answer yields a sample without metrics.
async fn sample_all(fleet: &FleetClient, members: &[MemberStatus]) -> Vec<AgentSample> {
    let ask = |member: &MemberStatus| {
        let (name, address) = (member.id.name.clone(), member.operator_addr);
        async move {
            let body = fleet
                .call(address, CallMethod::Get, METRICS_PATH)
                .await
                .ok();
            let scrape = body.and_then(|body| scrape::parse(&String::from_utf8_lossy(&body)).ok());
            AgentSample {
                at: clock::wall_now(),
                agent: name,
                scrape,
            }
        }
    };
    let asks: Vec<_> = members.iter().map(ask).collect();
    stream::iter(asks)
        .buffer_unordered(MAX_CONCURRENT_SCRAPES)
        .collect()
        .await
}

/// Reads the samples of earlier runs. A missing file counts as empty.
///
/// # Errors
///
/// [`CtlError::File`] if the file cannot be read, or [`CtlError::Refused`] with the first line that is not
/// a sample.
fn read_samples(path: &str) -> Result<Vec<AgentSample>> {
    let text = match fs::read_to_string(path) {
        Err(cause) if cause.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        read => read.map_err(file_error(path))?,
    };
    let parse = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|cause| {
            let message = format!("{path}:{}: invalid sample: {cause}", index + 1);
            CtlError::refused(
                message,
                "delete this line, or use another file for --samples",
            )
        })
    };
    text.lines().enumerate().map(parse).collect()
}

/// Appends samples to a file, one JSON object per line. Creates the file if it is missing.
///
/// # Errors
///
/// [`CtlError::File`] if the file cannot be written.
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

/// Returns a function that converts an I/O error on a file.
fn file_error(path: &str) -> impl FnOnce(std::io::Error) -> CtlError {
    move |cause| CtlError::File {
        path: path.into(),
        cause,
    }
}
