//! One request of a caller on its way, and what comes back.

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use jy_types::name::Name;
use jy_types::peer::StoredAnswer;
use jy_types::request::IDEMPOTENCY_HEADER;
use jy_types::request::IN_FLIGHT_HEADER;
use jy_types::request::KEY_HEADER;
use jy_types::request::ProblemDetails;
use jy_types::request::RAN_HEADER;
use jy_types::request::RECEIVED_HEADER;
use jy_types::request::REFUSAL_HEADER;
use jy_types::request::REQUEST_ID_HEADER;
use jy_types::request::Refusal;
use jy_types::request::RefusalKind;
use jy_types::request::RunState;
use jy_types::request::SERVICE_HEADER;
use jy_types::request::TIMEOUT_HEADER;
use jy_types::request::WORKSPACE_HEADER;
use jy_types::time::WallMillis;
use xxhash_rust::xxh3::Xxh3;

use crate::http::Answer;
use crate::http::header;

/// Path prefix that names workspace and service in place of the headers.
const PATH_PREFIX: &str = "/w/";

/// Headers that concern one connection only, or that the agent sets itself.
const OWN_HEADERS: [&str; 15] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    WORKSPACE_HEADER,
    SERVICE_HEADER,
    KEY_HEADER,
    TIMEOUT_HEADER,
    REQUEST_ID_HEADER,
    RECEIVED_HEADER,
    IN_FLIGHT_HEADER,
];

/// One request, read whole.
#[derive(Clone, Debug)]
pub struct RequestExchange {
    /// HTTP method.
    pub method: Method,
    /// Path and query that the backend server gets.
    pub path: Name,
    /// Headers for the backend server.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// The key, if the caller gave one.
    pub key: Option<Name>,
    /// The caller's id of a non-idempotent request.
    pub idempotency_key: Option<Name>,
    /// Id of the request, the caller's own or drawn by the gateway.
    pub request_id: Name,
    /// Time that the caller gives it, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The wall clock when it reached its gateway.
    pub received: WallMillis,
}

impl RequestExchange {
    /// Reads a request's head; the body comes with [`Self::with_body`].
    ///
    /// # Errors
    ///
    /// A refusal that tells what is missing.
    pub fn new(request: &Request, request_id: Name, now: WallMillis) -> Result<Self, Refusal> {
        let headers = request.headers();
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let (workspace, service, path) = read_target(headers, target)?;
        let text = |name: &str| filled(headers, name).map(Name::from);
        Ok(Self {
            method: request.method().clone(),
            path,
            headers: passed_headers(headers),
            body: Bytes::new(),
            workspace,
            service,
            key: text(KEY_HEADER),
            idempotency_key: text(IDEMPOTENCY_HEADER),
            request_id,
            timeout_ms: read_number(headers, TIMEOUT_HEADER)?,
            received: read_number(headers, RECEIVED_HEADER)?.map_or(now, WallMillis),
        })
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Hash of method, path and body: tells whether a repeat is of the same request.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.method.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.path.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.body);
        hasher.digest()
    }

    /// The path without its query.
    #[must_use]
    pub fn bare_path(&self) -> &str {
        self.path.split('?').next().unwrap_or("/")
    }
}

/// Returns the caller's id of a request, or draws one.
#[must_use]
pub fn request_id(request: &Request) -> Name {
    let given = filled(request.headers(), REQUEST_ID_HEADER).map(Name::from);
    given.unwrap_or_else(|| uuid::Uuid::now_v7().to_string().into())
}

/// Returns a header's value unless it is empty: that counts as absent.
fn filled<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    header(headers, name).filter(|text| !text.is_empty())
}

/// Reads workspace, service and the backend server's path.
///
/// # Errors
///
/// A refusal that tells what is missing.
fn read_target(headers: &HeaderMap, target: &str) -> Result<(Name, Name, Name), Refusal> {
    if let Some(rest) = target.strip_prefix(PATH_PREFIX) {
        let mut parts = rest.splitn(3, '/');
        let workspace = parts.next().filter(|part| !part.is_empty());
        let service = parts.next().filter(|part| !part.is_empty());
        let path = format!("/{}", parts.next().unwrap_or_default());
        if let (Some(workspace), Some(service)) = (workspace, service) {
            return Ok((workspace.into(), service.into(), path.into()));
        }
    }
    let workspace = header(headers, WORKSPACE_HEADER);
    let service = header(headers, SERVICE_HEADER);
    match (workspace, service) {
        (Some(workspace), Some(service)) => Ok((workspace.into(), service.into(), target.into())),
        _ => Err(Refusal::new(
            RefusalKind::BadRequest,
            "workspace or service is missing; send the headers jy-workspace and jy-service, or the path /w/WORKSPACE/SERVICE/...",
        )),
    }
}

/// Reads a header that holds a number.
///
/// # Errors
///
/// A refusal that names the header.
fn read_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = header(headers, name) else {
        return Ok(None);
    };
    let number = text.parse().map_err(|_| {
        let detail = format!("header {name} is {text:?}; it must be a whole number");
        Refusal::new(RefusalKind::BadRequest, detail)
    })?;
    Ok(Some(number))
}

/// Copies the headers that go on to the next hop.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for (name, value) in headers {
        if !OWN_HEADERS.contains(&name.as_str()) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// An answer that was received completely.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that go on to the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CompleteAnswer {
    /// Makes an answer, leaving out headers that concern one connection.
    #[must_use]
    pub fn new(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        Self {
            status,
            headers: passed_headers(headers),
            body,
        }
    }

    /// Makes an answer from a remembered one.
    #[must_use]
    pub fn with_stored(stored: &StoredAnswer) -> Self {
        let mut headers = HeaderMap::new();
        let content_type = stored.content_type.as_deref().unwrap_or("text/plain");
        if let Ok(value) = HeaderValue::from_str(content_type) {
            headers.insert(HeaderName::from_static("content-type"), value);
        }
        Self {
            status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
            headers,
            body: Bytes::copy_from_slice(stored.body.as_bytes()),
        }
    }

    /// Returns what a gate keeps of the answer for repeats, or none if it is not text.
    #[must_use]
    pub fn to_stored(&self) -> Option<StoredAnswer> {
        let body = std::str::from_utf8(&self.body).ok()?;
        Some(StoredAnswer {
            status: self.status.as_u16(),
            content_type: header(&self.headers, "content-type").map(Name::from),
            body: body.into(),
        })
    }
}

/// What a gate or a gateway gives back.
#[derive(Clone, Debug)]
pub enum ExchangeReply {
    /// The backend server's answer.
    Answered(CompleteAnswer),
    /// A refusal.
    Refused(Refusal),
}

impl ExchangeReply {
    /// Writes the reply as an HTTP answer with the request's id.
    #[must_use]
    pub fn into_answer(self, request_id: &str, closing: bool) -> Answer {
        match self {
            Self::Answered(whole) => answer(whole, request_id, closing),
            Self::Refused(refusal) => problem(&refusal, request_id, closing),
        }
    }
}

/// Writes a whole answer.
fn answer(whole: CompleteAnswer, request_id: &str, closing: bool) -> Answer {
    let mut builder = Response::build(whole.status);
    for (name, value) in &whole.headers {
        builder.append_header((name.clone(), value.clone()));
    }
    builder.insert_header((REQUEST_ID_HEADER, request_id));
    if closing {
        builder.force_close();
    }
    builder.body(whole.body).map_into_boxed_body()
}

/// Writes a refusal as problem details.
fn problem(refusal: &Refusal, request_id: &str, closing: bool) -> Answer {
    let details = ProblemDetails::new(refusal, request_id);
    let status = StatusCode::from_u16(details.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let ran = match refusal.ran {
        RunState::No => "no",
        RunState::Unknown => "unknown",
    };
    let mut builder = Response::build(status);
    builder
        .insert_header(("content-type", "application/problem+json"))
        .insert_header((REFUSAL_HEADER, refusal.kind.name()))
        .insert_header((RAN_HEADER, ran))
        .insert_header((REQUEST_ID_HEADER, request_id));
    if closing {
        builder.force_close();
    }
    let text = serde_json::to_string(&details).unwrap_or_default();
    builder.body(text).map_into_boxed_body()
}

/// Reads a refusal back from another agent's answer; none if the answer is not a refusal.
#[must_use]
pub fn read_refusal(headers: &HeaderMap, body: &[u8]) -> Option<Refusal> {
    header(headers, REFUSAL_HEADER)?;
    let details: ProblemDetails = serde_json::from_slice(body).ok()?;
    Some(Refusal {
        kind: details.title,
        ran: details.ran,
        detail: details.detail,
    })
}
