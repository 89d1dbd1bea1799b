//! Shuts the agent down without cutting a request.

use std::rc::Rc;
use std::time::Duration;

use jy_http::server::HttpListener;
use jy_kernel::clock;
use tokio::time::sleep;

use super::EdgeAgent;

/// Time from SIGTERM until the agent accepts no more requests, in milliseconds. The platform checks readiness
/// once a second and stops sending callers after two negative answers.
const CALLER_DRAIN_MS: u64 = 2_500;
/// Time before the SIGKILL at which the agent stops waiting for running requests, in milliseconds.
const SHUTDOWN_MARGIN_MS: u64 = 700;
/// Time in which the answers to unfinished requests are written at the end of the shutdown, in milliseconds.
const LAST_ANSWERS_MS: u64 = 200;
const SHUTDOWN_POLL_MS: u64 = 20;

impl EdgeAgent {
    /// Shuts the agent down: reports it as not ready, closes the listeners after a delay, and waits for running
    /// requests.
    ///
    /// Requests that began to arrive before the listeners close are still read. One that could be unfinished at the end of
    /// the wait is refused as not run.
    pub(super) async fn shut_down(&self, listeners: &[HttpListener]) {
        let started_at = clock::now();
        let grace_ms = self
            .settings
            .bounds
            .grace_ms
            .saturating_sub(SHUTDOWN_MARGIN_MS);
        let grace_end = started_at.plus(grace_ms);
        log::info!(
            "stop requested; reporting not ready, accepting requests for up to {CALLER_DRAIN_MS} ms"
        );
        self.is_shutting_down.set(true);
        self.member.request_update();
        let quota = Rc::clone(&self.quota);
        actix_rt::spawn(async move { quota.release().await });
        let drain_ms = CALLER_DRAIN_MS.min(grace_ms / 2);
        sleep(Duration::from_millis(drain_ms)).await;
        self.gate.set_end(grace_end);
        for listener in listeners {
            listener.close();
        }
        let running = || listeners.iter().map(HttpListener::running).sum::<usize>();
        while running() > 0 && clock::now() < grace_end {
            sleep(Duration::from_millis(SHUTDOWN_POLL_MS)).await;
        }
        self.backend.close();
        let unfinished = running();
        if unfinished > 0 {
            self.gate.refuse_waiting();
            self.gateway.end();
            let written_by = clock::now().plus(LAST_ANSWERS_MS);
            while running() > 0 && clock::now() < written_by {
                sleep(Duration::from_millis(SHUTDOWN_POLL_MS)).await;
            }
        }
        log::info!(
            "stop unfinished={unfinished} after_ms={} still_running={}",
            clock::now().since(started_at),
            running()
        );
    }
}
