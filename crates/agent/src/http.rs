//! HTTP listeners on the agent's own thread, and small helpers for requests and answers.
//!
//! The accept loop is the agent's own, since the workers of `actix-server` run on other threads and
//! the decisions live on one.

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

/// Result of this module.
pub type Result<T> = std::result::Result<T, BodyError>;

/// An HTTP answer.
pub type Answer = Response<BoxBody>;

/// Idle connections are closed after this long, in milliseconds.
pub const KEEP_ALIVE_MS: u64 = 30_000;

/// Wait after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is past the limit.
    #[error("the body has more than {limit} bytes; send less or raise limits.body_bytes")]
    TooLarge {
        /// The limit.
        limit: usize,
    },
    /// The connection ended within it.
    #[error("the body was cut short: {cause}")]
    Cut {
        /// What the connection said.
        cause: Name,
    },
}

/// Binds a listener.
///
/// # Errors
///
/// With the setting that names the address.
pub async fn bind(setting: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("could not listen on {address} ({setting}); is another process using the port?")
    })
}

/// Tells a listener's connections to close, and counts those that are open.
#[derive(Clone, Debug, Default)]
pub struct ConnectionDrain {
    open: Rc<Cell<usize>>,
    closing: Rc<Cell<bool>>,
    changed: Rc<Notify>,
}

impl ConnectionDrain {
    /// Makes a drain that closes nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Connections that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes idle connections now, and each other one after its answer.
    pub fn close(&self) {
        self.closing.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until connections are to close.
    async fn closed(self) {
        while !self.closing.get() {
            self.changed.notified().await;
        }
    }

    /// Counts a connection until the returned value is dropped.
    fn count(&self) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection(Rc::clone(&self.open))
    }
}

/// One open connection.
#[derive(Debug)]
struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
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
    let closing = drain.clone();
    let permits = Arc::new(Semaphore::new(limits.connections));
    let service = HttpService::build()
        .keep_alive(Duration::from_millis(KEEP_ALIVE_MS))
        .client_request_timeout(Duration::from_millis(limits.head_timeout_ms))
        .tcp_nodelay(true)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closing.clone().closed())
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
                let counted = drain.count();
                actix_rt::spawn(async move {
                    let _held = (permit, counted);
                    // A connection's own failure concerns its peer only.
                    drop(service.call((stream, Some(peer))).await);
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
        }
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// [`BodyError`].
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes> {
    let mut payload: Payload<BoxedPayloadStream> = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|cause| BodyError::Cut {
            cause: cause.to_string().into(),
        })?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns a header's value as text.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Answers with JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let text = serde_json::to_string(value).unwrap_or_default();
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Answers that the listener has no such path.
#[must_use]
pub fn not_found(paths: &[&str]) -> Answer {
    let hint = format!("this listener serves {}\n", paths.join(", "));
    Response::build(StatusCode::NOT_FOUND)
        .body(hint)
        .map_into_boxed_body()
}
