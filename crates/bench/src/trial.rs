//! Shared parts of the trials: a fleet under load, lookups of keys and nodes, and the check of the backend
//! servers' journals.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use jy_store::client::StoreClient;
use jy_types::name::Name;
use tokio::time::sleep;

use crate::args::BenchArgs;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::journal_check;
use crate::load::EntryList;
use crate::load::LoadKind;
use crate::load::LoadRun;
use crate::load::key_name;
use crate::plan;
use crate::plan::CHALKLINE_WORKSPACE;
use crate::plan::SEAL_REGISTRY_WORKSPACE;
use crate::plan::STOCKDESK_SERVICE;
use crate::plan::VERIFIER_SERVICE;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Bound on the time until a key is served again after a loss.
pub const MAX_TAKEOVER_MS: f64 = 5_000.0;
/// Bound on the time that a key is unavailable while its owner leaves gracefully.
pub const MAX_LEAVE_GAP_MS: f64 = 1_000.0;
/// Longest wait until a fleet is ready.
pub const READY_TIMEOUT_MS: u64 = 20_000;
/// Keys of each keyed service that the load draws from.
pub const KEY_COUNT: u32 = 1_000;
const REQUESTS_PER_S: f64 = 300.0;
const WORKER_COUNT: u32 = 64;
const REQUEST_TIMEOUT_MS: u64 = 1_500;

/// A fleet under load.
#[derive(Debug)]
pub struct TrialEnvironment {
    /// Processes of the deployments.
    pub fleet: Fleet,
    /// Caller addresses of the agents that the load is sent to.
    pub entries: EntryList,
    /// Load that runs until the end of the trial.
    pub load: LoadRun,
    /// Client of the fleet's store.
    pub store: StoreClientBox,
}

/// Store client with a `Debug` implementation.
pub struct StoreClientBox(pub StoreClient);

impl std::fmt::Debug for StoreClientBox {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StoreClientBox")
    }
}

impl TrialEnvironment {
    /// Starts both deployments and a load on them. With `relayed`, the links between nodes run through
    /// relays.
    ///
    /// # Errors
    ///
    /// If the fleet cannot be started or is not ready in time.
    pub async fn start(args: &BenchArgs, relayed: bool, kinds: Vec<LoadKind>) -> Result<Self> {
        let options = FleetOptions {
            relayed,
            keep: args.keep,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(plan::both_deployments(), options).await?;
        fleet.wait_ready(READY_TIMEOUT_MS).await?;
        let entries: EntryList = Rc::new(RefCell::new(fleet.entries()));
        let load = LoadRun::start(
            kinds,
            Rc::clone(&entries),
            WORKER_COUNT,
            REQUESTS_PER_S,
            args.seed,
        );
        let store = StoreClientBox(StoreClient::new(&fleet.store_addr.to_string()));
        Ok(Self {
            fleet,
            entries,
            load,
            store,
        })
    }

    /// Sends the load to every running agent.
    pub fn reset_entries(&self) {
        *self.entries.borrow_mut() = self.fleet.entries();
    }

    /// Stops sending the load to a node's agent.
    pub fn remove_entry(&self, node: NodeIndex) {
        let addr = self.fleet.nodes[node].addrs.caller;
        self.entries.borrow_mut().retain(|entry| *entry != addr);
    }

    /// Stops the load and the fleet and adds the figures that every trial reports.
    ///
    /// # Errors
    ///
    /// If a backend server does not answer.
    pub async fn finish(self, table: &mut FigureTable) -> Result<()> {
        let (counts, _) = self.load.stop().await;
        counts.print("rest of the load");
        report_journals(&self.fleet, table).await
    }
}

/// Returns a load on all services, with non-idempotent requests on the keyed ones.
#[must_use]
pub fn mixed_kinds() -> Vec<LoadKind> {
    let mut kinds = keyed_kinds(0);
    for (workspace, service) in [
        (SEAL_REGISTRY_WORKSPACE, "registry"),
        (SEAL_REGISTRY_WORKSPACE, "catalogue"),
        (CHALKLINE_WORKSPACE, "orderbook"),
        (CHALKLINE_WORKSPACE, "cataloguer"),
    ] {
        kinds.push(LoadKind::new(workspace, service, None).with_timeout(REQUEST_TIMEOUT_MS));
    }
    kinds
}

/// Returns a load on the keyed services. Half of it is non-idempotent and is repeated `repeats` times.
#[must_use]
pub fn keyed_kinds(repeats: u32) -> Vec<LoadKind> {
    [
        (SEAL_REGISTRY_WORKSPACE, VERIFIER_SERVICE),
        (CHALKLINE_WORKSPACE, STOCKDESK_SERVICE),
    ]
    .map(|(workspace, service)| {
        LoadKind::new(workspace, service, Some(KEY_COUNT))
            .with_register_share(0.5)
            .with_repeats(repeats)
            .with_timeout(REQUEST_TIMEOUT_MS)
    })
    .to_vec()
}

/// Returns the owner of a service's first key, and up to `wanted` keys of that owner.
///
/// # Errors
///
/// If the first key has no owner or an agent does not answer.
pub async fn owned_keys(
    fleet: &Fleet,
    workspace: &str,
    service: &str,
    wanted: usize,
) -> Result<(NodeIndex, Vec<Name>)> {
    let queried = fleet.running()[0];
    let first = fleet
        .owner(queried, workspace, service, &key_name(0))
        .await?;
    let owner = first.owner.context("the first key has no owner")?.name;
    let owner = fleet.index_of(&owner)?;
    let keys = keys_of(fleet, workspace, service, owner, wanted).await?;
    Ok((owner, keys))
}

/// Returns up to `wanted` keys of a service that a node owns.
///
/// # Errors
///
/// If an agent does not answer.
pub async fn keys_of(
    fleet: &Fleet,
    workspace: &str,
    service: &str,
    owner: NodeIndex,
    wanted: usize,
) -> Result<Vec<Name>> {
    let queried = fleet.running()[0];
    let name = fleet.nodes[owner].name();
    let mut keys = Vec::new();
    for number in 0..KEY_COUNT {
        let key = key_name(number);
        let status = fleet.owner(queried, workspace, service, &key).await?;
        if status.owner.is_some_and(|owner| owner.name == name) {
            keys.push(key);
        }
        if keys.len() >= wanted {
            break;
        }
    }
    Ok(keys)
}

/// Returns the nodes that have a backend server of a service.
#[must_use]
pub fn nodes_of(fleet: &Fleet, service: &str) -> Vec<NodeIndex> {
    let serves = |node: &crate::node::FleetNode| {
        let backend = node.plan.backend.as_ref();
        backend.is_some_and(|backend| &*backend.service == service)
    };
    (0..fleet.nodes.len())
        .filter(|index| serves(&fleet.nodes[*index]))
        .collect()
}

/// Returns the nodes of an availability zone.
#[must_use]
pub fn nodes_in(fleet: &Fleet, zone: &str) -> Vec<NodeIndex> {
    (0..fleet.nodes.len())
        .filter(|index| &*fleet.nodes[*index].plan.place.zone == zone)
        .collect()
}

/// Checks the backend servers' journals, prints the first violations and adds the counts to the table.
///
/// # Errors
///
/// If a backend server does not answer.
pub async fn report_journals(fleet: &Fleet, table: &mut FigureTable) -> Result<()> {
    let findings = journal_check::check(&fleet.journals().await?);
    for (first, second) in findings.overlaps.iter().take(3) {
        println!("overlap: {first:?}\n    and: {second:?}");
    }
    for run in findings.stale_runs.iter().take(3) {
        println!("stale: {run:?}");
    }
    for (id, count) in findings.double_runs.iter().take(3) {
        println!("{id} ran {count} times");
    }
    let overlaps = findings.overlaps.len() as u64;
    let stale = findings.stale_runs.len() as u64;
    let doubles = findings.double_runs.len() as u64;
    let expect_none = |name, count| FigureRow::of_count(name, count).with_at_most(0.0);
    table.add(FigureRow::of_count("runs at backend servers", findings.runs).with_at_least(1.0));
    let unit_row = FigureRow::of_count("runs that carried their unit", findings.runs_with_unit);
    table.add(unit_row.with_at_least(1.0));
    table.add(expect_none("runs of a key at two owners at once", overlaps));
    table.add(expect_none("runs under a fence lower than one seen", stale));
    table.add(expect_none("non-idempotent requests run twice", doubles));
    Ok(())
}

/// Sleeps for some milliseconds.
pub async fn pause(millis: u64) {
    sleep(Duration::from_millis(millis)).await;
}
