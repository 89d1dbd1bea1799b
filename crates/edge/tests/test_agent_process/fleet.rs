//! Agents as processes of their own, with a store, a backend server and callers that the test controls.
//!
//! The first agent has no backend server, so that what its callers send goes to the second one, whose backend server
//! the test plays.

use std::cell::Cell;
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
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use jy_http::client::ExchangeError;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_platform_standins::announce;
use jy_platform_standins::announce::AnnouncedBackend;
use jy_platform_standins::announce::keep_announcing;
use jy_platform_standins::operator;
use jy_platform_standins::operator::OperatorConfig;
use jy_platform_standins::operator::OperatorLimits;
use jy_platform_standins::operator::OperatorRoute;
use jy_platform_standins::store::StandinStore;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Path of a request that the backend server answers as it should. Requests to all other paths are served by the test.
pub const GOOD_PATH: &str = "/safe/good";
/// Id of the backend server.
const BACKEND_ID: &str = "i-1";
/// Host of all routes.
pub const HOST: &str = "h.example";
/// Service of the second agent's backend server; that of the first one's is `front` at the start.
const SERVICE: &str = "s";
const ANNOUNCE_INTERVAL_MS: u64 = 200;
/// Time limit of all routes, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 4_000;
/// Time from SIGTERM to SIGKILL, in seconds.
pub const GRACE_S: u64 = 6;
/// Memory that an agent may use, in megabytes and in kilobytes.
const MEMORY_MB: u64 = 160;
pub const MEMORY_KB: u64 = MEMORY_MB * 1_000;
/// Time for the agents to serve the first request, in milliseconds.
const START_MS: u64 = 20_000;
const POLL_MS: u64 = 50;

/// Number of fleets that this process has started, so that each has addresses of its own.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Serves one connection of the backend server. Gets the head of its first request, and the stream behind that head.
pub type ServeFn = Rc<dyn Fn(TcpStream, String) -> LocalBoxFuture<'static, ()>>;

/// An agent process.
pub struct AgentProcess {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other agents.
    pub gate: SocketAddr,
    /// Address for the announcements of the backend server.
    pub announce: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    settings_path: PathBuf,
    process: RefCell<Child>,
    log_path: PathBuf,
}

impl AgentProcess {
    /// Sends a signal.
    ///
    /// # Panics
    ///
    /// Panics if it can't be sent.
    pub fn signal(&self, signal: Signal) {
        let id = self.process.borrow().id();
        let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("the process has an id"), signal).expect("failed to signal");
    }

    /// Kills the process and starts another one in its place.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn restart(&self) {
        let mut process = self.process.borrow_mut();
        process.kill().expect("failed to kill the agent");
        process.wait().expect("failed to await the agent's end");
        *process = spawn_agent(&self.settings_path, &self.log_path);
    }

    /// Whether the process runs.
    ///
    /// # Panics
    ///
    /// Panics if its state can't be read.
    pub fn is_running(&self) -> bool {
        let state = self.process.borrow_mut().try_wait();
        state.expect("failed to read the state").is_none()
    }

    /// Returns the largest resident memory so far, in kilobytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.borrow().id());
        let text = std::fs::read_to_string(path).expect("failed to read the state");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        let number = number.and_then(|number| number.parse().ok());
        number.expect("the process has ended")
    }

    /// Sends a report of the backend server until the agent, which may have just been started, acknowledges it.
    ///
    /// # Panics
    ///
    /// Panics if it does not in time.
    pub async fn report(&self, report: &HttpRequest) {
        let pool = ConnectionPool::new();
        let deadline = clock::now().plus(START_MS);
        while !announce::send(&pool, self.announce, report).await {
            assert!(clock::now() < deadline, "no answer:\n{}", self.log());
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Writes another service and address of the backend server into the settings file.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be read or written.
    pub fn set_backend(&self, service: &str, address: SocketAddr) {
        let text =
            std::fs::read_to_string(&self.settings_path).expect("failed to read the settings");
        let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
        settings["service"] = service.into();
        settings["backend"] = address.to_string().into();
        let next_path = self.settings_path.with_extension("next");
        std::fs::write(&next_path, settings.to_string()).expect("failed to write the settings");
        std::fs::rename(&next_path, &self.settings_path).expect("failed to replace the settings");
    }

    /// Returns the log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the last lines of the log, at most `count`.
    pub fn last_log_lines(&self, count: usize) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(count)..].join("\n")
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let mut process = self.process.borrow_mut();
        // The process may have exited already, so errors are ignored.
        let _is_killed = process.kill().is_ok();
        let _is_reaped = process.wait().is_ok();
    }
}

/// A store, two agents and the backend server of the second one.
pub struct AgentFleet {
    /// The agents.
    pub agents: [AgentProcess; 2],
    /// Heads of the requests that the backend server got.
    pub requests: Rc<RefCell<Vec<String>>>,
    _store: Rc<StandinStore>,
    next_id: Cell<u64>,
}

impl AgentFleet {
    /// Starts a fleet whose backend server is played by `serve`, and waits until it serves requests.
    ///
    /// # Panics
    ///
    /// Panics if the fleet can't be started.
    pub async fn start(serve: ServeFn) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = |host: u8| IpAddr::V4(Ipv4Addr::new(127, 100 + number * 3 + host, high, low));
        let store_address = SocketAddr::new(ip(2), 7_300);
        let store = StandinStore::serve(store_address)
            .await
            .expect("failed to start the store");
        let routes = [
            ("safe", true, SERVICE),
            ("once", false, SERVICE),
            ("front", true, "front"),
        ];
        let routes = routes.map(|(name, is_idempotent, service)| OperatorRoute {
            name,
            is_idempotent,
            service,
        });
        let config = OperatorConfig {
            version: 1,
            host: HOST,
            routes: &routes,
            services: &[("front", false), ("back", false), (SERVICE, false)],
        };
        let limits = OperatorLimits {
            timeout_ms: ROUTE_TIMEOUT_MS,
            max_body_bytes: 16 * 1024 * 1024,
            read_timeout_ms: 5_000,
        };
        operator::configure_with_limits(&store, &config, limits);
        let folder = std::env::temp_dir().join(format!("jyedge-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("failed to create the folder");
        let services = ["front", SERVICE];
        let agents = [0_u8, 1].map(|host| {
            let service = services[usize::from(host)];
            start_agent(ip(host), service, store_address, &folder)
        });
        let requests = Rc::new(RefCell::new(Vec::new()));
        let backend = SocketAddr::new(ip(1), 7_200);
        let listener = TcpListener::bind(backend)
            .await
            .expect("failed to bind the backend server");
        actix_rt::spawn(accept(listener, serve, Rc::clone(&requests)));
        let announced = AnnouncedBackend {
            id: BACKEND_ID.into(),
            service: SERVICE.into(),
            address: backend,
        };
        let agent = SocketAddr::new(ip(1), 7_102);
        actix_rt::spawn(keep_announcing(announced, agent));
        let fleet = Self {
            agents,
            requests,
            _store: store,
            next_id: Cell::new(0),
        };
        fleet.wait_until_ready().await;
        fleet
    }

    /// Waits until both agents serve requests.
    ///
    /// # Panics
    ///
    /// Panics if they don't in time.
    async fn wait_until_ready(&self) {
        let deadline = clock::now().plus(START_MS);
        for agent in &self.agents {
            loop {
                let result = self.send(agent, GOOD_PATH, Bytes::new()).await;
                if result.is_ok_and(|response| response.status == StatusCode::OK) {
                    break;
                }
                assert!(clock::now() < deadline, "not ready:\n{}", agent.log());
                sleep(Duration::from_millis(POLL_MS)).await;
            }
        }
        self.requests.borrow_mut().clear();
    }

    /// Returns the id of the next request.
    pub fn next_id(&self) -> String {
        self.next_id.set(self.next_id.get() + 1);
        format!("r-{}", self.next_id.get())
    }

    /// Sends a caller's request on a new connection.
    ///
    /// # Errors
    ///
    /// The error of the exchange.
    pub async fn send(
        &self,
        agent: &AgentProcess,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, ExchangeError> {
        let method = if body.is_empty() {
            Method::GET
        } else {
            Method::POST
        };
        let request = HttpRequest::new(method, path)
            .with_header("host", HOST)
            .with_header("x-request-id", &self.next_id())
            .with_header("x-deadline-ms", &ROUTE_TIMEOUT_MS.to_string())
            .with_body(body);
        let options = SendOptions {
            connect_timeout_ms: 1_000,
            response_timeout_ms: ROUTE_TIMEOUT_MS + 2_000,
            max_idle_ms: 0,
            max_bytes_per_ms: None,
        };
        ConnectionPool::new()
            .send(agent.caller, &request, None, options)
            .await
    }
}

/// Starts an agent that listens on `ip`.
///
/// # Panics
///
/// Panics if it can't be started.
fn start_agent(ip: IpAddr, service: &str, store: SocketAddr, folder: &Path) -> AgentProcess {
    let address = |port: u16| SocketAddr::new(ip, port);
    let settings = json!({
        "name": format!("n-{service}"),
        "zone": "z",
        "service": service,
        "backend": address(7_200).to_string(),
        "listen": {
            "caller": address(7_100).to_string(),
            "ready": address(7_101).to_string(),
            "announce": address(7_102).to_string(),
            "gate": address(7_103).to_string(),
            "metrics": address(7_104).to_string(),
        },
        "store": store.to_string(),
        "memory_mb": MEMORY_MB,
        "bounds": {
            "announce_every_ms": ANNOUNCE_INTERVAL_MS,
            "longest_grant_ms": 10_000,
            "grace_s": GRACE_S,
            "retry_ratio": 0.2,
            "retry_slack": 1_000,
            "retry_window_s": 10,
        },
    });
    let settings_path = folder.join(format!("{service}.jsonc"));
    std::fs::write(&settings_path, settings.to_string()).expect("failed to write the settings");
    let log_path = folder.join(format!("{service}.log"));
    File::create(&log_path).expect("failed to create the log");
    let process = spawn_agent(&settings_path, &log_path);
    AgentProcess {
        caller: address(7_100),
        gate: address(7_103),
        announce: address(7_102),
        backend: address(7_200),
        settings_path,
        process: RefCell::new(process),
        log_path,
    }
}

/// Starts an agent process that adds to the log.
///
/// # Panics
///
/// Panics if it can't be started.
fn spawn_agent(settings_path: &Path, log_path: &Path) -> Child {
    let log = File::options().append(true).open(log_path);
    let log = log.expect("failed to open the log");
    let error_log = log.try_clone().expect("failed to share the log");
    Command::new(env!("CARGO_BIN_EXE_jyedge"))
        .arg("--config")
        .arg(settings_path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(error_log)
        .spawn()
        .expect("failed to start the agent")
}

/// Accepts the connections of the backend server. Answers good requests and status checks itself.
async fn accept(listener: TcpListener, serve: ServeFn, requests: Rc<RefCell<Vec<String>>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (serve, requests) = (Rc::clone(&serve), Rc::clone(&requests));
        actix_rt::spawn(async move {
            let Some(head) = read_head(&mut stream).await else {
                return;
            };
            let path = head.split(' ').nth(1).unwrap_or_default();
            if path != GOOD_PATH && path != "/health" {
                requests.borrow_mut().push(head.clone());
                serve(stream, head).await;
                return;
            }
            let response = whole_response(&head);
            // The agent may have closed the connection.
            let _written = stream.write_all(response.as_bytes()).await;
        });
    }
}

/// Reads the head of a request, or returns `None` if the connection ends before.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0_u8; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Returns the id of the request with this head.
pub fn request_id(head: &str) -> &str {
    let id = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("x-request-id").then_some(value)
    });
    id.unwrap_or_default()
}

/// Returns the headers with which a backend server signs its response to the request with this head.
pub fn signature(head: &str) -> String {
    announce::signature(request_id(head), BACKEND_ID)
}

/// Returns the response of a backend server without a fault.
pub fn whole_response(head: &str) -> String {
    let signature = signature(head);
    format!("HTTP/1.1 200 OK\r\n{signature}connection: close\r\ncontent-length: 5\r\n\r\nwhole")
}
