//! HTTP interface of the backend server; no other module depends on its paths and headers.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::body::SizedStream;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::request::DEADLINE_HEADER;
use jy_types::request::FENCE_HEADER;
use jy_types::request::IDEMPOTENCY_HEADER;
use jy_types::request::KEY_HEADER;
use jy_types::request::RAN_HEADER;
use jy_types::request::REQUEST_ID_HEADER;
use jy_types::request::TIMEOUT_HEADER;
use jy_types::request::UNIT_HEADER;
use jy_types::time::Millis;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::announce;
use crate::announce::AnnounceTarget;
use crate::backend_fault::AnswerFault;
use crate::backend_fault::BackendFault;
use crate::backend_fault::COUNTS_PATH;
use crate::backend_fault::FAULT_PATH;
use crate::backend_fault::LOAD_PATH;
use crate::backend_fault::RestartKind;
use crate::backend_run;
use crate::backend_run::EchoAnswer;
use crate::backend_run::PAD_PARAMETER;
use crate::backend_run::RunGuard;
use crate::backend_run::WORK_PARAMETER;
use crate::backend_state::BackendRefusal;
use crate::backend_state::BackendSettings;
use crate::backend_state::BackendState;
use crate::http;
use crate::http::Handler;
use crate::journal::JOURNAL_PATH;
use crate::journal::RunEntry;
use crate::journal::RunOutcome;

/// Time between the first part of a truncated answer and its end, so that the part is sent.
const TRUNCATION_DELAY_MS: u64 = 10;

/// Answer of a handler; both variants are sent to the caller.
type Answer = Result<Response<BoxBody>, Response<BoxBody>>;

/// A backend server; used by a single thread.
struct BackendService {
    state: Rc<RefCell<BackendState>>,
    restarts: watch::Sender<u64>,
    last_answer: RefCell<Option<(Name, Bytes)>>,
}

/// Serves requests until the process is told to stop.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve(target: AnnounceTarget, settings: BackendSettings) -> io::Result<()> {
    let address = target.address;
    http::serve("backend", address, move || {
        handler(target.clone(), settings.clone())
    })
    .await
}

/// Makes the request handler and starts the announcements.
fn handler(target: AnnounceTarget, settings: BackendSettings) -> Handler {
    let state = BackendState::new(clock::now(), settings, rand::rng().random());
    let service = Rc::new(BackendService {
        state: Rc::new(RefCell::new(state)),
        restarts: watch::Sender::new(0),
        last_answer: RefCell::default(),
    });
    actix_rt::spawn(announce::run(target, Rc::clone(&service.state)));
    Rc::new(move |request| {
        let service = Rc::clone(&service);
        Box::pin(async move {
            service
                .answer(request)
                .await
                .unwrap_or_else(|answer| answer)
        })
    })
}

impl BackendService {
    /// Answers a request to an admin path or runs it.
    ///
    /// # Errors
    ///
    /// The answer to a request that is refused or whose run ends early.
    async fn answer(&self, mut request: Request) -> Answer {
        match request.path() {
            FAULT_PATH => self.set_faults(&http::read_json(&mut request).await?),
            COUNTS_PATH => Ok(http::answer_json(&self.state.borrow().counts())),
            JOURNAL_PATH => Ok(http::answer_json(&self.state.borrow().journal())),
            LOAD_PATH => Ok(http::answer_json(
                &self.state.borrow().load_report(clock::now()),
            )),
            _ => self.run(request).await,
        }
    }

    /// Applies a fault command and echoes it.
    ///
    /// # Errors
    ///
    /// If the answer can't be built.
    fn set_faults(&self, command: &BackendFault) -> Answer {
        self.state.borrow_mut().set_faults(clock::now(), command);
        if let Some(kind) = command.restart {
            self.restart(kind);
        }
        Ok(http::answer_json(command))
    }

    /// Restarts cold; all runs in progress are lost.
    fn restart(&self, kind: RestartKind) {
        let mut state = self.state.borrow_mut();
        state.restart(clock::now(), rand::rng().random(), kind);
        drop(state);
        self.restarts.send_modify(|count| *count += 1);
    }

    /// Runs a request.
    ///
    /// # Errors
    ///
    /// The answer to a request whose body can't be read, that is refused, or whose run ends early.
    async fn run(&self, mut request: Request) -> Answer {
        let body = http::read_body(&mut request).await?;
        let id = name_header(&request, REQUEST_ID_HEADER);
        let remaining_ms = remaining_ms(&request);
        if remaining_ms == Some(0) {
            return Err(not_completed(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline passed",
            ));
        }
        let started = self.begin(&request);
        let number = started.map_err(|refusal| self.refuse_run(refusal))?;
        let mut guard = RunGuard::new(Rc::clone(&self.state), number);

        let query = request.uri().query().unwrap_or_default().to_owned();
        let requested_ms = backend_run::parameter(&query, WORK_PARAMETER);
        let work_ms = self.state.borrow().work_ms(clock::now(), requested_ms);
        let outcome = guard
            .work(work_ms, remaining_ms, self.restarts.subscribe())
            .await;
        drop(guard);
        match outcome {
            RunOutcome::Late => {
                return Err(not_completed(
                    StatusCode::GATEWAY_TIMEOUT,
                    "deadline passed",
                ));
            }
            RunOutcome::Lost => return Err(connection_reset()),
            RunOutcome::Open | RunOutcome::Cancelled | RunOutcome::Done => {}
        }
        let pad = backend_run::parameter(&query, PAD_PARAMETER).unwrap_or_default();
        let answer = EchoAnswer {
            path: request.uri().to_string().into(),
            key: name_header(&request, KEY_HEADER),
            body_hash: xxh3_64(&body),
            run: number,
            pad: "x".repeat(usize::try_from(pad).unwrap_or_default()).into(),
            checksum: 0,
        };
        self.send(id, &answer.with_checksum()).await
    }

    /// Starts a run and returns its number in the journal.
    ///
    /// # Errors
    ///
    /// See [`BackendState::begin`].
    fn begin(&self, request: &Request) -> Result<usize, BackendRefusal> {
        let mut state = self.state.borrow_mut();
        state.count_connection(request.peer_addr());
        state.begin(journal_entry(request))
    }

    /// Sends an answer, with the next injected fault if there is one.
    ///
    /// # Errors
    ///
    /// If the answer can't be built.
    async fn send(&self, id: Option<Name>, answer: &EchoAnswer) -> Answer {
        let error = |cause: serde_json::Error| {
            http::answer_text(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string())
        };
        let id = id.unwrap_or_else(|| "".into());
        let body = Bytes::from(serde_json::to_vec(answer).map_err(error)?);
        let current = (Name::clone(&id), body.clone());
        let previous = self.last_answer.borrow_mut().replace(current);
        let fault = self.state.borrow_mut().take_fault();
        let half = body.slice(..body.len() / 2);
        Ok(match fault {
            None => complete_answer(&id, body),
            Some(AnswerFault::WrongId) => complete_answer("another", body),
            Some(AnswerFault::Crossed) => {
                let (id, body) = previous.unwrap_or_else(|| ("another".into(), half));
                complete_answer(&id, body)
            }
            Some(AnswerFault::Short) => {
                let chunks = truncated_body(half, None);
                answer_builder(&id)
                    .message_body(SizedStream::new(body.len() as u64, chunks).boxed())?
            }
            Some(AnswerFault::Reset) => {
                let chunks = truncated_body(half, Some(io::ErrorKind::ConnectionReset));
                answer_builder(&id).message_body(BodyStream::new(chunks).boxed())?
            }
            Some(AnswerFault::Late) => {
                let late_ms = self.state.borrow().late_ms();
                sleep(Duration::from_millis(late_ms)).await;
                complete_answer(&id, body)
            }
        })
    }

    /// Returns the answer to a request that does not run; an overloaded cold start restarts the server.
    fn refuse_run(&self, refusal: BackendRefusal) -> Response<BoxBody> {
        match refusal {
            BackendRefusal::Shed => not_run(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken"),
            BackendRefusal::StaleFence => {
                not_run(StatusCode::PRECONDITION_FAILED, "the fence is stale")
            }
            BackendRefusal::Crashed => {
                self.restart(RestartKind::Silent);
                connection_reset()
            }
        }
    }
}

/// Starts building an answer that carries a request id.
fn answer_builder(id: &str) -> actix_http::ResponseBuilder {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header(("content-type", "application/json"));
    builder.insert_header((REQUEST_ID_HEADER, id));
    builder
}

/// Builds an answer without a fault in its body.
fn complete_answer(id: &str, body: Bytes) -> Response<BoxBody> {
    answer_builder(id)
        .body(body)
        .map_body(|_, body| body.boxed())
}

/// Streams the first part of a body and, after a delay, ends with an error or without one.
fn truncated_body(
    part: Bytes,
    error: Option<io::ErrorKind>,
) -> impl Stream<Item = io::Result<Bytes>> {
    let end = async move {
        sleep(Duration::from_millis(TRUNCATION_DELAY_MS)).await;
        error.map(|kind| Err(kind.into()))
    };
    let end = stream::once(end).filter_map(|item| async move { item });
    Box::pin(stream::iter([Ok(part)]).chain(end))
}

/// Builds an answer whose connection closes before the first byte of the body, as in a crash.
fn connection_reset() -> Response<BoxBody> {
    let reset = io::Error::from(io::ErrorKind::ConnectionReset);
    let chunks = stream::iter([Err::<Bytes, _>(reset)]);
    let mut response = Response::with_body(StatusCode::OK, BodyStream::new(chunks).boxed());
    response
        .head_mut()
        .set_connection_type(actix_http::ConnectionType::Close);
    response
}

/// Builds the refusal of a request that did not run.
fn not_run(status: StatusCode, text: &str) -> Response<BoxBody> {
    with_ran_header(http::answer_text(status, text), "no")
}

/// Builds the answer to a request whose deadline passed before or during its run.
fn not_completed(status: StatusCode, text: &str) -> Response<BoxBody> {
    with_ran_header(http::answer_text(status, text), "unknown")
}

/// Sets the header that states whether the request ran.
fn with_ran_header(mut response: Response<BoxBody>, ran: &'static str) -> Response<BoxBody> {
    let name = actix_http::header::HeaderName::from_static(RAN_HEADER);
    let value = actix_http::header::HeaderValue::from_static(ran);
    response.headers_mut().insert(name, value);
    response
}

/// Makes the journal entry of a request that starts now.
fn journal_entry(request: &Request) -> RunEntry {
    RunEntry {
        request_id: name_header(request, REQUEST_ID_HEADER),
        idempotency_key: name_header(request, IDEMPOTENCY_HEADER),
        unit: name_header(request, UNIT_HEADER),
        key: name_header(request, KEY_HEADER),
        fence: number_header(request, FENCE_HEADER).unwrap_or_default(),
        path: request.uri().to_string().into(),
        start: clock::now(),
        end: Millis::MAX,
        how: RunOutcome::Open,
    }
}

/// Reads a text header.
fn name_header(request: &Request, header: &str) -> Option<Name> {
    http::header(request, header).map(Name::from)
}

/// Returns the time that remains for a request, in milliseconds: the shorter of its timeout and the time to
/// its deadline on the boot clock, which all processes of the machine share.
fn remaining_ms(request: &Request) -> Option<u64> {
    let timeout_ms = number_header(request, TIMEOUT_HEADER);
    let deadline = number_header(request, DEADLINE_HEADER).map(Millis);
    let to_deadline_ms = deadline.map(|deadline| deadline.since(clock::now()));
    [timeout_ms, to_deadline_ms].into_iter().flatten().min()
}

/// Reads a numeric header; `None` if it is missing or not a number.
fn number_header(request: &Request, header: &str) -> Option<u64> {
    http::header(request, header)?.parse().ok()
}
