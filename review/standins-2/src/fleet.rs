//! A small fleet: the store's stand-in, and for each instance a `jyedge` process and a backend server's stand-in.

use std::cell::RefCell;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;

use anyhow::Context;
use anyhow::Result;
use jy_platform_standins::backend::BackendConfig;
use jy_platform_standins::backend::StandinBackend;
use jy_platform_standins::invariants::InvariantChecker;
use jy_platform_standins::store::StandinStore;
use serde_json::json;

use crate::link::Link;

/// Host name of all routes.
pub const HOST: &str = "review.example";
/// Interval between the announcements of a backend server, in milliseconds, as in `sites/cfsma-seals.toml`.
pub const ANNOUNCE_INTERVAL_MS: u64 = 870;

/// Service and zone of an instance.
#[derive(Clone, Copy, Debug)]
pub struct InstancePlan {
    /// Service of its backend server.
    pub service: &'static str,
    /// Whether that is divided by key.
    pub is_keyed: bool,
    /// Availability zone.
    pub zone: &'static str,
}

/// One instance.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// What it runs.
    pub plan: InstancePlan,
    /// Address on which the agent takes callers' requests.
    pub caller: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Address on which the agent takes announcements.
    pub announce: SocketAddr,
    /// The agent's link to the store.
    pub store_link: Rc<Link>,
    settings_path: PathBuf,
    log_path: PathBuf,
    process: RefCell<Option<Child>>,
}

/// The fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    /// The store's stand-in.
    pub store: Rc<StandinStore>,
    /// The instances.
    pub instances: Vec<Instance>,
    program: PathBuf,
}

impl Fleet {
    /// Starts the store and writes the settings of all agents to `folder`. Nothing else is started.
    ///
    /// # Errors
    ///
    /// If an address is in use or a file can't be written.
    pub async fn create(program: &Path, folder: &Path, plans: &[InstancePlan]) -> Result<Self> {
        // A network of its own for each process, so that runs at the same time have other addresses.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host));
        let store_address = SocketAddr::new(ip(250), 7300);
        let store = StandinStore::serve(store_address)
            .await
            .context("start the store")?;
        let mut instances = Vec::new();
        for (index, plan) in plans.iter().enumerate() {
            let host = u8::try_from(index + 1).context("too many instances")?;
            let address = |port| SocketAddr::new(ip(host), port);
            let store_link = Link::serve(address(7301), store_address)
                .await
                .context("start a link")?;
            let name = format!("node-{}-{index}", plan.zone);
            let instance = Instance {
                plan: *plan,
                caller: address(7100),
                backend: address(7200),
                announce: address(7102),
                store_link,
                settings_path: folder.join(format!("{name}.json")),
                log_path: folder.join(format!("{name}.log")),
                process: RefCell::default(),
                name,
            };
            instance.write_settings(address(7301))?;
            instances.push(instance);
        }
        Ok(Self {
            store,
            instances,
            program: program.into(),
        })
    }

    /// Starts the agent of an instance with the command of the deploy file.
    ///
    /// # Errors
    ///
    /// If the process can't be started.
    pub fn start_agent(&self, index: usize) -> Result<()> {
        let instance = &self.instances[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&instance.log_path)?;
        let child = Command::new(&self.program)
            .args(["--config-variable", "JASMINEYOKE_SETTINGS"])
            .env("JASMINEYOKE_SETTINGS", &instance.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("start {}", self.program.display()))?;
        instance.process.replace(Some(child));
        Ok(())
    }

    /// Starts the backend server's stand-in of an instance.
    ///
    /// # Errors
    ///
    /// If its address is in use.
    pub async fn start_backend(
        &self,
        index: usize,
        work_ms: u64,
        invariants: &Rc<InvariantChecker>,
    ) -> Result<Rc<StandinBackend>> {
        let instance = &self.instances[index];
        let plan = instance.plan;
        let config = BackendConfig {
            id: format!("i-{}-{index}", plan.service).into(),
            service: plan.service.into(),
            zone: plan.zone.into(),
            listen: instance.backend,
            announced: instance.backend,
            agent: instance.announce,
            announce_interval_ms: ANNOUNCE_INTERVAL_MS,
            is_keyed: plan.is_keyed,
            work_ms,
        };
        let backend = StandinBackend::start(config, Rc::clone(invariants)).await;
        backend.context("start a backend server")
    }

    /// Returns the address at which the agent of an instance reaches the store.
    pub fn store_link_of(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.instances[index].caller.ip(), 7301)
    }

    /// Kills the agent of an instance and waits for its end.
    ///
    /// # Errors
    ///
    /// If it was not started or can't be killed.
    pub fn kill_agent(&self, index: usize) -> Result<()> {
        let mut process = self.instances[index].process.borrow_mut();
        let child = process.as_mut().context("the agent was not started")?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Whether the agent of an instance is running.
    pub fn is_running(&self, index: usize) -> bool {
        let mut process = self.instances[index].process.borrow_mut();
        process
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Instance {
    /// Writes the agent's settings, with the fields of `deploy/edge-full.jsonc` and the bounds of
    /// `sites/cfsma-seals.toml`.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write_settings(&self, store: SocketAddr) -> Result<()> {
        self.write_settings_with(store, self.plan.service)
    }

    /// Writes the agent's settings with another service of the backend server.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write_settings_with(&self, store: SocketAddr, service: &str) -> Result<()> {
        let address = |port| SocketAddr::new(self.caller.ip(), port).to_string();
        let settings = json!({
            "name": self.name,
            "zone": self.plan.zone,
            "service": service,
            "backend": self.backend.to_string(),
            "listen": {
                "caller": self.caller.to_string(),
                "ready": address(7101),
                "announce": self.announce.to_string(),
                "gate": address(7103),
                "metrics": address(9464),
            },
            "store": store.to_string(),
            "link_mbps": 1000.0,
            "memory_mb": 260,
            "log_level": "info",
            "bounds": {
                "announce_every_ms": ANNOUNCE_INTERVAL_MS,
                "longest_grant_ms": 10_000,
                "drain_ms": 2_000,
                "grace_s": 6,
                "retry_ratio": 0.2,
                "retry_slack": 56,
                "retry_window_s": 10,
            },
        });
        // The file is replaced at once, so that no agent reads a part of it.
        let next = self.settings_path.with_extension("next");
        std::fs::write(&next, settings.to_string())
            .and_then(|()| std::fs::rename(&next, &self.settings_path))
            .with_context(|| format!("write {}", self.settings_path.display()))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &self.instances {
            if let Some(mut child) = instance.process.take() {
                // The process may have ended already.
                let _is_killed = child.kill().is_ok();
                let _is_reaped = child.wait().is_ok();
            }
        }
    }
}
