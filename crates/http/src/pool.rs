//! Idle connections by server.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jy_kernel::clock;
use tokio::time::timeout;

use crate::client::AnswerCheck;
use crate::client::ExchangeError;
use crate::client::HttpConnection;
use crate::client::Result;
use crate::message::HttpAnswer;
use crate::message::HttpRequest;

/// How long one request may take and on which connections it may go.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Longest wait for a connection, in milliseconds.
    pub connect_ms: u64,
    /// Longest wait for the whole answer, in milliseconds.
    pub answer_ms: u64,
    /// Connections that rested for longer are not used, in milliseconds.
    pub rest_ms: u64,
}

/// Connections that rest between requests.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<HttpConnection>>>,
}

impl ConnectionPool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request on a resting connection or a new one.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`], which tells whether the request may have run.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
        check: Option<AnswerCheck<'_>>,
        terms: SendOptions,
    ) -> Result<HttpAnswer> {
        let connection = match self.take(to, terms.rest_ms) {
            Some(connection) => connection,
            None => HttpConnection::connect(to, terms.connect_ms).await?,
        };
        let waiting = connection.exchange(request, check);
        let limit = Duration::from_millis(terms.answer_ms);
        let Ok(result) = timeout(limit, waiting).await else {
            let cause = "no answer in time".into();
            return Err(ExchangeError::Unknown { to, cause });
        };
        let end = result?;
        if let Some(connection) = end.connection {
            self.idle
                .borrow_mut()
                .entry(to)
                .or_default()
                .push(connection);
        }
        Ok(end.answer)
    }

    /// Closes the resting connections to a server.
    pub fn forget(&self, to: SocketAddr) {
        self.idle.borrow_mut().remove(&to);
    }

    /// Takes the connection that rested least, if it still works, and drops those that are over.
    fn take(&self, to: SocketAddr, rest_ms: u64) -> Option<HttpConnection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let resting = idle.get_mut(&to)?;
        resting.retain(|connection| !connection.is_expired(now));
        while let Some(connection) = resting.pop() {
            if connection.is_reusable(now, rest_ms) {
                return Some(connection);
            }
        }
        idle.remove(&to);
        None
    }
}
