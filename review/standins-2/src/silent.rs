//! Open connections to the store go silent for good, and the configuration changes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use anyhow::Result;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_platform_standins::caller;
use jy_platform_standins::caller::CallerRequest;
use jy_platform_standins::invariants::InvariantChecker;
use jy_platform_standins::operator;
use jy_platform_standins::operator::OperatorConfig;
use jy_platform_standins::operator::OperatorRoute;
use jy_types::time::Millis;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::InstancePlan;
use crate::record::RunRecord;

/// `config_apply_ms` of the site.
const CONFIG_APPLY_MS: u64 = 2_000;
/// `contact_ms` of the site.
const CONTACT_MS: u64 = 3_000;
/// Allowance for the resolution of the record's clock and the delay of this program, in milliseconds.
const SLACK_MS: u64 = 100;
/// Time from the start of the machines to the first requests, in milliseconds, as in the site.
const LEAD_MS: u64 = 8_000;
/// Times of the silences, from the start of traffic, in milliseconds.
const SILENCES_MS: [u64; 5] = [6_000, 17_000, 29_000, 41_500, 53_500];
/// Time from a silence to the change of the configuration, in milliseconds.
const CHANGE_DELAY_MS: u64 = 900;
/// Length of the traffic, in milliseconds.
const LENGTH_MS: u64 = 62_000;
const REQUEST_INTERVAL_MS: u64 = 50;
const TIMEOUT_MS: u64 = 1_000;
const SERVICES: [(&str, bool); 3] = [
    ("catalogue", false),
    ("registry", false),
    ("verifier", true),
];
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];

/// A version of the configuration: when the store acknowledged it, and the service of the route that it moves.
#[derive(Clone, Copy)]
struct AckedVersion {
    version: u64,
    acked_at: Millis,
    service: &'static str,
}

/// What callers and the operator share.
struct RunState {
    record: Rc<RunRecord>,
    versions: RefCell<Vec<AckedVersion>>,
    silenced_at: RefCell<Vec<Millis>>,
}

impl RunState {
    /// Writes a version of the configuration in which the route `move` leads to `service`.
    fn configure(&self, fleet: &Fleet, version: u64, service: &'static str) {
        let route = |name, service| OperatorRoute {
            name,
            is_idempotent: true,
            service,
        };
        let routes = [route("move", service), route("keyed", "verifier")];
        let config = OperatorConfig {
            version,
            host: HOST,
            routes: &routes,
            services: &SERVICES,
        };
        operator::configure(&fleet.store, &config);
        let acked_at = clock::now();
        self.versions.borrow_mut().push(AckedVersion {
            version,
            acked_at,
            service,
        });
        self.record.line(&format!(
            "operator: r{version} acknowledged, route move leads to {service}"
        ));
    }

    /// Judges an answer to a request that was sent at `sent_at` and ran at `service`.
    fn judge(&self, agent: &str, id: &str, sent_at: Millis, service: &str) {
        let now = clock::now();
        let silenced_at = self.silenced_at.borrow();
        let is_in_touch = silenced_at
            .iter()
            .all(|at| now < *at || sent_at >= at.plus(CONTACT_MS + SLACK_MS));
        let versions = self.versions.borrow();
        let is_bound =
            |version: &&AckedVersion| version.acked_at.plus(CONFIG_APPLY_MS + SLACK_MS) <= sent_at;
        let Some(oldest) = versions.iter().filter(is_bound).map(|v| v.version).max() else {
            return;
        };
        let allowed = versions
            .iter()
            .filter(|version| version.version >= oldest)
            .any(|version| version.service == service);
        if is_in_touch && !allowed {
            let latest = silenced_at.iter().filter(|at| **at <= sent_at).max();
            let since = latest.map_or(0, |at| sent_at.since(*at));
            let acked = versions.iter().find(|version| version.version == oldest);
            let ack_age = acked.map_or(0, |version| sent_at.since(version.acked_at));
            self.record.violation(&format!(
                "CONFIG: request {id}, sent to {agent} {ack_age} ms after the ack of r{oldest} and {since} ms \
                 after the last disruption, was run by {service}, as only an older version allows"
            ));
        }
    }

    /// Sends requests on the moved route to one agent.
    async fn send_requests(self: Rc<Self>, index: usize, name: String, to: std::net::SocketAddr) {
        let pool = ConnectionPool::new();
        let options = SendOptions {
            connect_timeout_ms: TIMEOUT_MS,
            response_timeout_ms: TIMEOUT_MS,
            max_idle_ms: 5_000,
            max_bytes_per_ms: None,
        };
        for number in 0_u64.. {
            let id = format!("{index:x}-{number:x}");
            let request = caller::request(CallerRequest {
                method: &Method::GET,
                host: HOST,
                path: "/move/x",
                id: &id,
                timeout_ms: TIMEOUT_MS,
                key: 0,
            });
            let sent_at = clock::now();
            let sent_ms = self.record.at_ms(sent_at);
            match pool.send(to, &request, None, options).await {
                Ok(response) => {
                    let seal = caller::signed_by(&response).unwrap_or("none");
                    let service = seal.split('-').nth(1).unwrap_or("none");
                    let status = response.status.as_u16();
                    self.record.line(&format!(
                        "{name}: {id} sent at {sent_ms} ms, answered {status}, run by {service}"
                    ));
                    if response.status.is_success() {
                        self.judge(&name, &id, sent_at, service);
                    }
                }
                Err(error) => self
                    .record
                    .line(&format!("{name}: {id} sent at {sent_ms} ms: {error}")),
            }
            sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
        }
    }
}

/// Runs the case.
///
/// # Errors
///
/// If it can't run.
pub async fn run(
    program: &std::path::Path,
    folder: &std::path::Path,
    record: Rc<RunRecord>,
    has_trouble: bool,
) -> Result<()> {
    let plans: Vec<InstancePlan> = ZONES
        .iter()
        .flat_map(|zone| {
            SERVICES.iter().map(|(service, is_keyed)| InstancePlan {
                service,
                is_keyed: *is_keyed,
                zone,
            })
        })
        .collect();
    let fleet = Fleet::create(program, folder, &plans).await?;
    let state = Rc::new(RunState {
        record: Rc::clone(&record),
        versions: RefCell::default(),
        silenced_at: RefCell::default(),
    });
    state.configure(&fleet, 1, "catalogue");
    let invariants = Rc::new(InvariantChecker::new());
    let mut backends = Vec::new();
    for index in 0..fleet.instances.len() {
        fleet.start_agent(index)?;
        backends.push(fleet.start_backend(index, 20, &invariants).await?);
    }
    sleep(Duration::from_millis(LEAD_MS)).await;
    let traffic_at = clock::now();
    record.line("traffic starts");
    for (index, instance) in fleet.instances.iter().enumerate() {
        let state = Rc::clone(&state);
        actix_rt::spawn(state.send_requests(index, instance.name.clone(), instance.caller));
    }
    let sleep_until = |at: Millis| sleep(Duration::from_millis(at.since(clock::now())));
    for (round, at_ms) in SILENCES_MS.iter().enumerate() {
        sleep_until(traffic_at.plus(*at_ms)).await;
        if has_trouble {
            for instance in &fleet.instances {
                instance.store_link.silence_open_connections();
            }
            state.silenced_at.borrow_mut().push(clock::now());
            record.line("disruption: all open connections to the store go silent; new ones work");
        }
        sleep_until(traffic_at.plus(at_ms + CHANGE_DELAY_MS)).await;
        let service = ["registry", "catalogue"][round % 2];
        state.configure(&fleet, round as u64 + 2, service);
    }
    sleep_until(traffic_at.plus(LENGTH_MS)).await;
    for index in 0..fleet.instances.len() {
        anyhow::ensure!(fleet.is_running(index), "an agent has ended by itself");
    }
    for backend in &backends {
        backend.crash();
    }
    Ok(())
}
