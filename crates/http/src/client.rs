//! A client connection, which carries one request at a time and reports whether a failed one may have run.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::Message;
use bytes::Bytes;
use bytes::BytesMut;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::time::Millis;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::memory_budget::MemoryBudget;
use crate::memory_budget::MemoryKind;
use crate::memory_budget::SMALL_BODY_BYTES;
use crate::message::HttpRequest;
use crate::message::HttpResponse;
use crate::message::codec_config;
use crate::message::header_text;

mod response;

use response::ReadOutcome;
use response::ResponseSource;
use response::read_matching_response;

/// Result of a client operation.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Sent bytes that stay unacknowledged for this long close a connection, in milliseconds. It is less than
/// the shortest time without contact that the deployments allow, 3 s.
const TCP_USER_TIMEOUT_MS: u64 = 1_500;

/// Largest response, in bytes. A longer one, for example one without an end, closes the connection.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// How long an idle connection is reused if the server sends no `Keep-Alive` timeout, in milliseconds.
const DEFAULT_REUSE_MS: u64 = 4_000;

/// A connection is not reused within this time of the end of its `Keep-Alive` timeout, in milliseconds: 1 s
/// for the header's rounding to seconds, and 0.5 s for the request to reach the server.
const REUSE_MARGIN_MS: u64 = 1_500;

/// Number of requests with an id after which a connection is closed, so that the ids that it has carried stay few.
const MAX_IDS_PER_CONNECTION: usize = 256;

/// Interval between the writes of a request that is sent at a limited rate, in milliseconds.
const PACED_WRITE_MS: u64 = 10;

/// Header with the time that a server keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";

/// Why a request received no complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No connection was opened, or no byte of the request was sent: the request did not run.
    #[error("request not sent to {to}: {cause}")]
    NotSent {
        /// Address of the server.
        to: SocketAddr,
        /// Description of the failure.
        cause: Name,
    },
    /// The server refused the connection: no process listens on the address.
    #[error("{to} refuses connections")]
    ConnectionRefused {
        /// Address of the server.
        to: SocketAddr,
    },
    /// Some or all of the request may have been sent, and no complete response was received: the request may
    /// have run.
    #[error("no whole answer from {to}: {cause}")]
    OutcomeUnknown {
        /// Address of the server.
        to: SocketAddr,
        /// Description of the failure.
        cause: Name,
        /// Whether the server ended the connection.
        is_cut: bool,
    },
}

impl ExchangeError {
    /// Whether the server ended the connection before its response was complete, unlike at a time-out.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { is_cut: true, .. })
    }

    /// Whether the request may have reached the server.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { .. })
    }
}

/// How the response to a request is recognized.
#[derive(Clone, Copy, Debug)]
pub struct ResponseCheck<'a> {
    /// Response header that echoes the request's id.
    pub header: &'a str,
    /// The request's id.
    pub id: &'a str,
}

/// An open connection with no request in flight.
pub struct HttpConnection {
    to: SocketAddr,
    stream: TcpStream,
    codec: ClientCodec,
    buffer: BytesMut,
    last_used: Millis,
    reuse_deadline: Millis,
    /// Hashes of the ids of the requests that it has carried.
    carried_ids: BTreeSet<u64>,
    /// Budget from which responses take memory as they are read.
    memory: Option<Rc<MemoryBudget>>,
    response_kind: MemoryKind,
}

/// A response, and its connection if that can carry another request.
pub struct ExchangeOutcome {
    /// The complete response.
    pub response: HttpResponse,
    /// The connection, or none if it can't be reused.
    pub connection: Option<HttpConnection>,
}

impl HttpConnection {
    /// Opens a connection to `to` within `timeout_ms`.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::ConnectionRefused`] if the server refuses the connection, and
    /// [`ExchangeError::NotSent`] if connecting fails otherwise or takes too long.
    pub async fn connect(to: SocketAddr, timeout_ms: u64) -> Result<Self> {
        let not_sent = |cause: &str| ExchangeError::NotSent {
            to,
            cause: cause.into(),
        };
        let connecting = TcpStream::connect(to);
        let stream = match timeout(Duration::from_millis(timeout_ms), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ExchangeError::ConnectionRefused { to });
            }
            Ok(Err(error)) => return Err(not_sent(&error.to_string())),
            Err(_) => return Err(not_sent("the connection was not made in time")),
        };
        set_options(&stream);
        let now = clock::now();
        Ok(Self {
            to,
            stream,
            codec: ClientCodec::new(codec_config()),
            buffer: BytesMut::new(),
            last_used: now,
            reuse_deadline: now.plus(DEFAULT_REUSE_MS),
            carried_ids: BTreeSet::new(),
            memory: None,
            response_kind: MemoryKind::default(),
        })
    }

    /// Sets the budget from which responses take memory as they are read, and as what they are counted.
    #[must_use]
    pub fn with_memory(mut self, memory: Option<Rc<MemoryBudget>>, kind: MemoryKind) -> Self {
        self.memory = memory;
        self.response_kind = kind;
        self
    }

    /// Whether the connection can carry a request at `now`, having been idle for at most `max_idle_ms`.
    #[must_use]
    pub fn is_reusable(&self, now: Millis, max_idle_ms: u64) -> bool {
        let is_within_reuse_time =
            now < self.reuse_deadline && now.since(self.last_used) <= max_idle_ms;
        let has_room = self.carried_ids.len() < MAX_IDS_PER_CONNECTION;
        is_within_reuse_time && has_room && self.is_idle()
    }

    /// Whether the connection has carried a request with an id. The response to that request, sent once more, could
    /// not be told from the response to another one with the same id.
    #[must_use]
    pub fn has_carried(&self, id: &str) -> bool {
        self.carried_ids.contains(&id_hash(id))
    }

    /// Whether the reuse deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        now >= self.reuse_deadline
    }

    /// Whether the server has neither sent unread bytes nor closed the connection. This peeks at the socket itself, since
    /// the runtime's readiness state may lag behind it.
    fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Sends a request, at most at `max_bytes_per_ms`, and reads its complete response.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if no complete response was received; it states whether the request may have run.
    pub async fn exchange(
        mut self,
        request: &HttpRequest,
        check: Option<ResponseCheck<'_>>,
        max_bytes_per_ms: Option<u64>,
    ) -> Result<ExchangeOutcome> {
        let to = self.to;
        let (head, body) = self.encode(request)?;
        let total_bytes = head.len() + body.len();
        self.carried_ids
            .extend(check.map(|check| id_hash(check.id)));
        let written = Cell::new(0_usize);
        let is_cut = Cell::new(false);
        let codec = std::mem::replace(&mut self.codec, ClientCodec::new(codec_config()));
        let outcome = {
            let (mut reader, mut writer) = self.stream.split();
            let is_head = request.method == Method::HEAD;
            let mut source = ResponseSource {
                reader: &mut reader,
                buffer: &mut self.buffer,
                memory: self.memory.as_ref(),
                kind: self.response_kind,
                received_bytes: 0,
                is_cut: &is_cut,
            };
            let response_future = read_matching_response(&mut source, codec, check, is_head);
            tokio::pin!(response_future);
            let write_future =
                write_counted(&mut writer, [&head, &body], &written, max_bytes_per_ms);
            tokio::pin!(write_future);
            let mut write_failure: Option<Name> = None;
            let outcome = loop {
                let is_writing = written.get() < total_bytes && write_failure.is_none();
                tokio::select! {
                    biased;
                    result = &mut write_future, if is_writing => {
                        if let Err(error) = result {
                            let cause: Name = error.to_string().into();
                            if written.get() == 0 {
                                return Err(ExchangeError::NotSent { to, cause });
                            }
                            write_failure = Some(cause);
                        }
                    }
                    outcome = &mut response_future => break outcome,
                }
            };
            match outcome {
                Ok(read) if read.is_close_delimited => {
                    // A reset after an orderly end shows only when the rest of the request is written.
                    if written.get() < total_bytes && write_failure.is_none() {
                        let result = write_future.await;
                        write_failure = result.err().map(|error| error.to_string().into());
                    }
                    complete_at_end(read, write_failure)
                }
                outcome => outcome,
            }
        };
        let is_fully_sent = written.get() == total_bytes;
        let ReadOutcome {
            response,
            codec,
            is_clean,
            ..
        } = outcome.map_err(|cause| ExchangeError::OutcomeUnknown {
            to,
            cause,
            is_cut: is_cut.get(),
        })?;
        self.codec = codec;
        let is_clean = is_clean && is_fully_sent && self.buffer.is_empty();
        let connection = is_clean.then(|| self.into_idle(&response));
        Ok(ExchangeOutcome {
            response,
            connection,
        })
    }

    /// Encodes a request as the bytes to send first, with the head, and those to send after them. Only a small body
    /// is copied behind the head, so that one write suffices.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if the target is not a valid URI or the codec rejects the request.
    fn encode(&mut self, request: &HttpRequest) -> Result<(BytesMut, Bytes)> {
        let to = self.to;
        let not_sent = |cause: String| ExchangeError::NotSent {
            to,
            cause: cause.into(),
        };
        let mut head = RequestHead::default();
        head.method = request.method.clone();
        head.uri = Uri::try_from(&*request.target).map_err(|error| not_sent(error.to_string()))?;
        head.headers = request.headers.clone();
        let has_body = !request.body.is_empty() || request.method != Method::GET;
        let size = if has_body {
            BodySize::Sized(request.body.len() as u64)
        } else {
            BodySize::None
        };
        let is_small = request.body.len() <= SMALL_BODY_BYTES;
        let copied_bytes = if is_small { request.body.len() } else { 0 };
        let mut bytes = BytesMut::with_capacity(copied_bytes + 512);
        let item = Message::Item((RequestHeadType::from(head), size));
        encode_message(&mut self.codec, item, &mut bytes).map_err(not_sent)?;
        if is_small {
            bytes.extend_from_slice(&request.body);
            return Ok((bytes, Bytes::new()));
        }
        Ok((bytes, request.body.clone()))
    }

    /// Marks the connection as idle and sets until when it may be reused.
    fn into_idle(mut self, response: &HttpResponse) -> Self {
        let now = clock::now();
        let keep_alive_ms =
            header_text(&response.headers, KEEP_ALIVE).and_then(parse_keep_alive_ms);
        let reuse_ms = keep_alive_ms.map_or(DEFAULT_REUSE_MS, |timeout_ms| {
            timeout_ms.saturating_sub(REUSE_MARGIN_MS)
        });
        self.last_used = now;
        self.reuse_deadline = now.plus(reuse_ms);
        self
    }
}

/// Returns a response whose body was delimited by the end of the connection, if the write of its request has not failed.
///
/// A connection that was reset may look as if it had ended in order: the socket reports the error only once, to the write,
/// and the server may have ended its side before the rest of the request reached it. The end of the body may then be missing.
///
/// # Errors
///
/// A description if the write has failed.
fn complete_at_end(
    read: ReadOutcome,
    write_failure: Option<Name>,
) -> std::result::Result<ReadOutcome, Name> {
    match write_failure {
        Some(error) => {
            Err(format!("the connection ended while the request was sent: {error}").into())
        }
        None => Ok(read),
    }
}

/// Returns the hash of a request's id.
fn id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Encodes one part of a request.
///
/// # Errors
///
/// The codec's error text if the codec rejects the message.
fn encode_message(
    codec: &mut ClientCodec,
    message: Message<(RequestHeadType, BodySize)>,
    bytes: &mut BytesMut,
) -> std::result::Result<(), String> {
    use tokio_util::codec::Encoder;
    codec
        .encode(message, bytes)
        .map_err(|error| error.to_string())
}

/// Sets the socket options of a connection. A failure is only logged, since the connection works without
/// them.
fn set_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::warn!("failed to set TCP_NODELAY on a connection: {error}");
    }
    let limit = Duration::from_millis(TCP_USER_TIMEOUT_MS);
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(limit)) {
        log::warn!("failed to set TCP_USER_TIMEOUT on a connection: {error}");
    }
}

/// Parses the timeout of a `Keep-Alive` header, in milliseconds.
fn parse_keep_alive_ms(text: &str) -> Option<u64> {
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout.trim().parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Writes all bytes of both parts, at most at `max_bytes_per_ms`, and counts those written so far in `written`.
///
/// # Errors
///
/// The I/O error if a write fails, and [`ErrorKind::WriteZero`] if the connection accepts no more bytes.
async fn write_counted(
    writer: &mut WriteHalf<'_>,
    parts: [&[u8]; 2],
    written: &Cell<usize>,
    max_bytes_per_ms: Option<u64>,
) -> std::io::Result<()> {
    let started_at = clock::now();
    let [first, second] = parts;
    let total_bytes = first.len() + second.len();
    while written.get() < total_bytes {
        let end = match max_bytes_per_ms {
            Some(rate) => {
                let elapsed_ms = clock::now().since(started_at);
                let due = rate.saturating_mul(elapsed_ms + PACED_WRITE_MS);
                total_bytes.min(usize::try_from(due).unwrap_or(usize::MAX))
            }
            None => total_bytes,
        };
        if end <= written.get() {
            sleep(Duration::from_millis(PACED_WRITE_MS)).await;
            continue;
        }
        let start = written.get();
        let part = match start.checked_sub(first.len()) {
            Some(start) => &second[start..end - first.len()],
            None => &first[start..end.min(first.len())],
        };
        let count = writer.write(part).await?;
        if count == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        written.set(written.get() + count);
    }
    Ok(())
}
