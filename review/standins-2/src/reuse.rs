//! Endpoints crash for good, and their addresses go to endpoints of another service.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use anyhow::Result;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_platform_standins::caller;
use jy_platform_standins::caller::CallerRequest;
use jy_platform_standins::operator;
use jy_platform_standins::operator::OperatorConfig;
use jy_platform_standins::operator::OperatorRoute;
use tokio::time::sleep;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointPlan;
use crate::endpoint::RunFn;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::InstancePlan;
use crate::record::RunRecord;

/// Time from the start of the machines to the first requests, in milliseconds, as in the site.
const LEAD_MS: u64 = 8_000;
/// Times of the crashes, from the start of traffic, in milliseconds, each with the index of the instance.
const CRASHES: [(u64, usize); 3] = [(5_000, 0), (15_300, 2), (25_600, 4)];
/// `reuse_delay_s` of the site, and some more, in milliseconds.
const REUSE_DELAY_MS: u64 = 2_500;
/// Length of the traffic, in milliseconds.
const LENGTH_MS: u64 = 36_000;
/// Time that a request takes, in milliseconds.
const WORK_MS: u64 = 10;
const REQUEST_INTERVAL_MS: u64 = 20;
const TIMEOUT_MS: u64 = 1_000;
const SERVICES: [(&str, bool); 2] = [("catalogue", false), ("registry", false)];
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];

/// What callers and endpoints share.
struct RunState {
    record: Rc<RunRecord>,
    /// The service of each machine.
    services: RefCell<Vec<&'static str>>,
    /// The service that the machine of each request had when the request was sent; `None` while it had none.
    sent: RefCell<BTreeMap<String, (usize, Option<&'static str>)>>,
    /// Whether each machine has an endpoint whose first liveness report the agent has acknowledged.
    is_settled: Vec<Cell<bool>>,
}

impl RunState {
    /// Judges a request that an endpoint runs.
    fn judge(&self, runner: &str, id: &str, stated: &str) {
        let sent = self.sent.borrow();
        let Some((machine, service)) = sent.get(id) else {
            let text = format!("UNASKED: {runner} runs request {id}, which nobody sent");
            self.record.violation(&text);
            return;
        };
        self.record.line(&format!(
            "{runner} runs {id} of machine {machine}, caller {stated}"
        ));
        if let Some(service) = service.filter(|service| *service != stated) {
            self.record.violation(&format!(
                "UNASKED: {runner} runs request {id} with X-Caller {stated}; it began on machine {machine}, whose \
                 service was {service} and whose agent had acknowledged the endpoint's liveness report"
            ));
        }
    }

    /// Sends requests from one machine.
    async fn send_requests(self: Rc<Self>, machine: usize, to: SocketAddr) {
        let pool = ConnectionPool::new();
        let options = SendOptions {
            connect_timeout_ms: TIMEOUT_MS,
            response_timeout_ms: TIMEOUT_MS,
            max_idle_ms: 5_000,
            max_bytes_per_ms: None,
        };
        for number in 0_u64.. {
            let id = format!("{machine:x}-{number:x}");
            let request = caller::request(CallerRequest {
                method: &Method::GET,
                host: HOST,
                path: "/read/x",
                id: &id,
                timeout_ms: TIMEOUT_MS,
                key: 0,
            });
            let service = self.services.borrow()[machine];
            let service = self.is_settled[machine].get().then_some(service);
            self.sent
                .borrow_mut()
                .insert(id.clone(), (machine, service));
            self.record.line(&format!(
                "machine {machine}, service {}: {id} sent",
                service.unwrap_or("changes")
            ));
            match pool.send(to, &request, None, options).await {
                Ok(response) => self
                    .record
                    .line(&format!("{id} answered {}", response.status.as_u16())),
                Err(error) => self.record.line(&format!("{id}: {error}")),
            }
            sleep(Duration::from_millis(REQUEST_INTERVAL_MS)).await;
        }
    }

    /// Returns the function that an endpoint calls for each request that it runs.
    fn on_run(self: &Rc<Self>, runner: &str) -> RunFn {
        let (state, runner) = (Rc::clone(self), runner.to_owned());
        Rc::new(move |id, stated| state.judge(&runner, id, stated))
    }
}

/// Runs the case.
///
/// # Errors
///
/// If it can't run.
pub async fn run(
    program: &Path,
    folder: &Path,
    record: Rc<RunRecord>,
    has_trouble: bool,
) -> Result<()> {
    let mut plans = Vec::new();
    for zone in ZONES {
        for (service, is_keyed) in SERVICES {
            plans.push(InstancePlan {
                service,
                is_keyed,
                zone,
            });
        }
    }
    let fleet = Fleet::create(program, folder, &plans).await?;
    let routes = [OperatorRoute {
        name: "read",
        is_idempotent: true,
        service: "registry",
    }];
    let config = OperatorConfig {
        version: 1,
        host: HOST,
        routes: &routes,
        services: &SERVICES,
    };
    operator::configure(&fleet.store, &config);
    let state = Rc::new(RunState {
        record: Rc::clone(&record),
        services: RefCell::new(plans.iter().map(|plan| plan.service).collect()),
        sent: RefCell::default(),
        is_settled: plans.iter().map(|_| Cell::new(true)).collect(),
    });
    let endpoint_plan = |index: usize, id: String, service| EndpointPlan {
        id,
        service,
        zone: plans[index].zone,
        address: fleet.instances[index].backend,
        agent: fleet.instances[index].announce,
        work_ms: WORK_MS,
    };
    let mut endpoints = Vec::new();
    for (index, plan) in plans.iter().enumerate() {
        fleet.start_agent(index)?;
        let id = format!("i-{}-{index}", plan.service);
        let on_run = state.on_run(&id);
        endpoints.push(Endpoint::start(endpoint_plan(index, id, plan.service), on_run).await?);
    }
    sleep(Duration::from_millis(LEAD_MS)).await;
    let traffic_at = clock::now();
    record.line("traffic starts");
    for (index, instance) in fleet.instances.iter().enumerate() {
        let state = Rc::clone(&state);
        actix_rt::spawn(state.send_requests(index, instance.caller));
    }
    let sleep_until = |at| {
        sleep(Duration::from_millis(
            traffic_at.plus(at).since(clock::now()),
        ))
    };
    for (at_ms, index) in CRASHES.iter().filter(|_| has_trouble) {
        sleep_until(*at_ms).await;
        record.line(&format!(
            "disruption: the catalogue endpoint of machine {index} crashes for good"
        ));
        state.is_settled[*index].set(false);
        endpoints[*index].crash();
        sleep_until(at_ms + REUSE_DELAY_MS).await;
        record.line(&format!(
            "disruption: the address goes to a registry endpoint; the settings of machine {index} say so"
        ));
        state.services.borrow_mut()[*index] = "registry";
        fleet.instances[*index].write_settings_with(fleet.store_link_of(*index), "registry")?;
        let id = format!("i-registry-{index}-2");
        let on_run = state.on_run(&id);
        let started = Endpoint::start(endpoint_plan(*index, id, "registry"), on_run).await?;
        while started.acknowledged() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        record.line(&format!(
            "machine {index}: the agent has acknowledged the first liveness report of the registry endpoint"
        ));
        state.is_settled[*index].set(true);
        endpoints[*index] = started;
    }
    sleep_until(LENGTH_MS).await;
    for index in 0..fleet.instances.len() {
        anyhow::ensure!(fleet.is_running(index), "an agent has ended by itself");
    }
    Ok(())
}
