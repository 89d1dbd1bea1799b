//! An HTTP server that reads complete requests, writes complete responses, and stops handling a request whose
//! caller disconnects.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use futures_util::future::LocalBoxFuture;
use jy_kernel::clock;
use jy_types::time::Millis;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::memory_budget::MemoryBudget;
use crate::memory_budget::MemoryKind;
use crate::memory_budget::MemoryShare;
use crate::message::HttpRequest;
use crate::message::HttpResponse;

mod connection;

use connection::CallerConnection;
use connection::WriteError;

/// Result of reading from a caller's connection.
type Result<T> = std::result::Result<T, ReadError>;

/// Wait before accepting again after a failure, in milliseconds: long enough for file descriptors to become
/// free.
const ACCEPT_RETRY_MS: u64 = 20;

/// A caller that reads nothing of its response for this long is disconnected, in milliseconds. The longest timeout
/// of callers in the deployments is 5 s.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Time limit for a caller to close its side after the last response, in milliseconds: some round trips.
const LINGER_MS: u64 = 100;

/// Limits on the size of a caller's requests and on the time for receiving them.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time limit from the first to the last byte of a request, in milliseconds.
    pub read_ms: u64,
    /// How long a connection without a request is kept open, in milliseconds.
    pub idle_ms: u64,
}

/// Handles one request, given with the time at which it was read. The future is dropped when the caller
/// disconnects.
pub type Handler = Rc<dyn Fn(HttpRequest, Millis) -> LocalBoxFuture<'static, HttpResponse>>;

/// Returns the limits that currently apply.
pub type LimitsFn = Rc<dyn Fn() -> ReadLimits>;

/// Returns the response to a request for which there is no memory.
pub type RefuseFn = Rc<dyn Fn() -> HttpResponse>;

/// Called with the headers of a request when they have arrived, before its body. May add headers for the handler.
pub type BeginFn = Rc<dyn Fn(&mut HeaderMap)>;

/// Whether the request with these headers is to be handled also without memory, if its body is small.
pub type EssentialFn = Rc<dyn Fn(&HeaderMap) -> bool>;

/// Retry delay of the default response to a request for which there is no memory, in seconds.
const DEFAULT_RETRY_S: &str = "1";

/// A listener, with the state that its connections share.
#[derive(Clone)]
pub struct HttpListener {
    handle: Handler,
    limits: LimitsFn,
    closing: watch::Sender<bool>,
    running: Rc<Cell<usize>>,
    memory: Rc<MemoryBudget>,
    refuse: RefuseFn,
    is_essential: Option<EssentialFn>,
    begin: Option<BeginFn>,
    write_timeout_ms: u64,
}

/// Why a request was not read.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection ended, stayed idle for too long, or was idle when the listener closed.
    #[error("connection ended")]
    Ended,
    /// The request exceeds a limit or violates the protocol.
    #[error("request rejected with status {0}")]
    Refused(StatusCode),
    /// The request does not fit into the budget.
    #[error("no memory for the request")]
    NoMemory,
}

/// Counts a request as running until the guard is dropped.
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
    /// Creates a listener that is not bound yet.
    #[must_use]
    pub fn new(handle: Handler, limits: LimitsFn) -> Self {
        Self {
            handle,
            limits,
            closing: watch::Sender::new(false),
            running: Rc::default(),
            memory: Rc::new(MemoryBudget::new(usize::MAX)),
            refuse: Rc::new(|| {
                let reason = "no memory for the request; retry later\n";
                HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, reason)
                    .with_header("retry-after", DEFAULT_RETRY_S)
            }),
            is_essential: None,
            begin: None,
            write_timeout_ms: WRITE_TIMEOUT_MS,
        }
    }

    /// Sets the budget for memory, which listeners and clients may share, and the response to requests that exceed
    /// it.
    #[must_use]
    pub fn with_memory(mut self, memory: Rc<MemoryBudget>, refuse: RefuseFn) -> Self {
        self.memory = memory;
        self.refuse = refuse;
        self
    }

    /// Sets which requests are handled also without memory. The callers of such a listener are other agents.
    #[must_use]
    pub fn with_essential(mut self, is_essential: EssentialFn) -> Self {
        self.is_essential = Some(is_essential);
        self
    }

    /// Sets what is called when the headers of a request have arrived.
    #[must_use]
    pub fn with_begin(mut self, begin: BeginFn) -> Self {
        self.begin = Some(begin);
        self
    }

    /// Sets after how long a caller is disconnected that reads nothing of its response, in milliseconds.
    #[must_use]
    pub const fn with_write_timeout_ms(mut self, write_timeout_ms: u64) -> Self {
        self.write_timeout_ms = write_timeout_ms;
        self
    }

    /// Binds an address and serves it in a new task until [`HttpListener::close`].
    ///
    /// # Errors
    ///
    /// The I/O error if the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let socket = TcpListener::bind(address).await?;
        let listener = self.clone();
        actix_rt::spawn(async move { listener.accept_connections(socket).await });
        Ok(())
    }

    /// Stops accepting connections, and closes each open one when it is idle or after its next response.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the number of requests being handled, including those whose response is being written.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Accepts connections until the listener closes.
    async fn accept_connections(&self, socket: TcpListener) {
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                _ = closing.wait_for(|closing| *closing) => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let listener = self.clone();
                    actix_rt::spawn(async move { listener.serve_connection(stream, peer).await });
                }
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    /// Serves one connection until it is closed.
    async fn serve_connection(&self, stream: TcpStream, peer: SocketAddr) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("failed to set TCP_NODELAY on a connection: {error}");
        }
        let mut caller = CallerConnection::new(stream, peer, self);
        loop {
            let (request, body_share) = match self.next_request(&mut caller).await {
                Ok(request) => request,
                Err(ReadError::Ended) => return,
                Err(ReadError::Refused(status)) => {
                    let response = HttpResponse::new(status, "the request was not understood\n");
                    self.write_response(&mut caller, response, Some(LINGER_MS))
                        .await;
                    return;
                }
                Err(ReadError::NoMemory) => {
                    self.record_refused();
                    caller.discard_buffer();
                    // The caller may read the response only once it has sent its body.
                    let linger_ms = (self.limits)().read_ms;
                    let response = (self.refuse)();
                    self.write_response(&mut caller, response, Some(linger_ms))
                        .await;
                    return;
                }
            };
            let read_at = clock::now();
            let running = CountGuard::new(&self.running);
            let handler = (self.handle)(request, read_at);
            let Some(response) = caller.run_handler(handler).await else {
                return;
            };
            drop(body_share);
            caller.release_buffer();
            let is_last = *self.closing.borrow() || !caller.keep_alive();
            let linger_ms = is_last.then_some(LINGER_MS);
            let is_written = self.write_response(&mut caller, response, linger_ms).await;
            drop(running);
            if is_last || !is_written {
                return;
            }
        }
    }

    /// Counts and logs a request that is refused for lack of memory.
    fn record_refused(&self) {
        let memory = &self.memory;
        memory.record_refused();
        log::warn!(
            "decision request refused: no memory, limit={} used={} heads={} bodies={} responses={} waiting={}",
            memory.limit_bytes(),
            memory.used_bytes(),
            memory.used_bytes_of(MemoryKind::Head),
            memory.used_bytes_of(MemoryKind::Body),
            memory.used_bytes_of(MemoryKind::Response)
                + memory.used_bytes_of(MemoryKind::BackendResponse),
            memory.waiting(),
        );
    }

    /// Writes a response, as [`CallerConnection::write_response`] does, and holds its memory until then. A response
    /// that is ready does not wait for memory.
    async fn write_response(
        &self,
        caller: &mut CallerConnection,
        mut response: HttpResponse,
        linger_ms: Option<u64>,
    ) -> bool {
        let share = response.memory.take().unwrap_or_else(|| {
            let mut share = self.memory.share(MemoryKind::Response);
            share.set_to(response.body.len());
            share
        });
        let written = caller.write_response(response, linger_ms.is_some(), self.write_timeout_ms);
        let is_written = match written.await {
            Ok(()) => true,
            Err(WriteError::Stalled) => {
                self.memory.record_stalled();
                log::info!(
                    "decision caller disconnected: it read nothing for {} ms, response={} bytes",
                    self.write_timeout_ms,
                    share.bytes()
                );
                false
            }
            Err(WriteError::Failed) => false,
        };
        drop(share);
        if let Some(linger_ms) = linger_ms.filter(|_| is_written) {
            caller.close_gracefully(linger_ms).await;
        }
        is_written
    }

    /// Waits for a request and reads it completely.
    ///
    /// # Errors
    ///
    /// [`ReadError::Ended`] if the connection ends, stays idle for too long, or is idle when the listener
    /// closes, [`ReadError::Refused`] if the request exceeds a limit or violates the protocol, and
    /// [`ReadError::NoMemory`] if it does not fit into the budget.
    async fn next_request(
        &self,
        caller: &mut CallerConnection,
    ) -> Result<(HttpRequest, MemoryShare)> {
        let limits = (self.limits)();
        let mut closing = self.closing.subscribe();
        if caller.is_idle() {
            let idle = timeout(Duration::from_millis(limits.idle_ms), caller.fill());
            tokio::select! {
                biased;
                filled = idle => filled.unwrap_or(Err(ReadError::Ended))?,
                _ = closing.wait_for(|closing| *closing) => return Err(ReadError::Ended),
            }
        }
        let limit = Duration::from_millis(limits.read_ms);
        timeout(limit, caller.read_request(limits, self))
            .await
            .unwrap_or(Err(ReadError::Refused(StatusCode::REQUEST_TIMEOUT)))
    }
}
