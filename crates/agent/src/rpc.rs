//! JSON-RPC listener for other agents. Calls are sent to the agent's thread over a channel.

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use anyhow::Result;
use jsonrpsee::RpcModule;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use jy_types::peer::AgentReport;
use jy_types::peer::HANDOVER_METHOD;
use jy_types::peer::OFFER_METHOD;
use jy_types::peer::PULL_METHOD;
use jy_types::peer::Pull;
use jy_types::peer::RELEASE_METHOD;
use jy_types::peer::RENEW_METHOD;
use jy_types::peer::REPORT_METHOD;
use jy_types::peer::ReleaseNotice;
use jy_types::peer::Renewal;
use jy_types::peer::RevisionOffer;
use jy_types::peer::VOTE_METHOD;
use jy_types::peer::VoteNotice;
use jy_types::peer::WindowHandover;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

/// Name under which the listener's handle is registered.
pub const SERVICE: &str = "rpc";

const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

const MAX_CONNECTIONS: u32 = 2_000;

/// JSON-RPC error code of the answer to a call that reaches an agent that is stopping.
const UNAVAILABLE_CODE: i32 = -32_000;

/// A call from another agent.
#[derive(Debug)]
pub enum PeerCall {
    /// Asks this agent, as a monitor, to support the caller's lease.
    Renew(Renewal),
    /// Asks for the records that the caller lacks.
    Pull(Pull),
    /// Offers the revision of the caller's records.
    Offer(RevisionOffer),
    /// Sends a monitor's vote to the controller.
    Vote(VoteNotice),
    /// Sends an agent's report to the controller.
    Report(AgentReport),
    /// Notifies the controller of released units.
    Release(ReleaseNotice),
    /// Hands the window of units over to their next owner.
    Handover(WindowHandover),
}

/// A call and the channel for its reply.
type Envelope = (PeerCall, oneshot::Sender<Value>);

/// Starts the listener. Calls are passed to `handle` on the agent's thread.
///
/// # Errors
///
/// Returns an error if the listener cannot be bound to the address.
pub async fn start(
    address: SocketAddr,
    handle: Rc<dyn Fn(PeerCall) -> Value>,
) -> Result<ServerHandle> {
    let (sender, receiver) = unbounded_channel();
    actix_rt::spawn(deliver(receiver, handle));
    let server = Server::builder()
        .set_config(
            jsonrpsee::server::ServerConfig::builder()
                .max_request_body_size(MAX_MESSAGE_BYTES)
                .max_response_body_size(MAX_MESSAGE_BYTES)
                .max_connections(MAX_CONNECTIONS)
                .build(),
        )
        .build(address)
        .await
        .with_context(|| {
            format!("could not listen on {address} (listen.peer_rpc); is another process using the port?")
        })?;
    Ok(server.start(module(sender)?))
}

/// Passes calls to `handle` one after the other and sends the replies back.
async fn deliver(mut receiver: UnboundedReceiver<Envelope>, handle: Rc<dyn Fn(PeerCall) -> Value>) {
    while let Some((call, reply)) = receiver.recv().await {
        // Sending fails if the caller no longer waits for the reply.
        drop(reply.send(handle(call)));
    }
}

/// Creates the module with the methods of this listener.
///
/// # Errors
///
/// Returns an error if a method is registered twice.
fn module(sender: UnboundedSender<Envelope>) -> Result<RpcModule<UnboundedSender<Envelope>>> {
    let mut module = RpcModule::new(sender);
    register(&mut module, RENEW_METHOD, PeerCall::Renew)?;
    register(&mut module, PULL_METHOD, PeerCall::Pull)?;
    register(&mut module, OFFER_METHOD, PeerCall::Offer)?;
    register(&mut module, VOTE_METHOD, PeerCall::Vote)?;
    register(&mut module, REPORT_METHOD, PeerCall::Report)?;
    register(&mut module, RELEASE_METHOD, PeerCall::Release)?;
    register(&mut module, HANDOVER_METHOD, PeerCall::Handover)?;
    Ok(module)
}

/// Registers one method, whose message `into_call` converts to a call.
///
/// # Errors
///
/// Returns an error if the method is already registered.
fn register<M: DeserializeOwned + Send + 'static>(
    module: &mut RpcModule<UnboundedSender<Envelope>>,
    method: &'static str,
    into_call: fn(M) -> PeerCall,
) -> Result<()> {
    module.register_async_method(method, move |params, sender, _| async move {
        let message: M = params.one()?;
        let (reply, answer) = oneshot::channel();
        let stopping =
            || ErrorObjectOwned::owned(UNAVAILABLE_CODE, "the agent is stopping", None::<()>);
        sender
            .send((into_call(message), reply))
            .map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    })?;
    Ok(())
}
