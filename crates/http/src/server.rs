//! Connections of callers: whole requests in, whole answers out, and notice of callers that leave.

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

use crate::message::HttpAnswer;
use crate::message::HttpRequest;
use crate::message::codec_config;
use crate::message::strip_connection_headers;

/// Result of this module.
type Result<T> = std::result::Result<T, ReadError>;

/// Wait after a failed accept, in milliseconds: long enough for descriptors to come free.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Longest time for writing an answer to a caller that does not read, in milliseconds; the longest
/// time limit of callers in the deployments is 5 s.
const WRITE_MS: u64 = 5_000;

/// Bytes read ahead while a request runs.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to its last, in milliseconds.
    pub read_ms: u64,
    /// Longest time without a request, in milliseconds.
    pub idle_ms: u64,
}

/// Handles one request; dropped when the caller leaves.
pub type HandleFn = Rc<dyn Fn(HttpRequest, Millis) -> LocalBoxFuture<'static, HttpAnswer>>;

/// Reads the limits in force.
pub type LimitsFn = Rc<dyn Fn() -> ReadLimits>;

/// One listener's connections and how they end.
#[derive(Clone)]
pub struct HttpListener {
    handle: HandleFn,
    limits: LimitsFn,
    closing: watch::Sender<bool>,
    running: Rc<Cell<usize>>,
}

/// Why a request was not read.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection ended or stayed idle.
    #[error("the connection ended")]
    Ended,
    /// The request breaks a limit or the protocol.
    #[error("the request is refused with status {0}")]
    Refused(StatusCode),
}

/// Counts a connection or a request while it lives.
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
    /// Makes a listener without a socket.
    #[must_use]
    pub fn new(handle: HandleFn, limits: LimitsFn) -> Self {
        Self {
            handle,
            limits,
            closing: watch::Sender::new(false),
            running: Rc::default(),
        }
    }

    /// Binds an address and serves it until [`HttpListener::close`].
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let socket = TcpListener::bind(address).await?;
        let listener = self.clone();
        actix_rt::spawn(async move { listener.accept(socket).await });
        Ok(())
    }

    /// Stops accepting, and ends each connection with its next answer.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Requests that are being handled.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Accepts connections until the listener closes.
    async fn accept(&self, socket: TcpListener) {
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let listener = self.clone();
                    actix_rt::spawn(async move { listener.connection(stream).await });
                }
                Err(error) => {
                    log::warn!("a connection was not accepted: {error}");
                    sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    /// Serves one connection to its end.
    async fn connection(&self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection without nodelay: {error}");
        }
        let mut caller = CallerConnection {
            stream,
            codec: Codec::new(codec_config()),
            buffer: BytesMut::new(),
        };
        loop {
            let request = match self.next_request(&mut caller).await {
                Ok(request) => request,
                Err(ReadError::Ended) => return,
                Err(ReadError::Refused(status)) => {
                    let answer = HttpAnswer::new(status, "the request was not understood\n");
                    caller.answer(answer, true).await;
                    return;
                }
            };
            let read = clock::now();
            let running = CountGuard::new(&self.running);
            let handling = (self.handle)(request, read);
            let Some(answer) = caller.run(handling).await else {
                return;
            };
            let is_last = *self.closing.borrow() || !caller.codec.keep_alive();
            let is_written = caller.answer(answer, is_last).await;
            drop(running);
            if is_last || !is_written {
                return;
            }
        }
    }

    /// Waits for a request and reads it whole.
    ///
    /// # Errors
    ///
    /// [`ReadError`].
    async fn next_request(&self, caller: &mut CallerConnection) -> Result<HttpRequest> {
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
        timeout(limit, caller.read_request(limits))
            .await
            .unwrap_or(Err(ReadError::Refused(StatusCode::REQUEST_TIMEOUT)))
    }
}

/// One caller's connection.
struct CallerConnection {
    stream: TcpStream,
    codec: Codec,
    buffer: BytesMut,
}

impl CallerConnection {
    /// Reads some bytes.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`].
    async fn fill(&mut self) -> Result<()> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadError::Ended),
            Ok(_) => Ok(()),
        }
    }

    /// Reads one part of a request.
    ///
    /// # Errors
    ///
    /// [`ReadError`].
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
                    log::debug!("a request was not understood: {error}");
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

    /// Reads a whole request.
    ///
    /// # Errors
    ///
    /// [`ReadError`].
    async fn read_request(&mut self, limits: ReadLimits) -> Result<HttpRequest> {
        let Message::Item(mut request) = self.read_message(limits).await? else {
            return Err(ReadError::Refused(StatusCode::BAD_REQUEST));
        };
        let target: Name = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .into();
        if request.head().expect() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            let written = self.stream.write_all(interim).await;
            written.map_err(|_| ReadError::Ended)?;
        }
        let body = self.read_body(limits).await?;
        Ok(HttpRequest {
            method: request.method().clone(),
            target,
            headers: std::mem::take(request.headers_mut()),
            body,
        })
    }

    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// [`ReadError`].
    async fn read_body(&mut self, limits: ReadLimits) -> Result<Bytes> {
        let mut body = BytesMut::new();
        if matches!(self.codec.message_type(), actix_http::h1::MessageType::None) {
            return Ok(body.freeze());
        }
        while let Message::Chunk(Some(chunk)) = self.read_message(limits).await? {
            body.extend_from_slice(&chunk);
            if body.len() > limits.body_bytes {
                return Err(ReadError::Refused(StatusCode::PAYLOAD_TOO_LARGE));
            }
        }
        Ok(body.freeze())
    }

    /// Whether the caller closed the connection while its request was on its way. The runtime's own view
    /// may lag behind the socket, so the socket is asked.
    fn has_left(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Runs a request's handler until it answers, or returns none if the caller left. One that left while
    /// its request was on its way gets nothing run.
    async fn run(&mut self, handling: LocalBoxFuture<'static, HttpAnswer>) -> Option<HttpAnswer> {
        if self.buffer.is_empty() && self.has_left() {
            return None;
        }
        let mut handling = handling;
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
                answer = &mut handling => return Some(answer),
            }
        }
    }

    /// Writes an answer; false if the caller did not take it.
    async fn answer(&mut self, answer: HttpAnswer, is_last: bool) -> bool {
        let mut headers = answer.headers;
        strip_connection_headers(&mut headers);
        let mut response = Response::with_body(answer.status, ());
        *response.headers_mut() = headers;
        if is_last {
            response
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let size = BodySize::Sized(answer.body.len() as u64);
        let mut bytes = BytesMut::with_capacity(answer.body.len() + 512);
        let encoded = self
            .codec
            .encode(Message::Item((response, size)), &mut bytes)
            .and_then(|()| {
                let chunk = (!answer.body.is_empty()).then_some(answer.body);
                chunk.map_or(Ok(()), |body| {
                    self.codec.encode(Message::Chunk(Some(body)), &mut bytes)
                })
            });
        if let Err(error) = encoded {
            log::warn!("an answer could not be written down: {error}");
            return false;
        }
        let writing = self.stream.write_all(&bytes);
        let written = timeout(Duration::from_millis(WRITE_MS), writing).await;
        let is_written = matches!(written, Ok(Ok(())));
        if is_written && is_last {
            self.end().await;
        }
        is_written
    }

    /// Closes the connection without a reset that could overtake the answer.
    async fn end(&mut self) {
        if let Err(error) = self.stream.shutdown().await {
            log::debug!("a connection ended with its answer: {error}");
            return;
        }
        let mut rest = [0_u8; 1024];
        let draining = async { while matches!(self.stream.read(&mut rest).await, Ok(1..)) {} };
        let _is_over = timeout(Duration::from_millis(LINGER_MS), draining).await;
    }
}

/// Longest wait for a caller to close after the last answer, in milliseconds: some round trips.
const LINGER_MS: u64 = 100;
