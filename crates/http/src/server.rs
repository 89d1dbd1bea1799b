//! An HTTP server that reads complete requests, writes complete responses, and stops handling a request whose
//! caller disconnects.

use std::cell::Cell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::header;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::future::LocalBoxFuture;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::time::Millis;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::body_budget::BodyBudget;
use crate::body_budget::BodyShare;
use crate::message::HttpRequest;
use crate::message::HttpResponse;
use crate::message::codec_config;
use crate::message::strip_connection_headers;

/// Result of reading from a caller's connection.
type Result<T> = std::result::Result<T, ReadError>;

/// Wait before accepting again after a failure, in milliseconds: long enough for file descriptors to become
/// free.
const ACCEPT_RETRY_MS: u64 = 20;

/// Time limit for writing a response to a caller that does not read it, in milliseconds. The longest timeout
/// of callers in the deployments is 5 s.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of bytes read ahead while a request is handled.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Bytes that are read at once and discarded.
const UNREAD_BUFFER_BYTES: usize = 4 * 1024;

/// Limits on the size of a caller's requests and on the time for receiving them.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time limit from the first to the last byte of a request, in milliseconds.
    pub read_ms: u64,
    /// How long a connection without a request is kept open, in milliseconds.
    pub idle_ms: u64,
}

/// Handles one request, given with the time at which it was read. The future is dropped when the caller
/// disconnects.
pub type Handler = Rc<dyn Fn(HttpRequest, Millis) -> LocalBoxFuture<'static, HttpResponse>>;

/// Returns the limits that currently apply.
pub type LimitsFn = Rc<dyn Fn() -> ReadLimits>;

/// Returns the response to a request whose body does not fit into the budget for bodies.
pub type RefuseFn = Rc<dyn Fn() -> HttpResponse>;

/// Retry delay of the default response to a request whose body does not fit, in seconds.
const DEFAULT_RETRY_S: &str = "1";

/// A listener, with the state that its connections share.
#[derive(Clone)]
pub struct HttpListener {
    handle: Handler,
    limits: LimitsFn,
    closing: watch::Sender<bool>,
    running: Rc<Cell<usize>>,
    body_budget: Rc<BodyBudget>,
    refuse: RefuseFn,
}

/// Why a request was not read.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection ended, stayed idle for too long, or was idle when the listener closed.
    #[error("connection ended")]
    Ended,
    /// The request exceeds a limit or violates the protocol.
    #[error("request rejected with status {0}")]
    Refused(StatusCode),
    /// The body does not fit into the budget for bodies.
    #[error("no memory for the body of the request")]
    NoMemory,
}

/// Counts a request as running until the guard is dropped.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl HttpListener {
    /// Creates a listener that is not bound yet.
    #[must_use]
    pub fn new(handle: Handler, limits: LimitsFn) -> Self {
        Self {
            handle,
            limits,
            closing: watch::Sender::new(false),
            running: Rc::default(),
            body_budget: Rc::new(BodyBudget::new(usize::MAX)),
            refuse: Rc::new(|| {
                let reason = "too many large bodies at once; retry later\n";
                HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, reason)
                    .with_header("retry-after", DEFAULT_RETRY_S)
            }),
        }
    }

    /// Sets the budget for bodies, which listeners may share, and the response to requests that exceed it.
    #[must_use]
    pub fn with_body_budget(mut self, body_budget: Rc<BodyBudget>, refuse: RefuseFn) -> Self {
        self.body_budget = body_budget;
        self.refuse = refuse;
        self
    }

    /// Binds an address and serves it in a new task until [`HttpListener::close`].
    ///
    /// # Errors
    ///
    /// The I/O error if the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let socket = TcpListener::bind(address).await?;
        let listener = self.clone();
        actix_rt::spawn(async move { listener.accept_connections(socket).await });
        Ok(())
    }

    /// Stops accepting connections, and closes each open one when it is idle or after its next response.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the number of requests being handled, including those whose response is being written.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Accepts connections until the listener closes.
    async fn accept_connections(&self, socket: TcpListener) {
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let listener = self.clone();
                    actix_rt::spawn(async move { listener.serve_connection(stream, peer).await });
                }
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    /// Serves one connection until it is closed.
    async fn serve_connection(&self, stream: TcpStream, peer: SocketAddr) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("failed to set TCP_NODELAY on a connection: {error}");
        }
        let mut caller = CallerConnection {
            stream,
            peer,
            codec: Codec::new(codec_config()),
            buffer: BytesMut::new(),
        };
        loop {
            let (request, body_share) = match self.next_request(&mut caller).await {
                Ok(request) => request,
                Err(ReadError::Ended) => return,
                Err(ReadError::Refused(status)) => {
                    let response = HttpResponse::new(status, "the request was not understood\n");
                    caller.write_response(response, Some(LINGER_MS)).await;
                    return;
                }
                Err(ReadError::NoMemory) => {
                    log::warn!(
                        "decision request refused: no memory for its body, bodies in use {} bytes",
                        self.body_budget.used_bytes()
                    );
                    // The caller may read the response only once it has sent its body.
                    let linger_ms = (self.limits)().read_ms;
                    let response = (self.refuse)();
                    caller.write_response(response, Some(linger_ms)).await;
                    return;
                }
            };
            let read_at = clock::now();
            let running = CountGuard::new(&self.running);
            let handler = (self.handle)(request, read_at);
            let Some(response) = caller.run_handler(handler).await else {
                return;
            };
            drop(body_share);
            let is_last = *self.closing.borrow() || !caller.codec.keep_alive();
            let linger_ms = is_last.then_some(LINGER_MS);
            let is_written = caller.write_response(response, linger_ms).await;
            drop(running);
            if is_last || !is_written {
                return;
            }
        }
    }

    /// Waits for a request and reads it completely.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends, stays idle for too long, or is idle when the listener
    /// closes, [`ReadError::Refused`] if the request exceeds a limit or violates the protocol, and
    /// [`ReadError::NoMemory`] if its body does not fit into the budget for bodies.
    async fn next_request(
        &self,
        caller: &mut CallerConnection,
    ) -> Result<(HttpRequest, BodyShare)> {
        let limits = (self.limits)();
        let mut closing = self.closing.subscribe();
        if caller.buffer.is_empty() {
            let idle = timeout(Duration::from_millis(limits.idle_ms), caller.fill());
            tokio::select! {
                biased;
                filled = idle => filled.unwrap_or(Err(ReadError::Ended))?,
                _ = closing.wait_for(|closing| *closing) => return Err(ReadError::Ended),
            }
        }
        let limit = Duration::from_millis(limits.read_ms);
        timeout(limit, caller.read_request(limits, &self.body_budget))
            .await
            .unwrap_or(Err(ReadError::Refused(StatusCode::REQUEST_TIMEOUT)))
    }
}

/// One caller's connection.
struct CallerConnection {
    stream: TcpStream,
    peer: SocketAddr,
    codec: Codec,
    buffer: BytesMut,
}

impl CallerConnection {
    /// Reads more bytes into the buffer.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends or reading fails.
    async fn fill(&mut self) -> Result<()> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadError::Ended),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the head of a request or a chunk of its body.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends, and [`ReadError::Refused`] if the message is malformed or
    /// its head too large.
    async fn read_message(&mut self, limits: ReadLimits) -> Result<Message<Request>> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(ParseError::TooLarge) => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(ReadError::Refused(status));
                }
                Err(error) => {
                    log::debug!("failed to parse a request: {error}");
                    return Err(ReadError::Refused(StatusCode::BAD_REQUEST));
                }
            }
            if self.buffer.len() > limits.head_bytes.max(READ_AHEAD_BYTES) {
                let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                return Err(ReadError::Refused(status));
            }
            self.fill().await?;
        }
    }

    /// Reads a complete request.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends, [`ReadError::Refused`] if the request is malformed or too
    /// large, and [`ReadError::NoMemory`] if its body does not fit into the budget for bodies.
    async fn read_request(
        &mut self,
        limits: ReadLimits,
        body_budget: &Rc<BodyBudget>,
    ) -> Result<(HttpRequest, BodyShare)> {
        let Message::Item(mut request) = self.read_message(limits).await? else {
            return Err(ReadError::Refused(StatusCode::BAD_REQUEST));
        };
        let target: Name = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .into();
        let announced_bytes = content_length(&request).unwrap_or_default();
        if announced_bytes > limits.body_bytes {
            return Err(ReadError::Refused(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut body_share = body_budget
            .reserve(announced_bytes)
            .ok_or(ReadError::NoMemory)?;
        if request.head().expect() {
            let continue_response = b"HTTP/1.1 100 Continue\r\n\r\n";
            let written = self.stream.write_all(continue_response).await;
            written.map_err(|_| ReadError::Ended)?;
        }
        let body = self
            .read_body(limits, announced_bytes, &mut body_share)
            .await?;
        let request = HttpRequest {
            method: request.method().clone(),
            target,
            headers: std::mem::take(request.headers_mut()),
            body,
            peer: Some(self.peer),
        };
        Ok((request, body_share))
    }

    /// Reads the body of a request, of `announced_bytes` bytes if its head says so.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends, [`ReadError::Refused`] if the body is malformed or too
    /// large, and [`ReadError::NoMemory`] if it does not fit into the budget for bodies.
    async fn read_body(
        &mut self,
        limits: ReadLimits,
        announced_bytes: usize,
        body_share: &mut BodyShare,
    ) -> Result<Bytes> {
        // Growing by doubling would take up to twice the size of the body.
        let mut body = BytesMut::with_capacity(announced_bytes);
        if matches!(self.codec.message_type(), actix_http::h1::MessageType::None) {
            return Ok(body.freeze());
        }
        while let Message::Chunk(Some(chunk)) = self.read_message(limits).await? {
            let length = body.len() + chunk.len();
            if length > limits.body_bytes {
                return Err(ReadError::Refused(StatusCode::PAYLOAD_TOO_LARGE));
            }
            if length > body.capacity() {
                let capacity = (body.capacity() * 2).clamp(length, limits.body_bytes);
                if !body_share.grow_to(capacity) {
                    return Err(ReadError::NoMemory);
                }
                body.reserve(capacity - body.len());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Whether the caller has closed the connection. This peeks at the socket itself, since the runtime's
    /// readiness state may lag behind it.
    fn is_disconnected(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Runs a request's handler and returns its response, or none if the caller disconnects first. The handler
    /// is not started if the caller disconnected while its request was in transit.
    async fn run_handler(
        &mut self,
        handler: LocalBoxFuture<'static, HttpResponse>,
    ) -> Option<HttpResponse> {
        if self.buffer.is_empty() && self.is_disconnected() {
            return None;
        }
        let mut handler = handler;
        loop {
            let may_read = self.buffer.len() < READ_AHEAD_BYTES;
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.buffer), if may_read => match read {
                    Ok(0) => return None,
                    Ok(_) => {}
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return None,
                },
                response = &mut handler => return Some(response),
            }
        }
    }

    /// Writes a response. If it is the last one, `linger_ms` is set, and the connection is closed once the caller
    /// has closed it or after that time. Returns false if the response could not be encoded, or not be written
    /// within [`WRITE_TIMEOUT_MS`].
    async fn write_response(&mut self, response: HttpResponse, linger_ms: Option<u64>) -> bool {
        let mut headers = response.headers;
        strip_connection_headers(&mut headers);
        let mut head = Response::with_body(response.status, ());
        *head.headers_mut() = headers;
        if linger_ms.is_some() {
            head.head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
            let close = HeaderValue::from_static("close");
            head.headers_mut().insert(header::CONNECTION, close);
        }
        let size = BodySize::Sized(response.body.len() as u64);
        let mut bytes = BytesMut::with_capacity(response.body.len() + 512);
        let encoded = self
            .codec
            .encode(Message::Item((head, size)), &mut bytes)
            .and_then(|()| {
                let chunk = (!response.body.is_empty()).then_some(response.body);
                chunk.map_or(Ok(()), |body| {
                    self.codec.encode(Message::Chunk(Some(body)), &mut bytes)
                })
            });
        if let Err(error) = encoded {
            log::warn!("failed to encode a response: {error}");
            return false;
        }
        let write = self.stream.write_all(&bytes);
        let written = timeout(Duration::from_millis(WRITE_TIMEOUT_MS), write).await;
        let is_written = matches!(written, Ok(Ok(())));
        if let Some(linger_ms) = linger_ms.filter(|_| is_written) {
            self.close_gracefully(linger_ms).await;
        }
        is_written
    }

    /// Closes the connection after the caller has, or after `linger_ms` milliseconds. Closing with unread bytes
    /// would send a reset, which could discard the response before the caller reads it.
    async fn close_gracefully(&mut self, linger_ms: u64) {
        if let Err(error) = self.stream.shutdown().await {
            log::debug!("failed to shut down a connection after its last response: {error}");
            return;
        }
        let (stream, buffer) = (&mut self.stream, &mut self.buffer);
        let drain = async {
            loop {
                buffer.clear();
                buffer.reserve(UNREAD_BUFFER_BYTES);
                if !matches!(stream.read_buf(buffer).await, Ok(1..)) {
                    return;
                }
            }
        };
        let _result = timeout(Duration::from_millis(linger_ms), drain).await;
    }
}

/// Returns the size of the body that the head of a request announces.
fn content_length(request: &Request) -> Option<usize> {
    let value = request.head().headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Time limit for a caller to close its side after the last response, in milliseconds: some round trips.
const LINGER_MS: u64 = 100;
