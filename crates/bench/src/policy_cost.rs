//! Cost of the decisions: processor time of a step and memory of a window entry.

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

/// Entries of the measured window.
const ENTRIES: u64 = 65_536;

/// Bytes of each remembered answer.
const ANSWER_BYTES: usize = 64;

/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;

/// Adds the figures.
pub fn rows(seed: u64, rows: &mut Vec<FigureRow>) {
    let model = PolicyModel::run(PolicyScenario::new(1_500.0), seed);
    let requests = model.requests.len().max(1) as f64;
    let per_request = |nanos: u64| nanos as f64 / requests / 1_000.0;
    rows.push(FigureRow::new(
        "cost: gate step",
        model.gate_cost.mean_us(),
        "us",
    ));
    rows.push(FigureRow::new(
        "cost: route step",
        model.route_cost.mean_us(),
        "us",
    ));
    rows.push(FigureRow::new(
        "cost: gate, a request",
        per_request(model.gate_cost.nanos),
        "us",
    ));
    rows.push(FigureRow::new(
        "cost: route, a request",
        per_request(model.route_cost.nanos),
        "us",
    ));
    let bytes = window_entry_bytes();
    rows.push(FigureRow::new(
        "cost: window entry, answer of 64 bytes",
        bytes,
        "bytes",
    ));
}

/// Resident memory of the process, in bytes.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(f64::NAN) * PAGE_BYTES
}

/// Fills a window and returns the memory of one entry.
fn window_entry_bytes() -> f64 {
    let bounds = WindowBounds {
        age_ms: 600_000,
        entries: ENTRIES as usize,
        bytes: u64::MAX,
    };
    let mut window = RequestWindow::new(bounds);
    let before = resident_bytes();
    for number in 0..ENTRIES {
        let id = format!("019b0000-0000-7000-8000-{number:012x}").into();
        let now = Millis(1 + number / 400);
        window.begin(now, &id, number, Unit::Key(KeyHash(number)));
        let answer = StoredAnswer {
            status: 200,
            content_type: None,
            body: "x".repeat(ANSWER_BYTES).into(),
        };
        window.finish(now, &id, Some(answer));
    }
    let bytes = (resident_bytes() - before) / window.len() as f64;
    drop(window);
    bytes
}
