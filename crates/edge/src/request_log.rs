//! Writes log lines of requests, at a limited rate.
//!
//! Lines of successful requests are left out first, so that failures are still logged under load. The number
//! of lines left out is logged at most once a second.

use std::cell::RefCell;

use jy_types::time::Millis;

/// Limit for all request lines; failures alone may reach it.
const MAX_LINES_PER_S: u32 = 60;
const MAX_SUCCESS_LINES_PER_S: u32 = 5;

/// Lines written and left out in the current one-second window.
#[derive(Clone, Copy, Debug, Default)]
struct LogWindow {
    started_at: Millis,
    lines: u32,
    success_lines: u32,
    left_out: u32,
}

/// Writes one log line for each request, within the rate limits.
#[derive(Debug, Default)]
pub struct RequestLog {
    window: RefCell<LogWindow>,
}

impl RequestLog {
    /// Creates a log with an empty window.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes the line of a request, or counts it as left out if a limit is reached.
    pub fn write(&self, now: Millis, is_success: bool, text: impl FnOnce() -> String) {
        let mut window = self.window.borrow_mut();
        if now.since(window.started_at) >= 1_000 {
            if window.left_out > 0 {
                log::info!("request lines_left_out={}", window.left_out);
            }
            *window = LogWindow {
                started_at: now,
                ..LogWindow::default()
            };
        }
        let is_within_limits = window.lines < MAX_LINES_PER_S
            && (!is_success || window.success_lines < MAX_SUCCESS_LINES_PER_S);
        if !is_within_limits {
            window.left_out += 1;
            return;
        }
        window.lines += 1;
        window.success_lines += u32::from(is_success);
        drop(window);
        log::info!("request {}", text());
    }
}
