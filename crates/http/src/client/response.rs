//! Reads the response that belongs to a request.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Version;
use actix_http::h1::ClientCodec;
use actix_http::h1::MessageType;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use jy_types::name::Name;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;

use super::MAX_RESPONSE_BYTES;
use super::ResponseCheck;
use crate::head_syntax::check_head;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::MemoryKind;
use crate::memory_budget::MemoryShare;
use crate::memory_budget::SMALL_RESPONSE_BYTES;
use crate::message::HttpResponse;
use crate::message::codec_config;
use crate::message::header_text;

/// Result with a description of why there is no complete response.
type Result<T> = std::result::Result<T, Name>;

/// Bytes that a body in chunks may have beside its content: sizes and extensions of chunks, and trailers.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// Further such bytes for each byte of the content. Chunks of one byte need five.
const MAX_FRAMING_PER_BODY_BYTE: usize = 8;

/// Number of informational responses after which the exchange fails.
const MAX_INFORMATIONAL_RESPONSES: usize = 8;

/// Largest status that HTTP defines. The codec rejects statuses below 100, but not those above this one.
const MAX_STATUS: u16 = 599;

/// Number of responses to other requests that are skipped before the exchange fails.
const MAX_SKIPPED_RESPONSES: usize = 3;

/// A response that was read, with the codec for the next one.
pub(super) struct ReadOutcome {
    pub(super) response: HttpResponse,
    pub(super) codec: ClientCodec,
    /// Whether the connection may carry another request.
    pub(super) is_clean: bool,
    /// Whether the body was delimited by the end of the connection.
    pub(super) is_close_delimited: bool,
}

/// Where responses are read from.
pub(super) struct ResponseSource<'a, 'b> {
    pub(super) reader: &'a mut ReadHalf<'b>,
    /// Bytes that were read and not used yet.
    pub(super) buffer: &'a mut BytesMut,
    /// Budget from which responses take memory.
    pub(super) memory: Option<&'a Rc<MemoryBudget>>,
    /// As what responses are counted.
    pub(super) kind: MemoryKind,
    /// Number of bytes that were received.
    pub(super) received_bytes: usize,
    /// Set if the server ends the connection.
    pub(super) is_cut: &'a Cell<bool>,
}

/// Memory for the body of one response.
struct BodyMemory(Option<MemoryShare>);

impl BodyMemory {
    /// Extends the memory for a body whose size is known to be `bytes` bytes or, if it is not known, may reach the
    /// largest size of a response. Waits if there is none.
    async fn extend(&mut self, bytes: usize) {
        let Some(share) = &mut self.0 else {
            return;
        };
        if bytes <= SMALL_RESPONSE_BYTES {
            share.set_to(bytes);
        } else if share.bytes() < bytes {
            share.wait_for(bytes).await;
        }
    }

    /// Extends the memory for a body of unknown size that has reached `bytes` bytes. Past the size of a small response
    /// it takes what the largest one needs, so that it never waits a second time.
    async fn extend_unknown(&mut self, bytes: usize) {
        let is_small = bytes <= SMALL_RESPONSE_BYTES;
        let needed_bytes = if is_small { bytes } else { MAX_RESPONSE_BYTES };
        self.extend(needed_bytes).await;
    }

    /// Returns the memory of a body that was read and takes `bytes` bytes.
    fn finish(mut self, bytes: usize) -> Option<MemoryShare> {
        if let Some(share) = &mut self.0 {
            share.set_to(bytes);
        }
        self.0
    }
}

impl ResponseSource<'_, '_> {
    /// Returns the number of bytes that were received and decoded.
    fn decoded_bytes(&self) -> usize {
        self.received_bytes - self.buffer.len()
    }

    /// Returns the memory of a body of which nothing is known yet.
    fn body_memory(&self) -> BodyMemory {
        let memory = self.memory;
        BodyMemory(memory.map(|memory| memory.share(self.kind)))
    }
}

/// Reads responses until one belongs to the request, and skips up to [`MAX_SKIPPED_RESPONSES`] others.
///
/// # Errors
///
/// A description if no complete response to the request can be read.
pub(super) async fn read_matching_response(
    source: &mut ResponseSource<'_, '_>,
    codec: ClientCodec,
    check: Option<ResponseCheck<'_>>,
    is_head: bool,
) -> Result<ReadOutcome> {
    let mut codec = codec;
    for skipped in 0..=MAX_SKIPPED_RESPONSES {
        let mut outcome = read_response(source, codec, is_head).await?;
        let is_match = check.is_none_or(|check| {
            header_text(&outcome.response.headers, check.header) == Some(check.id)
        });
        if is_match {
            outcome.is_clean = outcome.is_clean && skipped == 0;
            return Ok(outcome);
        }
        if !outcome.is_clean {
            break;
        }
        codec = outcome.codec;
    }
    Err("the answer belongs to another request".into())
}

/// Reads one response.
///
/// # Errors
///
/// A description if the response is malformed or incomplete.
async fn read_response(
    source: &mut ResponseSource<'_, '_>,
    mut codec: ClientCodec,
    is_head: bool,
) -> Result<ReadOutcome> {
    let mut informational = 0;
    let head = loop {
        let head = read_head(source, &mut codec).await?;
        if !head.status.is_informational() {
            break head;
        }
        informational += 1;
        if informational > MAX_INFORMATIONAL_RESPONSES {
            return Err("too many informational responses".into());
        }
    };
    let is_keep_alive = codec.keep_alive() && !has_connection_close(&head);
    let (status, headers) = (head.status, head.headers().clone());
    let is_bodiless = matches!(codec.message_type(), MessageType::None);
    let is_close_delimited =
        is_bodiless && !is_head && may_have_body(status) && !has_content_length(&head);
    // A server may send a body although the status has none.
    let may_be_followed = !may_have_body(status) && states_body(&head);
    let (body, memory, codec) = if may_be_followed {
        // The codec expects that body.
        (Bytes::new(), None, ClientCodec::new(codec_config()))
    } else if is_close_delimited {
        let (body, memory) = read_until_close(source).await?;
        (body, memory, codec)
    } else if is_head {
        (Bytes::new(), None, codec)
    } else if is_bodiless {
        // The codec reads no body beside an `Upgrade` header.
        let length = content_length(&head).unwrap_or_default();
        let (body, memory) = read_length(source, length).await?;
        (body, memory, codec)
    } else {
        read_body(source, codec, content_length(&head)).await?
    };
    let response = HttpResponse {
        status,
        headers,
        body,
        memory,
    };
    Ok(ReadOutcome {
        response,
        codec,
        is_clean: is_keep_alive && !is_close_delimited && !may_be_followed,
        is_close_delimited,
    })
}

/// Whether a response has the header `Connection: close`.
fn has_connection_close(head: &ResponseHead) -> bool {
    let texts = head.headers().get_all(header::CONNECTION);
    texts
        .filter_map(|value| value.to_str().ok())
        .any(|text| text.to_ascii_lowercase().contains("close"))
}

/// Whether a response with this status may have a body.
fn may_have_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Whether a response has a `Content-Length` header.
fn has_content_length(head: &ResponseHead) -> bool {
    head.headers().contains_key(header::CONTENT_LENGTH)
}

/// Whether the head of a response says how a body is delimited.
fn states_body(head: &ResponseHead) -> bool {
    has_content_length(head) || head.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Returns the size of the body that the head of a response states, unless it is chunked.
fn content_length(head: &ResponseHead) -> Option<usize> {
    if head.headers().contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let value = head.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Reads the head of a response.
///
/// # Errors
///
/// A description if the head is malformed, [`check_meaning`] rejects it, or the connection ends before it is complete.
async fn read_head(
    source: &mut ResponseSource<'_, '_>,
    codec: &mut ClientCodec,
) -> Result<ResponseHead> {
    use tokio_util::codec::Decoder;
    loop {
        check_head(source.buffer)?;
        match codec.decode(source.buffer) {
            Ok(Some(head)) => {
                check_meaning(&head)?;
                return Ok(head);
            }
            Ok(None) => {}
            Err(error) => return Err(error.to_string().into()),
        }
        read_more(source).await?;
    }
}

/// Checks that a head says what its response is and where the body ends.
///
/// # Errors
///
/// A description if HTTP does not define its status, if it switches to another protocol, which no request asks for, if it
/// is informational and not one of HTTP/1.1 without a body, or if it gives the body both a length and an encoding that has
/// an end of its own.
fn check_meaning(head: &ResponseHead) -> Result<()> {
    if head.status.as_u16() > MAX_STATUS {
        return Err(format!("the answer has the undefined status {}", head.status).into());
    }
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err("the answer switches to another protocol".into());
    }
    // The codec would wait for a body, that of HTTP/1.0 being delimited by the end of the connection.
    if head.status.is_informational() && (states_body(head) || head.version != Version::HTTP_11) {
        return Err("an informational response states a body".into());
    }
    if has_content_length(head) && head.headers().contains_key(header::TRANSFER_ENCODING) {
        return Err("the answer has both a length and a transfer encoding".into());
    }
    Ok(())
}

/// Reads a body that is delimited by its length, which is given then, or by chunked encoding. Nothing is read while
/// there is no memory for it.
///
/// # Errors
///
/// A description if the body is malformed, too long, or the connection ends before it is complete.
async fn read_body(
    source: &mut ResponseSource<'_, '_>,
    codec: ClientCodec,
    length: Option<usize>,
) -> Result<(Bytes, Option<MemoryShare>, ClientCodec)> {
    use tokio_util::codec::Decoder;
    let mut codec = codec.into_payload_codec();
    let mut memory = source.body_memory();
    let length = length.unwrap_or_default();
    check_length(length)?;
    memory.extend(length).await;
    let mut body = BytesMut::with_capacity(length);
    let start = source.decoded_bytes();
    loop {
        match codec.decode(source.buffer) {
            Ok(Some(Some(chunk))) => {
                let length = body.len() + chunk.len();
                check_length(length)?;
                if length > body.capacity() {
                    let capacity = (body.capacity() * 2).clamp(length, MAX_RESPONSE_BYTES);
                    memory.extend_unknown(capacity).await;
                    body.reserve(capacity - body.len());
                }
                body.extend_from_slice(&chunk);
            }
            Ok(Some(None)) => {
                let memory = memory.finish(body.capacity());
                return Ok((body.freeze(), memory, codec.into_message_codec()));
            }
            Ok(None) => {
                check_framing(source.decoded_bytes() - start - body.len(), body.len())?;
                read_more(source).await?;
            }
            Err(error) => return Err(error.to_string().into()),
        }
    }
}

/// Reads a body of `length` bytes. Nothing is read while there is no memory for it.
///
/// # Errors
///
/// A description if the body is too long, or the connection ends before it is complete.
async fn read_length(
    source: &mut ResponseSource<'_, '_>,
    length: usize,
) -> Result<(Bytes, Option<MemoryShare>)> {
    check_length(length)?;
    let mut memory = source.body_memory();
    memory.extend(length).await;
    while source.buffer.len() < length {
        read_more(source).await?;
    }
    let body = source.buffer.split_to(length).freeze();
    let memory = memory.finish(body.len());
    Ok((body, memory))
}

/// Reads a body that is delimited by the end of the connection. Nothing is read while there is no memory for it.
///
/// # Errors
///
/// A description if reading fails, for example on a reset: the end of the body may then be missing.
async fn read_until_close(
    source: &mut ResponseSource<'_, '_>,
) -> Result<(Bytes, Option<MemoryShare>)> {
    let mut memory = source.body_memory();
    loop {
        memory.extend_unknown(source.buffer.len()).await;
        if read_bytes(source).await? > 0 {
            check_length(source.buffer.len())?;
            continue;
        }
        let memory = memory.finish(source.buffer.capacity());
        return Ok((source.buffer.split().freeze(), memory));
    }
}

/// Checks the number of bytes of a body.
///
/// # Errors
///
/// A description if they exceed [`MAX_RESPONSE_BYTES`].
fn check_length(length: usize) -> Result<()> {
    if length > MAX_RESPONSE_BYTES {
        let text = format!("the answer is longer than {MAX_RESPONSE_BYTES} bytes");
        return Err(text.into());
    }
    Ok(())
}

/// Checks the number of bytes that a body of `body_bytes` bytes has beside its content. The codec drops them, so that they
/// could go on until the time limit of the request.
///
/// # Errors
///
/// A description if there are too many.
fn check_framing(framing_bytes: usize, body_bytes: usize) -> Result<()> {
    if framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes {
        let text = format!("a body of {body_bytes} bytes has {framing_bytes} bytes of framing");
        return Err(text.into());
    }
    Ok(())
}

/// Reads more bytes into the buffer.
///
/// # Errors
///
/// A description if the connection ends or reading fails.
async fn read_more(source: &mut ResponseSource<'_, '_>) -> Result<()> {
    match read_bytes(source).await? {
        0 => Err("the connection ended before the answer".into()),
        _ => Ok(()),
    }
}

/// Reads bytes into the buffer and returns their number, which is 0 at the end of the connection.
///
/// # Errors
///
/// A description if reading fails.
async fn read_bytes(source: &mut ResponseSource<'_, '_>) -> Result<usize> {
    let result = source.reader.read_buf(source.buffer).await;
    source.is_cut.set(matches!(result, Ok(0) | Err(_)));
    let count = result.map_err(|error| Name::from(error.to_string()))?;
    source.received_bytes += count;
    Ok(count)
}
