//! A pool of idle connections, kept by server address.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use tokio::time::timeout;

use crate::client::ExchangeError;
use crate::client::HttpConnection;
use crate::client::ResponseCheck;
use crate::client::Result;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::MemoryKind;
use crate::message::HttpRequest;
use crate::message::HttpResponse;

/// Time limits of one request, and which idle connections it may reuse.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Time limit for opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time limit for the complete response, in milliseconds.
    pub response_timeout_ms: u64,
    /// Connections that were idle for longer are not reused, in milliseconds.
    pub max_idle_ms: u64,
    /// Rate at which the request is sent, in bytes per millisecond; `None` sends it as fast as possible.
    pub max_bytes_per_ms: Option<u64>,
}

/// Idle connections, ready for another request.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<HttpConnection>>>,
    memory: Option<Rc<MemoryBudget>>,
    response_kind: MemoryKind,
}

impl ConnectionPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the budget from which responses take memory as they are read.
    #[must_use]
    pub fn with_memory(mut self, memory: Rc<MemoryBudget>) -> Self {
        self.memory = Some(memory);
        self
    }

    /// Sets as what responses are counted in the budget: [`MemoryKind::BackendResponse`] if the pool connects to the
    /// agent's own backend server.
    #[must_use]
    pub const fn with_response_kind(mut self, kind: MemoryKind) -> Self {
        self.response_kind = kind;
        self
    }

    /// Returns an empty pool with the same budget, for responses of other agents.
    #[must_use]
    pub fn with_same_memory(&self) -> Self {
        Self {
            memory: self.memory.clone(),
            ..Self::default()
        }
    }

    /// Whether there is memory for the response to a request that has not been sent.
    #[must_use]
    pub fn has_memory(&self) -> bool {
        self.memory.as_ref().is_none_or(|memory| memory.has_room())
    }

    /// Whether a request that has not been sent may be sent, as [`Self::has_memory`] says. If not, this counts a
    /// refusal, and the request is to be refused as not run.
    #[must_use]
    pub fn admits_unsent(&self) -> bool {
        let has_memory = self.has_memory();
        if let Some(memory) = self.memory.as_ref().filter(|_| !has_memory) {
            memory.record_refused();
        }
        has_memory
    }

    /// Sends a request on an idle connection, or on a new one if none can be reused. A connection carries each id
    /// at most once.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if no complete response was received; it states whether the request may have run.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
        check: Option<ResponseCheck<'_>>,
        options: SendOptions,
    ) -> Result<HttpResponse> {
        let connection = match self.take_idle(to, options.max_idle_ms, check) {
            Some(connection) => connection,
            None => {
                let connection = HttpConnection::connect(to, options.connect_timeout_ms).await?;
                connection.with_memory(self.memory.clone(), self.response_kind)
            }
        };
        let exchange_future = connection.exchange(request, check, options.max_bytes_per_ms);
        let limit = Duration::from_millis(options.response_timeout_ms);
        let Ok(result) = timeout(limit, exchange_future).await else {
            let cause = "no answer in time".into();
            return Err(ExchangeError::OutcomeUnknown {
                to,
                cause,
                is_cut: false,
            });
        };
        let outcome = result?;
        if let Some(connection) = outcome.connection {
            self.idle
                .borrow_mut()
                .entry(to)
                .or_default()
                .push(connection);
        }
        Ok(outcome.response)
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, to: SocketAddr) {
        self.idle.borrow_mut().remove(&to);
    }

    /// Takes the most recently used connection that can be reused, and closes those that can't.
    fn take_idle(
        &self,
        to: SocketAddr,
        max_idle_ms: u64,
        check: Option<ResponseCheck<'_>>,
    ) -> Option<HttpConnection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&to)?;
        connections.retain(|connection| !connection.is_expired(now));
        let mut index = connections.len();
        while index > 0 {
            index -= 1;
            let connection = &connections[index];
            if check.is_some_and(|check| connection.has_carried(check.id)) {
                continue;
            }
            let connection = connections.remove(index);
            if connection.is_reusable(now, max_idle_ms) {
                return Some(connection);
            }
        }
        if connections.is_empty() {
            idle.remove(&to);
        }
        None
    }
}
