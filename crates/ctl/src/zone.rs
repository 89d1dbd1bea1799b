//! `jyctl zone`: takes an availability zone out of work and brings it back.

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

/// Attempts to make the change on top of other operators' changes.
const EDIT_ATTEMPTS: u32 = 10;

/// `jyctl zone`.
pub const ZONE: CommandSpec = CommandSpec {
    name: "zone",
    arguments: "out|in ZONE --store IP:PORT [--workspace NAME]",
    about: "Takes an availability zone out of work, or brings it back.",
    example: "jyctl zone out kingston-b --store 127.0.0.1:7000 --note \"power work\"",
    options,
    run: |matches| Box::pin(zone(matches)),
};

/// Options of `jyctl zone`.
fn options(options: &mut Options) {
    args::add_store(options);
    let help = "only this workspace; by default every one that uses the zone";
    options.optopt("", "workspace", help, "NAME");
    args::add_author(options);
}

/// Which way a zone goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// No new work goes there.
    Out,
    /// It takes work again.
    In,
}

impl ZoneChange {
    /// Reads `out` or `in`.
    ///
    /// # Errors
    ///
    /// [`CtlError::Usage`].
    fn parse(text: &str) -> Result<Self> {
        match text {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err(usage(format!("{text:?} is neither out nor in"))),
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

/// What became of the zone in one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// It was so already.
    Unchanged {
        /// The revision in force.
        revision: u64,
    },
    /// It was written.
    Changed {
        /// The new revision.
        revision: u64,
    },
}

/// Makes a usage error of this command.
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
/// [`CtlError`].
async fn zone(matches: Matches) -> Result<CommandOutcome> {
    let [change, zone] = matches.free.as_slice() else {
        return Err(usage("two arguments are expected".to_owned()));
    };
    let change = ZoneChange::parse(change)?;
    let store = StoreClient::new(&args::store(&matches)?.to_string());
    let states = accept::read_all(&store).await?;
    let names = choose(&states, matches.opt_str("workspace").as_deref(), zone)?;
    let author = args::author(&matches);
    let mut lines = String::new();
    let mut newest = 0;
    let mut ends = Vec::new();
    for name in names {
        let end = edit(&store, &clock::pause(), &author, &name, zone, change).await?;
        let (word, revision) = match end {
            ZoneOutcome::Unchanged { revision } => ("already", revision),
            ZoneOutcome::Changed { revision } => ("now", revision),
        };
        newest = newest.max(revision);
        let text = change.text();
        lines += &format!("{name}: {zone} is {word} {text}, revision {revision}\n");
        ends.push(json!({"workspace": name, "revision": revision, "changed": word == "now"}));
    }
    lines += &format!("to see it spread: jyctl watch --revision {newest} --agent IP:PORT\n");
    let json = json!({"zone": zone, "change": change.text(), "workspaces": ends});
    Ok(CommandOutcome::new(lines, json))
}

/// Chooses the workspaces to change.
///
/// # Errors
///
/// [`CtlError::Refused`] if none uses the zone.
fn choose(states: &[AcceptedState], only: Option<&str>, zone: &str) -> Result<Vec<Name>> {
    let records = || states.iter().filter_map(|state| state.record.as_ref());
    let wanted = |record: &&WorkspaceRecord| only.is_none_or(|name| &*record.name == name);
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
        let message = format!("no workspace {:?} is accepted", only.unwrap_or("at all"));
        return Err(CtlError::refused(
            message,
            jy_config::reader::name_hint(only.unwrap_or(""), &known),
        ));
    }
    let hint = jy_config::reader::name_hint(zone, &zones);
    Err(CtlError::refused(
        format!("no workspace uses zone {zone:?}"),
        hint,
    ))
}

/// Makes the change on top of whatever is in force, again if another change comes first: it touches
/// one entry and takes nothing of the other back.
///
/// # Errors
///
/// [`CtlError`].
pub async fn edit(
    store: &StoreClient,
    pause: &PauseFn,
    author: &ChangeAuthor,
    workspace: &str,
    zone: &str,
    change: ZoneChange,
) -> Result<ZoneOutcome> {
    for _ in 0..EDIT_ATTEMPTS {
        let seen = accept::read(store, workspace).await?;
        let revision = seen.revision;
        let Some(record) = changed(&seen, zone, change)? else {
            return Ok(ZoneOutcome::Unchanged { revision });
        };
        let record = accept::sign(record, revision, author);
        if let AcceptOutcome::Accepted { revision } =
            accept::write(store, pause, revision, &record).await?
        {
            return Ok(ZoneOutcome::Changed { revision });
        }
    }
    let message = format!("{EDIT_ATTEMPTS} other changes of {workspace:?} came first");
    Err(CtlError::refused(
        message,
        "see who changes it with `jyctl diff`, then try again",
    ))
}

/// Returns the record with the zone out or in, or none if it is so already.
///
/// # Errors
///
/// [`CtlError::Refused`] if the workspace is gone or no zone would be left.
pub fn changed(
    seen: &AcceptedState,
    zone: &str,
    change: ZoneChange,
) -> Result<Option<WorkspaceRecord>> {
    let gone = || CtlError::refused("the workspace is gone", "accept it again");
    let mut record = seen.record.clone().ok_or_else(gone)?;
    let is_out = record.zones_out.iter().any(|other| &**other == zone);
    match change {
        ZoneChange::Out if is_out => return Ok(None),
        ZoneChange::In if !is_out => return Ok(None),
        ZoneChange::Out => record.zones_out.push(zone.into()),
        ZoneChange::In => record.zones_out.retain(|other| &**other != zone),
    }
    let is_left = |zone: &Name| !record.zones_out.contains(zone);
    if !record.zones.iter().any(is_left) {
        let message = format!("taking {zone:?} out would leave {:?} no zone", record.name);
        return Err(CtlError::refused(message, "bring another zone in first"));
    }
    Ok(Some(record))
}
