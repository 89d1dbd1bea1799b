//! Sends a request to the next hop and reads its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use awc::Client;
use awc::Connector;
use awc::error::SendRequestError;
use jy_kernel::clock;
use jy_types::name::Name;
use jy_types::request::REQUEST_ID_HEADER;
use jy_types::time::Millis;

use crate::exchange::CompleteAnswer;
use crate::exchange::RequestExchange;
use crate::http::header;
use crate::strict_eof;

/// Longest wait for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Idle connections are closed after this long, in milliseconds; before the other side does it.
const IDLE_MS: u64 = 15_000;

/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// How a send ended.
#[derive(Clone, Debug)]
pub enum SendOutcome {
    /// A whole answer of this request came back, with all its headers.
    Answered {
        /// The answer.
        answer: CompleteAnswer,
        /// Every header of it.
        headers: HeaderMap,
    },
    /// No byte of the request went out.
    NotSent(Name),
    /// Bytes went out and no whole answer of this request came back.
    Unknown(Name),
}

/// Makes a client with at most `connections` to each address.
#[must_use]
pub fn client(connections: usize) -> Client {
    let connector = Connector::new()
        .connector(strict_eof::connector())
        .limit(connections)
        .timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .conn_keep_alive(Duration::from_millis(IDLE_MS));
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

/// Sends a request with more headers; gives up at the deadline. A connection whose answer was late
/// or odd is closed, never used again.
pub async fn send(
    client: &Client,
    address: SocketAddr,
    exchange: &RequestExchange,
    more_headers: &[(&'static str, String)],
    deadline: Millis,
) -> SendOutcome {
    let left_ms = deadline.since(clock::now());
    if left_ms == 0 {
        return SendOutcome::NotSent("no time is left".into());
    }
    let mut request = client
        .request(
            exchange.method.clone(),
            format!("http://{address}{}", exchange.path),
        )
        .timeout(Duration::from_millis(left_ms));
    *request.headers_mut() = exchange.headers.clone();
    for (name, value) in more_headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    let mut response = match request.send_body(exchange.body.clone()).await {
        Ok(response) => response,
        Err(error) => return failed(&error),
    };
    let headers = response.headers().clone();
    if !states_length(response.status(), &headers, &exchange.method) {
        return SendOutcome::Unknown("the answer states no length".into());
    }
    let body = match response.body().limit(ANSWER_LIMIT).await {
        Ok(body) => body,
        Err(error) => return SendOutcome::Unknown(error.to_string().into()),
    };
    let echoed = header(&headers, REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed != &*exchange.request_id) {
        return SendOutcome::Unknown("the answer carries another request's id".into());
    }
    SendOutcome::Answered {
        answer: CompleteAnswer::new(response.status(), &headers, body),
        headers,
    }
}

/// Whether an answer tells where its body ends, or has none.
fn states_length(status: StatusCode, headers: &HeaderMap, method: &Method) -> bool {
    let has_no_body = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    has_no_body
        || header(headers, "content-length").is_some()
        || header(headers, "transfer-encoding").is_some()
}

/// Tells whether anything of a failed request went out.
fn failed(error: &SendRequestError) -> SendOutcome {
    let cause = error.to_string().into();
    log::debug!("send failed: {cause}");
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => SendOutcome::NotSent(cause),
        _ => SendOutcome::Unknown(cause),
    }
}
