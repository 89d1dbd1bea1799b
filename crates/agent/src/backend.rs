//! Listener for the backend server beside the agent, which announces itself.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::Request;
use actix_http::StatusCode;
use jy_gate::api::BackendEvent;
use jy_kernel::clock;
use jy_types::backend::ANNOUNCE_LIMIT_MS;
use jy_types::backend::ANNOUNCE_PATH;
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

/// Name of this service.
pub const SERVICE: &str = "backend";

/// Largest announcement, in bytes.
const ANNOUNCEMENT_LIMIT: usize = 16 * 1024;

/// Wait between two looks for a late announcement, in milliseconds.
const LATE_CHECK_MS: u64 = 250;

/// What the backend server last said.
pub struct BackendService {
    gate: Rc<GateService>,
    member: Rc<MemberService>,
    last: RefCell<Option<Announcement>>,
    due: Cell<Millis>,
}

impl BackendService {
    /// Makes the service without a backend server.
    #[must_use]
    pub fn new(gate: Rc<GateService>, member: Rc<MemberService>) -> Self {
        Self {
            gate,
            member,
            last: RefCell::default(),
            due: Cell::new(Millis::MAX),
        }
    }

    /// Answers one request of the backend server.
    pub async fn handle(self: Rc<Self>, mut request: Request) -> Answer {
        if request.path() != ANNOUNCE_PATH || request.method() != Method::POST {
            return not_found(&[ANNOUNCE_PATH]);
        }
        let body = match read_body(&mut request, ANNOUNCEMENT_LIMIT).await {
            Ok(body) => body,
            Err(error) => return json(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match serde_json::from_slice::<Announcement>(&body) {
            Ok(announcement) => {
                self.announced(announcement);
                json(StatusCode::OK, &true)
            }
            Err(error) => {
                let text =
                    format!("announcement not understood: {error}; see docs/operators/install.md");
                json(StatusCode::BAD_REQUEST, &text)
            }
        }
    }

    /// Takes an announcement in.
    fn announced(&self, announcement: Announcement) {
        self.due.set(clock::now().plus(ANNOUNCE_LIMIT_MS));
        if self.last.borrow().as_ref() == Some(&announcement) {
            return;
        }
        log::info!(
            "backend server of {}/{} at {}: cold {}, draining {}",
            announcement.workspace,
            announcement.service,
            announcement.address,
            announcement.cold,
            announcement.draining
        );
        let service = (announcement.workspace.clone(), announcement.service.clone());
        let notice = BackendEvent::Announced {
            start_stamp: announcement.start_stamp,
            slots: announcement.slots,
            cold: announcement.cold,
            draining: announcement.draining,
        };
        self.gate
            .on_backend(Some(service), Some(announcement.address), notice);
        self.member
            .set_endpoint((!announcement.draining).then(|| Endpoint {
                workspace: announcement.workspace.clone(),
                service: announcement.service.clone(),
                slots: announcement.slots,
                checks_fence: announcement.checks_fence,
            }));
        *self.last.borrow_mut() = Some(announcement);
    }

    /// Notices when announcements stop. Never returns.
    pub async fn watch_late(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(LATE_CHECK_MS)).await;
            if clock::now() < self.due.get() {
                continue;
            }
            self.due.set(Millis::MAX);
            self.last.borrow_mut().take();
            log::warn!("backend server gone: no announcement for {ANNOUNCE_LIMIT_MS} ms");
            self.gate.on_backend(None, None, BackendEvent::Gone);
            self.member.set_endpoint(None);
        }
    }
}
