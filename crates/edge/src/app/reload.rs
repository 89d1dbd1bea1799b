//! Applies changes of the settings file to a running agent.

use std::rc::Rc;
use std::time::Duration;

use jy_config::edge;
use jy_types::name::Name;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use super::EdgeAgent;

/// The settings file is polled because it may change without a signal.
const SETTINGS_POLL_MS: u64 = 1_000;

/// Applies changes of the settings file: at SIGHUP, and every [`SETTINGS_POLL_MS`] milliseconds.
///
/// Only the service and the address of the backend server change in a running agent.
pub(super) async fn follow_settings(agent: Rc<EdgeAgent>, path: Name) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(
                "could not catch SIGHUP: {error}; changes of the settings file are not applied"
            );
            return;
        }
    };
    let mut current = agent.settings.clone();
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("reload requested"),
            () = sleep(Duration::from_millis(SETTINGS_POLL_MS)) => {}
        }
        let read_result = std::fs::read_to_string(&*path);
        let text = match read_result {
            Ok(text) => text,
            Err(error) => {
                log::warn!("could not read {path}: {error}; keeping the previous settings");
                continue;
            }
        };
        match edge::parse(&path, &text) {
            Ok(next) if next == current => {}
            Ok(next) => {
                log::info!("reload service={} backend={}", next.service, next.backend);
                agent.gateway.set_origin(Name::clone(&next.service));
                agent.gate.set_address(next.backend);
                current = next;
            }
            Err(findings) => log::warn!("{findings}; keeping the previous settings"),
        }
    }
}
