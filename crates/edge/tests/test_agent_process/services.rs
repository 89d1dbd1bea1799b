//! Which service agents state for the requests of their instance, when the backend server there is replaced by one of
//! another service.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_platform_standins::announce;
use jy_platform_standins::announce::AnnouncedBackend;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::fleet::AgentFleet;
use crate::fleet::HOST;
use crate::fleet::ServeFn;
use crate::fleet::whole_response;

/// Services that the backend server of the first instance has in turn.
const SERVICES: [&str; 2] = ["back", "front"];
/// Number of replacements, and the time between them in milliseconds. They fall on different points of a second.
const REPLACEMENTS: u64 = 8;
const INTERVAL_MS: u64 = 430;
/// Number of requests after each replacement.
const REQUESTS: u64 = 4;
/// Time limit for the response to an upload.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Starts a fleet whose backend server answers everything. Returns it with the services that requests stated.
///
/// # Panics
///
/// Panics if the fleet can't be started.
async fn start_fleet() -> (AgentFleet, Rc<RefCell<Vec<String>>>) {
    let stated = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&stated);
    let serve: ServeFn = Rc::new(move |mut stream, head| {
        let mut lines = head.lines();
        let caller = lines.find_map(|line| line.strip_prefix("x-caller: "));
        seen.borrow_mut()
            .push(caller.unwrap_or_default().to_owned());
        Box::pin(async move {
            // The agent may have closed the connection.
            let _written = stream.write_all(whole_response(&head).as_bytes()).await;
        })
    });
    (AgentFleet::start(serve).await, stated)
}

/// Sends requests to the first agent, and expects that all state `service`.
async fn expect_origin(fleet: &AgentFleet, stated: &RefCell<Vec<String>>, service: &str) {
    for _ in 0..REQUESTS {
        let result = fleet.send(&fleet.agents[0], "/safe/x", Bytes::new()).await;
        expect_that!(result.is_ok(), eq(true), "{service}");
    }
    let services = stated.take();
    let is_stated = services.iter().all(|stated| stated == service);
    expect_that!(is_stated, eq(true), "{service}: {services:?}");
    expect_that!(services.len() as u64, ge(REQUESTS));
}

/// Guards against requests that state the service of a backend server that is gone: its address went to another service,
/// the agent had acknowledged that one's first announcement, and stated the former service until it next read its settings.
#[gtest]
fn origin_replaced_backend_is_stated_from_its_first_acknowledgement() {
    actix_rt::System::new().block_on(async {
        let (fleet, stated) = start_fleet().await;
        let agent = &fleet.agents[0];
        for number in 0..REPLACEMENTS {
            let service = SERVICES[number as usize % SERVICES.len()];
            agent.set_backend(service, agent.backend);
            let backend = AnnouncedBackend {
                id: format!("i-0-{number}").into(),
                service: service.into(),
                address: agent.backend,
            };
            let request = announce::announcement(&backend, clock::wall_now().0, 1);
            agent.report(&request).await;
            expect_origin(&fleet, &stated, service).await;
            sleep(Duration::from_millis(INTERVAL_MS)).await;
        }
    });
}

/// Guards against requests that state the service of a backend server that is gone, when the settings file names another
/// one and nothing has been announced yet: the file was read ten times a second, and requests did not wait for that.
#[gtest]
fn origin_changed_settings_are_stated_at_once() {
    actix_rt::System::new().block_on(async {
        let (fleet, stated) = start_fleet().await;
        let agent = &fleet.agents[0];
        for number in 0..REPLACEMENTS {
            let service = SERVICES[number as usize % SERVICES.len()];
            agent.set_backend(service, agent.backend);
            expect_origin(&fleet, &stated, service).await;
            sleep(Duration::from_millis(INTERVAL_MS)).await;
        }
    });
}

/// Guards against the same where the next backend server also has another address: its first announcement was rejected.
#[gtest]
fn origin_moved_backend_is_stated_from_its_first_acknowledgement() {
    actix_rt::System::new().block_on(async {
        let (fleet, stated) = start_fleet().await;
        let agent = &fleet.agents[0];
        let mut address = agent.backend;
        address.set_port(address.port() + 1);
        agent.set_backend("back", address);
        let backend = AnnouncedBackend {
            id: "i-0-moved".into(),
            service: "back".into(),
            address,
        };
        let request = announce::announcement(&backend, clock::wall_now().0, 1);
        let is_acknowledged =
            announce::send(&ConnectionPool::new(), agent.announce, &request).await;
        expect_that!(is_acknowledged, eq(true));
        let result = fleet.send(agent, "/safe/x", Bytes::new()).await;
        expect_that!(result.is_ok(), eq(true));
        expect_that!(stated.take(), elements_are![eq("back")]);
    });
}

/// Guards against an upload that states the service of a backend server that came after it began: the origin was taken
/// when the body was complete. Nor does the header count by which agents tell each other the origin.
#[gtest]
fn origin_upload_is_that_of_its_beginning() {
    actix_rt::System::new().block_on(async {
        let (fleet, stated) = start_fleet().await;
        let agent = &fleet.agents[0];
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {}\r\njy-origin: forged\r\ncontent-length: 2\r\n\r\n",
            fleet.next_id()
        );
        let mut stream = TcpStream::connect(agent.caller)
            .await
            .expect("failed to connect");
        stream
            .write_all(format!("{head}a").as_bytes())
            .await
            .expect("failed to write the beginning");
        sleep(Duration::from_millis(INTERVAL_MS)).await;
        agent.set_backend("back", agent.backend);
        // The agent has applied the settings once another request states them.
        let result = fleet.send(agent, "/safe/x", Bytes::new()).await;
        expect_that!(result.is_ok(), eq(true));
        stream
            .write_all(b"b")
            .await
            .expect("failed to write the end");
        let mut response = [0; 12];
        let read = timeout(READ_LIMIT, stream.read_exact(&mut response)).await;
        expect_that!(read.is_ok_and(|read| read.is_ok()), eq(true));
        expect_that!(response, eq(*b"HTTP/1.1 200"));
        expect_that!(stated.take(), elements_are![eq("back"), eq("front")]);
    });
}
