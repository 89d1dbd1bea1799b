//! Identity of this agent.

use std::rc::Rc;

use jy_config::agent::AgentSettings;
use jy_types::member::AgentId;
use jy_types::time::WallMillis;

/// Name of this service.
pub const SERVICE: &str = "identity";

/// Identity of this agent: its settings, and its id with an incarnation drawn at random at the start.
#[derive(Debug)]
pub struct AgentIdentity {
    /// Name and incarnation of this agent.
    pub id: AgentId,
    /// Settings of this agent.
    pub settings: Rc<AgentSettings>,
    /// Wall-clock time at which the agent started.
    pub started: WallMillis,
}

impl AgentIdentity {
    /// Creates the identity, with a random incarnation.
    #[must_use]
    pub fn new(settings: Rc<AgentSettings>) -> Self {
        let id = AgentId::new(settings.name.clone(), rand::random());
        Self {
            id,
            settings,
            started: jy_kernel::clock::wall_now(),
        }
    }
}
