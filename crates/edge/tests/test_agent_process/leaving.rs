//! What a backend server gets once its agent has acknowledged that it leaves, when its reports arrive late and the agent is
//! killed and started again.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_text;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use jy_platform_standins::announce;
use jy_platform_standins::announce::AnnouncedBackend;
use jy_types::name::Name;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use crate::fleet::AgentFleet;
use crate::fleet::ServeFn;
use crate::fleet::whole_response;

/// Size and time limits on the requests to the backend server.
const READ_LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 16 * 1024,
    read_ms: 5_000,
    idle_ms: 5_000,
};
/// Path of requests to the first agent's backend server.
const PATH: &str = "/front/x";
/// Time after an acknowledged leaving at which no request is sent any more, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time for both agents to know a backend server, in milliseconds.
const SPREAD_MS: u64 = 400;
/// Time between two events, in milliseconds, so that they differ on the wall clock.
const STEP_MS: u64 = 20;
/// Number of requests that are sent once the backend server has left, and the time between them in milliseconds.
const REQUESTS: u64 = 8;
const INTERVAL_MS: u64 = 25;

/// How a backend server leaves, and what its agent knows and does meanwhile.
#[derive(Clone, Copy, Debug)]
struct LeavingCase {
    /// Whether this run of the agent has heard of the backend server before.
    is_known: bool,
    /// Whether an earlier run of the agent has.
    was_known: bool,
    /// Whether this run of the agent knows another, earlier backend server.
    knows_earlier: bool,
    /// Whether the backend server reports its end without having announced that it leaves.
    is_end: bool,
    /// Whether the agent is killed and started again once it has acknowledged the leaving.
    is_restarted_after: bool,
    /// Whether the next backend server has the same id.
    is_id_kept: bool,
}

/// The first agent with a backend server that the test controls.
struct FrontBackend {
    fleet: AgentFleet,
    /// Ids of the backend servers that the requests expected.
    expected: Rc<RefCell<Vec<String>>>,
}

impl FrontBackend {
    /// Starts a fleet and the backend server.
    ///
    /// # Panics
    ///
    /// Panics if they can't be started.
    async fn start() -> Self {
        let serve: ServeFn = Rc::new(|mut stream, head| {
            Box::pin(async move {
                // The agent may have closed the connection.
                let _written = stream.write_all(whole_response(&head).as_bytes()).await;
            })
        });
        let fleet = AgentFleet::start(serve).await;
        let expected: Rc<RefCell<Vec<String>>> = Rc::default();
        let seen = Rc::clone(&expected);
        let listener = HttpListener::new(
            Rc::new(move |request, _| {
                let response = answer(&seen, &request);
                Box::pin(async move { response })
            }),
            Rc::new(|| READ_LIMITS),
        );
        let address = fleet.agents[0].backend;
        listener.serve(address).await.expect("failed to bind");
        Self { fleet, expected }
    }

    /// Returns the backend server `id`.
    fn backend(&self, id: &str) -> AnnouncedBackend {
        AnnouncedBackend {
            id: id.into(),
            service: "front".into(),
            address: self.fleet.agents[0].backend,
        }
    }

    /// Returns an announcement of the backend server `id`, which started at `started_at`.
    fn announcement(&self, id: &str, started_at: u64, sequence: u64) -> HttpRequest {
        announce::announcement(&self.backend(id), started_at, sequence)
    }

    /// Sends requests of both agents. Returns the ids that were expected of the backend server.
    async fn use_backend(&self) -> Vec<String> {
        self.expected.take();
        for _ in 0..REQUESTS {
            for agent in &self.fleet.agents {
                // An agent that knows no backend server refuses the request.
                let _result = self.fleet.send(agent, PATH, Bytes::new()).await;
            }
            sleep(Duration::from_millis(INTERVAL_MS)).await;
        }
        self.expected.take()
    }

    /// Plays a case with the backend server `id`. Returns the ids that requests expected of the backend server once a late
    /// announcement of the one that left has arrived, and once the next one has announced itself.
    async fn play(&self, id: &str, case: LeavingCase) -> (Vec<String>, Vec<String>) {
        let agent = &self.fleet.agents[0];
        if case.knows_earlier {
            let earlier = self.announcement(&format!("{id}-earlier"), clock::wall_now().0, 1);
            agent.report(&earlier).await;
        }
        step().await;
        let started_at = clock::wall_now().0;
        if case.was_known {
            agent.report(&self.announcement(id, started_at, 1)).await;
            sleep(Duration::from_millis(SPREAD_MS)).await;
        }
        if !case.is_known && !case.knows_earlier {
            agent.restart();
        }
        if case.is_known {
            agent.report(&self.announcement(id, started_at, 2)).await;
        }
        step().await;
        let leaving = if case.is_end {
            announce::end_report(id)
        } else {
            announce::leaving_announcement(&self.backend(id), started_at, 9)
        };
        agent.report(&leaving).await;
        let drained_at = clock::now().plus(DRAIN_MS);
        if case.is_restarted_after {
            agent.restart();
        }
        agent.report(&self.announcement(id, started_at, 5)).await;
        sleep(Duration::from_millis(drained_at.since(clock::now()))).await;
        let after_leaving = self.use_backend().await;
        let next_id = if case.is_id_kept {
            id.to_owned()
        } else {
            format!("{id}-next")
        };
        let next = self.announcement(&next_id, clock::wall_now().0, 1);
        agent.report(&next).await;
        sleep(Duration::from_millis(SPREAD_MS)).await;
        (after_leaving, self.use_backend().await)
    }
}

/// Waits until the wall clock has advanced.
async fn step() {
    sleep(Duration::from_millis(STEP_MS)).await;
}

/// Answers a request as the backend server that it expects, whose id is kept in `expected`.
fn answer(expected: &RefCell<Vec<String>>, request: &HttpRequest) -> HttpResponse {
    let text = |name: &str| header_text(&request.headers, name).unwrap_or_default();
    let id: Name = text("x-expect-instance").into();
    if request.path() != "/health" {
        expected.borrow_mut().push(id.to_string());
    }
    HttpResponse::new(StatusCode::OK, "whole")
        .with_header("x-request-id", text("x-request-id"))
        .with_header("x-response-seal", "s")
        .with_header("x-instance-id", &id)
}

/// Returns the cases of one kind of report, with or without a restart of the agent after it.
fn cases(is_end: bool, is_restarted_after: bool) -> [LeavingCase; 4] {
    let known = [
        (true, true, false),
        (false, true, false),
        (false, false, false),
        (false, false, true),
    ];
    known.map(|(is_known, was_known, knows_earlier)| LeavingCase {
        is_known,
        was_known,
        knows_earlier,
        is_end,
        is_restarted_after,
        is_id_kept: is_known != was_known || is_restarted_after,
    })
}

/// Plays cases one after the other.
///
/// # Panics
///
/// Panics if the fleet can't be started.
async fn play_all(cases: [LeavingCase; 4]) {
    let backend = FrontBackend::start().await;
    for (number, case) in cases.into_iter().enumerate() {
        let (after_leaving, next) = backend.play(&format!("i-{number}"), case).await;
        expect_that!(after_leaving, is_empty(), "{case:?}");
        expect_that!(next, not(is_empty()), "not used: {case:?}");
    }
}

/// Guards against a backend server that is used after its agent acknowledged that it leaves: the agent knew nothing of it
/// then, or was killed and started again since, and an announcement arrives late.
#[gtest]
fn leaving_late_announcement_does_not_bring_back() {
    let kinds = [(false, false), (false, true), (true, false), (true, true)];
    actix_rt::System::new().block_on(async {
        let running = kinds.map(|(is_end, is_restarted)| play_all(cases(is_end, is_restarted)));
        join_all(running).await;
    });
}
