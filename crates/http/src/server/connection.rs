//! One caller's connection to a listener.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
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
use jy_types::name::Name;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use super::HttpListener;
use super::ReadError;
use super::ReadLimits;
use super::Result;
use crate::memory_budget::MemoryKind;
use crate::memory_budget::MemoryShare;
use crate::memory_budget::SMALL_BODY_BYTES;
use crate::message::HttpRequest;
use crate::message::HttpResponse;
use crate::message::codec_config;
use crate::message::strip_connection_headers;

/// Bytes of a large response that the kernel takes before it sends them. By default it takes megabytes, of which a
/// caller's reading would not be noticed before a third was sent. Half of this is the least that a caller must read
/// in [`WRITE_TIMEOUT_MS`].
const UNSENT_BYTES: u32 = 32 * 1024;

/// Maximum number of bytes read ahead while a request is handled.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Number of bytes read ahead that do not depend on memory, so that it is noticed if a caller disconnects.
const MIN_READ_AHEAD_BYTES: usize = 4 * 1024;

/// Heads up to this size are received from other agents without memory, in bytes.
const SMALL_HEAD_BYTES: usize = 8 * 1024;

/// A connection keeps its buffer after requests up to this size, in bytes: it holds a usual request.
const MAX_IDLE_BUFFER_BYTES: usize = 8 * 1024;

/// Bytes that are read at once and discarded.
const UNREAD_BUFFER_BYTES: usize = 4 * 1024;

/// One caller's connection.
pub(super) struct CallerConnection {
    stream: TcpStream,
    peer: SocketAddr,
    codec: Codec,
    buffer: BytesMut,
    /// Memory for the head of the request and for what was read ahead.
    head_share: MemoryShare,
    /// Size of the head of the request, once it was read.
    head_bytes: usize,
    /// Number of bytes of the buffer that the last message used.
    decoded_bytes: usize,
    /// Whether the request is a `HEAD` request, so that no body follows the head of its response.
    is_head_request: bool,
    /// Whether the buffer may have grown for the request.
    has_large_buffer: bool,
    /// Whether the kernel takes at most [`UNSENT_BYTES`] before it sends them.
    has_unsent_limit: bool,
}

/// Why a response was not written.
#[derive(Debug, Error)]
pub(super) enum WriteError {
    /// The caller read nothing for too long.
    #[error("the caller does not read")]
    Stalled,
    /// The response could not be encoded, or the connection ended.
    #[error("connection ended")]
    Failed,
}

impl CallerConnection {
    /// Creates the connection of a caller that a listener has accepted.
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, listener: &HttpListener) -> Self {
        Self {
            stream,
            peer,
            codec: Codec::new(codec_config()),
            buffer: BytesMut::new(),
            head_share: listener.memory.share(MemoryKind::Head),
            head_bytes: 0,
            decoded_bytes: 0,
            is_head_request: false,
            has_large_buffer: false,
            has_unsent_limit: false,
        }
    }

    /// Whether no byte of another request has been read.
    pub(super) fn is_idle(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the caller lets the connection be used for another request.
    pub(super) fn keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Reads more bytes into the buffer.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends or reading fails.
    pub(super) async fn fill(&mut self) -> Result<()> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadError::Ended),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the head of a request or a chunk of its body. Heads up to `free_bytes` are read also without memory.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends, [`ReadError::Refused`] if the message is malformed or its head
    /// too large, and [`ReadError::NoMemory`] if it does not fit into the budget.
    async fn read_message(
        &mut self,
        limits: ReadLimits,
        free_bytes: usize,
    ) -> Result<Message<Request>> {
        loop {
            let length = self.buffer.len();
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(message)) => {
                    self.decoded_bytes = length - self.buffer.len();
                    return Ok(message);
                }
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
            if length > 0 {
                self.count_partial_head(free_bytes)?;
            }
            self.fill().await?;
        }
    }

    /// Counts the buffer of a message that has not arrived completely.
    ///
    /// # Errors
    ///
    /// [`ReadError::NoMemory`] if there is none.
    fn count_partial_head(&mut self, free_bytes: usize) -> Result<()> {
        let bytes = self.head_bytes + self.buffer.capacity();
        if bytes <= free_bytes {
            self.head_share.set_to(bytes);
        } else if !self.head_share.grow_to(bytes) {
            return Err(ReadError::NoMemory);
        }
        Ok(())
    }

    /// Reads a complete request.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends, [`ReadError::Refused`] if the request is malformed or too
    /// large, and [`ReadError::NoMemory`] if it does not fit into the budget of the listener.
    pub(super) async fn read_request(
        &mut self,
        limits: ReadLimits,
        listener: &HttpListener,
    ) -> Result<(HttpRequest, MemoryShare)> {
        let is_essential = listener.is_essential.as_ref();
        let free_bytes = is_essential.map_or(0, |_| SMALL_HEAD_BYTES);
        let Message::Item(mut request) = self.read_message(limits, free_bytes).await? else {
            return Err(ReadError::Refused(StatusCode::BAD_REQUEST));
        };
        if let Some(begin) = &listener.begin {
            begin(request.headers_mut());
        }
        self.is_head_request = request.method() == Method::HEAD;
        self.head_bytes = self.decoded_bytes;
        self.head_share.set_to(self.head_bytes + self.buffer.len());
        let target: Name = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .into();
        let announced_bytes = content_length(&request).unwrap_or_default();
        if announced_bytes > limits.body_bytes {
            return Err(ReadError::Refused(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut body_share = listener.memory.share(MemoryKind::Body);
        let is_small = announced_bytes <= SMALL_BODY_BYTES;
        if is_small
            && is_essential.is_some_and(|is_essential| is_essential(&request.head().headers))
        {
            body_share.set_to(announced_bytes);
        } else if !body_share.grow_to(announced_bytes) {
            return Err(ReadError::NoMemory);
        }
        if request.head().expect() {
            let continue_response = b"HTTP/1.1 100 Continue\r\n\r\n";
            let written = self.stream.write_all(continue_response).await;
            written.map_err(|_| ReadError::Ended)?;
        }
        let body = self
            .read_body(limits, announced_bytes, &mut body_share)
            .await?;
        self.has_large_buffer = self.head_bytes + body.len() > MAX_IDLE_BUFFER_BYTES;
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
    /// large, and [`ReadError::NoMemory`] if it does not fit into the budget.
    async fn read_body(
        &mut self,
        limits: ReadLimits,
        announced_bytes: usize,
        body_share: &mut MemoryShare,
    ) -> Result<Bytes> {
        // Growing by doubling would take up to twice the size of the body.
        let mut body = BytesMut::with_capacity(announced_bytes);
        if matches!(self.codec.message_type(), actix_http::h1::MessageType::None) {
            return Ok(body.freeze());
        }
        while let Message::Chunk(Some(chunk)) = self.read_message(limits, READ_AHEAD_BYTES).await? {
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
    pub(super) async fn run_handler(
        &mut self,
        handler: LocalBoxFuture<'static, HttpResponse>,
    ) -> Option<HttpResponse> {
        if self.buffer.is_empty() && self.is_disconnected() {
            return None;
        }
        let mut handler = handler;
        loop {
            let may_read = self.may_read_ahead();
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

    /// Whether more may be read while a request is handled. Beyond the first bytes, there must be memory for it.
    fn may_read_ahead(&mut self) -> bool {
        let length = self.buffer.len();
        if length == 0 {
            return true;
        }
        let counted_bytes = self.head_bytes + length;
        if length < MIN_READ_AHEAD_BYTES {
            self.head_share.set_to(counted_bytes);
            return true;
        }
        // The buffer grows by doubling.
        length < READ_AHEAD_BYTES && self.head_share.grow_to(counted_bytes + length)
    }

    /// Ends the use of memory by a request that was handled. Keeps what was read ahead.
    pub(super) fn release_buffer(&mut self) {
        self.head_bytes = 0;
        self.head_share.set_to(self.buffer.len());
        // The capacity does not tell how much memory the buffer holds.
        if self.has_large_buffer && self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Discards what was read of a request that is refused. No other request is read after it.
    pub(super) fn discard_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.release_buffer();
    }

    /// Writes a response. If it is the last one, its head says so.
    ///
    /// # Errors
    ///
    /// [`WriteError::Failed`] if the response can't be encoded or the connection ends, and [`WriteError::Stalled`] if
    /// the caller reads nothing for `timeout_ms`.
    pub(super) async fn write_response(
        &mut self,
        response: HttpResponse,
        is_last: bool,
        timeout_ms: u64,
    ) -> std::result::Result<(), WriteError> {
        let mut headers = response.headers;
        strip_connection_headers(&mut headers);
        let mut head = Response::with_body(response.status, ());
        *head.headers_mut() = headers;
        if is_last {
            head.head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
            let close = HeaderValue::from_static("close");
            head.headers_mut().insert(header::CONNECTION, close);
        }
        let size = BodySize::Sized(response.body.len() as u64);
        // A large body is written from the buffer in which it was received.
        let is_copied = response.body.len() <= SMALL_BODY_BYTES || self.is_head_request;
        let (copied, body) = if is_copied {
            (response.body, Bytes::new())
        } else {
            (Bytes::new(), response.body)
        };
        let mut bytes = BytesMut::with_capacity(copied.len() + 512);
        let encoded = self
            .codec
            .encode(Message::Item((head, size)), &mut bytes)
            .and_then(|()| {
                let chunk = (!copied.is_empty()).then_some(copied);
                chunk.map_or(Ok(()), |body| {
                    self.codec.encode(Message::Chunk(Some(body)), &mut bytes)
                })
            });
        if let Err(error) = encoded {
            log::warn!("failed to encode a response: {error}");
            return Err(WriteError::Failed);
        }
        if !is_copied {
            self.limit_unsent();
        }
        self.write_all(&bytes, timeout_ms).await?;
        if !is_copied {
            self.write_all(&body, timeout_ms).await?;
        }
        Ok(())
    }

    /// Makes the kernel take only [`UNSENT_BYTES`] ahead. A failure is only logged: a slow caller may then be taken
    /// for one that does not read.
    fn limit_unsent(&mut self) {
        if std::mem::replace(&mut self.has_unsent_limit, true) {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_tcp_notsent_lowat(UNSENT_BYTES) {
            log::warn!("failed to set TCP_NOTSENT_LOWAT on a connection: {error}");
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// [`WriteError::Failed`] if the connection ends, and [`WriteError::Stalled`] if none is written for `timeout_ms`.
    async fn write_all(
        &mut self,
        bytes: &[u8],
        timeout_ms: u64,
    ) -> std::result::Result<(), WriteError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let write = self.stream.write(rest);
            match timeout(Duration::from_millis(timeout_ms), write).await {
                Ok(Ok(count @ 1..)) => rest = &rest[count..],
                Ok(_) => return Err(WriteError::Failed),
                Err(_) => return Err(WriteError::Stalled),
            }
        }
        Ok(())
    }

    /// Closes the connection after the caller has, or after `linger_ms` milliseconds. Closing with unread bytes
    /// would send a reset, which could discard the response before the caller reads it.
    pub(super) async fn close_gracefully(&mut self, linger_ms: u64) {
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
