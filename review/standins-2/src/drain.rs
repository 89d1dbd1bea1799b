//! An endpoint leaves just after its agent was killed and started again, and an earlier report of it arrives late.

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
use jy_types::time::Millis;
use tokio::time::sleep;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointPlan;
use crate::endpoint::RunFn;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::InstancePlan;
use crate::record::RunRecord;

/// `drain_ms` of the site.
const DRAIN_MS: u64 = 2_000;
/// `contact_ms` of the site.
const CONTACT_MS: u64 = 3_000;
/// Allowance for the delay of this program, in milliseconds.
const SLACK_MS: u64 = 100;
/// Time from the start of the machines to the first requests, in milliseconds, as in the site.
const LEAD_MS: u64 = 8_000;
/// Time of the kill, from the start of traffic, in milliseconds, and the time until the process starts again.
const KILL_AT_MS: u64 = 4_000;
const RESTART_MS: u64 = 500;
/// Delay of the last report before the endpoint leaves, in milliseconds.
const REPORT_DELAY_MS: u64 = 5_000;
/// How long the endpoint serves after the acknowledgement, in milliseconds.
const SERVE_ON_MS: u64 = 8_000;
/// Time that a request takes, in milliseconds, about that of `batch-register`.
const WORK_MS: u64 = 100;
const REQUEST_INTERVAL_MS: u64 = 30;
const TIMEOUT_MS: u64 = 1_000;
const SERVICES: [(&str, bool); 2] = [("catalogue", false), ("registry", false)];
const ZONES: [&str; 3] = ["kgn-a", "kgn-b", "kgn-c"];
/// The instance whose endpoint leaves.
const LEAVING: usize = 1;

/// What callers and endpoints share.
struct RunState {
    record: Rc<RunRecord>,
    /// When each request was sent.
    sent: RefCell<BTreeMap<String, Millis>>,
    acknowledged_at: Cell<Option<Millis>>,
    /// When the last disruption of a machine ended.
    started_again_at: Cell<Millis>,
}

impl RunState {
    /// Judges a request that an endpoint runs.
    fn judge(&self, runner: &str, is_leaving: bool, id: &str) {
        self.record.line(&format!("{runner} runs {id}"));
        let Some(acknowledged_at) = self.acknowledged_at.get().filter(|_| is_leaving) else {
            return;
        };
        let now = clock::now();
        let since = now.since(acknowledged_at);
        let sent_at = self.sent.borrow().get(id).copied().unwrap_or_default();
        let is_in_touch = sent_at >= self.started_again_at.get().plus(CONTACT_MS + SLACK_MS);
        if since > DRAIN_MS + SLACK_MS && is_in_touch {
            self.record.violation(&format!(
                "DRAIN: request {id} reaches {runner} {since} ms after its agent acknowledged that it is gone"
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
                method: &Method::POST,
                host: HOST,
                path: "/order/x",
                id: &id,
                timeout_ms: TIMEOUT_MS,
                key: 0,
            });
            self.sent.borrow_mut().insert(id.clone(), clock::now());
            self.record.line(&format!("machine {machine}: {id} sent"));
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
    fn on_run(self: &Rc<Self>, runner: &str, is_leaving: bool) -> RunFn {
        let (state, runner) = (Rc::clone(self), runner.to_owned());
        Rc::new(move |id, _| state.judge(&runner, is_leaving, id))
    }
}

/// Runs the case. Without the disruption no agent is killed; the endpoint leaves and its report is late all the same.
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
        name: "order",
        is_idempotent: false,
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
        sent: RefCell::default(),
        acknowledged_at: Cell::new(None),
        started_again_at: Cell::default(),
    });
    let mut endpoints = Vec::new();
    for (index, plan) in plans.iter().enumerate() {
        fleet.start_agent(index)?;
        let id = format!("i-{}-{index}", plan.service);
        let on_run = state.on_run(&id, index == LEAVING);
        let plan = EndpointPlan {
            id,
            service: plan.service,
            zone: plan.zone,
            address: fleet.instances[index].backend,
            agent: fleet.instances[index].announce,
            work_ms: WORK_MS,
        };
        endpoints.push(Endpoint::start(plan, on_run).await?);
    }
    sleep(Duration::from_millis(LEAD_MS)).await;
    record.line("traffic starts");
    for (index, instance) in fleet.instances.iter().enumerate() {
        let state = Rc::clone(&state);
        actix_rt::spawn(state.send_requests(index, instance.caller));
    }
    sleep(Duration::from_millis(KILL_AT_MS)).await;
    let leaving = &endpoints[LEAVING];
    if has_trouble {
        fleet.kill_agent(LEAVING)?;
        record.line(&format!(
            "disruption: the agent of machine {LEAVING} is killed"
        ));
        sleep(Duration::from_millis(RESTART_MS)).await;
    }
    leaving.delay_next_report(REPORT_DELAY_MS);
    if has_trouble {
        fleet.start_agent(LEAVING)?;
        state.started_again_at.set(clock::now());
        record.line(&format!("the agent of machine {LEAVING} starts again"));
    }
    while leaving.has_delay_pending() {
        sleep(Duration::from_millis(5)).await;
    }
    record.line("the endpoint sends a liveness report, which arrives 5 s late");
    sleep(Duration::from_millis(100)).await;
    let is_acknowledged = leaving.leave().await;
    anyhow::ensure!(is_acknowledged, "DELETE was not acknowledged");
    state.acknowledged_at.set(Some(clock::now()));
    record.line("the endpoint has sent DELETE, and its agent has acknowledged it; it serves on");
    sleep(Duration::from_millis(SERVE_ON_MS)).await;
    leaving.crash();
    record.line("the endpoint has exited");
    sleep(Duration::from_millis(1_000)).await;
    for index in 0..fleet.instances.len() {
        anyhow::ensure!(fleet.is_running(index), "an agent has ended by itself");
    }
    Ok(())
}
