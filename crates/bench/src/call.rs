//! One request of a caller, and whether its answer is the whole answer to this very request.

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

/// A caller waits this much longer than the timeout that it states, in milliseconds.
const PATIENCE_MS: u64 = 500;

/// Connections of the client to one address.
const CONNECTIONS: usize = 256;

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPlan {
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// HTTP method: GET, or POST with a body.
    pub is_post: bool,
    /// Path and query, unique to the request and its repeats.
    pub path: Name,
    /// The key.
    pub key: Option<Name>,
    /// The caller's id of a non-idempotent request.
    pub idempotency_key: Option<Name>,
    /// Time that the caller gives it, in milliseconds.
    pub timeout_ms: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallOutcome {
    /// The whole answer to this request came.
    Served,
    /// It was refused.
    Refused(RefusalKind, RefusedRun),
    /// The whole answer to another request came, or a short one as whole.
    Foreign,
    /// An answer that is neither the backend server's nor a refusal.
    Odd(u16),
    /// No connection came about.
    NoConnection,
    /// The connection ended before a whole answer.
    Cut,
    /// No answer came in time.
    TimedOut,
}

/// What a refusal says about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusedRun {
    /// It did not run.
    No,
    /// Nobody can tell.
    Unknown,
}

impl CallOutcome {
    /// A short name for tables.
    #[must_use]
    pub fn label(self) -> String {
        match self {
            Self::Served => "served".into(),
            Self::Refused(kind, RefusedRun::No) => format!("refused, not run: {}", kind.name()),
            Self::Refused(kind, RefusedRun::Unknown) => format!("outcome unknown: {}", kind.name()),
            Self::Foreign => "foreign or short answer".into(),
            Self::Odd(status) => format!("odd answer: status {status}"),
            Self::NoConnection => "no connection".into(),
            Self::Cut => "connection cut".into(),
            Self::TimedOut => "timed out".into(),
        }
    }
}

/// Makes a client with kept connections.
#[must_use]
pub fn client() -> Client {
    let connector = Connector::new()
        .limit(CONNECTIONS)
        .timeout(Duration::from_millis(500))
        .conn_keep_alive(Duration::from_secs(10));
    Client::builder().connector(connector).finish()
}

/// Sends a request to an agent and checks the answer. Returns how it ended and after which time.
pub async fn call(client: &Client, agent: SocketAddr, plan: &CallPlan) -> (CallOutcome, Duration) {
    let start = Instant::now();
    let end = send(client, agent, plan).await;
    (end, start.elapsed())
}

/// Sends a request and judges its answer.
async fn send(client: &Client, agent: SocketAddr, plan: &CallPlan) -> CallOutcome {
    let url = format!("http://{agent}{}", plan.path);
    let mut request = if plan.is_post {
        client.post(url)
    } else {
        client.get(url)
    };
    request = request
        .timeout(Duration::from_millis(plan.timeout_ms + PATIENCE_MS))
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
        Ok(answer) => judge(answer, plan).await,
        Err(SendRequestError::Connect(_)) => CallOutcome::NoConnection,
        Err(SendRequestError::Timeout) => CallOutcome::TimedOut,
        Err(_) => CallOutcome::Cut,
    }
}

/// Judges an answer.
async fn judge<S>(mut answer: ClientResponse<S>, plan: &CallPlan) -> CallOutcome
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let Ok(body) = answer.body().limit(ANSWER_LIMIT).await else {
        return CallOutcome::Cut;
    };
    let status = answer.status().as_u16();
    if answer.headers().contains_key(REFUSAL_HEADER) {
        let Ok(problem) = serde_json::from_slice::<ProblemDetails>(&body) else {
            return CallOutcome::Odd(status);
        };
        let ran = match problem.ran {
            RunState::No => RefusedRun::No,
            RunState::Unknown => RefusedRun::Unknown,
        };
        return CallOutcome::Refused(problem.title, ran);
    }
    if status != 200 {
        return CallOutcome::Odd(status);
    }
    let is_own = serde_json::from_slice(&body).is_ok_and(|echo| is_whole(&echo, plan));
    if is_own {
        CallOutcome::Served
    } else {
        CallOutcome::Foreign
    }
}

/// Whether an answer is the whole answer to a request.
fn is_whole(echo: &EchoAnswer, plan: &CallPlan) -> bool {
    let body = if plan.is_post { &*plan.path } else { "" };
    echo.path == plan.path
        && echo.key == plan.key
        && echo.body_hash == xxh3_64(body.as_bytes())
        && echo.checksum == echo.expected_checksum()
}
