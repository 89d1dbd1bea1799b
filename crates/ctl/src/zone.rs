//! `jyctl zone`: takes an availability zone out of service or brings it back.

use getopts::Matches;
use getopts::Options;
use jy_store::client::StoreClient;
use jy_types::name::Name;
use jy_types::workspace::WorkspaceRecord;
use serde_json::json;

use crate::accept;
use crate::accept::AcceptOutcome;
use crate::accept::AcceptedState;
use crate::accept::ChangeAuthor;
use crate::accept::PauseFn;
use crate::args;
use crate::clock;
use crate::command::CommandOutcome;
use crate::command::CommandSpec;
use crate::error::CtlError;
use crate::error::Result;

/// Attempts before giving up when other operators keep changing the workspace.
const MAX_ATTEMPTS: u32 = 10;

/// `jyctl zone`.
pub const ZONE: CommandSpec = CommandSpec {
    name: "zone",
    arguments: "out|in ZONE --store IP:PORT [--workspace NAME]",
    about: "Takes an availability zone out of service, or brings it back.",
    example: "jyctl zone out kingston-b --store 127.0.0.1:7000 --note \"power work\"",
    options,
    run: |matches| Box::pin(zone(matches)),
};

/// Adds the options of `jyctl zone`.
fn options(options: &mut Options) {
    args::add_store(options);
    let help = "change only this workspace; by default all that use the zone";
    options.optopt("", "workspace", help, "NAME");
    args::add_author(options);
}

/// Direction of a zone change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone gets no new requests.
    Out,
    /// The zone gets requests again.
    In,
}

impl ZoneChange {
    /// Parses `out` or `in`.
    ///
    /// # Errors
    ///
    /// [`CtlError::Usage`] for any other text.
    fn parse(text: &str) -> Result<Self> {
        match text {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err(usage(format!("expected out or in, got {text:?}"))),
        }
    }

    /// Returns `out` or `in`.
    const fn text(self) -> &'static str {
        match self {
            Self::Out => "out",
            Self::In => "in",
        }
    }
}

/// Result of a zone change in one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// The zone was already out or in, as requested; nothing was written.
    Unchanged {
        /// The revision in force.
        revision: u64,
    },
    /// The change was written.
    Changed {
        /// The new revision.
        revision: u64,
    },
}

/// Returns a usage error of `jyctl zone`.
fn usage(message: String) -> CtlError {
    CtlError::usage(
        message,
        "write `jyctl zone out ZONE` or `jyctl zone in ZONE`",
    )
}

/// Runs `jyctl zone`.
///
/// # Errors
///
/// [`CtlError`] if the command line is invalid, no workspace uses the zone, or a change fails. Workspaces
/// changed before the failure stay changed.
async fn zone(matches: Matches) -> Result<CommandOutcome> {
    let [change, zone] = matches.free.as_slice() else {
        return Err(usage(
            "expected two arguments: out or in, and the zone".to_owned(),
        ));
    };
    let change = ZoneChange::parse(change)?;
    let store = StoreClient::new(&args::store_address(&matches)?.to_string());
    let states = accept::read_all(&store).await?;
    let names = select_workspaces(&states, matches.opt_str("workspace").as_deref(), zone)?;
    let author = args::author(&matches);
    let mut lines = String::new();
    let mut newest = 0;
    let mut outcomes = Vec::new();
    for name in names {
        let outcome = change_zone(&store, &clock::pause_fn(), &author, &name, zone, change).await?;
        let (word, revision) = match outcome {
            ZoneOutcome::Unchanged { revision } => ("already", revision),
            ZoneOutcome::Changed { revision } => ("now", revision),
        };
        newest = newest.max(revision);
        let text = change.text();
        lines += &format!("{name}: {zone} is {word} {text}, revision {revision}\n");
        outcomes.push(json!({"workspace": name, "revision": revision, "changed": word == "now"}));
    }
    lines += &format!("to see it spread: jyctl watch --revision {newest} --agent IP:PORT\n");
    let json = json!({"zone": zone, "change": change.text(), "workspaces": outcomes});
    Ok(CommandOutcome::new(lines, json))
}

/// Returns the names of the workspaces to change.
///
/// # Errors
///
/// [`CtlError::Refused`] if no selected workspace uses the zone.
fn select_workspaces(
    states: &[AcceptedState],
    workspace: Option<&str>,
    zone: &str,
) -> Result<Vec<Name>> {
    let records = || states.iter().filter_map(|state| state.record.as_ref());
    let wanted = |record: &&WorkspaceRecord| workspace.is_none_or(|name| &*record.name == name);
    let uses = |record: &&WorkspaceRecord| record.zones.iter().any(|other| &**other == zone);
    let names: Vec<_> = records()
        .filter(wanted)
        .filter(uses)
        .map(|record| record.name.clone())
        .collect();
    if !names.is_empty() {
        return Ok(names);
    }
    let zones: Vec<_> = records()
        .filter(wanted)
        .flat_map(|record| &record.zones)
        .collect();
    if zones.is_empty() {
        let known: Vec<_> = records().map(|record| &record.name).collect();
        let message = format!(
            "no accepted workspace found (name: {:?})",
            workspace.unwrap_or("any")
        );
        return Err(CtlError::refused(
            message,
            jy_config::reader::name_hint(workspace.unwrap_or(""), &known),
        ));
    }
    let hint = jy_config::reader::name_hint(zone, &zones);
    Err(CtlError::refused(
        format!("no selected workspace uses zone {zone:?}"),
        hint,
    ))
}

/// Applies the change to the workspace in force, and tries again if another change comes first.
///
/// Trying again on top of the other change is safe because this edits a single entry and so reverts
/// nothing of it.
///
/// # Errors
///
/// [`CtlError::Refused`] if the change is not possible or other changes came first in every attempt;
/// otherwise the errors of reading and writing the workspace.
pub async fn change_zone(
    store: &StoreClient,
    pause: &PauseFn,
    author: &ChangeAuthor,
    workspace: &str,
    zone: &str,
    change: ZoneChange,
) -> Result<ZoneOutcome> {
    for _ in 0..MAX_ATTEMPTS {
        let before = accept::read(store, workspace).await?;
        let revision = before.revision;
        let Some(record) = apply_change(&before, zone, change)? else {
            return Ok(ZoneOutcome::Unchanged { revision });
        };
        let record = accept::prepare_record(record, revision, author);
        if let AcceptOutcome::Accepted { revision } =
            accept::write(store, pause, revision, &record).await?
        {
            return Ok(ZoneOutcome::Changed { revision });
        }
    }
    let message =
        format!("workspace {workspace:?} was changed by others during all {MAX_ATTEMPTS} attempts");
    Err(CtlError::refused(
        message,
        "find out who changes it with `jyctl diff`, then try again",
    ))
}

/// Returns the record with the zone taken out or brought in, or `None` if it already is.
///
/// # Errors
///
/// [`CtlError::Refused`] if the workspace does not exist or no zone would be left in service.
pub fn apply_change(
    before: &AcceptedState,
    zone: &str,
    change: ZoneChange,
) -> Result<Option<WorkspaceRecord>> {
    let missing = || {
        CtlError::refused(
            "the workspace no longer exists in the store",
            "accept it again with `jyctl accept`",
        )
    };
    let mut record = before.record.clone().ok_or_else(missing)?;
    let is_out = record.zones_out.iter().any(|other| &**other == zone);
    match change {
        ZoneChange::Out if is_out => return Ok(None),
        ZoneChange::In if !is_out => return Ok(None),
        ZoneChange::Out => record.zones_out.push(zone.into()),
        ZoneChange::In => record.zones_out.retain(|other| &**other != zone),
    }
    let is_left = |zone: &Name| !record.zones_out.contains(zone);
    if !record.zones.iter().any(is_left) {
        let message = format!(
            "taking zone {zone:?} out would leave workspace {:?} without a zone",
            record.name
        );
        return Err(CtlError::refused(message, "bring another zone in first"));
    }
    Ok(Some(record))
}
