//! JSON-RPC calls to other agents, over one persistent connection to each.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::client_transport::ws::Url;
use jsonrpsee::client_transport::ws::WsTransportClientBuilder;
use jsonrpsee::core::client::Client;
use jsonrpsee::core::client::ClientBuilder;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jy_types::name::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Name of this service.
pub const SERVICE: &str = "peers";

const CONNECT_TIMEOUT_MS: u64 = 500;

const CALL_TIMEOUT_MS: u64 = 1_500;

/// Result of a call to another agent.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection could be established; the call was not sent.
    #[error("could not connect to agent at {address}: {cause}")]
    Connect {
        /// Address of the agent.
        address: SocketAddr,
        /// Error of the connection.
        cause: Name,
    },
    /// No valid answer was received; the call may have been processed.
    #[error("agent at {address} returned no valid answer to {method}: {cause}")]
    NoAnswer {
        /// Address of the agent.
        address: SocketAddr,
        /// Method of the call.
        method: &'static str,
        /// Error of the connection or of the call.
        cause: Name,
    },
}

/// Connections to other agents.
#[derive(Default)]
pub struct PeerService {
    clients: RefCell<BTreeMap<SocketAddr, Arc<Client>>>,
}

impl PeerService {
    /// Creates the service without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls a method of the agent at an address.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] if no connection could be established, and [`PeerError::NoAnswer`] if
    /// the call returned no valid answer.
    pub async fn call<M: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &'static str,
        message: &M,
    ) -> Result<T> {
        let client = self.client(address).await?;
        let no_answer = |cause: String| PeerError::NoAnswer {
            address,
            method,
            cause: cause.into(),
        };
        let mut params = ArrayParams::new();
        params
            .insert(message)
            .map_err(|error| no_answer(error.to_string()))?;
        let result = client.request(method, params).await;
        result.map_err(|error| {
            if !client.is_connected() {
                self.remove_ended(address, &client);
            }
            no_answer(error.to_string())
        })
    }

    /// Closes the connections to all addresses for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.borrow_mut().retain(|address, _| keep(address));
    }

    /// Returns the open connection to an address, or establishes one.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] if no connection could be established.
    async fn client(&self, address: SocketAddr) -> Result<Arc<Client>> {
        let existing = self.clients.borrow().get(&address).cloned();
        if let Some(client) = existing.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let client = Arc::new(connect(address).await?);
        self.clients
            .borrow_mut()
            .insert(address, Arc::clone(&client));
        Ok(client)
    }

    /// Removes a connection that has ended, unless it has been replaced by another.
    fn remove_ended(&self, address: SocketAddr, client: &Arc<Client>) {
        let mut clients = self.clients.borrow_mut();
        if clients
            .get(&address)
            .is_some_and(|existing| Arc::ptr_eq(existing, client))
        {
            clients.remove(&address);
        }
    }
}

/// Connects to the agent at an address.
///
/// # Errors
///
/// Returns [`PeerError::Connect`] if no connection could be established.
async fn connect(address: SocketAddr) -> Result<Client> {
    let failed = |cause: String| PeerError::Connect {
        address,
        cause: cause.into(),
    };
    let url = Url::parse(&format!("ws://{address}")).map_err(|error| failed(error.to_string()))?;
    let (sender, receiver) = WsTransportClientBuilder::default()
        .connection_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .build(url)
        .await
        .map_err(|error| failed(error.to_string()))?;
    Ok(ClientBuilder::default()
        .request_timeout(Duration::from_millis(CALL_TIMEOUT_MS))
        .build_with_tokio(sender, receiver))
}

/// Calls a method of another agent without waiting for the answer.
pub fn notify<M: Serialize + 'static>(
    peers: &Rc<PeerService>,
    address: SocketAddr,
    method: &'static str,
    message: M,
) {
    let peers = Rc::clone(peers);
    actix_rt::spawn(async move {
        // Errors are ignored: messages that must arrive are repeated by their senders.
        drop(
            peers
                .call::<M, serde_json::Value>(address, method, &message)
                .await,
        );
    });
}
