//! Fakes of the agents around a controller: they report, vote, release units and get lost.

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

/// Shape of a fake fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Settings of the controller.
    pub control: ControlSettings,
    /// Availability zones of each region.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// Racks of each zone.
    pub racks: usize,
    /// Agents at the start; agent `i` stands in zone `i` modulo all zones.
    pub agents: usize,
    /// Agents, from the first on, that may be the controller.
    pub candidates: usize,
    /// Keyed services; agents serve them in turn.
    pub services: usize,
    /// Requests a second of each service.
    pub rate: f64,
    /// Keys in use of each service.
    pub keys: u64,
    /// Exponent of the keys' Zipf distribution; zero for an even load.
    pub exponent: f64,
    /// Whether reports are counts of random requests.
    pub noise: bool,
    /// One-way delay of a store call, in milliseconds.
    pub store_delay_ms: u64,
    /// Longest time until an agent has heard of a record, in milliseconds.
    pub spread_ms: u64,
    /// Longest time that requests in flight hold up a release, in milliseconds.
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

/// What happens to a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetEvent {
    /// An agent's instance is lost.
    LoseAgent {
        /// Number of the agent.
        agent: usize,
    },
    /// All agents of a zone are lost.
    LoseZone {
        /// Number of the zone.
        zone: usize,
    },
    /// The controller is lost.
    LoseController,
    /// The controller freezes and returns as if nothing had happened.
    PauseController {
        /// For how long.
        millis: u64,
    },
    /// An agent wants to leave.
    Leave {
        /// Number of the agent.
        agent: usize,
    },
    /// A new agent joins.
    Join {
        /// Number of its zone.
        zone: usize,
    },
    /// Operators take a zone out.
    ZoneOut {
        /// Number of the zone.
        zone: usize,
    },
    /// Operators bring a zone back.
    ZoneIn {
        /// Number of the zone.
        zone: usize,
    },
    /// The store answers nobody.
    StoreDown {
        /// For how long.
        millis: u64,
    },
    /// Calls of the store take longer from now on.
    StoreDelay {
        /// One way.
        millis: u64,
    },
    /// Answers to the next writes are lost.
    LoseAnswers {
        /// How many.
        count: u32,
    },
    /// The hottest keys become others.
    ChangeHottest {
        /// How many.
        count: usize,
    },
    /// Nothing: time goes on up to here.
    End,
}

/// One fake agent.
#[derive(Clone, Debug)]
pub struct FakeAgent {
    /// The incarnation.
    pub id: AgentId,
    /// Number of its zone.
    pub zone: usize,
    /// The service it serves.
    pub service: ServiceKey,
    /// Since when it is lost.
    pub lost_at: Option<Millis>,
    /// Since when it wants to leave.
    pub leaving_at: Option<Millis>,
    /// Units that it is to release, with the point at which it has.
    pub moving: BTreeMap<(ServiceKey, Unit), Millis>,
}

impl FakeAgent {
    /// Makes the agent of a number.
    #[must_use]
    pub fn new(settings: &FleetSettings, number: usize, zone: usize) -> Self {
        Self {
            id: AgentId::new(format!("n{number:03}"), 1),
            zone,
            service: service_key(number % settings.services.max(1)),
            lost_at: None,
            leaving_at: None,
            moving: BTreeMap::new(),
        }
    }

    /// Whether it runs.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.lost_at.is_none()
    }

    /// Returns the record that it joins with.
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

/// Returns the name of a zone.
#[must_use]
pub fn zone_name(zone: usize) -> Name {
    format!("z{zone}").into()
}

/// Returns the key of a service.
#[must_use]
pub fn service_key(service: usize) -> ServiceKey {
    ("w".into(), format!("s{service}").into())
}
