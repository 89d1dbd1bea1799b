//! Forwards requests from a gateway to the gate of another agent, and encodes both directions as HTTP.

use std::net::SocketAddr;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::message::header_name_text;
use jy_http::message::header_text;
use jy_http::message::set_header;
use jy_http::message::set_name_header;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
use jy_kernel::clock;
use jy_policy::choice::GateLoad;
use jy_types::name::Name;
use jy_types::time::Millis;

use crate::transfer;

/// Marks a caller's request that is passed on, whatever its path. Without it, some paths are messages of agents.
const FORWARDED_HEADER: &str = "jy-forwarded";
/// Name of the route that the gateway found.
const ROUTE_HEADER: &str = "jy-route";
/// Service that is to run the request.
const SERVICE_HEADER: &str = "jy-service";
/// Service of the instance whose gateway received the request.
const ORIGIN_HEADER: &str = "jy-origin";
/// Time left until the deadline, in milliseconds.
const LEFT_MS_HEADER: &str = "jy-left-ms";
/// Time left until the latency objective, in milliseconds.
const OBJECTIVE_MS_HEADER: &str = "jy-objective-ms";
/// Shard key, for services divided by key.
const KEY_HEADER: &str = "jy-key";
/// Tenant that holds the API key of the request, if it needed one.
const TENANT_HEADER: &str = "jy-tenant";
/// Time left for which the API key is valid, in milliseconds; absent if there is no limit.
const KEY_LEFT_MS_HEADER: &str = "jy-key-left-ms";
/// Marks a call of a request that runs at the backend server beside the gateway.
const CALL_HEADER: &str = "jy-call";
/// Outcome at the gate: `answered`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "jy-outcome";
/// Why the request was not run, or why its outcome is unknown.
const REASON_HEADER: &str = "jy-reason";
/// Retry delay, in milliseconds.
const RETRY_MS_HEADER: &str = "jy-retry-ms";
/// Load of the gate: busy, slots, service time percent, used percent and, in milliseconds, the backlog of large
/// bodies, separated by commas.
const LOAD_HEADER: &str = "jy-load";

/// Headers that are used between agents only. They are removed from callers' requests, and from forwarded
/// requests and their answers after decoding, so that none leaves the fleet.
const PEER_HEADERS: [&str; 15] = [
    FORWARDED_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    ORIGIN_HEADER,
    LEFT_MS_HEADER,
    OBJECTIVE_MS_HEADER,
    KEY_HEADER,
    TENANT_HEADER,
    KEY_LEFT_MS_HEADER,
    CALL_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_MS_HEADER,
    LOAD_HEADER,
    transfer::TICKET_HEADER,
];

/// A round trip between agents takes 1 ms. A lost SYN packet is sent again only after a second, too late for
/// most latency objectives.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// Connections to another agent that were idle for longer are not reused, in milliseconds. Gates keep idle
/// connections open far longer, so that no request is sent on a connection that is being closed.
const MAX_IDLE_MS: u64 = 15_000;
/// Time after the deadline for which the gateway still waits for the gate's response, in milliseconds.
const RESPONSE_SLACK_MS: u64 = 20;

/// Retry delay of requests for which there is no memory, in milliseconds: about the time in which bodies of many
/// megabytes are sent on.
pub const MEMORY_RETRY_MS: u64 = 500;

/// A request that a gateway passes to a gate.
#[derive(Clone, Debug)]
pub struct GateJob {
    /// The caller's request.
    pub request: HttpRequest,
    /// Request id.
    pub id: Name,
    /// Name of the route.
    pub route: Name,
    /// Service that is to run the request.
    pub service: Name,
    /// Service of the instance whose gateway received the request.
    pub origin: Name,
    /// Shard key, for services divided by key.
    pub key: Option<u16>,
    /// Whether it is a call of a request that runs at the backend server beside the gateway.
    pub is_call: bool,
    /// Tenant that holds the caller's API key; `None` if the request needs no key.
    pub tenant: Option<Name>,
    /// The request must be dispatched before this point, since its API key may have been withdrawn.
    pub key_valid_until: Millis,
    /// An answer after this point is late.
    pub objective: Millis,
    /// An answer after this point is of no use.
    pub deadline: Millis,
}

/// Why a gate did not run a request. The gateway uses it to decide whether and where to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// The backend server beside the gate takes no new requests, or none is there.
    Unavailable,
    /// The backend server does not hold the key: not yet, or no longer.
    NotHolder,
    /// The backend server rejected the request as meant for another one: it does not hold the key, or it is
    /// not the addressed incarnation.
    Disowned,
    /// The gate's queue has too much work for the request to start in time.
    Overloaded,
    /// The backend server shed the request.
    Shed,
    /// The request's API key may have been withdrawn since it was checked.
    KeyExpired,
}

/// Outcome of a request at a gate.
#[derive(Clone, Debug)]
pub enum GateOutcome {
    /// The backend server's complete response.
    Answered(HttpResponse),
    /// The request did not run and will not run.
    NotRun {
        /// Why it did not run.
        cause: NotRunCause,
        /// Retry delay, in milliseconds.
        retry_ms: u64,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: Name,
    },
}

/// Outcome of a request at a gate, with the gate's load.
#[derive(Clone, Debug)]
pub struct GateReport {
    /// Outcome of the request.
    pub outcome: GateOutcome,
    /// Load of the gate; `None` if no complete report of it arrived.
    pub load: Option<GateLoad>,
}

impl NotRunCause {
    /// Returns the name used on the wire and in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::NotHolder => "not-holder",
            Self::Disowned => "disowned",
            Self::Overloaded => "overloaded",
            Self::Shed => "shed",
            Self::KeyExpired => "key-expired",
        }
    }

    /// Whether the request reached the backend server.
    #[must_use]
    pub const fn reached_backend(self) -> bool {
        matches!(self, Self::Shed | Self::Disowned)
    }

    /// Returns the cause with the given name.
    fn from_name(name: &str) -> Option<Self> {
        let all = [
            Self::Unavailable,
            Self::NotHolder,
            Self::Disowned,
            Self::Overloaded,
            Self::Shed,
            Self::KeyExpired,
        ];
        all.into_iter().find(|cause| cause.name() == name)
    }
}

impl GateOutcome {
    /// Formats the outcome for the log.
    #[must_use]
    pub fn log_text(&self) -> String {
        match self {
            Self::Answered(response) => format!("answered status={}", response.status.as_u16()),
            Self::NotRun { cause, retry_ms } => {
                format!("not-run cause={} retry_ms={retry_ms}", cause.name())
            }
            Self::Unknown { reason } => format!("unknown reason={reason:?}"),
        }
    }
}

impl GateReport {
    /// Creates a report of a request that was not run.
    #[must_use]
    pub const fn not_run(cause: NotRunCause, retry_ms: u64, load: Option<GateLoad>) -> Self {
        Self {
            outcome: GateOutcome::NotRun { cause, retry_ms },
            load,
        }
    }
}

/// Limits on sending a large body.
#[derive(Clone, Copy, Debug)]
pub struct TransferLimits {
    /// When the gate must have admitted the body.
    pub admit_by: Millis,
    /// Rate at which the agent's link carries one body, in bytes per millisecond.
    pub bytes_per_ms: u64,
}

/// Returns the options of a request to another agent's gate that is of use for `left_ms` milliseconds.
pub(crate) fn send_options(left_ms: u64) -> SendOptions {
    SendOptions {
        connect_timeout_ms: CONNECT_TIMEOUT_MS.min(left_ms),
        response_timeout_ms: left_ms + RESPONSE_SLACK_MS,
        max_idle_ms: MAX_IDLE_MS,
        max_bytes_per_ms: None,
    }
}

/// Sends a request to the gate of another agent. A large body is sent once the gate has admitted it, at the
/// gate's rate and at most at the rate of this agent's link for one body.
pub async fn send(
    pool: &ConnectionPool,
    address: SocketAddr,
    job: &GateJob,
    limits: TransferLimits,
) -> GateReport {
    let grant = if transfer::needs_grant(job.request.body.len() as u64) {
        match transfer::request_grant(pool, address, job, limits.admit_by).await {
            Ok(grant) => Some(grant),
            Err(report) => return report,
        }
    } else {
        None
    };
    let now = clock::now();
    let mut request = encode_job(job, now);
    let mut options = send_options(job.deadline.since(now));
    if let Some(grant) = grant {
        transfer::set_ticket(&mut request, grant);
        let rate = grant
            .bytes_per_ms
            .unwrap_or(u64::MAX)
            .min(limits.bytes_per_ms);
        options.max_bytes_per_ms = Some(rate.max(1));
    }
    match pool.send(address, &request, None, options).await {
        Ok(response) => decode_report(response),
        Err(error) if error.may_have_run() => {
            pool.close_idle(address);
            GateReport {
                outcome: GateOutcome::Unknown {
                    reason: error.to_string().into(),
                },
                load: None,
            }
        }
        Err(error) => {
            pool.close_idle(address);
            log::debug!("request={} not forwarded: {error}", job.id);
            GateReport::not_run(NotRunCause::Unavailable, 0, None)
        }
    }
}

/// Encodes a job as an HTTP request.
fn encode_job(job: &GateJob, now: Millis) -> HttpRequest {
    let mut request = job.request.clone();
    set_job_headers(&mut request.headers, job, now);
    set_header(&mut request.headers, FORWARDED_HEADER, "1");
    request
}

/// Whether a request of another agent is a caller's request that it passes on.
#[must_use]
pub fn is_forwarded(request: &HttpRequest) -> bool {
    has_forwarded_mark(&request.headers)
}

/// Whether the headers of a request of another agent mark it as a caller's request that it passes on.
#[must_use]
pub fn has_forwarded_mark(headers: &HeaderMap) -> bool {
    headers.contains_key(FORWARDED_HEADER)
}

/// Sets the headers that describe a job to another agent's gate.
pub(crate) fn set_job_headers(headers: &mut HeaderMap, job: &GateJob, now: Millis) {
    let (left_ms, objective_ms) = (job.deadline.since(now), job.objective.since(now));
    set_header(headers, ROUTE_HEADER, &job.route);
    set_header(headers, SERVICE_HEADER, &job.service);
    set_origin(headers, &job.origin);
    set_header(headers, LEFT_MS_HEADER, &left_ms.to_string());
    set_header(headers, OBJECTIVE_MS_HEADER, &objective_ms.to_string());
    if let Some(key) = job.key {
        set_header(headers, KEY_HEADER, &key.to_string());
    }
    if let Some(tenant) = &job.tenant {
        set_name_header(headers, TENANT_HEADER, tenant);
    }
    if job.key_valid_until < Millis::MAX {
        let key_left_ms = job.key_valid_until.since(now);
        set_header(headers, KEY_LEFT_MS_HEADER, &key_left_ms.to_string());
    }
    if job.is_call {
        set_header(headers, CALL_HEADER, "1");
    }
}

/// Sets the service of the instance whose gateway received the request.
pub(crate) fn set_origin(headers: &mut HeaderMap, origin: &str) {
    set_header(headers, ORIGIN_HEADER, origin);
}

/// Removes the service that [`set_origin`] has set, and returns it.
pub(crate) fn take_origin(headers: &mut HeaderMap) -> Option<Name> {
    let origin = header_text(headers, ORIGIN_HEADER).map(Name::from);
    headers.remove(ORIGIN_HEADER);
    origin
}

/// Decodes a job from an HTTP request. Returns `None` if a required header is missing or invalid.
#[must_use]
pub fn decode_job(mut request: HttpRequest, id: Name, received_at: Millis) -> Option<GateJob> {
    let text = |name: &str| header_text(&request.headers, name);
    let route = text(ROUTE_HEADER)?.into();
    let service = text(SERVICE_HEADER)?.into();
    let origin = text(ORIGIN_HEADER)?.into();
    let left_ms: u64 = text(LEFT_MS_HEADER)?.parse().ok()?;
    let objective_ms: u64 = text(OBJECTIVE_MS_HEADER)?.parse().ok()?;
    let key = text(KEY_HEADER).and_then(|key| key.parse().ok());
    let tenant = header_name_text(&request.headers, TENANT_HEADER).map(Name::from);
    let key_valid_until = match text(KEY_LEFT_MS_HEADER) {
        Some(key_left_ms) => received_at.plus(key_left_ms.parse().ok()?),
        None => Millis::MAX,
    };
    let is_call = text(CALL_HEADER) == Some("1");
    remove_peer_headers(&mut request.headers);
    Some(GateJob {
        request,
        id,
        route,
        service,
        origin,
        key,
        is_call,
        tenant,
        key_valid_until,
        objective: received_at.plus(objective_ms),
        deadline: received_at.plus(left_ms),
    })
}

/// Encodes a report as an HTTP response.
#[must_use]
pub fn encode_report(report: GateReport) -> HttpResponse {
    let load = report.load.unwrap_or_default();
    let (mut response, outcome_name) = match report.outcome {
        GateOutcome::Answered(response) => (response, "answered"),
        GateOutcome::NotRun { cause, retry_ms } => {
            let response = HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "")
                .with_header(REASON_HEADER, cause.name())
                .with_header(RETRY_MS_HEADER, &retry_ms.to_string());
            (response, "not-run")
        }
        GateOutcome::Unknown { reason } => {
            let response =
                HttpResponse::new(StatusCode::BAD_GATEWAY, "").with_header(REASON_HEADER, &reason);
            (response, "unknown")
        }
    };
    set_header(&mut response.headers, OUTCOME_HEADER, outcome_name);
    let numbers = [
        load.busy,
        load.slots,
        load.service_time_percent,
        load.used_percent,
        load.transfer_backlog_ms,
    ];
    let text: Vec<String> = numbers.iter().map(ToString::to_string).collect();
    set_header(&mut response.headers, LOAD_HEADER, &text.join(","));
    response
}

/// Decodes a report from an HTTP response.
pub(crate) fn decode_report(mut response: HttpResponse) -> GateReport {
    let load = header_text(&response.headers, LOAD_HEADER).and_then(decode_load);
    let reason: Option<Name> = header_text(&response.headers, REASON_HEADER).map(Name::from);
    let retry_ms =
        header_text(&response.headers, RETRY_MS_HEADER).and_then(|text| text.parse().ok());
    let outcome_name: Option<Name> = header_text(&response.headers, OUTCOME_HEADER).map(Name::from);
    let cause = reason.as_deref().and_then(NotRunCause::from_name);
    remove_peer_headers(&mut response.headers);
    let outcome = match (outcome_name.as_deref(), cause) {
        (Some("answered"), _) => GateOutcome::Answered(response),
        (Some("not-run"), Some(cause)) => GateOutcome::NotRun {
            cause,
            retry_ms: retry_ms.unwrap_or_default(),
        },
        _ => GateOutcome::Unknown {
            reason: reason.unwrap_or_else(|| "the gate's answer is not understood".into()),
        },
    };
    GateReport { outcome, load }
}

/// Decodes the value of the load header.
fn decode_load(text: &str) -> Option<GateLoad> {
    let mut numbers = text.split(',').map(|part| part.parse::<u32>().ok());
    Some(GateLoad {
        busy: numbers.next()??,
        slots: numbers.next()??,
        service_time_percent: numbers.next()??,
        used_percent: numbers.next()??,
        transfer_backlog_ms: numbers.next().flatten().unwrap_or_default(),
    })
}

/// Removes the headers that are used between agents only.
pub fn remove_peer_headers(headers: &mut HeaderMap) {
    for name in PEER_HEADERS {
        headers.remove(name);
    }
}
