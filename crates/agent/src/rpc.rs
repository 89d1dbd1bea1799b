//! JSON-RPC listener for other agents. Calls are handed to the agent's thread over a channel.

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

/// Name of the listener's handle among the services.
pub const SERVICE: &str = "rpc";

/// Largest message between agents, in bytes.
const MESSAGE_LIMIT: u32 = 64 * 1024 * 1024;

/// Connections of other agents.
const CONNECTION_LIMIT: u32 = 2_000;

/// Code of the answer to a call that this agent can't take now.
const UNAVAILABLE_CODE: i32 = -32_000;

/// A call of another agent.
#[derive(Debug)]
pub enum PeerCall {
    /// It asks for support of its lease.
    Renew(Renewal),
    /// It asks for records.
    Pull(Pull),
    /// It has newer records.
    Offer(RevisionOffer),
    /// It votes.
    Vote(VoteNotice),
    /// It reports to the controller.
    Report(AgentReport),
    /// It released units.
    Release(ReleaseNotice),
    /// It hands a window over.
    Handover(WindowHandover),
}

/// A call with the way back.
type Envelope = (PeerCall, oneshot::Sender<Value>);

/// Starts the listener; `handle` is called on the agent's thread.
///
/// # Errors
///
/// If the address can't be listened on.
pub async fn start(
    address: SocketAddr,
    handle: Rc<dyn Fn(PeerCall) -> Value>,
) -> Result<ServerHandle> {
    let (sender, receiver) = unbounded_channel();
    actix_rt::spawn(deliver(receiver, handle));
    let server = Server::builder()
        .set_config(
            jsonrpsee::server::ServerConfig::builder()
                .max_request_body_size(MESSAGE_LIMIT)
                .max_response_body_size(MESSAGE_LIMIT)
                .max_connections(CONNECTION_LIMIT)
                .build(),
        )
        .build(address)
        .await
        .with_context(|| {
            format!("could not listen on {address} (listen.peer_rpc); is another process using the port?")
        })?;
    Ok(server.start(module(sender)?))
}

/// Hands calls to the agent one after the other.
async fn deliver(mut receiver: UnboundedReceiver<Envelope>, handle: Rc<dyn Fn(PeerCall) -> Value>) {
    while let Some((call, reply)) = receiver.recv().await {
        // The caller may have given up.
        drop(reply.send(handle(call)));
    }
}

/// Registers the methods.
///
/// # Errors
///
/// If a method is registered twice.
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

/// Registers one method whose message `wrap` makes a call of.
///
/// # Errors
///
/// If the method is registered already.
fn register<M: DeserializeOwned + Send + 'static>(
    module: &mut RpcModule<UnboundedSender<Envelope>>,
    method: &'static str,
    wrap: fn(M) -> PeerCall,
) -> Result<()> {
    module.register_async_method(method, move |params, sender, _| async move {
        let message: M = params.one()?;
        let (reply, answer) = oneshot::channel();
        let gone =
            || ErrorObjectOwned::owned(UNAVAILABLE_CODE, "the agent is stopping", None::<()>);
        sender.send((wrap(message), reply)).map_err(|_| gone())?;
        answer.await.map_err(|_| gone())
    })?;
    Ok(())
}
