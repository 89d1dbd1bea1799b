//! The fleet of a run: the store, and on each instance a backend server and an agent's process.

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

/// Services, with whether they are divided by key, in the order of the instances.
pub const SERVICES: [(&str, bool); 3] = [("keyed", true), ("orders", false), ("reads", false)];
/// Availability zones, each with one instance of each service.
pub const ZONES: [&str; 3] = ["z0", "z1", "z2"];
/// Number of instances.
pub const INSTANCES: usize = SERVICES.len() * ZONES.len();
/// Time between announcements, in milliseconds: shorter than the deployments', so that a run is short.
const PERIOD_MS: u64 = 400;
/// Time that a request takes at a backend server, in milliseconds.
const WORK_MS: u64 = 20;
/// Host that callers name.
pub const HOST: &str = "soak.example";

/// One instance.
pub struct SoakInstance {
    /// Index.
    pub index: usize,
    /// Its service.
    pub service: &'static str,
    /// Its availability zone.
    pub zone: &'static str,
    /// Where its callers connect.
    pub caller: SocketAddr,
    /// The agent's link to the store.
    pub store_link: Rc<LinkRelay>,
    /// The agent's link to its backend server.
    pub backend_link: Rc<LinkRelay>,
    terms: BackendConfig,
    backend: RefCell<Option<Rc<StandinBackend>>>,
    process: RefCell<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
}

/// The fleet.
pub struct SoakFleet {
    /// The store.
    pub store: Rc<StandinStore>,
    /// All instances.
    pub instances: Vec<SoakInstance>,
    /// What the backend servers saw.
    pub ledger: Rc<InvariantChecker>,
    agent: PathBuf,
}

impl SoakFleet {
    /// Starts a fleet whose files lie in `folder`; `net` sets apart the addresses of fleets that run at the
    /// same time.
    ///
    /// # Errors
    ///
    /// If an address is taken or a file can't be written.
    pub async fn start(agent: &Path, folder: &Path, net: u16) -> Result<Self> {
        let [high, low] = net.to_be_bytes();
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host));
        let store_at = SocketAddr::new(ip(250), 7300);
        let store = StandinStore::serve(store_at)
            .await
            .with_context(|| format!("no store at {store_at}"))?;
        let ledger = Rc::new(InvariantChecker::new());
        let mut instances = Vec::new();
        for index in 0..INSTANCES {
            let host = u8::try_from(index + 1).context("too many instances")?;
            instances.push(instance(index, ip(host), store_at, folder).await?);
        }
        Ok(Self {
            store,
            instances,
            ledger,
            agent: agent.into(),
        })
    }

    /// Starts the backend server of an instance as a new life, unless one runs.
    ///
    /// # Errors
    ///
    /// If its address is taken.
    pub async fn start_backend(&self, index: usize) -> Result<()> {
        let instance = &self.instances[index];
        if instance.backend.borrow().is_some() {
            return Ok(());
        }
        let ledger = Rc::clone(&self.ledger);
        let backend = StandinBackend::start(instance.terms.clone(), ledger).await?;
        instance.backend.replace(Some(backend));
        Ok(())
    }

    /// Crashes the backend server of an instance.
    pub fn crash_backend(&self, index: usize) {
        if let Some(backend) = self.instances[index].backend.take() {
            backend.crash();
        }
    }

    /// Has the backend server of an instance drain.
    pub fn drain_backend(&self, index: usize) {
        if let Some(backend) = self.instances[index].backend.borrow().as_ref() {
            backend.drain();
        }
    }

    /// Starts the agent of an instance, unless one runs.
    ///
    /// # Errors
    ///
    /// If the program can't be started.
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
            .open(&instance.log)?;
        let child = Command::new(&self.agent)
            .arg("--config")
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("could not start {}", self.agent.display()))?;
        *process = Some(child);
        Ok(())
    }

    /// Whether the agent of an instance runs.
    ///
    /// # Errors
    ///
    /// If the process can't be looked at.
    pub fn is_running(&self, index: usize) -> Result<bool> {
        let mut process = self.instances[index].process.borrow_mut();
        match process.as_mut() {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Sends a signal to the agent of an instance, if it runs.
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn signal(&self, index: usize, signal: Signal) -> Result<()> {
        let mut process = self.instances[index].process.borrow_mut();
        let Some(child) = process.as_mut() else {
            return Ok(());
        };
        if child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            kill_process(id, signal)?;
        }
        Ok(())
    }

    /// Writes a configuration: `reads` names the service that runs the route of reads.
    pub fn configure(&self, version: u64, reads: &'static str) {
        let route = |name, is_idempotent, service| OperatorRoute {
            name,
            is_idempotent,
            service,
        };
        let routes = [
            route("keyed", true, "keyed"),
            route("orders", false, "orders"),
            route("reads", true, reads),
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
                // A process that has ended by itself needs no signal.
                let _is_killed = child.kill().is_ok();
                let _is_reaped = child.wait().is_ok();
            }
        }
    }
}

/// Makes an instance with its links and settings.
///
/// # Errors
///
/// If an address is taken or the settings can't be written.
async fn instance(
    index: usize,
    ip: IpAddr,
    store: SocketAddr,
    folder: &Path,
) -> Result<SoakInstance> {
    let at = |port: u16| SocketAddr::new(ip, port);
    let (service, is_keyed) = SERVICES[index % SERVICES.len()];
    let zone = ZONES[index / SERVICES.len()];
    let (backend, announced, store_link_at) = (at(7200), at(7201), at(7301));
    let store_link = LinkRelay::serve(store_link_at, store).await?;
    let backend_link = LinkRelay::serve(announced, backend).await?;
    let name = format!("n{index}");
    let settings = json!({
        "name": name,
        "zone": zone,
        "service": service,
        "backend": announced.to_string(),
        "listen": {
            "caller": at(7100).to_string(),
            "ready": at(7101).to_string(),
            "announce": at(7102).to_string(),
            "gate": at(7103).to_string(),
            "metrics": at(7104).to_string(),
        },
        "store": store_link_at.to_string(),
        "bounds": {
            "announce_every_ms": PERIOD_MS,
            "longest_grant_ms": 10_000,
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "retry_window_s": 10,
        },
    });
    let path = folder.join(format!("{name}.jsonc"));
    std::fs::write(&path, settings.to_string())?;
    let terms = BackendConfig {
        id: format!("i-{service}-{index}").into(),
        service: service.into(),
        zone: zone.into(),
        listen: backend,
        announced,
        agent: at(7102),
        period_ms: PERIOD_MS,
        is_keyed,
        work_ms: WORK_MS,
    };
    Ok(SoakInstance {
        index,
        service,
        zone,
        caller: at(7100),
        store_link,
        backend_link,
        terms,
        backend: RefCell::new(None),
        process: RefCell::new(None),
        settings: path,
        log: folder.join(format!("{name}.log")),
    })
}
