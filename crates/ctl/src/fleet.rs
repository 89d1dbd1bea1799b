//! Client of the agents' operator listeners.

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

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

const MAX_CONCURRENT_CALLS: usize = 64;

const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// HTTP method of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallMethod {
    /// Reads state.
    Get,
    /// Requests an action.
    Post,
}

/// Sends one call to an agent and returns the response body. The arguments are the address, the method, and
/// the path with its query.
pub type FetchFn =
    Rc<dyn Fn(SocketAddr, CallMethod, String) -> LocalBoxFuture<'static, Result<Vec<u8>>>>;

/// A member and its own status, if it answers.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentObservation {
    /// The member as another agent records it.
    pub member: MemberStatus,
    /// Status that the member reports, or `None` without a valid answer from it.
    pub status: Option<AgentStatus>,
}

/// Client of all agents in the fleet, which are discovered through the given ones.
#[derive(Clone)]
pub struct FleetClient {
    agents: Vec<SocketAddr>,
    fetch: FetchFn,
}

impl FleetClient {
    /// Creates a client that calls agents over HTTP.
    #[must_use]
    pub fn new(agents: Vec<SocketAddr>) -> Self {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        let fetch: FetchFn = Rc::new(move |address, method, path| {
            Box::pin(send(client.clone(), address, method, path))
        });
        Self::with_fetch(agents, fetch)
    }

    /// Creates a client that sends its calls with `fetch`.
    #[must_use]
    pub fn with_fetch(agents: Vec<SocketAddr>, fetch: FetchFn) -> Self {
        Self { agents, fetch }
    }

    /// Reads from the first given agent that answers.
    ///
    /// # Errors
    ///
    /// [`CtlError::Refused`] as soon as an agent refuses the call, or the last agent's error if none answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut last = None;
        for address in &self.agents {
            match self.get_from(*address, path).await {
                Ok(answer) => return Ok(answer),
                Err(error @ CtlError::Refused { .. }) => return Err(error),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| CtlError::usage("missing option --agent", "add --agent")))
    }

    /// Reads from one agent.
    ///
    /// # Errors
    ///
    /// [`CtlError::Agent`] if it does not answer or its response is invalid, or [`CtlError::Refused`] if it
    /// refuses the call.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let body = self.call(address, CallMethod::Get, path).await?;
        serde_json::from_slice(&body).map_err(|cause| CtlError::Agent {
            address: address.to_string().into(),
            cause: format!("invalid response: {cause}"),
            hint: "check that this is the operator listener of an agent of this version",
        })
    }

    /// Sends a call to one agent and returns the response body.
    ///
    /// # Errors
    ///
    /// [`CtlError::Agent`] if it does not answer, or [`CtlError::Refused`] if it refuses the call.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: CallMethod,
        path: &str,
    ) -> Result<Vec<u8>> {
        (self.fetch)(address, method, path.to_owned()).await
    }

    /// Returns the members that have neither left nor been declared dead, sorted by identity.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub async fn active_members(&self) -> Result<Vec<MemberStatus>> {
        let mut members: Vec<MemberStatus> = self.get(MEMBERS_PATH).await?;
        members.retain(|member| !member.state.has_ended());
        members.sort_by(|left, right| left.id.cmp(&right.id));
        Ok(members)
    }

    /// Returns all active members with the status that each reports.
    ///
    /// # Errors
    ///
    /// As [`Self::get`]. A member that does not answer is no error and has no status.
    pub async fn observations(&self) -> Result<Vec<AgentObservation>> {
        let ask = |member: MemberStatus| async move {
            let answer: Result<AgentStatus> =
                self.get_from(member.operator_addr, STATUS_PATH).await;
            let status = answer.ok().filter(|status| status.id == member.id);
            AgentObservation { member, status }
        };
        let members = self.active_members().await?;
        let observations = stream::iter(members.into_iter().map(ask));
        Ok(observations.buffered(MAX_CONCURRENT_CALLS).collect().await)
    }

    /// Returns the active member with a name; the one with the highest incarnation if there are several.
    ///
    /// # Errors
    ///
    /// As [`Self::get`], or [`CtlError::Refused`] if no active member has the name.
    pub async fn find_member(&self, name: &str) -> Result<MemberStatus> {
        let members = self.active_members().await?;
        let found = members.iter().rfind(|member| &*member.id.name == name);
        if let Some(member) = found {
            return Ok(member.clone());
        }
        let names: Vec<_> = members.iter().map(|member| &member.id.name).collect();
        let hint = jy_config::reader::name_hint(name, &names);
        Err(CtlError::refused(
            format!("no active agent is named {name:?}"),
            hint,
        ))
    }
}

/// Returns the name of a member state.
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

/// Sends one call over HTTP and returns the response body.
///
/// # Errors
///
/// [`CtlError::Refused`] for a 4xx status, or [`CtlError::Agent`] for any other failure.
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
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|cause| error(cause.to_string()))?;
    let status = response.status();
    if status.is_success() {
        return Ok(body.to_vec());
    }
    if status.is_client_error() {
        return Err(refusal(address, status.as_u16(), &body));
    }
    Err(error(format!("HTTP status {status}")))
}

/// Returns the error for a call that an agent refused, with the detail from the response body.
fn refusal(address: SocketAddr, status: u16, body: &[u8]) -> CtlError {
    let text = String::from_utf8_lossy(body);
    let problem: Option<serde_json::Value> = serde_json::from_str(&text).ok();
    let detail = problem
        .as_ref()
        .and_then(|problem| problem.get("detail").unwrap_or(problem).as_str())
        .unwrap_or(text.trim())
        .to_owned();
    let message =
        format!("the agent at {address} refused the call with HTTP status {status}: {detail}");
    CtlError::refused(
        message,
        "check the given names, and that the address is the agent's operator listener",
    )
}
