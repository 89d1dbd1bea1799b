//! Log lines of requests, bounded under load.
//!
//! A request that failed keeps its line longest: lines of requests that went well are left out first.
//! What was left out is counted and told once a second.

use std::cell::RefCell;

use jy_types::time::Millis;

/// Most lines a second on requests, of which failures may take all.
const LINES_PER_S: u32 = 60;
/// Most lines a second on requests that went well.
const GOOD_LINES_PER_S: u32 = 5;

/// What was written in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct JournalWindow {
    began: Millis,
    lines: u32,
    good_lines: u32,
    left_out: u32,
}

/// Writes one line for each request as far as the bound allows.
#[derive(Debug, Default)]
pub struct RequestJournal {
    window: RefCell<JournalWindow>,
}

impl RequestJournal {
    /// Makes a journal without lines.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes a line on a request, or counts it as left out.
    pub fn line(&self, now: Millis, is_good: bool, text: impl FnOnce() -> String) {
        let mut window = self.window.borrow_mut();
        if now.since(window.began) >= 1_000 {
            if window.left_out > 0 {
                log::info!("request lines_left_out={}", window.left_out);
            }
            *window = JournalWindow {
                began: now,
                ..JournalWindow::default()
            };
        }
        let has_room =
            window.lines < LINES_PER_S && (!is_good || window.good_lines < GOOD_LINES_PER_S);
        if !has_room {
            window.left_out += 1;
            return;
        }
        window.lines += 1;
        window.good_lines += u32::from(is_good);
        drop(window);
        log::info!("request {}", text());
    }
}
