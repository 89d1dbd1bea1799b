//! The fleet of a run: the store, and for each instance a backend server and an agent process.

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
use jy_platform_standins::operator;
use jy_platform_standins::operator::OperatorConfig;
use jy_platform_standins::operator::OperatorRoute;
use jy_platform_standins::store::StandinStore;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;

use crate::relay::LinkRelay;

/// Services and whether each is divided by key; the instances of a zone follow this order.
pub const SERVICES: [(&str, bool); 3] = [("keyed", true), ("orders", false), ("reads", false)];
/// Availability zones; each has one instance of every service.
pub const ZONES: [&str; 3] = ["z0", "z1", "z2"];
/// Number of instances: one for each service and zone.
pub const INSTANCES: usize = SERVICES.len() * ZONES.len();
/// Shorter than in deployments, which shortens a run.
const ANNOUNCE_INTERVAL_MS: u64 = 400;
/// How long after the acknowledged end of a backend server an earlier announcement of it arrives, in milliseconds.
const LATE_ANNOUNCEMENT_MS: u64 = 500;
/// Time that a backend server takes for a request.
const SERVICE_TIME_MS: u64 = 20;
/// Host name that the routes match and callers send.
pub const HOST: &str = "soak.example";

/// One instance: an agent process, its backend server and its links.
pub struct SoakInstance {
    /// Index in [`SoakFleet::instances`].
    pub index: usize,
    /// Service that its backend server runs, one of [`SERVICES`].
    pub service: &'static str,
    /// Availability zone, one of [`ZONES`].
    pub zone: &'static str,
    /// Address on which the agent accepts callers.
    pub caller: SocketAddr,
    /// The agent's link to the store.
    pub store_link: Rc<LinkRelay>,
    /// The agent's link to its backend server.
    pub backend_link: Rc<LinkRelay>,
    backend_config: BackendConfig,
    backend: RefCell<Option<Rc<StandinBackend>>>,
    process: RefCell<Option<Child>>,
    settings_path: PathBuf,
    log_path: PathBuf,
}

/// The store, all instances and the checker of the run's invariants.
pub struct SoakFleet {
    /// Stand-in for the store, within this process.
    pub store: Rc<StandinStore>,
    /// All instances, by zone and then by service.
    pub instances: Vec<SoakInstance>,
    /// Checks the invariants over what callers and backend servers observe.
    pub invariants: Rc<InvariantChecker>,
    agent_program: PathBuf,
}

impl SoakFleet {
    /// Starts the store and the links, and writes the agents' settings to `folder`. Agents and backend
    /// servers are started by [`Self::start_agent`] and [`Self::start_backend`].
    ///
    /// `agent_program` is the path of the agents' program. `net` selects the loopback addresses of the
    /// fleet; fleets that run at the same time need different ones.
    ///
    /// # Errors
    ///
    /// If an address is in use or a file can't be written.
    pub async fn start(agent_program: &Path, folder: &Path, net: u16) -> Result<Self> {
        let [high, low] = net.to_be_bytes();
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host));
        let store_address = SocketAddr::new(ip(250), 7300);
        let store = StandinStore::serve(store_address)
            .await
            .with_context(|| format!("could not start the store at {store_address}"))?;
        let invariants = Rc::new(InvariantChecker::new());
        let mut instances = Vec::new();
        for index in 0..INSTANCES {
            let host =
                u8::try_from(index + 1).context("more than 255 instances: no address left")?;
            instances.push(create_instance(index, ip(host), store_address, folder).await?);
        }
        Ok(Self {
            store,
            instances,
            invariants,
            agent_program: agent_program.into(),
        })
    }

    /// Starts the backend server of an instance as a new incarnation, unless one is running.
    ///
    /// # Errors
    ///
    /// If its address is in use.
    pub async fn start_backend(&self, index: usize) -> Result<()> {
        let instance = &self.instances[index];
        if instance.backend.borrow().is_some() {
            return Ok(());
        }
        let invariants = Rc::clone(&self.invariants);
        let backend = StandinBackend::start(instance.backend_config.clone(), invariants).await?;
        instance.backend.replace(Some(backend));
        Ok(())
    }

    /// Crashes the backend server of an instance, if one is running.
    pub fn crash_backend(&self, index: usize) {
        if let Some(backend) = self.instances[index].backend.take() {
            backend.crash();
        }
    }

    /// Starts draining the backend server of an instance, if one is running.
    pub fn drain_backend(&self, index: usize) {
        if let Some(backend) = self.instances[index].backend.borrow().as_ref() {
            backend.drain();
        }
    }

    /// Has the backend server of an instance report its end, if one is running. An announcement of it arrives late.
    pub fn end_backend(&self, index: usize) {
        if let Some(backend) = self.instances[index].backend.borrow().as_ref() {
            backend.leave(LATE_ANNOUNCEMENT_MS);
        }
    }

    /// Starts the agent of an instance, unless one is running.
    ///
    /// # Errors
    ///
    /// If the log can't be opened, the state of the earlier process can't be read or the program can't be
    /// started.
    pub fn start_agent(&self, index: usize) -> Result<()> {
        let instance = &self.instances[index];
        let mut process = instance.process.borrow_mut();
        if let Some(child) = process.as_mut()
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&instance.log_path)?;
        let child = Command::new(&self.agent_program)
            .arg("--config")
            .arg(&instance.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("could not start {}", self.agent_program.display()))?;
        *process = Some(child);
        Ok(())
    }

    /// Whether the agent of an instance is running.
    ///
    /// # Errors
    ///
    /// If the state of the process can't be read.
    pub fn is_running(&self, index: usize) -> Result<bool> {
        let mut process = self.instances[index].process.borrow_mut();
        match process.as_mut() {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Sends a signal to the agent of an instance, if it is running.
    ///
    /// # Errors
    ///
    /// If the state of the process can't be read or the signal can't be sent.
    pub fn signal(&self, index: usize, signal: Signal) -> Result<()> {
        let mut process = self.instances[index].process.borrow_mut();
        let Some(child) = process.as_mut() else {
            return Ok(());
        };
        if child.try_wait()?.is_some() {
            return Ok(());
        }
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            kill_process(pid, signal)?;
        }
        Ok(())
    }

    /// Writes a version of the configuration that maps the `reads` route to `reads_service`.
    pub fn configure(&self, version: u64, reads_service: &'static str) {
        let route = |name, is_idempotent, service| OperatorRoute {
            name,
            is_idempotent,
            service,
        };
        let routes = [
            route("keyed", true, "keyed"),
            route("orders", false, "orders"),
            route("reads", true, reads_service),
        ];
        let config = OperatorConfig {
            version,
            host: HOST,
            routes: &routes,
            services: &SERVICES,
        };
        operator::configure(&self.store, &config);
    }
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        for instance in &self.instances {
            if let Some(mut child) = instance.process.take() {
                // The process may have exited already, so errors are ignored.
                let _is_killed = child.kill().is_ok();
                let _is_reaped = child.wait().is_ok();
            }
        }
    }
}

/// Creates an instance: starts its links and writes its agent's settings file.
///
/// # Errors
///
/// If an address is in use or the settings can't be written.
async fn create_instance(
    index: usize,
    ip: IpAddr,
    store: SocketAddr,
    folder: &Path,
) -> Result<SoakInstance> {
    let address = |port: u16| SocketAddr::new(ip, port);
    let (service, is_keyed) = SERVICES[index % SERVICES.len()];
    let zone = ZONES[index / SERVICES.len()];
    let (backend, backend_link_address, store_link_address) =
        (address(7200), address(7201), address(7301));
    let store_link = LinkRelay::serve(store_link_address, store).await?;
    let backend_link = LinkRelay::serve(backend_link_address, backend).await?;
    let name = format!("n{index}");
    let settings = json!({
        "name": name,
        "zone": zone,
        "service": service,
        "backend": backend_link_address.to_string(),
        "listen": {
            "caller": address(7100).to_string(),
            "ready": address(7101).to_string(),
            "announce": address(7102).to_string(),
            "gate": address(7103).to_string(),
            "metrics": address(7104).to_string(),
        },
        "store": store_link_address.to_string(),
        "bounds": {
            "announce_every_ms": ANNOUNCE_INTERVAL_MS,
            "longest_grant_ms": 10_000,
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "retry_window_s": 10,
        },
    });
    let settings_path = folder.join(format!("{name}.jsonc"));
    std::fs::write(&settings_path, settings.to_string())?;
    let backend_config = BackendConfig {
        id: format!("i-{service}-{index}").into(),
        service: service.into(),
        zone: zone.into(),
        listen: backend,
        announced: backend_link_address,
        agent: address(7102),
        announce_interval_ms: ANNOUNCE_INTERVAL_MS,
        is_keyed,
        work_ms: SERVICE_TIME_MS,
    };
    Ok(SoakInstance {
        index,
        service,
        zone,
        caller: address(7100),
        store_link,
        backend_link,
        backend_config,
        backend: RefCell::new(None),
        process: RefCell::new(None),
        settings_path,
        log_path: folder.join(format!("{name}.log")),
    })
}
