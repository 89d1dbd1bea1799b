//! `jyctl status` and `jyctl owner`: show the state that the agents report.

use std::collections::BTreeMap;

use getopts::Matches;
use jy_types::key::KeyHash;
use jy_types::member::MemberState;
use jy_types::status::OWNER_PATH;
use jy_types::status::OwnerStatus;
use jy_types::status::SERVICES_PATH;
use jy_types::status::ServiceStatus;
use serde_json::json;

use crate::args;
use crate::command::CommandOutcome;
use crate::command::CommandSpec;
use crate::error::Result;
use crate::fleet::AgentObservation;
use crate::fleet::FleetClient;
use crate::fleet::state_text;

/// `jyctl status`.
pub const STATUS: CommandSpec = CommandSpec {
    name: "status",
    arguments: "--agent IP:PORT",
    about: "Shows agents, zones, owners, imbalance, controller and store.",
    example: "jyctl status --agent 127.0.0.1:7104",
    options: args::add_agent,
    run: |matches| Box::pin(status(matches)),
};

/// `jyctl owner`.
pub const OWNER: CommandSpec = CommandSpec {
    name: "owner",
    arguments: "KEY --workspace NAME --service NAME --agent IP:PORT",
    about: "Shows which agent owns a key.",
    example: "jyctl owner KGN-000017 --workspace seal-registry --service verifier \
              --agent 127.0.0.1:7104",
    options: |options| {
        args::add_agent(options);
        args::add_service(options);
    },
    run: |matches| Box::pin(owner(matches)),
};

/// Runs `jyctl status`.
///
/// # Errors
///
/// [`CtlError`](crate::error::CtlError) if the command line is invalid or no given agent answers.
async fn status(matches: Matches) -> Result<CommandOutcome> {
    let fleet = FleetClient::new(args::agent_addresses(&matches)?);
    let observations = fleet.observations().await?;
    let services: Vec<ServiceStatus> = fleet.get(SERVICES_PATH).await?;
    let mut text = summary(&observations);
    text.push_str(&service_table(&services));
    text.push_str(&agent_table(&observations));
    let agents: Vec<_> = observations
        .iter()
        .map(|observation| json!({"member": observation.member, "status": observation.status}))
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|service| json!({"service": service, "imbalance": imbalance(service)}))
        .collect();
    let json = json!({"agents": agents, "services": services});
    Ok(CommandOutcome::new(text, json))
}

/// Returns the imbalance of a service: the largest number of units of one owner over the mean of all
/// owners. `None` if the owners have no units.
#[must_use]
pub fn imbalance(service: &ServiceStatus) -> Option<f64> {
    let units = || service.owners.iter().map(|share| f64::from(share.units));
    let total: f64 = units().sum();
    let peak = units().fold(0.0, f64::max);
    #[expect(
        clippy::cast_precision_loss,
        reason = "a service has at most hundreds of owners"
    )]
    let owners = service.owners.len() as f64;
    (total > 0.0).then(|| peak * owners / total)
}

/// Formats the summary of the whole fleet.
#[must_use]
pub fn summary(observations: &[AgentObservation]) -> String {
    let count = |state| {
        observations
            .iter()
            .filter(|observation| observation.member.state == state)
            .count()
    };
    let statuses: Vec<_> = observations
        .iter()
        .filter_map(|observation| observation.status.as_ref())
        .collect();
    let without_answer: Vec<_> = observations
        .iter()
        .filter(|observation| observation.status.is_none())
        .map(|observation| &*observation.member.id.name)
        .collect();
    let revisions = || statuses.iter().map(|status| status.revision);
    let last_calls: Vec<_> = statuses
        .iter()
        .filter_map(|status| status.store_reachable)
        .collect();
    let reached = last_calls.iter().filter(|reached| **reached).count();
    let mut lines = vec![
        format!(
            "agents      {} live, {} joining, {} leaving; {} of {} answer",
            count(MemberState::Live),
            count(MemberState::Joining),
            count(MemberState::Leaving),
            statuses.len(),
            observations.len()
        ),
        format!("zones       {}", zones_text(observations)),
        format!("controller  {}", controller_text(observations)),
        format!(
            "store       last call succeeded at {reached} of {} agents",
            last_calls.len()
        ),
        format!(
            "revision    {} to {}",
            revisions().min().unwrap_or_default(),
            revisions().max().unwrap_or_default()
        ),
    ];
    if !without_answer.is_empty() {
        lines.push(format!("no answer   {}", without_answer.join(", ")));
    }
    lines.join("\n") + "\n"
}

/// Formats the number of active agents in each zone.
fn zones_text(observations: &[AgentObservation]) -> String {
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for observation in observations {
        *zones.entry(&observation.member.place.zone).or_default() += 1;
    }
    let texts: Vec<_> = zones
        .iter()
        .map(|(zone, count)| format!("{zone} {count}"))
        .collect();
    texts.join(", ")
}

/// Formats the controller of the highest term and the number of agents that know that term.
fn controller_text(observations: &[AgentObservation]) -> String {
    let statuses = || {
        observations
            .iter()
            .filter_map(|observation| observation.status.as_ref())
    };
    let newest = statuses()
        .filter(|status| status.controller.is_some())
        .max_by_key(|status| status.term);
    let Some(newest) = newest else {
        return "none known; the agents elect one within seconds if the store is up".to_owned();
    };
    let known = statuses()
        .filter(|status| status.term == newest.term)
        .count();
    let name = newest
        .controller
        .as_ref()
        .map(|id| &*id.name)
        .unwrap_or_default();
    format!(
        "{name}, term {}, known to {known} of {} agents",
        newest.term,
        statuses().count()
    )
}

/// Formats the table of keyed services.
fn service_table(services: &[ServiceStatus]) -> String {
    let row = |service: &ServiceStatus| {
        let ratio =
            imbalance(service).map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"));
        format!(
            "{:<32} {:>6} {:>9} {:>10} {:>6}\n",
            format!("{}/{}", service.workspace, service.service),
            service.owners.len(),
            ratio,
            service.unassigned,
            service.moving
        )
    };
    let header = format!(
        "\n{:<32} {:>6} {:>9} {:>10} {:>6}\n",
        "SERVICE WITH OWNERS", "OWNERS", "IMBALANCE", "UNASSIGNED", "MOVING"
    );
    header + &services.iter().map(row).collect::<String>()
}

/// Formats the table of agents.
fn agent_table(observations: &[AgentObservation]) -> String {
    let row = |observation: &AgentObservation| {
        let member = &observation.member;
        let service = member.endpoint.as_ref().map_or_else(
            || "-".to_owned(),
            |endpoint| format!("{}/{}", endpoint.workspace, endpoint.service),
        );
        let status_columns = observation.status.as_ref().map_or_else(
            || format!("{:>9} {:>9} {:>7} {:>9}", "no answer", "-", "-", "-"),
            |status| {
                format!(
                    "{:>9} {:>9} {:>7} {:>9}",
                    status.lease_left_ms, status.in_flight, status.units, status.revision
                )
            },
        );
        format!(
            "{:<20} {:<14} {:<28} {:<8} {status_columns}\n",
            member.id.name,
            member.place.zone,
            service,
            state_text(member.state)
        )
    };
    let header = format!(
        "\n{:<20} {:<14} {:<28} {:<8} {:>9} {:>9} {:>7} {:>9}\n",
        "AGENT", "ZONE", "SERVICE", "STATE", "LEASE ms", "IN FLIGHT", "UNITS", "REVISION"
    );
    header + &observations.iter().map(row).collect::<String>()
}

/// Runs `jyctl owner`.
///
/// # Errors
///
/// [`CtlError`](crate::error::CtlError) if the command line is invalid, no given agent answers, or the
/// service is not known.
async fn owner(matches: Matches) -> Result<CommandOutcome> {
    let key = args::single_argument(&matches, "key")?;
    let workspace = args::required_option(&matches, "workspace")?;
    let service = args::required_option(&matches, "service")?;
    let fleet = FleetClient::new(args::agent_addresses(&matches)?);
    let query = [
        ("workspace", &workspace),
        ("service", &service),
        ("key", &key),
    ];
    let query = serde_urlencoded::to_string(query).unwrap_or_default();
    let owner: OwnerStatus = fleet.get(&format!("{OWNER_PATH}?{query}")).await?;
    let name = owner
        .owner
        .as_ref()
        .map_or("nobody at the moment", |id| &*id.name);
    let next = owner
        .next_owner
        .as_ref()
        .map(|id| format!("\nmoving to    {}", id.name));
    let unit = if owner.pinned { "pinned key" } else { "slice" };
    let text = format!(
        "key          {key} (hash {:016x})\nheld in      {unit} {}\nowner        {name}\n\
         fence        {:#x}{}\n",
        KeyHash::new(&key).0,
        owner.slice,
        owner.fence,
        next.unwrap_or_default()
    );
    let json = json!({"key": key, "workspace": workspace, "service": service, "owner": owner});
    Ok(CommandOutcome::new(text, json))
}
