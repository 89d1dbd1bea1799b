//! Reads requests and writes answers of a small JSON service.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_server::Server;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body that is read, in bytes.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// Time for a client to send a request's head, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 10_000;

/// Answers one request. The future is dropped when the connection closes.
pub type HandleFn = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Serves HTTP/1.1 on one thread until the process is told to stop.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve<F>(name: &str, listen: SocketAddr, handler: F) -> io::Result<()>
where
    F: Fn() -> HandleFn + Send + Clone + 'static,
{
    Server::build()
        .workers(1)
        .backlog(4096)
        .shutdown_timeout(1)
        .bind(name, listen, move || {
            let handle = handler();
            HttpService::build()
                .keep_alive(KeepAlive::Os)
                .client_request_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
                .h1_allow_half_closed(false)
                .tcp_nodelay(true)
                .h1(fn_service(move |request: Request| {
                    let answer = handle(request);
                    async move { Ok::<_, actix_http::Error>(answer.await) }
                }))
                .tcp()
        })?
        .run()
        .await
}

/// Reads a whole body, or returns the answer that refuses it.
///
/// # Errors
///
/// The refusal: the body is past the limit or was cut short.
pub async fn read_body(request: &mut Request) -> Result<Bytes, Response<BoxBody>> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| refuse(StatusCode::BAD_REQUEST, &error.to_string()))?;
        if body.len() + chunk.len() > BODY_LIMIT {
            return Err(refuse(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads a JSON body, or returns the answer that refuses it.
///
/// # Errors
///
/// The refusal: see [`read_body`], or the body is not the JSON that is expected.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response<BoxBody>> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| refuse(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Answers with JSON.
#[must_use]
pub fn answer_json(value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(body)
            .map_body(|_, body| body.boxed()),
        Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Answers with a status and one line of text.
#[must_use]
pub fn refuse(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain"))
        .body(format!("{text}\n"))
        .map_body(|_, body| body.boxed())
}

/// Returns a header's text.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.head().headers().get(name)?.to_str().ok()
}
