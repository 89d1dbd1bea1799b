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
    about: "Checks workspace files and their templates and reports every finding.",
    example: "jyctl check examples/seal-registry.jsonc",
    options: |options| {
        options.optflag("", "agent-settings", "the files are settings of agents");
    },
    run: |matches| Box::pin(async move { check(&matches) }),
};

/// `jyctl render`.
pub const RENDER: CommandSpec = CommandSpec {
    name: "render",
    arguments: "WORKSPACE.jsonc",
    about: "Prints what a workspace file comes to with its template put in.",
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
    about: "Puts a workspace file in force, if nobody changed it since the revision you saw.",
    example: "jyctl accept examples/seal-registry.jsonc --store 127.0.0.1:7000 --base 12",
    options: accept_options,
    run: |matches| -> CommandFuture { Box::pin(accept_command(matches)) },
};

/// Options of `jyctl accept`.
fn accept_options(options: &mut Options) {
    args::add_store(options);
    let help = "revision that `jyctl diff` showed; may be left out for a new workspace";
    options.optopt("", "base", help, "REVISION");
    args::add_author(options);
}

/// Runs `jyctl check`.
///
/// # Errors
///
/// [`CtlError::Findings`] with the findings of all files.
fn check(matches: &Matches) -> Result<CommandOutcome> {
    if matches.free.is_empty() {
        let hint = "such as `jyctl check examples/seal-registry.jsonc`";
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
/// [`CtlError::Findings`] or [`CtlError::File`].
fn render(matches: &Matches) -> Result<CommandOutcome> {
    let record = files::render(&args::only(matches, "workspace file")?)?;
    let json = serde_json::to_value(&record).unwrap_or_default();
    Ok(CommandOutcome::new(format!("{json:#}\n"), json))
}

/// Runs `jyctl diff`.
///
/// # Errors
///
/// [`CtlError`].
async fn diff_command(matches: Matches) -> Result<CommandOutcome> {
    let path = args::only(&matches, "workspace file")?;
    let address = args::store(&matches)?;
    let record = files::render(&path)?;
    let current = accept::read(&client(address), &record.name).await?;
    let changes = diff::changes(current.record.as_ref(), Some(&record));
    let revision = current.revision;
    let by = match revision {
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
            "{}: {} setting(s) differ from revision {revision}{by}\n{}\
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
/// [`CtlError`].
async fn accept_command(matches: Matches) -> Result<CommandOutcome> {
    let path = args::only(&matches, "workspace file")?;
    let store = client(args::store(&matches)?);
    let base = args::integer(&matches, "base")?;
    let record = files::render(&path)?;
    let author = args::author(&matches);
    accept_record(&store, &clock::pause(), &path, base, record, &author).await
}

/// Accepts a rendered record over `base`, the revision that its author saw; none for a workspace
/// that is not there yet.
///
/// # Errors
///
/// [`CtlError`]; a lost race is an outcome.
pub async fn accept_record(
    store: &StoreClient,
    pause: &PauseFn,
    path: &str,
    base: Option<u64>,
    record: WorkspaceRecord,
    author: &ChangeAuthor,
) -> Result<CommandOutcome> {
    let seen = accept::read(store, &record.name).await?;
    if diff::changes(seen.record.as_ref(), Some(&record)).is_empty() {
        return Ok(unchanged(&record, &seen));
    }
    if let Some(outcome) = refuse_base(path, base, &record, &seen)? {
        return Ok(outcome);
    }
    let record = accept::sign(record, seen.revision, author);
    match accept::write(store, pause, seen.revision, &record).await? {
        AcceptOutcome::Accepted { revision } => Ok(accepted(&record, &seen, revision)),
        AcceptOutcome::Lost { current } => Ok(lost(path, &record, &seen, &current)),
        AcceptOutcome::Overtaken { current } => Ok(overtaken(path, &record, &seen, &current)),
    }
}

/// Makes a client of the store.
fn client(address: SocketAddr) -> StoreClient {
    StoreClient::new(&address.to_string())
}

/// Refuses a base that is missing or not the newest.
///
/// # Errors
///
/// [`CtlError::Refused`] if a workspace is there and no base was given.
fn refuse_base(
    path: &str,
    base: Option<u64>,
    record: &WorkspaceRecord,
    seen: &AcceptedState,
) -> Result<Option<CommandOutcome>> {
    match base {
        Some(base) if base != seen.revision => Ok(Some(lost_since(path, base, record, seen))),
        None if seen.record.is_some() => {
            let message = format!(
                "workspace {:?} is in force at revision {}; say which revision you change",
                record.name, seen.revision
            );
            let hint = format!(
                "look at `jyctl diff {path}`, then add --base {}",
                seen.revision
            );
            Err(CtlError::refused(message, hint))
        }
        _ => Ok(None),
    }
}

/// Says that there was nothing to do.
fn unchanged(record: &WorkspaceRecord, seen: &AcceptedState) -> CommandOutcome {
    let revision = seen.revision;
    CommandOutcome::new(
        format!(
            "{}: in force at revision {revision} already, nothing written\n",
            record.name
        ),
        json!({"workspace": record.name, "accepted": true, "revision": revision, "changes": []}),
    )
}

/// Says that the file is accepted.
fn accepted(record: &WorkspaceRecord, seen: &AcceptedState, revision: u64) -> CommandOutcome {
    let changes = diff::changes(seen.record.as_ref(), Some(record));
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

/// Tells the loser of a race what the other changed.
fn lost(
    path: &str,
    record: &WorkspaceRecord,
    seen: &AcceptedState,
    current: &AcceptedState,
) -> CommandOutcome {
    let changes = diff::changes(seen.record.as_ref(), current.record.as_ref());
    let what = format!("the change that came first:\n{}", diff::text(&changes));
    lost_outcome(path, record, seen.revision, current, &what)
}

/// Tells an operator that several changes came since, of which one may have been the own.
fn overtaken(
    path: &str,
    record: &WorkspaceRecord,
    seen: &AcceptedState,
    current: &AcceptedState,
) -> CommandOutcome {
    let changes = diff::changes(seen.record.as_ref(), current.record.as_ref());
    let what = format!(
        "more than one change came since; yours may have been in force before the newest replaced \
         it\nwhat changed since revision {}:\n{}",
        seen.revision,
        diff::text(&changes)
    );
    lost_outcome(path, record, seen.revision, current, &what)
}

/// Tells an operator that the base is not the newest revision any more.
fn lost_since(
    path: &str,
    base: u64,
    record: &WorkspaceRecord,
    current: &AcceptedState,
) -> CommandOutcome {
    let changes = diff::changes(current.record.as_ref(), Some(record));
    let what = format!(
        "your file would now change, over what stands:\n{}",
        diff::text(&changes)
    );
    lost_outcome(path, record, base, current, &what)
}

/// Says that the file is not in force and how to go on.
fn lost_outcome(
    path: &str,
    record: &WorkspaceRecord,
    base: u64,
    current: &AcceptedState,
    what: &str,
) -> CommandOutcome {
    let name = &record.name;
    let revision = current.revision;
    let author = accept::author_text(current);
    let text = format!(
        "{name}: not in force: you based it on revision {base}, \
         revision {revision} stands now, accepted {author}\n{what}\
         to go on: take the other change into your file, look at `jyctl diff {path}`, \
         then accept with --base {revision}\n"
    );
    let ours = diff::changes(current.record.as_ref(), Some(record));
    let json = json!({
        "workspace": name, "accepted": false, "base": base, "revision": revision,
        "current": current.record, "changes": ours,
    });
    CommandOutcome::new(text, json).with_exit(EXIT_FINDINGS)
}
