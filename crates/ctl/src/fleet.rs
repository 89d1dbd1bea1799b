//! Calls to the agents' operators' listeners.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use jy_types::member::MemberState;
use jy_types::status::AgentStatus;
use jy_types::status::MEMBERS_PATH;
use jy_types::status::MemberStatus;
use jy_types::status::STATUS_PATH;
use serde::de::DeserializeOwned;

use crate::error::CtlError;
use crate::error::Result;

/// Longest wait for an agent's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Agents asked at the same time.
const CALLS_AT_ONCE: usize = 64;

/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallMethod {
    /// Reads.
    Get,
    /// Asks for something to be done.
    Post,
}

/// Sends one call to an agent: its address, the method, path and query; returns the body.
pub type FetchFn =
    Rc<dyn Fn(SocketAddr, CallMethod, String) -> LocalBoxFuture<'static, Result<Vec<u8>>>>;

/// A member and what it says about itself, if it answers.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentObservation {
    /// As another agent's records have it.
    pub member: MemberStatus,
    /// Its own answer.
    pub status: Option<AgentStatus>,
}

/// Client of all agents, found through the given ones.
#[derive(Clone)]
pub struct FleetClient {
    agents: Vec<SocketAddr>,
    fetch: FetchFn,
}

impl FleetClient {
    /// Makes a client over HTTP.
    #[must_use]
    pub fn new(agents: Vec<SocketAddr>) -> Self {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        let fetch: FetchFn = Rc::new(move |address, method, path| {
            Box::pin(send(client.clone(), address, method, path))
        });
        Self::with_fetch(agents, fetch)
    }

    /// Makes a client that sends its calls by `fetch`.
    #[must_use]
    pub fn with_fetch(agents: Vec<SocketAddr>, fetch: FetchFn) -> Self {
        Self { agents, fetch }
    }

    /// Reads from the first given agent that answers.
    ///
    /// # Errors
    ///
    /// The last agent's error if none answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut last = None;
        for address in &self.agents {
            match self.get_from(*address, path).await {
                Ok(answer) => return Ok(answer),
                Err(error @ CtlError::Refused { .. }) => return Err(error),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| CtlError::usage("--agent is missing", "add --agent")))
    }

    /// Reads from one agent.
    ///
    /// # Errors
    ///
    /// [`CtlError::Agent`] or [`CtlError::Refused`].
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let body = self.body(address, CallMethod::Get, path).await?;
        serde_json::from_slice(&body).map_err(|cause| CtlError::Agent {
            address: address.to_string().into(),
            cause: format!("its answer is not understood: {cause}"),
            hint: "check that this is the operators' listener of an agent of this version",
        })
    }

    /// Sends a call to one agent and returns the answer's body.
    ///
    /// # Errors
    ///
    /// [`CtlError::Agent`] or [`CtlError::Refused`].
    pub async fn body(
        &self,
        address: SocketAddr,
        method: CallMethod,
        path: &str,
    ) -> Result<Vec<u8>> {
        (self.fetch)(address, method, path.to_owned()).await
    }

    /// Returns the members that have neither left nor died, by name.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub async fn present(&self) -> Result<Vec<MemberStatus>> {
        let mut members: Vec<MemberStatus> = self.get(MEMBERS_PATH).await?;
        members.retain(|member| !member.state.has_ended());
        members.sort_by(|left, right| left.id.cmp(&right.id));
        Ok(members)
    }

    /// Asks every present member for its status.
    ///
    /// # Errors
    ///
    /// As [`Self::get`]; a member that does not answer has no status.
    pub async fn observations(&self) -> Result<Vec<AgentObservation>> {
        let ask = |member: MemberStatus| async move {
            let answer: Result<AgentStatus> =
                self.get_from(member.operator_addr, STATUS_PATH).await;
            let own = answer.ok().filter(|status| status.id == member.id);
            AgentObservation {
                member,
                status: own,
            }
        };
        let members = self.present().await?;
        let observations = stream::iter(members.into_iter().map(ask));
        Ok(observations.buffered(CALLS_AT_ONCE).collect().await)
    }

    /// Finds a present member by name.
    ///
    /// # Errors
    ///
    /// As [`Self::get`], or [`CtlError::Refused`] if there is none.
    pub async fn find(&self, name: &str) -> Result<MemberStatus> {
        let members = self.present().await?;
        let found = members.iter().rfind(|member| &*member.id.name == name);
        if let Some(member) = found {
            return Ok(member.clone());
        }
        let names: Vec<_> = members.iter().map(|member| &member.id.name).collect();
        let hint = jy_config::reader::name_hint(name, &names);
        Err(CtlError::refused(
            format!("no agent is named {name:?}"),
            hint,
        ))
    }
}

/// Names a member's state.
#[must_use]
pub const fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Joining => "joining",
        MemberState::Live => "live",
        MemberState::Leaving => "leaving",
        MemberState::Left => "left",
        MemberState::Dead => "dead",
    }
}

/// Sends one call over HTTP.
///
/// # Errors
///
/// [`CtlError::Agent`] without an answer, [`CtlError::Refused`] for a status of 4xx.
async fn send(
    client: Client,
    address: SocketAddr,
    method: CallMethod,
    path: String,
) -> Result<Vec<u8>> {
    let error = |cause: String| CtlError::Agent {
        address: address.to_string().into(),
        cause,
        hint: "check the address and that the agent is up, or give another --agent",
    };
    let url = format!("http://{address}{path}");
    let request = match method {
        CallMethod::Get => client.get(url),
        CallMethod::Post => client.post(url),
    };
    let mut response = request
        .send()
        .await
        .map_err(|cause| error(cause.to_string()))?;
    let body = response.body().limit(ANSWER_LIMIT).await;
    let body = body.map_err(|cause| error(cause.to_string()))?;
    let status = response.status();
    if status.is_success() {
        return Ok(body.to_vec());
    }
    if status.is_client_error() {
        return Err(refusal(address, status.as_u16(), &body));
    }
    Err(error(format!("it answered with status {status}")))
}

/// Describes a call that an agent refused.
fn refusal(address: SocketAddr, status: u16, body: &[u8]) -> CtlError {
    let text = String::from_utf8_lossy(body);
    let problem: Option<serde_json::Value> = serde_json::from_str(&text).ok();
    let detail = problem
        .as_ref()
        .and_then(|problem| problem.get("detail").unwrap_or(problem).as_str())
        .unwrap_or(text.trim())
        .to_owned();
    let message = format!("the agent at {address} refused the call with status {status}: {detail}");
    CtlError::refused(
        message,
        "check the names given, and that this is its operators' listener",
    )
}
