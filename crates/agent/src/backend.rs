//! Handles the announcements of the backend server beside the agent.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::Request;
use actix_http::StatusCode;
use jy_gate::api::BackendEvent;
use jy_kernel::clock;
use jy_types::backend::ANNOUNCE_PATH;
use jy_types::backend::ANNOUNCE_TIMEOUT_MS;
use jy_types::backend::Announcement;
use jy_types::member::Endpoint;
use jy_types::time::Millis;
use tokio::time::sleep;

use crate::gate::GateService;
use crate::http::Answer;
use crate::http::json;
use crate::http::not_found;
use crate::http::read_body;
use crate::member::MemberService;

/// Name of this service in the registry.
pub const SERVICE: &str = "backend";

const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// Time between checks for an overdue announcement, in milliseconds.
const OVERDUE_CHECK_INTERVAL_MS: u64 = 250;

/// Applies announcements of the backend server to the gate and to the agent's member record.
pub struct BackendService {
    gate: Rc<GateService>,
    member: Rc<MemberService>,
    last_announcement: RefCell<Option<Announcement>>,
    next_due: Cell<Millis>,
}

impl BackendService {
    /// Creates the service of an agent that has received no announcement yet.
    #[must_use]
    pub fn new(gate: Rc<GateService>, member: Rc<MemberService>) -> Self {
        Self {
            gate,
            member,
            last_announcement: RefCell::default(),
            next_due: Cell::new(Millis::MAX),
        }
    }

    /// Answers a request of the backend server.
    pub async fn handle(self: Rc<Self>, mut request: Request) -> Answer {
        if request.path() != ANNOUNCE_PATH || request.method() != Method::POST {
            return not_found(&[ANNOUNCE_PATH]);
        }
        let body = match read_body(&mut request, MAX_ANNOUNCEMENT_BYTES).await {
            Ok(body) => body,
            Err(error) => return json(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match serde_json::from_slice::<Announcement>(&body) {
            Ok(announcement) => {
                self.apply(announcement);
                json(StatusCode::OK, &true)
            }
            Err(error) => {
                let message =
                    format!("announcement not understood: {error}; see docs/operators/install.md");
                json(StatusCode::BAD_REQUEST, &message)
            }
        }
    }

    /// Applies an announcement.
    fn apply(&self, announcement: Announcement) {
        self.next_due.set(clock::now().plus(ANNOUNCE_TIMEOUT_MS));
        if self.last_announcement.borrow().as_ref() == Some(&announcement) {
            return;
        }
        log::info!(
            "backend server of {}/{} announced itself at {}: cold {}, draining {}",
            announcement.workspace,
            announcement.service,
            announcement.address,
            announcement.cold,
            announcement.draining
        );
        let service_key = (announcement.workspace.clone(), announcement.service.clone());
        let event = BackendEvent::Announced {
            start_stamp: announcement.start_stamp,
            slots: announcement.slots,
            cold: announcement.cold,
            draining: announcement.draining,
        };
        self.gate
            .on_backend(Some(service_key), Some(announcement.address), event);
        self.member
            .set_endpoint((!announcement.draining).then(|| Endpoint {
                workspace: announcement.workspace.clone(),
                service: announcement.service.clone(),
                slots: announcement.slots,
                checks_fence: announcement.checks_fence,
            }));
        *self.last_announcement.borrow_mut() = Some(announcement);
    }

    /// Treats the backend server as gone once its next announcement is overdue. Never returns.
    pub async fn watch_overdue(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(OVERDUE_CHECK_INTERVAL_MS)).await;
            if clock::now() < self.next_due.get() {
                continue;
            }
            self.next_due.set(Millis::MAX);
            self.last_announcement.borrow_mut().take();
            log::warn!("backend server gone: no announcement for {ANNOUNCE_TIMEOUT_MS} ms");
            self.gate.on_backend(None, None, BackendEvent::Gone);
            self.member.set_endpoint(None);
        }
    }
}
