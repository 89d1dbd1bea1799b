//! Sends one request as a caller and checks that the answer is complete and belongs to this request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::ClientResponse;
use awc::Connector;
use awc::error::SendRequestError;
use jy_standins::backend_run::EchoAnswer;
use jy_types::name::Name;
use jy_types::request::IDEMPOTENCY_HEADER;
use jy_types::request::KEY_HEADER;
use jy_types::request::ProblemDetails;
use jy_types::request::REFUSAL_HEADER;
use jy_types::request::REQUEST_ID_HEADER;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::request::SERVICE_HEADER;
use jy_types::request::TIMEOUT_HEADER;
use jy_types::request::WORKSPACE_HEADER;
use xxhash_rust::xxh3::xxh3_64;

/// Time that a caller waits for an answer beyond the timeout that it states.
const TIMEOUT_MARGIN_MS: u64 = 500;

/// Limit of a client's connections to one address.
const MAX_CONNECTIONS: usize = 256;

const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPlan {
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// Whether the method is POST, with the path as the body, or GET without a body.
    pub is_post: bool,
    /// Path and query, also the request id; unique to the request and its repeats.
    pub path: Name,
    /// The key; none for a service that is not divided by key.
    pub key: Option<Name>,
    /// The caller's id of a non-idempotent request.
    pub idempotency_key: Option<Name>,
    /// Timeout that the caller states, in milliseconds.
    pub timeout_ms: u64,
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallOutcome {
    /// The complete answer to this request arrived.
    Served,
    /// The request was refused.
    Refused(RefusalKind, RefusedRun),
    /// An answer arrived that belongs to another request, or that is truncated without an error of the
    /// connection.
    Mismatched,
    /// An answer arrived that is neither from a backend server nor a refusal. Holds its status.
    Unexpected(u16),
    /// The connection could not be opened.
    NoConnection,
    /// The connection ended before the answer was complete.
    Disconnected,
    /// No answer came in time.
    TimedOut,
}

/// What a refusal says about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusedRun {
    /// It did not run.
    No,
    /// It may have run.
    Unknown,
}

impl CallOutcome {
    /// Returns a short name for tables.
    #[must_use]
    pub fn label(self) -> String {
        match self {
            Self::Served => "served".into(),
            Self::Refused(kind, RefusedRun::No) => format!("refused, not run: {}", kind.name()),
            Self::Refused(kind, RefusedRun::Unknown) => format!("outcome unknown: {}", kind.name()),
            Self::Mismatched => "foreign or short answer".into(),
            Self::Unexpected(status) => format!("odd answer: status {status}"),
            Self::NoConnection => "no connection".into(),
            Self::Disconnected => "connection cut".into(),
            Self::TimedOut => "timed out".into(),
        }
    }
}

/// Creates a client that keeps connections open for reuse.
#[must_use]
pub fn client() -> Client {
    let connector = Connector::new()
        .limit(MAX_CONNECTIONS)
        .timeout(Duration::from_millis(500))
        .conn_keep_alive(Duration::from_secs(10));
    Client::builder().connector(connector).finish()
}

/// Sends a request to an agent and checks the answer. Returns the outcome and the time that it took.
pub async fn call(client: &Client, agent: SocketAddr, plan: &CallPlan) -> (CallOutcome, Duration) {
    let start = Instant::now();
    let outcome = send(client, agent, plan).await;
    (outcome, start.elapsed())
}

/// Sends a request and classifies the answer.
async fn send(client: &Client, agent: SocketAddr, plan: &CallPlan) -> CallOutcome {
    let url = format!("http://{agent}{}", plan.path);
    let mut request = if plan.is_post {
        client.post(url)
    } else {
        client.get(url)
    };
    request = request
        .timeout(Duration::from_millis(plan.timeout_ms + TIMEOUT_MARGIN_MS))
        .insert_header((WORKSPACE_HEADER, &*plan.workspace))
        .insert_header((SERVICE_HEADER, &*plan.service))
        .insert_header((REQUEST_ID_HEADER, &*plan.path))
        .insert_header((TIMEOUT_HEADER, plan.timeout_ms));
    if let Some(key) = &plan.key {
        request = request.insert_header((KEY_HEADER, &**key));
    }
    if let Some(id) = &plan.idempotency_key {
        request = request.insert_header((IDEMPOTENCY_HEADER, &**id));
    }
    let sent = if plan.is_post {
        request.send_body(plan.path.to_string()).await
    } else {
        request.send().await
    };
    match sent {
        Ok(answer) => classify(answer, plan).await,
        Err(SendRequestError::Connect(_)) => CallOutcome::NoConnection,
        Err(SendRequestError::Timeout) => CallOutcome::TimedOut,
        Err(_) => CallOutcome::Disconnected,
    }
}

/// Classifies an answer.
async fn classify<S>(mut answer: ClientResponse<S>, plan: &CallPlan) -> CallOutcome
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let Ok(body) = answer.body().limit(MAX_ANSWER_BYTES).await else {
        return CallOutcome::Disconnected;
    };
    let status = answer.status().as_u16();
    if answer.headers().contains_key(REFUSAL_HEADER) {
        let Ok(problem) = serde_json::from_slice::<ProblemDetails>(&body) else {
            return CallOutcome::Unexpected(status);
        };
        let ran = match problem.ran {
            RunState::No => RefusedRun::No,
            RunState::Unknown => RefusedRun::Unknown,
        };
        return CallOutcome::Refused(problem.title, ran);
    }
    if status != 200 {
        return CallOutcome::Unexpected(status);
    }
    let is_match = serde_json::from_slice(&body).is_ok_and(|echo| matches_request(&echo, plan));
    if is_match {
        CallOutcome::Served
    } else {
        CallOutcome::Mismatched
    }
}

/// Returns whether an answer is complete and belongs to the request.
fn matches_request(echo: &EchoAnswer, plan: &CallPlan) -> bool {
    let body = if plan.is_post { &*plan.path } else { "" };
    echo.path == plan.path
        && echo.key == plan.key
        && echo.body_hash == xxh3_64(body.as_bytes())
        && echo.checksum == echo.expected_checksum()
}
