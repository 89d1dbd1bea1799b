//! HTTP listeners, and helpers for requests and answers.
//!
//! The accept loop runs on the agent's single thread, with the state machines. `actix-server` is not used
//! because its workers run on other threads.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::BoxedPayloadStream;
use actix_http::HttpService;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_rt::net::TcpListener;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use anyhow::Context;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use jy_config::agent::LimitSettings;
use jy_types::name::Name;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// An HTTP answer.
pub type Answer = Response<BoxBody>;

/// Idle timeout of connections that the listeners accepted, in milliseconds.
pub const KEEP_ALIVE_MS: u64 = 30_000;

/// Delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Reason why the body of a request could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body has more than {limit} bytes; send less or raise limits.body_bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The connection ended before the end of the body.
    #[error("the body was cut short: {cause}")]
    Truncated {
        /// Error of the connection.
        cause: Name,
    },
}

/// Binds a listener.
///
/// # Errors
///
/// Returns an error that names the address and its setting if the address can't be bound.
pub async fn bind(setting: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("could not listen on {address} ({setting}); is another process using the port?")
    })
}

/// Counts the open connections of a listener and closes them on request.
#[derive(Clone, Debug, Default)]
pub struct ConnectionDrain {
    open: Rc<Cell<usize>>,
    closing: Rc<Cell<bool>>,
    changed: Rc<Notify>,
}

impl ConnectionDrain {
    /// Creates a drain that has not been asked to close its connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Closes idle connections now and every other connection after its current answer.
    pub fn close(&self) {
        self.closing.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until [`Self::close`] is called.
    async fn close_requested(self) {
        while !self.closing.get() {
            self.changed.notified().await;
        }
    }

    /// Counts a connection as open until the returned guard is dropped.
    fn track(&self) -> OpenConnectionGuard {
        self.open.set(self.open.get() + 1);
        OpenConnectionGuard(Rc::clone(&self.open))
    }
}

/// Guard that counts one connection as open.
#[derive(Debug)]
struct OpenConnectionGuard(Rc<Cell<usize>>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Serves HTTP/1.1 on a listener with a handler. Never returns.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: LimitSettings,
    drain: ConnectionDrain,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let signal = drain.clone();
    let permits = Arc::new(Semaphore::new(limits.connections));
    let service = HttpService::build()
        .keep_alive(Duration::from_millis(KEEP_ALIVE_MS))
        .client_request_timeout(Duration::from_millis(limits.head_timeout_ms))
        .tcp_nodelay(true)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || signal.clone().close_requested())
        .h1(fn_service(move |request: Request| {
            let answer = handler(request);
            async move { Ok::<_, actix_http::Error>(answer.await) }
        }));
    let Ok(service) = service.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let service = Rc::clone(&service);
                let open_connection = drain.track();
                actix_rt::spawn(async move {
                    let _guards = (permit, open_connection);
                    // An error of one connection does not affect the listener.
                    drop(service.call((stream, Some(peer))).await);
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await,
        }
    }
}

/// Reads the complete body of a request.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body has more than `limit` bytes or the connection ends before its end.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes> {
    let mut payload: Payload<BoxedPayloadStream> = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|cause| BodyError::Truncated {
            cause: cause.to_string().into(),
        })?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns a header's value as text, or `None` if it is absent or not visible ASCII.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Creates an answer with a JSON body.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let text = serde_json::to_string(value).unwrap_or_default();
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Creates a 404 answer that lists the paths of the listener.
#[must_use]
pub fn not_found(paths: &[&str]) -> Answer {
    let text = format!("this listener serves {}\n", paths.join(", "));
    Response::build(StatusCode::NOT_FOUND)
        .body(text)
        .map_into_boxed_body()
}
