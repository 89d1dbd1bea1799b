//! Sends a request to the next hop and reads the complete answer.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::error::PayloadError;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use awc::Client;
use awc::ClientResponse;
use awc::Connector;
use awc::error::SendRequestError;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use jy_http::memory_budget::MemoryBudget;
use jy_http::memory_budget::MemoryKind;
use jy_http::memory_budget::MemoryShare;
use jy_http::memory_budget::SMALL_RESPONSE_BYTES;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::request::REQUEST_ID_HEADER;
use jy_types::time::Millis;
use tokio::time::timeout;

use crate::exchange::CompleteAnswer;
use crate::exchange::RequestExchange;
use crate::http::header;
use crate::strict_eof;

const CONNECT_TIMEOUT_MS: u64 = 300;

/// Idle timeout of client connections, in milliseconds. It is shorter than that of the other side, so that no
/// request is sent on a connection that is being closed.
const IDLE_TIMEOUT_MS: u64 = 15_000;

const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Memory for all answers of a client together, in bytes. Reading waits while it is used up.
const ANSWERS_BYTES: usize = 4 * MAX_ANSWER_BYTES;

/// Statuses of answers that HTTP defines, without informational ones, which no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Outcome of sending a request.
#[derive(Clone, Debug)]
pub enum SendOutcome {
    /// A complete answer to this request was received.
    Answered {
        /// The answer, with the headers that are forwarded.
        answer: CompleteAnswer,
        /// All headers of the answer.
        headers: HeaderMap,
    },
    /// No byte of the request was sent; the text names the cause.
    NotSent(Name),
    /// The request may have been sent, but no complete answer to it was received; the text names the cause.
    Unknown(Name),
}

/// How the head of an answer delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatedBody {
    /// By its length in bytes.
    Length(usize),
    /// By chunks.
    Chunks,
    /// Not at all.
    Nothing,
    /// In two ways, or in one that HTTP does not define.
    Ambiguous,
}

/// Connections to other processes, and the memory for the answers that are read from them.
#[derive(Clone)]
pub struct AnswerClient {
    client: Client,
    memory: Rc<MemoryBudget>,
}

/// Creates a client with at most `connections` connections to each address.
#[must_use]
pub fn client(connections: usize) -> AnswerClient {
    let connector = Connector::new()
        .connector(strict_eof::connector())
        .limit(connections)
        .timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .conn_keep_alive(Duration::from_millis(IDLE_TIMEOUT_MS));
    let client = Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish();
    AnswerClient {
        client,
        memory: Rc::new(MemoryBudget::new(ANSWERS_BYTES)),
    }
}

/// Sends a request with additional headers and waits for the answer until the deadline. A connection whose
/// answer was late or invalid is closed and not reused.
pub async fn send(
    client: &AnswerClient,
    address: SocketAddr,
    exchange: &RequestExchange,
    extra_headers: &[(&'static str, String)],
    deadline: Millis,
) -> SendOutcome {
    let left_ms = deadline.since(clock::now());
    if left_ms == 0 {
        return SendOutcome::NotSent("no time is left".into());
    }
    let sending = send_and_read(client, address, exchange, extra_headers, left_ms);
    // The client's own timer is not asked while the connection has bytes that the client drops.
    let result = timeout(Duration::from_millis(left_ms), sending).await;
    result.unwrap_or_else(|_| SendOutcome::Unknown("no complete answer in time".into()))
}

/// Sends a request with additional headers and reads the answer, whose head must arrive within `left_ms` milliseconds.
async fn send_and_read(
    client: &AnswerClient,
    address: SocketAddr,
    exchange: &RequestExchange,
    extra_headers: &[(&'static str, String)],
    left_ms: u64,
) -> SendOutcome {
    let mut request = client
        .client
        .request(
            exchange.method.clone(),
            format!("http://{address}{}", exchange.path),
        )
        .timeout(Duration::from_millis(left_ms));
    *request.headers_mut() = exchange.headers.clone();
    for (name, value) in extra_headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    let mut response = match request.send_body(exchange.body.clone()).await {
        Ok(response) => response,
        Err(error) => return failure_outcome(&error),
    };
    let headers = response.headers().clone();
    let status = response.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return SendOutcome::Unknown(format!("the answer has the status {status}").into());
    }
    let has_body = may_have_body(response.status(), &exchange.method);
    let stated = stated_body(&headers);
    if has_body && !matches!(stated, StatedBody::Length(_) | StatedBody::Chunks) {
        return SendOutcome::Unknown(format!("the answer has no single length: {stated:?}").into());
    }
    let (body, memory) = match read_body(&mut response, &client.memory, stated).await {
        Ok(read) => read,
        Err(cause) => return SendOutcome::Unknown(cause),
    };
    if !is_stated_body(&body, has_body, stated) {
        let text = format!(
            "the answer's head states {stated:?}, not {} bytes",
            body.len()
        );
        return SendOutcome::Unknown(text.into());
    }
    let echoed_id = header(&headers, REQUEST_ID_HEADER);
    if echoed_id.is_some_and(|echoed_id| echoed_id != &*exchange.request_id) {
        return SendOutcome::Unknown("the answer carries another request's id".into());
    }
    SendOutcome::Answered {
        answer: CompleteAnswer::new(response.status(), &headers, body).with_memory(memory),
        headers,
    }
}

/// Reads the body of an answer. Nothing is read while there is no memory for it.
///
/// # Errors
///
/// A description if the body is too long or reading fails.
async fn read_body(
    response: &mut ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin>,
    memory: &Rc<MemoryBudget>,
    stated: StatedBody,
) -> Result<(Bytes, MemoryShare), Name> {
    let too_long = || format!("the answer is longer than {MAX_ANSWER_BYTES} bytes");
    let mut share = memory.share(MemoryKind::Response);
    let mut body = BytesMut::new();
    if let StatedBody::Length(length) = stated {
        if length > MAX_ANSWER_BYTES {
            return Err(too_long().into());
        }
        reserve(&mut share, length, length).await;
        body.reserve(length);
    }
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|error| Name::from(error.to_string()))?;
        let length = body.len() + chunk.len();
        if length > MAX_ANSWER_BYTES {
            return Err(too_long().into());
        }
        reserve(&mut share, length, MAX_ANSWER_BYTES).await;
        if length > body.capacity() {
            let capacity = (body.capacity() * 2).clamp(length, MAX_ANSWER_BYTES);
            body.reserve(capacity - body.len());
        }
        body.extend_from_slice(&chunk);
    }
    share.set_to(body.len());
    Ok((body.freeze(), share))
}

/// Takes memory for a body that has `length` bytes and may reach `max_length`. It takes that at once, so that it never waits
/// a second time; small bodies don't wait.
async fn reserve(share: &mut MemoryShare, length: usize, max_length: usize) {
    if share.bytes() >= length {
        return;
    }
    if length <= SMALL_RESPONSE_BYTES {
        share.set_to(length);
    } else {
        share.wait_for(max_length).await;
    }
}

/// Whether an answer with this status, to a request with this method, may have a body.
fn may_have_body(status: StatusCode, method: &Method) -> bool {
    method != Method::HEAD && status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Reads how the head of an answer delimits its body.
fn stated_body(headers: &HeaderMap) -> StatedBody {
    let length = header(headers, "content-length");
    let encoding = header(headers, "transfer-encoding");
    match (length, encoding) {
        (Some(length), None) => length
            .trim()
            .parse()
            .map_or(StatedBody::Ambiguous, StatedBody::Length),
        (None, Some(encoding)) if encoding.trim().eq_ignore_ascii_case("chunked") => {
            StatedBody::Chunks
        }
        (None, None) => StatedBody::Nothing,
        _ => StatedBody::Ambiguous,
    }
}

/// Whether a body that the HTTP client has read is the one that the head states. The client reads none beside an `Upgrade`
/// header, and one where the status has none.
const fn is_stated_body(body: &Bytes, has_body: bool, stated: StatedBody) -> bool {
    match stated {
        _ if !has_body => body.is_empty(),
        StatedBody::Length(length) => body.len() == length,
        StatedBody::Chunks => true,
        StatedBody::Nothing | StatedBody::Ambiguous => false,
    }
}

/// Returns the outcome of a failed request, by whether any of it may have been sent.
fn failure_outcome(error: &SendRequestError) -> SendOutcome {
    let cause = error.to_string().into();
    log::debug!("send failed: {cause}");
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => SendOutcome::NotSent(cause),
        _ => SendOutcome::Unknown(cause),
    }
}
