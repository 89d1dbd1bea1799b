//! Agents of a simulated fleet, with the fleet's settings and the events of a trace.

use std::collections::BTreeMap;

use jy_feed::view::ServiceKey;
use jy_types::key::Unit;
use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::Endpoint;
use jy_types::member::MemberRecord;
use jy_types::member::Place;
use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::api::ControlSettings;

/// Settings of a simulated fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Settings of the controller.
    pub control: ControlSettings,
    /// Availability zones of each region.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Racks of each availability zone.
    pub racks: usize,
    /// Agents at the start. Agent `i` is in availability zone `i` modulo the number of zones of all regions.
    pub agents: usize,
    /// Number of agents that may be the controller, starting with the first.
    pub candidates: usize,
    /// Number of keyed services. They are assigned to agents round-robin.
    pub services: usize,
    /// Requests per second of each service.
    pub rate: f64,
    /// Number of distinct keys requested of each service.
    pub keys: u64,
    /// Exponent of the keys' Zipf distribution; zero for an even load.
    pub exponent: f64,
    /// Whether agents report rates with Poisson noise instead of exact ones.
    pub noise: bool,
    /// One-way delay of a call of the store, in milliseconds.
    pub store_delay_ms: u64,
    /// Longest time until a record reaches an agent, in milliseconds.
    pub spread_ms: u64,
    /// Longest time that requests in flight delay a release, in milliseconds.
    pub drain_ms: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            control: ControlSettings::default(),
            zones: 3,
            regions: 1,
            racks: 2,
            agents: 9,
            candidates: 3,
            services: 1,
            rate: 0.0,
            keys: 1_000_000,
            exponent: 0.0,
            noise: false,
            store_delay_ms: 3,
            spread_ms: 600,
            drain_ms: 60,
        }
    }
}

/// An event of a trace that is applied to a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetEvent {
    /// An agent's instance is lost.
    LoseAgent {
        /// Number of the agent.
        agent: usize,
    },
    /// All agents of an availability zone are lost.
    LoseZone {
        /// Number of the availability zone.
        zone: usize,
    },
    /// The controller is lost.
    LoseController,
    /// The controller's process is paused and then continues with the state it had.
    PauseController {
        /// Duration of the pause.
        millis: u64,
    },
    /// An agent asks to leave the fleet.
    Leave {
        /// Number of the agent.
        agent: usize,
    },
    /// A new agent joins the fleet.
    Join {
        /// Number of its availability zone.
        zone: usize,
    },
    /// Operators take an availability zone out of service.
    ZoneOut {
        /// Number of the availability zone.
        zone: usize,
    },
    /// Operators return an availability zone to service.
    ZoneIn {
        /// Number of the availability zone.
        zone: usize,
    },
    /// The store does not answer calls.
    StoreDown {
        /// Duration of the outage.
        millis: u64,
    },
    /// The delay of the store's calls changes.
    StoreDelay {
        /// One-way delay.
        millis: u64,
    },
    /// The answers to the next writes are lost.
    LoseAnswers {
        /// Number of answers.
        count: u32,
    },
    /// The hottest keys are replaced by new keys with the same rates.
    ChangeHottest {
        /// Number of keys.
        count: usize,
    },
    /// End of the trace. Has no effect except that the fleet runs up to this time.
    End,
}

/// One simulated agent.
#[derive(Clone, Debug)]
pub struct FakeAgent {
    /// Identity of the agent's incarnation.
    pub id: AgentId,
    /// Number of its availability zone.
    pub zone: usize,
    /// The service it serves.
    pub service: ServiceKey,
    /// When it was lost.
    pub lost_at: Option<Millis>,
    /// When it asked to leave.
    pub leaving_at: Option<Millis>,
    /// Units of planned moves that it has to release, with the time at which it is able to.
    pub pending_releases: BTreeMap<(ServiceKey, Unit), Millis>,
}

impl FakeAgent {
    /// Creates the agent with the given number.
    #[must_use]
    pub fn new(settings: &FleetSettings, number: usize, zone: usize) -> Self {
        Self {
            id: AgentId::new(format!("n{number:03}"), 1),
            zone,
            service: service_key(number % settings.services.max(1)),
            lost_at: None,
            leaving_at: None,
            pending_releases: BTreeMap::new(),
        }
    }

    /// Whether the agent is running.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.lost_at.is_none()
    }

    /// Returns the member record that the agent writes when it joins.
    #[must_use]
    pub fn record(&self, settings: &FleetSettings, number: usize) -> MemberRecord {
        let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let rack = number / (settings.zones * settings.regions).max(1) % settings.racks.max(1);
        MemberRecord {
            endpoint: Some(Endpoint {
                workspace: self.service.0.clone(),
                service: self.service.1.clone(),
                slots: 6,
                checks_fence: true,
            }),
            ..MemberRecord::new(
                self.id.clone(),
                Place::new(
                    format!("r{}", self.zone / settings.zones.max(1)),
                    zone_name(self.zone),
                    format!("z{}k{rack}", self.zone),
                ),
                AgentAddrs::new(addr),
            )
        }
    }
}

/// Returns the name of an availability zone.
#[must_use]
pub fn zone_name(zone: usize) -> Name {
    format!("z{zone}").into()
}

/// Returns the workspace and name of a service.
#[must_use]
pub fn service_key(service: usize) -> ServiceKey {
    ("w".into(), format!("s{service}").into())
}
