//! Who this agent is.

use std::rc::Rc;

use jy_config::agent::AgentSettings;
use jy_types::member::AgentId;
use jy_types::time::WallMillis;

/// Name of this service.
pub const SERVICE: &str = "identity";

/// Who this agent is, from its settings and a number drawn at its start.
#[derive(Debug)]
pub struct AgentIdentity {
    /// This incarnation.
    pub id: AgentId,
    /// The settings.
    pub settings: Rc<AgentSettings>,
    /// The wall clock at the start.
    pub started: WallMillis,
}

impl AgentIdentity {
    /// Draws a new incarnation.
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
