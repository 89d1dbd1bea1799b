//! One connection to a server: one request at a time, and an exact account of what became of it.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::time::Millis;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::timeout;

use crate::message::HttpAnswer;
use crate::message::HttpRequest;
use crate::message::codec_config;
use crate::message::header_text;

/// Result of this module.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Bytes that nobody acknowledges for this long end a connection, in milliseconds. It lies under the
/// shortest contact bound of the deployments, 3 s.
const UNACKNOWLEDGED_MS: u64 = 1_500;

/// Answers to other requests that are passed over before a connection is given up.
const FOREIGN_ANSWERS: usize = 3;

/// A connection without a stated idle time is reused for this long, in milliseconds.
const DEFAULT_REUSE_MS: u64 = 4_000;

/// A stated idle time is used up to this long before its end, in milliseconds: one second of rounding
/// in the header, and a half for the way.
const REUSE_MARGIN_MS: u64 = 1_500;

/// Header that states how long a server keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Why a request got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// No connection was made, or no byte of the request went out: it did not run.
    #[error("nothing was sent to {to}: {cause}")]
    NotSent {
        /// The server.
        to: SocketAddr,
        /// What the connection said.
        cause: Name,
    },
    /// The server refused the connection: no process listens there.
    #[error("{to} refuses connections")]
    NoListener {
        /// The server.
        to: SocketAddr,
    },
    /// Bytes went out and no whole answer came back: it may have run.
    #[error("no whole answer from {to}: {cause}")]
    Unknown {
        /// The server.
        to: SocketAddr,
        /// What the connection said.
        cause: Name,
    },
}

impl ExchangeError {
    /// Whether the request may have reached the server.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// How the answer to a request is recognized.
#[derive(Clone, Copy, Debug)]
pub struct AnswerCheck<'a> {
    /// Header that repeats the request's id.
    pub header: &'a str,
    /// The request's id.
    pub id: &'a str,
}

/// An open connection with no request on it.
pub struct HttpConnection {
    to: SocketAddr,
    stream: TcpStream,
    codec: ClientCodec,
    buffer: BytesMut,
    last_used: Millis,
    reuse_deadline: Millis,
}

/// An answer, and the connection if it can carry another request.
pub struct ExchangeOutcome {
    /// The whole answer.
    pub answer: HttpAnswer,
    /// The connection, if it is clean.
    pub connection: Option<HttpConnection>,
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NoListener`] or [`ExchangeError::NotSent`].
    pub async fn connect(to: SocketAddr, wait_ms: u64) -> Result<Self> {
        let not_sent = |cause: &str| ExchangeError::NotSent {
            to,
            cause: cause.into(),
        };
        let connecting = TcpStream::connect(to);
        let stream = match timeout(Duration::from_millis(wait_ms), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ExchangeError::NoListener { to });
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
        })
    }

    /// Whether the connection can still carry a request at `now` after resting at most `rest_ms`.
    #[must_use]
    pub fn is_reusable(&self, now: Millis, rest_ms: u64) -> bool {
        let is_fresh = now < self.reuse_deadline && now.since(self.last_used) <= rest_ms;
        is_fresh && self.is_quiet()
    }

    /// Whether the connection is past its idle time.
    #[must_use]
    pub fn is_expired(&self, now: Millis) -> bool {
        now >= self.reuse_deadline
    }

    /// Whether the server has sent nothing and not closed.
    fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        match self.stream.try_read(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`], which tells whether the request may have run.
    pub async fn exchange(
        mut self,
        request: &HttpRequest,
        check: Option<AnswerCheck<'_>>,
    ) -> Result<ExchangeOutcome> {
        let to = self.to;
        let bytes = self.encode(request)?;
        let written = Cell::new(0_usize);
        let codec = std::mem::replace(&mut self.codec, ClientCodec::new(codec_config()));
        let outcome = {
            let (mut reader, mut writer) = self.stream.split();
            let is_head = request.method == Method::HEAD;
            let buffer = &mut self.buffer;
            let reading = read_matching(&mut reader, buffer, codec, check, is_head);
            tokio::pin!(reading);
            let writing = write_counted(&mut writer, &bytes, &written);
            tokio::pin!(writing);
            let mut write_failure: Option<Name> = None;
            loop {
                tokio::select! {
                    biased;
                    result = &mut writing, if written.get() < bytes.len() && write_failure.is_none() => {
                        match result {
                            Ok(()) => {}
                            Err(error) if written.get() == 0 => {
                                let cause = error.to_string().into();
                                return Err(ExchangeError::NotSent { to, cause });
                            }
                            Err(error) => write_failure = Some(error.to_string().into()),
                        }
                    }
                    outcome = &mut reading => break outcome,
                }
            }
        };
        let is_sent_whole = written.get() == bytes.len();
        let ReadOutcome {
            answer,
            codec,
            is_clean,
        } = outcome.map_err(|cause| ExchangeError::Unknown { to, cause })?;
        self.codec = codec;
        let is_clean = is_clean && is_sent_whole && self.buffer.is_empty();
        let connection = is_clean.then(|| self.rested(&answer));
        Ok(ExchangeOutcome { answer, connection })
    }

    /// Writes a request's bytes.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if the request can't be written down.
    fn encode(&mut self, request: &HttpRequest) -> Result<BytesMut> {
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
        let mut bytes = BytesMut::with_capacity(request.body.len() + 512);
        let item = Message::Item((RequestHeadType::from(head), size));
        encode_message(&mut self.codec, item, &mut bytes).map_err(not_sent)?;
        if !request.body.is_empty() {
            let chunk = Message::Chunk(Some(request.body.clone()));
            encode_message(&mut self.codec, chunk, &mut bytes).map_err(not_sent)?;
        }
        Ok(bytes)
    }

    /// Notes until when the connection may be used again.
    fn rested(mut self, answer: &HttpAnswer) -> Self {
        let now = clock::now();
        let stated = header_text(&answer.headers, KEEP_ALIVE).and_then(stated_idle_ms);
        let rest_ms = stated.map_or(DEFAULT_REUSE_MS, |stated| {
            stated.saturating_sub(REUSE_MARGIN_MS)
        });
        self.last_used = now;
        self.reuse_deadline = now.plus(rest_ms);
        self
    }
}

/// Encodes one part of a request.
///
/// # Errors
///
/// What the codec says.
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

/// Sets the options of a connection to a server; a refused one is logged, since the connection works
/// without it.
fn set_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::warn!("connection without nodelay: {error}");
    }
    let limit = Duration::from_millis(UNACKNOWLEDGED_MS);
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(limit)) {
        log::warn!("connection without a limit on unacknowledged bytes: {error}");
    }
}

/// Reads the idle time out of a `Keep-Alive` header, in milliseconds.
fn stated_idle_ms(text: &str) -> Option<u64> {
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout.trim().parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

/// Writes all bytes and counts those that went out.
///
/// # Errors
///
/// What the connection says.
async fn write_counted(
    writer: &mut WriteHalf<'_>,
    bytes: &[u8],
    written: &Cell<usize>,
) -> std::io::Result<()> {
    while written.get() < bytes.len() {
        let count = writer.write(&bytes[written.get()..]).await?;
        if count == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        written.set(written.get() + count);
    }
    Ok(())
}

/// An answer that was read, with the codec for the next one.
struct ReadOutcome {
    answer: HttpAnswer,
    codec: ClientCodec,
    is_clean: bool,
}

/// Reads answers until one belongs to the request.
///
/// # Errors
///
/// Why no whole answer came.
async fn read_matching(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    codec: ClientCodec,
    check: Option<AnswerCheck<'_>>,
    is_head: bool,
) -> std::result::Result<ReadOutcome, Name> {
    let mut codec = codec;
    for passed_over in 0..=FOREIGN_ANSWERS {
        let mut end = read_one(reader, buffer, codec, is_head).await?;
        let is_own = check
            .is_none_or(|check| header_text(&end.answer.headers, check.header) == Some(check.id));
        if is_own {
            end.is_clean = end.is_clean && passed_over == 0;
            return Ok(end);
        }
        if !end.is_clean {
            break;
        }
        codec = end.codec;
    }
    Err("the answer belongs to another request".into())
}

/// Reads one answer.
///
/// # Errors
///
/// Why it is not whole.
async fn read_one(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    mut codec: ClientCodec,
    is_head: bool,
) -> std::result::Result<ReadOutcome, Name> {
    let head = loop {
        let head = read_head(reader, buffer, &mut codec).await?;
        if !head.status.is_informational() {
            break head;
        }
    };
    let is_kept = codec.keep_alive() && !closes(&head);
    let (status, headers) = (head.status, head.headers().clone());
    if matches!(codec.message_type(), MessageType::None) {
        let is_open_ended = !is_head && may_have_body(status) && !states_length(&head);
        if !is_open_ended {
            let body = Bytes::new();
            let answer = HttpAnswer {
                status,
                headers,
                body,
            };
            return Ok(ReadOutcome {
                answer,
                codec,
                is_clean: is_kept,
            });
        }
        let body = read_to_end(reader, buffer).await?;
        let answer = HttpAnswer {
            status,
            headers,
            body,
        };
        return Ok(ReadOutcome {
            answer,
            codec,
            is_clean: false,
        });
    }
    let (body, codec) = read_body(reader, buffer, codec).await?;
    let answer = HttpAnswer {
        status,
        headers,
        body,
    };
    Ok(ReadOutcome {
        answer,
        codec,
        is_clean: is_kept,
    })
}

/// Whether an answer says that its connection ends with it.
fn closes(head: &ResponseHead) -> bool {
    let texts = head.headers().get_all(header::CONNECTION);
    texts
        .filter_map(|value| value.to_str().ok())
        .any(|text| text.to_ascii_lowercase().contains("close"))
}

/// Whether an answer of this status may have a body.
fn may_have_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Whether an answer states the length of its body.
fn states_length(head: &ResponseHead) -> bool {
    head.headers().contains_key(header::CONTENT_LENGTH)
}

/// Reads the head of an answer.
///
/// # Errors
///
/// Why there is none.
async fn read_head(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    codec: &mut ClientCodec,
) -> std::result::Result<ResponseHead, Name> {
    use tokio_util::codec::Decoder;
    loop {
        match codec.decode(buffer) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(error) => return Err(error.to_string().into()),
        }
        read_more(reader, buffer).await?;
    }
}

/// Reads a body whose end its framing states.
///
/// # Errors
///
/// Why it is not whole.
async fn read_body(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    codec: ClientCodec,
) -> std::result::Result<(Bytes, ClientCodec), Name> {
    use tokio_util::codec::Decoder;
    let mut codec = codec.into_payload_codec();
    let mut body = BytesMut::new();
    loop {
        match codec.decode(buffer) {
            Ok(Some(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Some(None)) => return Ok((body.freeze(), codec.into_message_codec())),
            Ok(None) => read_more(reader, buffer).await?,
            Err(error) => return Err(error.to_string().into()),
        }
    }
}

/// Reads a body that ends with its connection.
///
/// # Errors
///
/// If the connection was reset: the body may lack its end.
async fn read_to_end(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> std::result::Result<Bytes, Name> {
    loop {
        match reader.read_buf(buffer).await {
            Ok(0) => return Ok(buffer.split().freeze()),
            Ok(_) => {}
            Err(error) => return Err(error.to_string().into()),
        }
    }
}

/// Reads some bytes.
///
/// # Errors
///
/// If the connection ended.
async fn read_more(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> std::result::Result<(), Name> {
    match reader.read_buf(buffer).await {
        Ok(0) => Err("the connection ended before the answer".into()),
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string().into()),
    }
}
