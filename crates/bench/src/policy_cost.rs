//! Cost of the policy: processor time of a step and memory of an entry in the request window.

use std::fs;

use jy_gate::window::RequestWindow;
use jy_gate::window::WindowBounds;
use jy_types::key::KeyHash;
use jy_types::key::Unit;
use jy_types::peer::StoredAnswer;
use jy_types::time::Millis;

use crate::policy_model::PolicyModel;
use crate::policy_scenario::PolicyScenario;
use crate::report::FigureRow;

const WINDOW_ENTRIES: u64 = 65_536;

const STORED_ANSWER_BYTES: usize = 64;

const MEMORY_PAGE_BYTES: f64 = 4_096.0;

/// Adds the figures of the cost.
pub fn add_rows(seed: u64, rows: &mut Vec<FigureRow>) {
    let model = PolicyModel::run(PolicyScenario::new(1_500.0), seed);
    let requests = model.requests.len().max(1) as f64;
    let us_per_request = |nanos: u64| nanos as f64 / requests / 1_000.0;
    rows.push(FigureRow::new(
        "cost: gate step",
        model.gate_cost.mean_us(),
        "us",
    ));
    rows.push(FigureRow::new(
        "cost: route step",
        model.gateway_cost.mean_us(),
        "us",
    ));
    rows.push(FigureRow::new(
        "cost: gate, a request",
        us_per_request(model.gate_cost.nanos),
        "us",
    ));
    rows.push(FigureRow::new(
        "cost: route, a request",
        us_per_request(model.gateway_cost.nanos),
        "us",
    ));
    let bytes = window_entry_bytes();
    rows.push(FigureRow::new(
        "cost: window entry, answer of 64 bytes",
        bytes,
        "bytes",
    ));
}

/// Returns the resident memory of this process; NaN if it can't be read.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(f64::NAN) * MEMORY_PAGE_BYTES
}

/// Fills a request window and returns the mean resident memory of an entry.
fn window_entry_bytes() -> f64 {
    let bounds = WindowBounds {
        age_ms: 600_000,
        entries: WINDOW_ENTRIES as usize,
        bytes: u64::MAX,
    };
    let mut window = RequestWindow::new(bounds);
    let before = resident_bytes();
    for number in 0..WINDOW_ENTRIES {
        let id = format!("019b0000-0000-7000-8000-{number:012x}").into();
        let now = Millis(1 + number / 400);
        window.begin(now, &id, number, Unit::Key(KeyHash(number)));
        let answer = StoredAnswer {
            status: 200,
            content_type: None,
            body: "x".repeat(STORED_ANSWER_BYTES).into(),
        };
        window.finish(now, &id, Some(answer));
    }
    let bytes = (resident_bytes() - before) / window.len() as f64;
    drop(window);
    bytes
}
