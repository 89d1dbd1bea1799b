//! One node of a fleet: an agent's process and the backend server's process beside it.

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

/// Addresses of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddrs {
    /// Callers' requests.
    pub caller: SocketAddr,
    /// JSON-RPC of other agents.
    pub rpc: SocketAddr,
    /// Requests that other agents forward.
    pub forward: SocketAddr,
    /// Announcements.
    pub backend: SocketAddr,
    /// Operators.
    pub operator: SocketAddr,
    /// The backend server's own.
    pub server: SocketAddr,
    /// What other agents dial for JSON-RPC.
    pub public_rpc: SocketAddr,
    /// What other agents dial to forward.
    pub public_forward: SocketAddr,
    /// What the agent dials for the store.
    pub store: SocketAddr,
}

impl NodeAddrs {
    /// Chooses free addresses. With relays, other agents and the store are reached through them.
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

/// One node.
#[derive(Debug)]
pub struct FleetNode {
    /// What it was planned as.
    pub plan: NodePlan,
    /// Its addresses.
    pub addrs: NodeAddrs,
    agent: Option<ChildProcess>,
    server: Option<ChildProcess>,
    folder: PathBuf,
}

impl FleetNode {
    /// Makes a node of which nothing runs.
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

    /// The agent's name.
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
    /// If it does not run.
    pub fn agent(&mut self) -> Result<&mut ChildProcess> {
        let name = &self.plan.name;
        self.agent
            .as_mut()
            .with_context(|| format!("agent {name} does not run"))
    }

    /// Whether the agent was killed or has ended by itself.
    ///
    /// # Errors
    ///
    /// If the process can't be asked.
    pub fn is_ended(&mut self) -> Result<bool> {
        match &mut self.agent {
            None => Ok(true),
            Some(agent) => Ok(agent.ended()?.is_some()),
        }
    }

    /// Waits until the agent ends by itself; returns whether it did so with exit code 0.
    ///
    /// # Errors
    ///
    /// If it does not run.
    pub async fn ended_cleanly(&mut self, limit_ms: u64) -> Result<bool> {
        let status = self.agent()?.wait(limit_ms).await?;
        self.agent = None;
        Ok(status.is_some_and(|status| status.success()))
    }

    /// Whether the agent runs.
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

    /// Asks the agent to leave and waits; returns whether it ended by itself with exit code 0.
    ///
    /// # Errors
    ///
    /// If it does not run.
    pub async fn leave(&mut self, limit_ms: u64) -> Result<bool> {
        self.agent()?.signal(Signal::TERM)?;
        self.ended_cleanly(limit_ms).await
    }

    /// Writes the agent's settings.
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
