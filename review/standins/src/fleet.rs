//! A small deployment: agents started with the command of the deploy file, endpoints, the store, the
//! platform's readiness checks and its supervision of the agents.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Error;
use std::io::Result;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointConfig;
use crate::http::HttpMessage;
use crate::http::call;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::Record;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "jepu9.example";
/// Time after which the platform starts an agent again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time within which all machines start.
const START_SPREAD: Duration = Duration::from_millis(300);
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// Misses after which requesters send no new work to a machine.
const MAX_MISSES: u32 = 2;

/// A service of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServiceConfig {
    pub name: &'static str,
    pub is_sharded: bool,
    pub slots: usize,
    pub work: Duration,
}

/// A route; its prefix is `/NAME/`.
#[derive(Clone, Copy, Debug)]
pub struct RouteConfig {
    pub name: &'static str,
    pub service: &'static str,
    pub is_safe: bool,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
}

/// One machine with its agent and its endpoint.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub service: ServiceConfig,
    pub ip: IpAddr,
    lives: AtomicU32,
    agent: Mutex<Option<Child>>,
    endpoint: Mutex<Option<Arc<Endpoint>>>,
    /// Whether the machine has no power or its agent is to stay down.
    is_down: AtomicBool,
    misses: AtomicU32,
    pub started_at_ms: Mutex<u64>,
}

/// Running agents, which [`kill_all`] ends.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all running agents, whatever state the case is in.
pub fn kill_all() {
    for pid in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
}

fn forget_process(pid: u32) {
    PROCESSES.lock().unwrap().retain(|other| *other != pid);
}

/// The deployment.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    store_address: SocketAddr,
    pub machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    command: Vec<String>,
    template: String,
    memory_limit_bytes: Option<u64>,
    has_ended: AtomicBool,
}

impl Machine {
    /// Returns an address of the machine.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Returns the address to which requesters on the machine send.
    pub fn outbound(&self) -> SocketAddr {
        self.address(8304)
    }

    /// Returns the address of the agent's reports.
    pub fn control(&self) -> SocketAddr {
        self.address(8306)
    }

    /// Returns the present endpoint.
    pub fn endpoint(&self) -> Option<Arc<Endpoint>> {
        self.endpoint.lock().unwrap().clone()
    }

    /// Whether requesters send new work to the machine.
    pub fn is_in(&self) -> bool {
        !self.is_down.load(Ordering::SeqCst) && self.misses.load(Ordering::SeqCst) < MAX_MISSES
    }
}

impl Fleet {
    /// Creates a deployment with one machine for each entry of `layout` (zone, service), and starts it.
    pub fn start(
        record: Arc<Record>,
        layout: &[(&'static str, ServiceConfig)],
        routes: &[RouteConfig],
        memory_limit_bytes: Option<u64>,
    ) -> Result<Arc<Self>> {
        let network = free_network(layout.len())?;
        let store_address = SocketAddr::new(ip_in(network, 250), 8309);
        let store = Store::serve(store_address)?;
        let folder = std::env::temp_dir().join(format!("jy-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        let mut machines = Vec::new();
        for (index, (zone, service)) in layout.iter().enumerate() {
            let count = counts.entry(zone).or_default();
            *count += 1;
            machines.push(Arc::new(Machine {
                name: format!("sidecar-{zone}-{count}"),
                zone,
                service: *service,
                ip: ip_in(network, index as u8 + 1),
                lives: AtomicU32::new(0),
                agent: Mutex::new(None),
                endpoint: Mutex::new(None),
                is_down: AtomicBool::new(false),
                misses: AtomicU32::new(MAX_MISSES),
                started_at_ms: Mutex::new(0),
            }));
        }
        let fleet = Arc::new(Self {
            record,
            store,
            store_address,
            machines,
            folder,
            command: deploy_command()?,
            template: std::fs::read_to_string("deploy/edge.jsonc")?,
            memory_limit_bytes,
            has_ended: AtomicBool::new(false),
        });
        fleet.configure(1, routes);
        for machine in &fleet.machines {
            fleet.start_endpoint(machine)?;
            fleet.start_agent(machine)?;
            thread::sleep(START_SPREAD / layout.len() as u32);
        }
        let supervised = Arc::clone(&fleet);
        thread::spawn(move || supervised.supervise());
        for machine in &fleet.machines {
            let machine = Arc::clone(machine);
            thread::spawn(move || check_readiness(&machine));
        }
        Ok(fleet)
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, routes: &[RouteConfig]) {
        let mut services: BTreeMap<&str, bool> = BTreeMap::new();
        for machine in &self.machines {
            services.insert(machine.service.name, machine.service.is_sharded);
        }
        let columns = |names: &[&str]| Json::List(names.iter().map(|name| text(name)).collect());
        let route_row = |route: &RouteConfig| {
            Json::List(vec![
                text(route.name),
                text(HOST),
                text(&format!("/{}/", route.name)),
                text(if route.is_safe { "safe" } else { "unsafe" }),
                number(route.timeout_ms),
                number(route.target_latency_ms),
                number(2),
                number(2),
                text(route.service),
            ])
        };
        let service_row = |(name, is_sharded): (&&str, &bool)| {
            Json::List(vec![
                text(name),
                text("/health"),
                number(110),
                Json::Number(3.0),
                Json::Number(14.0),
                Json::Bool(*is_sharded),
            ])
        };
        let config = object([
            ("version", text(&format!("r{version}"))),
            (
                "routes",
                object([
                    (
                        "columns",
                        columns(&[
                            "name",
                            "host",
                            "prefix",
                            "kind",
                            "timeout_ms",
                            "target_latency_ms",
                            "priority",
                            "max_attempts",
                            "service",
                        ]),
                    ),
                    ("rows", Json::List(routes.iter().map(route_row).collect())),
                ]),
            ),
            (
                "services",
                object([
                    (
                        "columns",
                        columns(&[
                            "name",
                            "health_path",
                            "max_connections",
                            "cold_start_s",
                            "cold_per_s",
                            "sharded",
                        ]),
                    ),
                    (
                        "rows",
                        Json::List(services.iter().map(service_row).collect()),
                    ),
                ]),
            ),
            (
                "limits",
                object([
                    ("max_header_bytes", number(16_384)),
                    ("max_body_bytes", number(67_108_864)),
                    ("header_timeout_ms", number(3_000)),
                    ("idle_timeout_ms", number(15_000)),
                ]),
            ),
        ]);
        self.store.put("op/config", &config);
        self.record
            .note(&format!("the operator writes configuration r{version}"));
    }

    /// Starts a new life of the endpoint of a machine.
    pub fn start_endpoint(&self, machine: &Machine) -> Result<()> {
        let life = machine.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let service = machine.service;
        let config = EndpointConfig {
            id: format!("i-{}-{life}", machine.name),
            service: service.name.into(),
            zone: machine.zone.into(),
            address: machine.address(8301),
            control: machine.control(),
            is_sharded: service.is_sharded,
            slots: service.slots,
            work: service.work,
        };
        let endpoint = Endpoint::start(config, Arc::clone(&self.record))?;
        *machine.endpoint.lock().unwrap() = Some(endpoint);
        Ok(())
    }

    /// Ends the endpoint of a machine.
    pub fn end_endpoint(&self, machine: &Machine) {
        if let Some(endpoint) = machine.endpoint.lock().unwrap().take() {
            endpoint.end();
        }
    }

    /// Starts the agent of a machine.
    pub fn start_agent(&self, machine: &Machine) -> Result<()> {
        let settings = render(&self.template, &self.fields(machine))?;
        let path = self.folder.join(format!("{}.jsonc", machine.name));
        std::fs::write(&path, settings)?;
        let log_path = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log_path)?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("JASMINEYOKE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pid = child.id();
        PROCESSES.lock().unwrap().push(pid);
        *machine.agent.lock().unwrap() = Some(child);
        *machine.started_at_ms.lock().unwrap() = self.record.now_ms();
        machine.is_down.store(false, Ordering::SeqCst);
        self.record
            .note(&format!("agent {} starts, process {pid}", machine.name));
        Ok(())
    }

    /// Kills the agent of a machine; it stays down until [`Fleet::start_agent`].
    pub fn kill_agent(&self, machine: &Machine) {
        machine.is_down.store(true, Ordering::SeqCst);
        machine.misses.store(MAX_MISSES, Ordering::SeqCst);
        self.kill_process(machine);
        self.record
            .note(&format!("agent {} is killed", machine.name));
    }

    fn kill_process(&self, machine: &Machine) {
        if let Some(mut child) = machine.agent.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            forget_process(child.id());
        }
    }

    /// Stops the agent of a machine with SIGTERM and waits for its end.
    pub fn stop_agent(&self, machine: &Machine) -> Result<()> {
        let pid = machine.agent.lock().unwrap().as_ref().map(Child::id);
        let pid = pid.ok_or_else(|| Error::other("no agent to stop"))?;
        machine.is_down.store(true, Ordering::SeqCst);
        self.record
            .note(&format!("agent {} gets SIGTERM", machine.name));
        Command::new("kill")
            .args(["-TERM", &pid.to_string()])
            .status()?;
        loop {
            let mut agent = machine.agent.lock().unwrap();
            let has_ended = match agent.as_mut() {
                Some(child) => child.try_wait()?.is_some(),
                None => true,
            };
            drop(agent);
            if has_ended {
                forget_process(pid);
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record
            .note(&format!("agent {} has ended", machine.name));
        machine.misses.store(MAX_MISSES, Ordering::SeqCst);
        Ok(())
    }

    /// Cuts the power of a machine: its agent and its endpoint end.
    pub fn cut_power(&self, machine: &Machine) {
        self.kill_agent(machine);
        self.end_endpoint(machine);
    }

    /// Gives a machine its power back.
    pub fn restore_power(&self, machine: &Machine) -> Result<()> {
        self.start_endpoint(machine)?;
        self.start_agent(machine)
    }

    /// Returns a machine by its name.
    pub fn machine(&self, name: &str) -> Result<&Arc<Machine>> {
        let found = self.machines.iter().find(|machine| machine.name == name);
        found.ok_or_else(|| Error::other(format!("no machine {name}")))
    }

    /// Returns the machines to which requesters of a zone send new work. Readiness does not apply if fewer than
    /// half of the zone's machines are in.
    pub fn open_machines(&self, zone: &str) -> Vec<Arc<Machine>> {
        let in_zone = self.machines.iter().filter(|machine| machine.zone == zone);
        let with_power = in_zone.filter(|machine| !machine.is_down.load(Ordering::SeqCst));
        let all: Vec<Arc<Machine>> = with_power.cloned().collect();
        let ready: Vec<Arc<Machine>> = all
            .iter()
            .filter(|machine| machine.is_in())
            .cloned()
            .collect();
        if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        }
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            self.kill_agent(machine);
            self.end_endpoint(machine);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        self.record.flush();
    }

    /// Supervises the agents as the platform does: one that ends by itself, or that exceeds its memory and is
    /// therefore killed, is started again after [`RESTART_DELAY`].
    fn supervise(&self) {
        let mut due: BTreeMap<String, Instant> = BTreeMap::new();
        while !self.has_ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(4));
            for machine in &self.machines {
                if machine.is_down.load(Ordering::SeqCst) && !due.contains_key(&machine.name) {
                    continue;
                }
                if let Some(at) = due.get(&machine.name) {
                    if Instant::now() >= *at && !self.has_ended.load(Ordering::SeqCst) {
                        due.remove(&machine.name);
                        let _ = self.start_agent(machine);
                    }
                    continue;
                }
                if let Some(reason) = self.end_of(machine) {
                    self.record.say(&format!("agent {} {reason}", machine.name));
                    machine.is_down.store(true, Ordering::SeqCst);
                    machine.misses.store(MAX_MISSES, Ordering::SeqCst);
                    self.kill_process(machine);
                    due.insert(machine.name.clone(), Instant::now() + RESTART_DELAY);
                }
            }
        }
    }

    /// Returns why an agent has ended or is to be killed, if so.
    fn end_of(&self, machine: &Machine) -> Option<String> {
        let mut agent = machine.agent.lock().unwrap();
        let child = agent.as_mut()?;
        if let Ok(Some(status)) = child.try_wait() {
            return Some(format!("ended by itself: {status}"));
        }
        let limit = self.memory_limit_bytes?;
        let used = resident_bytes(child.id())?;
        let (used_mb, limit_mb) = (used / 1_000_000, limit / 1_000_000);
        (used > limit).then(|| format!("uses {used_mb} MB of {limit_mb} MB and is killed for it"))
    }

    /// Returns the fields of the settings that the template names.
    fn fields(&self, machine: &Machine) -> BTreeMap<String, String> {
        let address = |port| machine.address(port).to_string();
        let fields: [(&str, String); 19] = [
            ("node", machine.name.clone()),
            ("zone", machine.zone.into()),
            ("service", machine.service.name.into()),
            ("app", address(8301)),
            ("ip", machine.ip.to_string()),
            ("listen.inbound", address(8300)),
            ("listen.ready", address(8302)),
            ("listen.outbound", address(8304)),
            ("listen.control", address(8306)),
            ("platform.address", self.store_address.to_string()),
            ("limits.link_mbps", "1000.0".into()),
            ("heartbeat_ms", "870".into()),
            ("bounds.max_hold_ms", "10000".into()),
            ("bounds.drain_ms", "2000".into()),
            ("bounds.grace_s", "6".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.budget_slack", "56".into()),
            ("bounds.budget_window_s", "10".into()),
            ("bounds.recovery_s", "15".into()),
        ];
        fields
            .into_iter()
            .map(|(name, value)| (name.into(), value))
            .collect()
    }
}

/// Asks an agent for its readiness every second, for as long as the program runs.
fn check_readiness(machine: &Machine) {
    loop {
        thread::sleep(READINESS_INTERVAL);
        let request = HttpMessage::request("GET", "/readiness").with("Host", "ready");
        let answer = call(machine.address(8302), &request, Duration::from_secs(1));
        let is_ready = answer.is_ok_and(|answer| answer.status() == 200);
        if is_ready {
            machine.misses.store(0, Ordering::SeqCst);
        } else {
            machine.misses.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Returns the resident memory of a process.
fn resident_bytes(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Reads the command of the role from the deploy file.
fn deploy_command() -> Result<Vec<String>> {
    let deploy = std::fs::read_to_string("deploy/system.toml")?;
    let mut lines = deploy.lines().filter_map(|line| line.split_once('='));
    let run = lines.find(|(name, _)| name.trim() == "run");
    let (_, command) = run.ok_or_else(|| Error::other("the deploy file has no command"))?;
    let words = command.trim().trim_matches('"').split(' ');
    Ok(words.map(String::from).collect())
}

/// Fills in the placeholders of a template.
fn render(template: &str, fields: &BTreeMap<String, String>) -> Result<String> {
    let mut settings = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after
            .split_once("}}")
            .ok_or_else(|| Error::other("an open placeholder"))?;
        let value = fields.get(name);
        let value = value.ok_or_else(|| Error::other(format!("unknown placeholder {name}")))?;
        settings.push_str(before);
        settings.push_str(value);
        rest = after;
    }
    settings.push_str(rest);
    Ok(settings)
}

fn ip_in(network: (u8, u8), host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, host))
}

/// Finds a loopback network on which the ports of all machines are free.
fn free_network(machines: usize) -> Result<(u8, u8)> {
    let pid = std::process::id();
    for attempt in 0..50_u32 {
        let network = (20 + (pid % 200) as u8, (pid / 200 + attempt) as u8);
        let is_free = |host: u8, port: u16| TcpListener::bind((ip_in(network, host), port)).is_ok();
        let are_free = (1..=machines as u8).all(|host| {
            [8300, 8301, 8302, 8304, 8306, 9464]
                .iter()
                .all(|port| is_free(host, *port))
        });
        if are_free && is_free(250, 8309) {
            return Ok(network);
        }
    }
    Err(Error::other("no free loopback network"))
}
