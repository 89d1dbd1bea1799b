//! One node of a fleet: an agent process and the process of its local backend server, if one is planned.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use jy_types::name::Name;
use rustix::process::Signal;
use serde_json::json;

use crate::plan::NodePlan;
use crate::ports::PortPool;
use crate::process::ChildProcess;

/// Listener and upstream addresses of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddrs {
    /// The agent's listener for callers.
    pub caller: SocketAddr,
    /// The agent's listener for JSON-RPC of other agents.
    pub rpc: SocketAddr,
    /// The agent's listener for requests that other agents forward.
    pub forward: SocketAddr,
    /// The agent's listener for announcements of backend servers.
    pub backend: SocketAddr,
    /// The agent's listener for operators.
    pub operator: SocketAddr,
    /// The backend server's listener.
    pub server: SocketAddr,
    /// The address that other agents connect to for JSON-RPC: a relay, or [`Self::rpc`].
    pub public_rpc: SocketAddr,
    /// The address that other agents connect to for forwarding: a relay, or [`Self::forward`].
    pub public_forward: SocketAddr,
    /// The address that the agent connects to for the store: a relay, or the store's listener.
    pub store: SocketAddr,
}

impl NodeAddrs {
    /// Allocates free addresses. With `relayed`, other agents and the store are reached through relays.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn new(ports: &mut PortPool, store: SocketAddr, relayed: bool) -> Result<Self> {
        let rpc = ports.take()?;
        let forward = ports.take()?;
        Ok(Self {
            caller: ports.take()?,
            rpc,
            forward,
            backend: ports.take()?,
            operator: ports.take()?,
            server: ports.take()?,
            public_rpc: if relayed { ports.take()? } else { rpc },
            public_forward: if relayed { ports.take()? } else { forward },
            store: if relayed { ports.take()? } else { store },
        })
    }
}

/// A node of a fleet. Dropping it kills its processes.
#[derive(Debug)]
pub struct FleetNode {
    /// The plan that the node was created from.
    pub plan: NodePlan,
    /// The addresses of the node.
    pub addrs: NodeAddrs,
    agent: Option<ChildProcess>,
    server: Option<ChildProcess>,
    folder: PathBuf,
}

impl FleetNode {
    /// Creates a node without starting its processes. Settings and logs go to `folder`.
    #[must_use]
    pub fn new(plan: NodePlan, addrs: NodeAddrs, folder: &Path) -> Self {
        Self {
            plan,
            addrs,
            agent: None,
            server: None,
            folder: folder.to_owned(),
        }
    }

    /// Returns the agent's name.
    #[must_use]
    pub fn name(&self) -> Name {
        Name::clone(&self.plan.name)
    }

    /// Starts the agent and returns its process id.
    ///
    /// # Errors
    ///
    /// If the settings can't be written or the program can't be started.
    pub fn start_agent(&mut self) -> Result<u32> {
        let path = self.folder.join(format!("{}.jsonc", self.plan.name));
        std::fs::write(&path, self.settings())
            .with_context(|| format!("could not write {}", path.display()))?;
        let arguments = ["--config".to_owned(), path.display().to_string()];
        let log = self.folder.join(format!("{}.log", self.plan.name));
        let agent = ChildProcess::start("jyagent", &arguments, &log)?;
        let pid = agent.pid();
        self.agent = Some(agent);
        Ok(pid)
    }

    /// Starts the backend server, if one is planned.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
    pub fn start_server(&mut self) -> Result<()> {
        let Some(plan) = &self.plan.backend else {
            return Ok(());
        };
        let mut arguments = vec![
            format!("--listen={}", self.addrs.server),
            format!("--agent={}", self.addrs.backend),
            format!("--workspace={}", plan.workspace),
            format!("--service={}", plan.service),
            format!("--slots={}", plan.slots),
            format!("--work-ms={}", plan.work_ms),
            format!("--cold-ms={}", plan.cold_ms),
        ];
        if plan.checks_fence {
            arguments.push("--checks-fence".to_owned());
        }
        let log = self.folder.join(format!("{}-server.log", self.plan.name));
        self.server = Some(ChildProcess::start("jybackend", &arguments, &log)?);
        Ok(())
    }

    /// Returns the agent's process.
    ///
    /// # Errors
    ///
    /// If the agent is not running; see [`Self::has_agent`].
    pub fn agent(&mut self) -> Result<&mut ChildProcess> {
        let name = &self.plan.name;
        self.agent
            .as_mut()
            .with_context(|| format!("agent {name} is not running"))
    }

    /// Returns whether the agent was never started, was killed or has exited.
    ///
    /// # Errors
    ///
    /// If the exit status can't be read.
    pub fn has_exited(&mut self) -> Result<bool> {
        match &mut self.agent {
            None => Ok(true),
            Some(agent) => Ok(agent.exit_status()?.is_some()),
        }
    }

    /// Waits up to `limit_ms` for the agent to exit, then kills it if it is still running. Returns whether it
    /// exited by itself with code 0.
    ///
    /// # Errors
    ///
    /// If the agent is not running or its exit status can't be read.
    pub async fn wait_for_clean_exit(&mut self, limit_ms: u64) -> Result<bool> {
        let status = self.agent()?.wait(limit_ms).await?;
        self.agent = None;
        Ok(status.is_some_and(|status| status.success()))
    }

    /// Returns whether the agent was started and not killed since. An agent that has exited by itself still
    /// counts as running until [`Self::wait_for_clean_exit`] has waited for it.
    #[must_use]
    pub const fn has_agent(&self) -> bool {
        self.agent.is_some()
    }

    /// Kills the agent.
    pub fn kill_agent(&mut self) {
        self.agent = None;
    }

    /// Kills the backend server.
    pub fn kill_server(&mut self) {
        self.server = None;
    }

    /// Sends SIGTERM, which makes the agent leave the fleet, and waits as [`Self::wait_for_clean_exit`] does.
    /// Returns whether the agent exited by itself with code 0.
    ///
    /// # Errors
    ///
    /// If the agent is not running, or the signal can't be sent, or the exit status can't be read.
    pub async fn leave(&mut self, limit_ms: u64) -> Result<bool> {
        self.agent()?.signal(Signal::TERM)?;
        self.wait_for_clean_exit(limit_ms).await
    }

    /// Returns the text of the agent's settings file.
    fn settings(&self) -> String {
        let addrs = &self.addrs;
        let settings = json!({
            "name": self.plan.name,
            "place": self.plan.place,
            "listen": {
                "caller": addrs.caller,
                "peer_rpc": addrs.rpc,
                "peer_forward": addrs.forward,
                "backend": addrs.backend,
                "operator": addrs.operator,
            },
            "advertise": {
                "peer_rpc": addrs.public_rpc,
                "peer_forward": addrs.public_forward,
            },
            "store": addrs.store,
        });
        format!("// Written for one run.\n{settings:#}\n")
    }
}
