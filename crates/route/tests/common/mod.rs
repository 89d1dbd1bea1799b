//! Builders of records and events, and a driver of the router.

use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_kernel::state::StateCell;
use jy_route::api::AttemptOutcome;
use jy_route::api::RouteAction;
use jy_route::api::RouteEvent;
use jy_route::api::RouteRequest;
use jy_route::api::RouteSettings;
use jy_route::core::RouteState;
use jy_types::key::KeyHash;
use jy_types::record::Record;
use jy_types::time::Millis;
use serde_json::json;

/// Drives a router with events at a simulated time.
pub struct RouteDriver {
    state: StateCell<RouteState>,
    pub now: Millis,
}

impl RouteDriver {
    /// Creates a router with the given fleet view.
    pub fn with_view(view: FleetView) -> Self {
        let mut driver = Self {
            state: StateCell::new(RouteState::new(RouteSettings::default(), 1)),
            now: Millis(1_000),
        };
        driver.step(RouteEvent::View(Arc::new(view)));
        driver
    }

    /// Applies an event and returns the actions of the router.
    pub fn step(&mut self, event: RouteEvent) -> Vec<RouteAction> {
        let now = self.now;
        self.state.step(|state| state.step(now, event))
    }

    /// Advances the simulated time and applies a tick.
    pub fn advance(&mut self, elapsed_ms: u64) -> Vec<RouteAction> {
        self.now = self.now.plus(elapsed_ms);
        self.step(RouteEvent::Tick)
    }

    /// Ends an attempt with the given outcome and a reported load of 1.
    pub fn end_attempt(
        &mut self,
        ticket: u64,
        attempt: u32,
        end: AttemptOutcome,
    ) -> Vec<RouteAction> {
        self.step(RouteEvent::Ended {
            ticket,
            attempt,
            end,
            load: Some(1),
        })
    }

    /// Reads the state of the router.
    pub fn read<T>(&self, read: impl FnOnce(&RouteState) -> T) -> T {
        self.state.read(read)
    }
}

/// Fleet view with a service and three agents that serve it. If the service is keyed, the first agent owns
/// every slice of pages 0 to 15.
pub fn fleet(keyed: bool) -> FleetView {
    let mut records = vec![workspace(keyed)];
    records.extend((1..=3).map(|number| member(number, "live")));
    if keyed {
        records.extend((0..16).map(|page| assignment(page, Some(1))));
    }
    with_records(FleetView::new(), &records)
}

/// Adds records to a view. A record that cannot be parsed is missing from the view, which fails the test.
pub fn with_records(view: FleetView, records: &[Record]) -> FleetView {
    view.with_records(records, 1).0
}

/// Record of a workspace with one service.
pub fn workspace(keyed: bool) -> Record {
    let target = json!({"availability_percent": 99.9, "latency_percent": 99.0, "latency_ms": 18,
        "key_unavailable_ms": 5000});
    let service = json!({"name": "s", "keyed": keyed, "slots": 6, "connections": 110,
        "timeout_ms": 1000, "target": target});
    let value = json!({"name": "w", "zones": ["z1"], "services": [service]});
    record(&jy_types::record::workspace_key("w"), value)
}

/// Record of an agent that serves the service.
pub fn member(number: u16, state: &str) -> Record {
    let addr = format!("127.0.0.{number}:1");
    let value = json!({"id": {"name": format!("a{number}"), "incarnation": number},
        "state": state, "place": {"region": "r", "zone": "z1", "rack": "k"},
        "rpc_addr": addr, "forward_addr": addr, "operator_addr": addr,
        "endpoint": {"workspace": "w", "service": "s", "slots": 6, "checks_fence": true},
        "monitors": {"epoch": 0, "monitors": []}, "next_monitors": null, "term": 1});
    let id = jy_types::member::AgentId::new(format!("a{number}"), u64::from(number));
    record(&jy_types::record::member_key(&id), value)
}

/// Record of a page of the assignment in which one agent, or none, owns every slice.
pub fn assignment(page: u32, owner: Option<u16>) -> Record {
    let owners: Vec<_> = owner
        .map(|number| json!({"name": format!("a{number}"), "incarnation": number}))
        .into_iter()
        .collect();
    let grant = owner.map_or(json!({"f": 1}), |_| json!({"o": 0, "f": 1}));
    let value = json!({"term": 1, "generation": 1, "token": 1, "owners": owners,
        "slices": vec![grant; 1024], "pins": []});
    record(&jy_types::record::page_key("w", "s", page), value)
}

fn record(key: &str, value: serde_json::Value) -> Record {
    Record {
        key: key.into(),
        revision: 1,
        value: Some(value.to_string().into()),
    }
}

/// Event of a request whose deadline is at 3 s.
pub fn request(ticket: u64, keyed: bool, idempotent: bool) -> RouteEvent {
    RouteEvent::Arrive(RouteRequest {
        ticket,
        workspace: "w".into(),
        service: "s".into(),
        key: keyed.then(|| KeyHash::new("batch-1")),
        idempotent,
        deadline: Millis(3_000),
    })
}
