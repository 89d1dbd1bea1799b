//! Small makers of records and events.

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

/// A router that is driven step by step.
pub struct RouteDriver {
    state: StateCell<RouteState>,
    pub now: Millis,
}

impl RouteDriver {
    /// Makes a router over a fleet.
    pub fn over(view: FleetView) -> Self {
        let mut driver = Self {
            state: StateCell::new(RouteState::new(RouteSettings::default(), 1)),
            now: Millis(1_000),
        };
        driver.step(RouteEvent::View(Arc::new(view)));
        driver
    }

    /// Takes an event.
    pub fn step(&mut self, event: RouteEvent) -> Vec<RouteAction> {
        let now = self.now;
        self.state.step(|state| state.step(now, event))
    }

    /// Lets time pass.
    pub fn tick(&mut self, millis: u64) -> Vec<RouteAction> {
        self.now = self.now.plus(millis);
        self.step(RouteEvent::Tick)
    }

    /// Ends an attempt.
    pub fn end(&mut self, ticket: u64, attempt: u32, end: AttemptOutcome) -> Vec<RouteAction> {
        self.step(RouteEvent::Ended {
            ticket,
            attempt,
            end,
            load: Some(1),
        })
    }

    /// Reads the state.
    pub fn read<T>(&self, read: impl FnOnce(&RouteState) -> T) -> T {
        self.state.read(read)
    }
}

/// Three agents beside a service; the first owns every slice of page 0 if it is keyed.
pub fn fleet(keyed: bool) -> FleetView {
    let mut records = vec![workspace(keyed)];
    records.extend((1..=3).map(|number| member(number, "live")));
    if keyed {
        records.extend((0..16).map(|page| assignment(page, Some(1))));
    }
    with_records(FleetView::new(), &records)
}

/// Takes records in. What is not understood is missing in the view and fails the test.
pub fn with_records(view: FleetView, records: &[Record]) -> FleetView {
    view.with_records(records, 1).0
}

/// A workspace with one service.
pub fn workspace(keyed: bool) -> Record {
    let target = json!({"availability_percent": 99.9, "latency_percent": 99.0, "latency_ms": 18,
        "key_unavailable_ms": 5000});
    let service = json!({"name": "s", "keyed": keyed, "slots": 6, "connections": 110,
        "timeout_ms": 1000, "target": target});
    let value = json!({"name": "w", "zones": ["z1"], "services": [service]});
    record(&jy_types::record::workspace_key("w"), value)
}

/// An agent beside the service.
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

/// A page of the assignment with one owner for all.
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

/// A record.
fn record(key: &str, value: serde_json::Value) -> Record {
    Record {
        key: key.into(),
        revision: 1,
        value: Some(value.to_string().into()),
    }
}

/// A request.
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
