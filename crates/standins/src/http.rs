//! HTTP server of the stand-ins: reads request bodies and builds JSON and text answers.

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

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

const HEAD_TIMEOUT_MS: u64 = 10_000;

/// Handler of one request. Its future is dropped when the connection closes.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Serves HTTP/1.1 on one thread until the process is told to stop. `handler` makes the request handler on
/// that thread.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve<F>(name: &str, listen: SocketAddr, handler: F) -> io::Result<()>
where
    F: Fn() -> Handler + Send + Clone + 'static,
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

/// Reads a whole request body.
///
/// # Errors
///
/// The answer to send if the body exceeds [`MAX_BODY_BYTES`] or can't be read to its end.
pub async fn read_body(request: &mut Request) -> Result<Bytes, Response<BoxBody>> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let chunk =
            chunk.map_err(|error| answer_text(StatusCode::BAD_REQUEST, &error.to_string()))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(answer_text(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Reads a JSON request body.
///
/// # Errors
///
/// The answer to send if the body can't be read, see [`read_body`], or is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response<BoxBody>> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body)
        .map_err(|error| answer_text(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Builds an answer with a JSON body.
#[must_use]
pub fn answer_json(value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(body)
            .map_body(|_, body| body.boxed()),
        Err(error) => answer_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Builds an answer with a status and one line of text.
#[must_use]
pub fn answer_text(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain"))
        .body(format!("{text}\n"))
        .map_body(|_, body| body.boxed())
}

/// Returns the text of a header; `None` if it is missing or not visible ASCII.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.head().headers().get(name)?.to_str().ok()
}
