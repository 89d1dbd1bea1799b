//! Reads the response that belongs to a request.

use actix_http::ResponseHead;
use actix_http::StatusCode;
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
use crate::message::HttpResponse;
use crate::message::header_text;

/// Result with a description of why there is no complete response.
type Result<T> = std::result::Result<T, Name>;

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
}

/// Reads responses until one belongs to the request, and skips up to [`MAX_SKIPPED_RESPONSES`] others.
///
/// # Errors
///
/// A description if no complete response to the request can be read.
pub(super) async fn read_matching_response(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    codec: ClientCodec,
    check: Option<ResponseCheck<'_>>,
    is_head: bool,
) -> Result<ReadOutcome> {
    let mut codec = codec;
    for skipped in 0..=MAX_SKIPPED_RESPONSES {
        let mut outcome = read_response(reader, buffer, codec, is_head).await?;
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
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    mut codec: ClientCodec,
    is_head: bool,
) -> Result<ReadOutcome> {
    let mut informational = 0;
    let head = loop {
        let head = read_head(reader, buffer, &mut codec).await?;
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
    if matches!(codec.message_type(), MessageType::None) {
        let is_close_delimited = !is_head && may_have_body(status) && !has_content_length(&head);
        if !is_close_delimited {
            let body = Bytes::new();
            let response = HttpResponse {
                status,
                headers,
                body,
            };
            return Ok(ReadOutcome {
                response,
                codec,
                is_clean: is_keep_alive,
            });
        }
        let body = read_until_close(reader, buffer).await?;
        let response = HttpResponse {
            status,
            headers,
            body,
        };
        return Ok(ReadOutcome {
            response,
            codec,
            is_clean: false,
        });
    }
    let (body, codec) = read_body(reader, buffer, codec).await?;
    let response = HttpResponse {
        status,
        headers,
        body,
    };
    Ok(ReadOutcome {
        response,
        codec,
        is_clean: is_keep_alive,
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

/// Reads the head of a response.
///
/// # Errors
///
/// A description if the head is malformed, its status is not defined by HTTP, or the connection ends before it is
/// complete.
async fn read_head(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    codec: &mut ClientCodec,
) -> Result<ResponseHead> {
    use tokio_util::codec::Decoder;
    loop {
        match codec.decode(buffer) {
            Ok(Some(head)) if head.status.as_u16() > MAX_STATUS => {
                return Err(format!("the answer has the undefined status {}", head.status).into());
            }
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(error) => return Err(error.to_string().into()),
        }
        read_more(reader, buffer).await?;
    }
}

/// Reads a body that is delimited by its length or by chunked encoding.
///
/// # Errors
///
/// A description if the body is malformed or the connection ends before it is complete.
async fn read_body(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    codec: ClientCodec,
) -> Result<(Bytes, ClientCodec)> {
    use tokio_util::codec::Decoder;
    let mut codec = codec.into_payload_codec();
    let mut body = BytesMut::new();
    loop {
        match codec.decode(buffer) {
            Ok(Some(Some(chunk))) => {
                check_length(body.len() + chunk.len())?;
                body.extend_from_slice(&chunk);
            }
            Ok(Some(None)) => return Ok((body.freeze(), codec.into_message_codec())),
            Ok(None) => read_more(reader, buffer).await?,
            Err(error) => return Err(error.to_string().into()),
        }
    }
}

/// Reads a body that is delimited by the end of the connection.
///
/// # Errors
///
/// A description if reading fails, for example on a reset: the end of the body may then be missing.
async fn read_until_close(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> Result<Bytes> {
    loop {
        match reader.read_buf(buffer).await {
            Ok(0) => return Ok(buffer.split().freeze()),
            Ok(_) => check_length(buffer.len())?,
            Err(error) => return Err(error.to_string().into()),
        }
    }
}

/// Checks the number of bytes of a body that were received.
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

/// Reads more bytes into `buffer`.
///
/// # Errors
///
/// A description if the connection ends or reading fails.
async fn read_more(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> Result<()> {
    match reader.read_buf(buffer).await {
        Ok(0) => Err("the connection ended before the answer".into()),
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string().into()),
    }
}
