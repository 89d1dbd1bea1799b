//! The backend server's requests over HTTP: the one module that knows its interface.

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
use crate::http::HandleFn;
use crate::journal::JOURNAL_PATH;
use crate::journal::RunEntry;
use crate::journal::RunOutcome;

/// Time for the first part of an answer to go out before it is cut, in milliseconds.
const CUT_AFTER_MS: u64 = 10;

/// Answer of a handler: either side is sent.
type Answer = Result<Response<BoxBody>, Response<BoxBody>>;

/// The backend server on its one thread.
struct BackendService {
    state: Rc<RefCell<BackendState>>,
    fallen: watch::Sender<u64>,
    last_answer: RefCell<Option<(Name, Bytes)>>,
}

/// Serves until the process is told to stop.
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

/// Makes the handler and starts the announcements.
fn handler(target: AnnounceTarget, settings: BackendSettings) -> HandleFn {
    let state = BackendState::new(clock::now(), settings, rand::rng().random());
    let service = Rc::new(BackendService {
        state: Rc::new(RefCell::new(state)),
        fallen: watch::Sender::new(0),
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
    /// Answers a request.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn answer(&self, mut request: Request) -> Answer {
        match request.path() {
            FAULT_PATH => self.set_faults(&http::read_json(&mut request).await?),
            COUNTS_PATH => Ok(http::answer_json(&self.state.borrow().counts())),
            JOURNAL_PATH => Ok(http::answer_json(&self.state.borrow().journal())),
            LOAD_PATH => Ok(http::answer_json(&self.state.borrow().load(clock::now()))),
            _ => self.run(request).await,
        }
    }

    /// Changes the faults.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    fn set_faults(&self, command: &BackendFault) -> Answer {
        self.state.borrow_mut().set_faults(clock::now(), command);
        if let Some(kind) = command.restart {
            self.fall_over(kind);
        }
        Ok(http::answer_json(command))
    }

    /// Loses all runs and starts cold once more.
    fn fall_over(&self, kind: RestartKind) {
        let mut state = self.state.borrow_mut();
        state.restart(clock::now(), rand::rng().random(), kind);
        drop(state);
        self.fallen.send_modify(|falls| *falls += 1);
    }

    /// Runs a request.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn run(&self, mut request: Request) -> Answer {
        let body = http::read_body(&mut request).await?;
        let id = name(&request, REQUEST_ID_HEADER);
        let left_ms = left_ms(&request);
        if left_ms == Some(0) {
            return Err(stopped(StatusCode::GATEWAY_TIMEOUT, "deadline passed"));
        }
        let begun = self.begin(&request);
        let number = begun.map_err(|refusal| self.refuse_run(refusal))?;
        let mut guard = RunGuard::new(Rc::clone(&self.state), number);

        let query = request.uri().query().unwrap_or_default().to_owned();
        let asked = backend_run::parameter(&query, WORK_PARAMETER);
        let work_ms = self.state.borrow().work_ms(clock::now(), asked);
        let how = guard.work(work_ms, left_ms, self.fallen.subscribe()).await;
        drop(guard);
        match how {
            RunOutcome::Late => {
                return Err(stopped(StatusCode::GATEWAY_TIMEOUT, "deadline passed"));
            }
            RunOutcome::Lost => return Err(cut_at_once()),
            RunOutcome::Open | RunOutcome::Cancelled | RunOutcome::Done => {}
        }
        let pad = backend_run::parameter(&query, PAD_PARAMETER).unwrap_or_default();
        let answer = EchoAnswer {
            path: request.uri().to_string().into(),
            key: name(&request, KEY_HEADER),
            body_hash: xxh3_64(&body),
            run: number,
            pad: "x".repeat(usize::try_from(pad).unwrap_or_default()).into(),
            checksum: 0,
        };
        self.send(id, &answer.with_checksum()).await
    }

    /// Starts a run and returns its number.
    ///
    /// # Errors
    ///
    /// Why the request is not run.
    fn begin(&self, request: &Request) -> Result<usize, BackendRefusal> {
        let mut state = self.state.borrow_mut();
        state.see_connection(request.peer_addr());
        state.begin(entry(request))
    }

    /// Sends an answer, with the fault that is due.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    async fn send(&self, id: Option<Name>, answer: &EchoAnswer) -> Answer {
        let error = |cause: serde_json::Error| {
            http::refuse(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string())
        };
        let id = id.unwrap_or_else(|| "".into());
        let body = Bytes::from(serde_json::to_vec(answer).map_err(error)?);
        let own = (Name::clone(&id), body.clone());
        let earlier = self.last_answer.borrow_mut().replace(own);
        let fault = self.state.borrow_mut().take_fault();
        let half = body.slice(..body.len() / 2);
        Ok(match fault {
            None => whole(&id, body),
            Some(AnswerFault::WrongId) => whole("another", body),
            Some(AnswerFault::Crossed) => {
                let (id, body) = earlier.unwrap_or_else(|| ("another".into(), half));
                whole(&id, body)
            }
            Some(AnswerFault::Short) => {
                let chunks = cut_after(half, None);
                head(&id).message_body(SizedStream::new(body.len() as u64, chunks).boxed())?
            }
            Some(AnswerFault::Reset) => {
                let chunks = cut_after(half, Some(io::ErrorKind::ConnectionReset));
                head(&id).message_body(BodyStream::new(chunks).boxed())?
            }
            Some(AnswerFault::Late) => {
                let late_ms = self.state.borrow().late_ms();
                sleep(Duration::from_millis(late_ms)).await;
                whole(&id, body)
            }
        })
    }

    /// Answers a request that is not run.
    fn refuse_run(&self, refusal: BackendRefusal) -> Response<BoxBody> {
        match refusal {
            BackendRefusal::Shed => not_run(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken"),
            BackendRefusal::StaleFence => {
                not_run(StatusCode::PRECONDITION_FAILED, "the fence is stale")
            }
            BackendRefusal::FellOver => {
                self.fall_over(RestartKind::Silent);
                cut_at_once()
            }
        }
    }
}

/// Starts an answer that carries the request's id.
fn head(id: &str) -> actix_http::ResponseBuilder {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header(("content-type", "application/json"));
    builder.insert_header((REQUEST_ID_HEADER, id));
    builder
}

/// Makes a whole answer.
fn whole(id: &str, body: Bytes) -> Response<BoxBody> {
    head(id).body(body).map_body(|_, body| body.boxed())
}

/// Streams a first part, lets it go out, and ends with an error or with nothing.
fn cut_after(part: Bytes, error: Option<io::ErrorKind>) -> impl Stream<Item = io::Result<Bytes>> {
    let end = async move {
        sleep(Duration::from_millis(CUT_AFTER_MS)).await;
        error.map(|kind| Err(kind.into()))
    };
    let end = stream::once(end).filter_map(|item| async move { item });
    Box::pin(stream::iter([Ok(part)]).chain(end))
}

/// Makes an answer whose connection closes before its first byte of body, as when a server falls.
fn cut_at_once() -> Response<BoxBody> {
    let reset = io::Error::from(io::ErrorKind::ConnectionReset);
    let chunks = stream::iter([Err::<Bytes, _>(reset)]);
    let mut response = Response::with_body(StatusCode::OK, BodyStream::new(chunks).boxed());
    response
        .head_mut()
        .set_connection_type(actix_http::ConnectionType::Close);
    response
}

/// Refuses a request that did not run.
fn not_run(status: StatusCode, text: &str) -> Response<BoxBody> {
    with_ran(http::refuse(status, text), "no")
}

/// Answers a request whose work was stopped.
fn stopped(status: StatusCode, text: &str) -> Response<BoxBody> {
    with_ran(http::refuse(status, text), "unknown")
}

/// Sets the header that says whether a request ran.
fn with_ran(mut response: Response<BoxBody>, ran: &'static str) -> Response<BoxBody> {
    let name = actix_http::header::HeaderName::from_static(RAN_HEADER);
    let value = actix_http::header::HeaderValue::from_static(ran);
    response.headers_mut().insert(name, value);
    response
}

/// Makes the journal's entry of a request that starts now.
fn entry(request: &Request) -> RunEntry {
    RunEntry {
        request_id: name(request, REQUEST_ID_HEADER),
        idempotency_key: name(request, IDEMPOTENCY_HEADER),
        unit: name(request, UNIT_HEADER),
        key: name(request, KEY_HEADER),
        fence: number_header(request, FENCE_HEADER).unwrap_or_default(),
        path: request.uri().to_string().into(),
        start: clock::now(),
        end: Millis::MAX,
        how: RunOutcome::Open,
    }
}

/// Returns a header's text as a name.
fn name(request: &Request, header: &str) -> Option<Name> {
    http::header(request, header).map(Name::from)
}

/// Returns the time left for a request, in milliseconds: the time that it was sent with, or less if
/// the point of the shared boot clock that it carries is nearer.
fn left_ms(request: &Request) -> Option<u64> {
    let timeout_ms = number_header(request, TIMEOUT_HEADER);
    let deadline = number_header(request, DEADLINE_HEADER).map(Millis);
    let to_deadline_ms = deadline.map(|deadline| deadline.since(clock::now()));
    [timeout_ms, to_deadline_ms].into_iter().flatten().min()
}

/// Returns a header's number.
fn number_header(request: &Request, header: &str) -> Option<u64> {
    http::header(request, header)?.parse().ok()
}
