//! The commands `check`, `render`, `diff` and `accept`.

use std::net::SocketAddr;

use getopts::Matches;
use getopts::Options;
use jy_store::client::StoreClient;
use jy_types::finding::Finding;
use jy_types::finding::FindingList;
use jy_types::workspace::WorkspaceRecord;
use serde_json::json;

use crate::accept;
use crate::accept::AcceptOutcome;
use crate::accept::AcceptedState;
use crate::accept::ChangeAuthor;
use crate::accept::PauseFn;
use crate::args;
use crate::clock;
use crate::command::CommandFuture;
use crate::command::CommandOutcome;
use crate::command::CommandSpec;
use crate::diff;
use crate::error::CtlError;
use crate::error::EXIT_FINDINGS;
use crate::error::Result;
use crate::files;

/// `jyctl check`.
pub const CHECK: CommandSpec = CommandSpec {
    name: "check",
    arguments: "FILE.jsonc ...",
    about: "Checks workspace files and their templates and reports all findings.",
    example: "jyctl check examples/seal-registry.jsonc",
    options: |options| {
        options.optflag(
            "",
            "agent-settings",
            "check agent settings files instead of workspace files",
        );
    },
    run: |matches| Box::pin(async move { check(&matches) }),
};

/// `jyctl render`.
pub const RENDER: CommandSpec = CommandSpec {
    name: "render",
    arguments: "WORKSPACE.jsonc",
    about: "Prints a workspace file with its template applied.",
    example: "jyctl render examples/seal-registry.jsonc",
    options: |_| {},
    run: |matches| Box::pin(async move { render(&matches) }),
};

/// `jyctl diff`.
pub const DIFF: CommandSpec = CommandSpec {
    name: "diff",
    arguments: "WORKSPACE.jsonc --store IP:PORT",
    about: "Shows what accepting a workspace file would change.",
    example: "jyctl diff examples/seal-registry.jsonc --store 127.0.0.1:7000",
    options: args::add_store,
    run: |matches| Box::pin(diff_command(matches)),
};

/// `jyctl accept`.
pub const ACCEPT: CommandSpec = CommandSpec {
    name: "accept",
    arguments: "WORKSPACE.jsonc --store IP:PORT [--base REVISION]",
    about: "Puts a workspace file in force unless the workspace changed since the base revision.",
    example: "jyctl accept examples/seal-registry.jsonc --store 127.0.0.1:7000 --base 12",
    options: accept_options,
    run: |matches| -> CommandFuture { Box::pin(accept_command(matches)) },
};

/// Adds the options of `jyctl accept`.
fn accept_options(options: &mut Options) {
    args::add_store(options);
    let help = "revision shown by `jyctl diff`; optional for a new workspace";
    options.optopt("", "base", help, "REVISION");
    args::add_author(options);
}

/// Runs `jyctl check`.
///
/// # Errors
///
/// [`CtlError::Findings`] with the findings of all files, [`CtlError::File`] if a file cannot be read, or
/// [`CtlError::Usage`] if no file is given.
fn check(matches: &Matches) -> Result<CommandOutcome> {
    if matches.free.is_empty() {
        let hint = "for example `jyctl check examples/seal-registry.jsonc`";
        return Err(CtlError::usage("no file is given", hint));
    }
    let mut names = Vec::new();
    let mut findings: Vec<Finding> = Vec::new();
    let read = match matches.opt_present("agent-settings") {
        true => |path: &str| files::agent_settings(path).map(|settings| settings.name),
        false => |path: &str| files::render(path).map(|record| record.name),
    };
    for path in &matches.free {
        match read(path) {
            Ok(name) => names.push(name),
            Err(CtlError::Findings(list)) => findings.extend(list.0),
            Err(error) => return Err(error),
        }
    }
    findings.sort();
    findings.dedup();
    if !findings.is_empty() {
        return Err(FindingList(findings).into());
    }
    let text = names.iter().map(|name| format!("{name}: no findings\n"));
    Ok(CommandOutcome::new(
        text.collect::<String>(),
        json!({"names": names, "findings": []}),
    ))
}

/// Runs `jyctl render`.
///
/// # Errors
///
/// [`CtlError::Usage`] if not exactly one file is given, [`CtlError::Findings`] if it has findings, or
/// [`CtlError::File`] if it cannot be read.
fn render(matches: &Matches) -> Result<CommandOutcome> {
    let record = files::render(&args::single_argument(matches, "workspace file")?)?;
    let json = serde_json::to_value(&record).unwrap_or_default();
    Ok(CommandOutcome::new(format!("{json:#}\n"), json))
}

/// Runs `jyctl diff`.
///
/// # Errors
///
/// [`CtlError`] if the command line or the file is invalid, or the workspace cannot be read from the store.
async fn diff_command(matches: Matches) -> Result<CommandOutcome> {
    let path = args::single_argument(&matches, "workspace file")?;
    let address = args::store_address(&matches)?;
    let record = files::render(&path)?;
    let current = accept::read(&store_client(address), &record.name).await?;
    let changes = diff::changes(current.record.as_ref(), Some(&record));
    let revision = current.revision;
    let accepted_by = match revision {
        0 => " (not in force yet)".to_owned(),
        _ => format!(", accepted {}", accept::author_text(&current)),
    };
    let text = if changes.is_empty() {
        format!(
            "{}: in force at revision {revision}, nothing differs\n",
            record.name
        )
    } else {
        format!(
            "{}: {} setting(s) differ from revision {revision}{accepted_by}\n{}\
             to put it in force: jyctl accept {path} --store {address} --base {revision}\n",
            record.name,
            changes.len(),
            diff::text(&changes)
        )
    };
    let json = json!({"workspace": record.name, "revision": revision, "changes": changes});
    Ok(CommandOutcome::new(text, json))
}

/// Runs `jyctl accept`.
///
/// # Errors
///
/// [`CtlError`] if the command line or the file is invalid, or as [`accept_record`].
async fn accept_command(matches: Matches) -> Result<CommandOutcome> {
    let path = args::single_argument(&matches, "workspace file")?;
    let store = store_client(args::store_address(&matches)?);
    let base = args::integer(&matches, "base")?;
    let record = files::render(&path)?;
    let author = args::author(&matches);
    accept_record(&store, &clock::pause_fn(), &path, base, record, &author).await
}

/// Accepts a rendered record if `base`, the revision that its author last saw, is still the newest. `base`
/// may be `None` for a workspace that does not exist yet.
///
/// A conflicting change is not an error but an outcome with [`EXIT_FINDINGS`].
///
/// # Errors
///
/// [`CtlError::Refused`] if the workspace exists and `base` is `None`, or the errors of reading and writing
/// the workspace.
pub async fn accept_record(
    store: &StoreClient,
    pause: &PauseFn,
    path: &str,
    base: Option<u64>,
    record: WorkspaceRecord,
    author: &ChangeAuthor,
) -> Result<CommandOutcome> {
    let before = accept::read(store, &record.name).await?;
    if diff::changes(before.record.as_ref(), Some(&record)).is_empty() {
        return Ok(unchanged_outcome(&record, &before));
    }
    if let Some(outcome) = check_base(path, base, &record, &before)? {
        return Ok(outcome);
    }
    let record = accept::prepare_record(record, before.revision, author);
    match accept::write(store, pause, before.revision, &record).await? {
        AcceptOutcome::Accepted { revision } => Ok(accepted_outcome(&record, &before, revision)),
        AcceptOutcome::Rejected { current } => {
            Ok(conflict_outcome(path, &record, &before, &current))
        }
        AcceptOutcome::Superseded { current } => {
            Ok(superseded_outcome(path, &record, &before, &current))
        }
    }
}

/// Returns a client of the store at an address.
fn store_client(address: SocketAddr) -> StoreClient {
    StoreClient::new(&address.to_string())
}

/// Returns the outcome to report if `base` is not the newest revision.
///
/// # Errors
///
/// [`CtlError::Refused`] if the workspace exists and no base was given.
fn check_base(
    path: &str,
    base: Option<u64>,
    record: &WorkspaceRecord,
    before: &AcceptedState,
) -> Result<Option<CommandOutcome>> {
    match base {
        Some(base) if base != before.revision => {
            Ok(Some(stale_base_outcome(path, base, record, before)))
        }
        None if before.record.is_some() => {
            let message = format!(
                "workspace {:?} is already in force at revision {}; --base is required",
                record.name, before.revision
            );
            let hint = format!(
                "review `jyctl diff {path}`, then add --base {}",
                before.revision
            );
            Err(CtlError::refused(message, hint))
        }
        _ => Ok(None),
    }
}

/// Reports that the file is already in force.
fn unchanged_outcome(record: &WorkspaceRecord, before: &AcceptedState) -> CommandOutcome {
    let revision = before.revision;
    CommandOutcome::new(
        format!(
            "{}: in force at revision {revision} already, nothing written\n",
            record.name
        ),
        json!({"workspace": record.name, "accepted": true, "revision": revision, "changes": []}),
    )
}

/// Reports that the file is accepted.
fn accepted_outcome(
    record: &WorkspaceRecord,
    before: &AcceptedState,
    revision: u64,
) -> CommandOutcome {
    let changes = diff::changes(before.record.as_ref(), Some(record));
    let text = format!(
        "{}: accepted at revision {revision}, {} setting(s) changed\n\
         to see it spread: jyctl watch --revision {revision} --agent IP:PORT\n",
        record.name,
        changes.len()
    );
    let json = json!({
        "workspace": record.name, "accepted": true, "revision": revision, "changes": changes,
    });
    CommandOutcome::new(text, json)
}

/// Reports that another change came first, and what it changed.
fn conflict_outcome(
    path: &str,
    record: &WorkspaceRecord,
    before: &AcceptedState,
    current: &AcceptedState,
) -> CommandOutcome {
    let changes = diff::changes(before.record.as_ref(), current.record.as_ref());
    let details = format!("the other change:\n{}", diff::text(&changes));
    not_in_force_outcome(path, record, before.revision, current, &details)
}

/// Reports that several changes came since the base, one of which may be the operator's own.
fn superseded_outcome(
    path: &str,
    record: &WorkspaceRecord,
    before: &AcceptedState,
    current: &AcceptedState,
) -> CommandOutcome {
    let changes = diff::changes(before.record.as_ref(), current.record.as_ref());
    let details = format!(
        "several changes were accepted since; yours may have been in force before the newest \
         replaced it\nchanges since revision {}:\n{}",
        before.revision,
        diff::text(&changes)
    );
    not_in_force_outcome(path, record, before.revision, current, &details)
}

/// Reports that the base is not the newest revision, and what the file would change now.
fn stale_base_outcome(
    path: &str,
    base: u64,
    record: &WorkspaceRecord,
    current: &AcceptedState,
) -> CommandOutcome {
    let changes = diff::changes(current.record.as_ref(), Some(record));
    let details = format!(
        "changes from the revision in force to your file:\n{}",
        diff::text(&changes)
    );
    not_in_force_outcome(path, record, base, current, &details)
}

/// Reports that the file is not in force, and how to continue.
fn not_in_force_outcome(
    path: &str,
    record: &WorkspaceRecord,
    base: u64,
    current: &AcceptedState,
    details: &str,
) -> CommandOutcome {
    let name = &record.name;
    let revision = current.revision;
    let author = accept::author_text(current);
    let text = format!(
        "{name}: not in force: it is based on revision {base}, \
         but revision {revision} is now in force, accepted {author}\n{details}\
         to continue: merge the other change into your file, review `jyctl diff {path}`, \
         then accept with --base {revision}\n"
    );
    let own_changes = diff::changes(current.record.as_ref(), Some(record));
    let json = json!({
        "workspace": name, "accepted": false, "base": base, "revision": revision,
        "current": current.record, "changes": own_changes,
    });
    CommandOutcome::new(text, json).with_exit(EXIT_FINDINGS)
}
