//! What all trials share: a fleet under load, keys of one owner, and the check of the journals.

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
use crate::plan::CHALK;
use crate::plan::SEALS;
use crate::plan::STOCKDESK;
use crate::plan::VERIFIER;
use crate::relay::NodeIndex;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// A key is served again within this time after a loss, in milliseconds.
pub const SERVED_AGAIN_MS: f64 = 5_000.0;
/// A key is unavailable at most this long in a graceful leave, in milliseconds.
pub const LEAVE_GAP_MS: f64 = 1_000.0;
/// Longest wait for a fleet to be ready, in milliseconds.
pub const READY_LIMIT_MS: u64 = 20_000;
/// Number of keys that loads draw from.
pub const KEYS: u32 = 1_000;
/// Requests a second of a trial's load.
const RATE: f64 = 300.0;
/// Workers of a trial's load.
const WORKERS: u32 = 64;
/// Time that callers give a request in trials, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// A fleet under load.
#[derive(Debug)]
pub struct TrialEnvironment {
    /// The fleet.
    pub fleet: Fleet,
    /// Where the load enters.
    pub entries: EntryList,
    /// The load.
    pub load: LoadRun,
    /// Client of the store.
    pub store: StoreClientBox,
}

/// A store client that can be shown in debug output.
pub struct StoreClientBox(pub StoreClient);

impl std::fmt::Debug for StoreClientBox {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StoreClientBox")
    }
}

impl TrialEnvironment {
    /// Starts both deployments and a load on them.
    ///
    /// # Errors
    ///
    /// If the fleet does not get ready.
    pub async fn start(args: &BenchArgs, relayed: bool, kinds: Vec<LoadKind>) -> Result<Self> {
        let options = FleetOptions {
            relayed,
            keep: args.keep,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(plan::both(), options).await?;
        fleet.wait_ready(READY_LIMIT_MS).await?;
        let entries: EntryList = Rc::new(RefCell::new(fleet.entries()));
        let load = LoadRun::start(kinds, Rc::clone(&entries), WORKERS, RATE, args.seed);
        let store = StoreClientBox(StoreClient::new(&fleet.store_addr.to_string()));
        Ok(Self {
            fleet,
            entries,
            load,
            store,
        })
    }

    /// Lets the load enter at every agent that runs.
    pub fn enter_everywhere(&self) {
        *self.entries.borrow_mut() = self.fleet.entries();
    }

    /// Lets the load no longer enter at a node.
    pub fn leave_out(&self, node: NodeIndex) {
        let addr = self.fleet.nodes[node].addrs.caller;
        self.entries.borrow_mut().retain(|entry| *entry != addr);
    }

    /// Ends the load and the fleet with the figures that every trial has.
    ///
    /// # Errors
    ///
    /// If a backend server does not answer.
    pub async fn finish(self, table: &mut FigureTable) -> Result<()> {
        let (tally, _) = self.load.stop().await;
        tally.print("rest of the load");
        report_journals(&self.fleet, table).await
    }
}

/// A load on all services, with non-idempotent requests on some.
#[must_use]
pub fn mixed_kinds() -> Vec<LoadKind> {
    let mut kinds = keyed_kinds(0);
    for (workspace, service) in [
        (SEALS, "registry"),
        (SEALS, "catalogue"),
        (CHALK, "orderbook"),
        (CHALK, "cataloguer"),
    ] {
        kinds.push(LoadKind::new(workspace, service, None).with_timeout(TIMEOUT_MS));
    }
    kinds
}

/// A load on the keyed services, half of it non-idempotent and sent again so many times.
#[must_use]
pub fn keyed_kinds(repeats: u32) -> Vec<LoadKind> {
    [(SEALS, VERIFIER), (CHALK, STOCKDESK)]
        .map(|(workspace, service)| {
            LoadKind::new(workspace, service, Some(KEYS))
                .with_registers(0.5)
                .with_repeats(repeats)
                .with_timeout(TIMEOUT_MS)
        })
        .to_vec()
}

/// Returns the owner of a key of a service and more keys of the same owner.
///
/// # Errors
///
/// If a key has no owner.
pub async fn owned_keys(
    fleet: &Fleet,
    workspace: &str,
    service: &str,
    wanted: usize,
) -> Result<(NodeIndex, Vec<Name>)> {
    let asked = fleet.running()[0];
    let first = fleet.owner(asked, workspace, service, &key_name(0)).await?;
    let owner = first.owner.context("a key has no owner")?.name;
    let owner = fleet.index_of(&owner)?;
    let keys = keys_of(fleet, workspace, service, owner, wanted).await?;
    Ok((owner, keys))
}

/// Returns keys of a service that a node owns.
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
    let asked = fleet.running()[0];
    let name = fleet.nodes[owner].name();
    let mut keys = Vec::new();
    for number in 0..KEYS {
        let key = key_name(number);
        let status = fleet.owner(asked, workspace, service, &key).await?;
        if status.owner.is_some_and(|owner| owner.name == name) {
            keys.push(key);
        }
        if keys.len() >= wanted {
            break;
        }
    }
    Ok(keys)
}

/// Nodes of a service.
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

/// Nodes of an availability zone.
#[must_use]
pub fn nodes_in(fleet: &Fleet, zone: &str) -> Vec<NodeIndex> {
    (0..fleet.nodes.len())
        .filter(|index| &*fleet.nodes[*index].plan.place.zone == zone)
        .collect()
}

/// Checks the backend servers' journals.
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
    let none = |name, count| FigureRow::of_count(name, count).with_at_most(0.0);
    table.add(FigureRow::of_count("runs at backend servers", findings.runs).with_at_least(1.0));
    let with_unit = FigureRow::of_count("runs that carried their unit", findings.runs_with_unit);
    table.add(with_unit.with_at_least(1.0));
    table.add(none("runs of a key at two owners at once", overlaps));
    table.add(none("runs under a fence lower than one seen", stale));
    table.add(none("non-idempotent requests run twice", doubles));
    Ok(())
}

/// Waits.
pub async fn pause(millis: u64) {
    sleep(Duration::from_millis(millis)).await;
}
