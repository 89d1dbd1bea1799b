//! Runs a fleet of agents and backend servers as child processes on the loopback interface.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use awc::Client;
use jy_kernel::clock;
use jy_standins::backend_fault;
use jy_standins::backend_fault::BackendCounts;
use jy_standins::backend_fault::BackendFault;
use jy_standins::journal::JOURNAL_PATH;
use jy_standins::journal::RunEntry;
use jy_standins::store_fault;
use jy_standins::store_fault::CallCounts;
use jy_standins::store_fault::StoreFault;
use jy_store::client::StoreClient;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use jy_types::member::MemberState;
use jy_types::name::Name;
use jy_types::record::workspace_key;
use jy_types::status::AgentStatus;
use jy_types::status::OWNER_PATH;
use jy_types::status::OwnerStatus;
use jy_types::status::SERVICES_PATH;
use jy_types::status::STATUS_PATH;
use jy_types::status::ServiceStatus;
use jy_types::workspace::WorkspaceRecord;
use rustix::process::Signal;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::journal_check::ServerRun;
use crate::node::FleetNode;
use crate::node::NodeAddrs;
use crate::plan::FleetPlan;
use crate::ports::PortPool;
use crate::process::ChildProcess;
use crate::relay::NodeIndex;
use crate::relay::RelayNet;
use crate::relay::STORE_NODE;

/// Interval between checks of a state that is awaited.
const POLL_INTERVAL_MS: u64 = 50;

/// Timeout of one request to a process of the fleet.
const REQUEST_TIMEOUT_MS: u64 = 1_000;

const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Writes and reads per second that the store allows when [`FleetOptions::unlimited`] is set.
const OPEN_RATE: u32 = 1_000_000;

/// Options for starting a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetOptions {
    /// Whether agents connect to each other and to the store through relays, so that links can be cut.
    pub relayed: bool,
    /// Whether the store runs without a practical limit on its rate of reads and writes.
    pub unlimited: bool,
    /// Whether the folder with settings and logs is kept when the fleet is dropped.
    pub keep: bool,
}

/// A running fleet. Dropping it kills every process.
#[derive(Debug)]
pub struct Fleet {
    /// The nodes, by [`NodeIndex`].
    pub nodes: Vec<FleetNode>,
    /// Relays between the nodes; none are open unless [`FleetOptions::relayed`] is set.
    pub net: RelayNet,
    /// Address of the store.
    pub store_addr: SocketAddr,
    client: FleetClient,
    store: Option<ChildProcess>,
    folder: PathBuf,
    options: FleetOptions,
}

impl Fleet {
    /// Starts the store, writes the workspaces to it, and starts every agent and backend server.
    ///
    /// # Errors
    ///
    /// If the folder can't be created, no port is free, a program can't be started, a relay can't be bound,
    /// or a workspace can't be written.
    pub async fn start(plan: FleetPlan, options: FleetOptions) -> Result<Self> {
        let folder = create_folder()?;
        let mut ports = PortPool::new();
        let store_addr = ports.take()?;
        let mut fleet = Self {
            nodes: Vec::new(),
            net: RelayNet::new(),
            store_addr,
            client: FleetClient(new_client()),
            store: None,
            folder,
            options,
        };
        fleet.start_store()?;
        for node in plan.nodes {
            let addrs = NodeAddrs::new(&mut ports, store_addr, options.relayed)?;
            fleet.nodes.push(FleetNode::new(node, addrs, &fleet.folder));
        }
        for workspace in &plan.workspaces {
            fleet.write_workspace(workspace).await?;
        }
        for index in 0..fleet.nodes.len() {
            fleet.start_relays(index).await?;
            fleet.start_node(index)?;
        }
        Ok(fleet)
    }

    /// Returns the folder with settings and logs.
    #[must_use]
    pub const fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Starts the store.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
    fn start_store(&mut self) -> Result<()> {
        let mut arguments = vec![format!("--listen={}", self.store_addr)];
        if self.options.unlimited {
            arguments.push(format!("--writes={OPEN_RATE}"));
            arguments.push(format!("--reads={OPEN_RATE}"));
        }
        let log = self.folder.join("store.log");
        self.store = Some(ChildProcess::start("jystore", &arguments, &log)?);
        Ok(())
    }

    /// Starts the relays of one node, if the fleet is relayed.
    ///
    /// # Errors
    ///
    /// If a relay can't be bound.
    async fn start_relays(&self, index: NodeIndex) -> Result<()> {
        let addrs = self.nodes[index].addrs;
        if !self.options.relayed {
            return Ok(());
        }
        let net = &self.net;
        net.relay(addrs.public_rpc, addrs.rpc, index).await?;
        net.relay(addrs.public_forward, addrs.forward, index)
            .await?;
        net.relay(addrs.store, self.store_addr, STORE_NODE).await
    }

    /// Starts a node's agent and backend server.
    ///
    /// # Errors
    ///
    /// If a program can't be started.
    pub fn start_node(&mut self, index: NodeIndex) -> Result<()> {
        self.start_agent(index)?;
        self.nodes[index].start_server()
    }

    /// Starts a node's agent.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
    pub fn start_agent(&mut self, index: NodeIndex) -> Result<()> {
        let pid = self.nodes[index].start_agent()?;
        self.net.set_pid(index, pid);
        Ok(())
    }

    /// Restarts every agent that was killed or has exited. Backend servers keep running, because they hold
    /// their journals in memory.
    ///
    /// # Errors
    ///
    /// If an agent's exit status can't be read or the program can't be started.
    pub fn restart_exited_agents(&mut self) -> Result<()> {
        for index in 0..self.nodes.len() {
            if self.nodes[index].has_exited()? {
                self.start_agent(index)?;
            }
        }
        Ok(())
    }

    /// Writes the configuration of a workspace to the store, replacing the current revision, and returns the
    /// new revision.
    ///
    /// # Errors
    ///
    /// If the store does not list the record within 5 s, the write fails, or another write came first.
    pub async fn write_workspace(&self, workspace: &WorkspaceRecord) -> Result<u64> {
        let store = StoreClient::new(&self.store_addr.to_string());
        let key = workspace_key(&workspace.name);
        let deadline = clock::now().plus(5_000);
        let answer = loop {
            match store.list(&key).await {
                Ok(answer) => break answer,
                Err(error) if clock::now() > deadline => return Err(error.into()),
                Err(_) => sleep(Duration::from_millis(POLL_INTERVAL_MS)).await,
            }
        };
        let call = SwapCall {
            expect: answer.records.first().map_or(0, |record| record.revision),
            key,
            value: Some(serde_json::to_string(workspace)?.into()),
            lease: None,
        };
        match store.swap(&call).await? {
            SwapOutcome::Applied { revision } => Ok(revision),
            SwapOutcome::Conflict { .. } => bail!("another write of {} came first", call.key),
        }
    }

    /// Waits until every running agent has a lease and every unit has an owner and is not moving. Returns the
    /// time waited, in milliseconds.
    ///
    /// # Errors
    ///
    /// If the fleet is not ready after `limit_ms`.
    pub async fn wait_ready(&self, limit_ms: u64) -> Result<u64> {
        let start = clock::now();
        loop {
            let Err(missing) = self.check_ready().await else {
                return Ok(clock::now().since(start));
            };
            if clock::now().since(start) > limit_ms {
                bail!(
                    "the fleet is not ready after {limit_ms} ms: {missing}; logs are in {}",
                    self.folder.display()
                );
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Checks that the fleet is ready, as [`Self::wait_ready`] describes.
    ///
    /// # Errors
    ///
    /// If it is not ready or an agent does not answer. The error names the agent or the service.
    async fn check_ready(&self) -> Result<()> {
        for index in self.running() {
            let name = self.nodes[index].name();
            let status = self.status(index).await.with_context(|| name.clone())?;
            if status.state != Some(MemberState::Live) || status.lease_left_ms == 0 {
                bail!(
                    "{name} is not a live member with a lease; its state is {:?}",
                    status.state
                );
            }
            let services = self.services(index).await?;
            for service in &services {
                if service.owners.is_empty() || service.unassigned + service.moving > 0 {
                    bail!(
                        "{name} reports no owner of {}, or units of it that are moving or have no owner",
                        service.service
                    );
                }
            }
        }
        Ok(())
    }

    /// Returns the nodes whose agent is running; see [`FleetNode::has_agent`].
    #[must_use]
    pub fn running(&self) -> Vec<NodeIndex> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].has_agent())
            .collect()
    }

    /// Returns the node of a named agent.
    ///
    /// # Errors
    ///
    /// If no agent has this name.
    pub fn index_of(&self, name: &str) -> Result<NodeIndex> {
        self.nodes
            .iter()
            .position(|node| &*node.plan.name == name)
            .with_context(|| format!("no agent is named {name}"))
    }

    /// Reads the status of an agent.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn status(&self, index: NodeIndex) -> Result<AgentStatus> {
        self.get_json(self.nodes[index].addrs.operator, STATUS_PATH)
            .await
    }

    /// Reads an agent's view of the units of each keyed service.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn services(&self, index: NodeIndex) -> Result<Vec<ServiceStatus>> {
        self.get_json(self.nodes[index].addrs.operator, SERVICES_PATH)
            .await
    }

    /// Reads an agent's view of the owner of a key.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn owner(
        &self,
        index: NodeIndex,
        workspace: &str,
        service: &str,
        key: &str,
    ) -> Result<OwnerStatus> {
        let path = format!("{OWNER_PATH}?workspace={workspace}&service={service}&key={key}");
        self.get_json(self.nodes[index].addrs.operator, &path).await
    }

    /// Returns the node of the controller, as reported by the first running agent that knows one.
    ///
    /// # Errors
    ///
    /// If no running agent reports a controller, or its name is not in the fleet.
    pub async fn controller(&self) -> Result<NodeIndex> {
        for index in self.running() {
            if let Ok(status) = self.status(index).await
                && let Some(id) = status.controller
            {
                return self.index_of(&id.name);
            }
        }
        bail!("no running agent reports a controller")
    }

    /// Reads the journal of a node's backend server.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn journal(&self, index: NodeIndex) -> Result<Vec<RunEntry>> {
        self.get_json(self.nodes[index].addrs.server, JOURNAL_PATH)
            .await
    }

    /// Reads the journals of all backend servers. Each run comes with its scope, `workspace/service`.
    ///
    /// # Errors
    ///
    /// If a backend server does not answer.
    pub async fn journals(&self) -> Result<Vec<(Name, ServerRun)>> {
        let mut runs = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(backend) = &node.plan.backend else {
                continue;
            };
            let scope: Name = format!("{}/{}", backend.workspace, backend.service).into();
            for run in self.journal(index).await? {
                let server = node.name();
                runs.push((Name::clone(&scope), ServerRun { server, run }));
            }
        }
        Ok(runs)
    }

    /// Returns the caller listeners of the running agents.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let running = self.running();
        let addrs = running.iter().map(|index| self.nodes[*index].addrs.caller);
        addrs.collect()
    }

    /// Reads the request counts of a node's backend server.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn server_counts(&self, index: NodeIndex) -> Result<BackendCounts> {
        let path = backend_fault::COUNTS_PATH;
        self.get_json(self.nodes[index].addrs.server, path).await
    }

    /// Reads the call counts of the store.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn store_counts(&self) -> Result<CallCounts> {
        self.get_json(self.store_addr, store_fault::COUNTS_PATH)
            .await
    }

    /// Sets the faults that the store injects.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn set_store_fault(&self, fault: &StoreFault) -> Result<()> {
        self.post_json(self.store_addr, store_fault::FAULT_PATH, fault)
            .await
    }

    /// Sets the faults that a node's backend server injects.
    ///
    /// # Errors
    ///
    /// If it does not answer.
    pub async fn set_server_fault(&self, index: NodeIndex, fault: &BackendFault) -> Result<()> {
        let address = self.nodes[index].addrs.server;
        self.post_json(address, backend_fault::FAULT_PATH, fault)
            .await
    }

    /// Suspends a node's agent with SIGSTOP.
    ///
    /// # Errors
    ///
    /// If the agent is not running.
    pub fn suspend(&mut self, index: NodeIndex) -> Result<()> {
        self.nodes[index].agent()?.signal(Signal::STOP)
    }

    /// Resumes a suspended agent with SIGCONT.
    ///
    /// # Errors
    ///
    /// If the agent is not running.
    pub fn resume(&mut self, index: NodeIndex) -> Result<()> {
        self.nodes[index].agent()?.signal(Signal::CONT)
    }

    /// Cuts the links between two nodes in both directions.
    pub fn cut_both(&self, one: NodeIndex, other: NodeIndex) {
        self.net.cut(one, other);
        self.net.cut(other, one);
    }

    /// Sends a command as JSON by POST.
    ///
    /// # Errors
    ///
    /// If the request fails or the status of the answer is not a success.
    async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        command: &impl Serialize,
    ) -> Result<()> {
        let answer = self
            .client
            .0
            .post(format!("http://{address}{path}"))
            .timeout(Duration::from_millis(REQUEST_TIMEOUT_MS))
            .send_json(command)
            .await
            .map_err(|error| anyhow::anyhow!("request to {address}{path} failed: {error}"))?;
        if !answer.status().is_success() {
            bail!("{address}{path} answered with status {}", answer.status());
        }
        Ok(())
    }

    /// Reads JSON by GET.
    ///
    /// # Errors
    ///
    /// If the request fails or the body can't be decoded.
    async fn get_json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        let mut answer = self
            .client
            .0
            .get(format!("http://{address}{path}"))
            .timeout(Duration::from_millis(REQUEST_TIMEOUT_MS))
            .send()
            .await
            .map_err(|error| anyhow::anyhow!("request to {address}{path} failed: {error}"))?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await?;
        serde_json::from_slice(&body)
            .with_context(|| format!("could not decode the answer of {address}{path}: {body:?}"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        self.store = None;
        if self.options.keep {
            eprintln!("logs are in {}", self.folder.display());
        } else {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

/// HTTP client for all processes of a fleet, wrapped to implement `Debug`.
struct FleetClient(Client);

impl std::fmt::Debug for FleetClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetClient")
    }
}

/// Creates a client without a default timeout; each request sets its own.
fn new_client() -> Client {
    Client::builder().disable_timeout().finish()
}

/// Creates a new folder for settings and logs in the temporary directory.
///
/// # Errors
///
/// If the folder can't be created.
fn create_folder() -> Result<PathBuf> {
    let name = format!("jybench-{}-{}", std::process::id(), clock::now().0);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir(&folder)
        .with_context(|| format!("could not create the folder {}", folder.display()))?;
    Ok(folder)
}
