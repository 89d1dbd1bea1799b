//! Applies changes of the settings file to a running agent.

use std::cell::Cell;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use jy_config::edge;
use jy_config::edge::EdgeSettings;
use jy_config::file_version::FileVersion;
use jy_kernel::clock;
use jy_types::name::Name;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use crate::backend::SharedBackend;
use crate::gate::LocalGate;

/// The settings file is polled because it may change without a signal, also while no request arrives.
const SETTINGS_POLL_MS: u64 = 100;

/// Reads the settings file and applies its changes.
///
/// Only the service and the address of the backend server change in a running agent.
pub(super) struct SettingsReader {
    path: Name,
    version: RefCell<FileVersion>,
    /// Text of the file when it was last read.
    text: RefCell<String>,
    /// Whether the last attempt to read the file succeeded.
    is_readable: Cell<bool>,
    applied: RefCell<EdgeSettings>,
    backend: SharedBackend,
    gate: Rc<LocalGate>,
}

impl SettingsReader {
    /// Creates a reader of the file at `path`, of which `settings` were read.
    pub(super) fn new(
        path: Name,
        settings: EdgeSettings,
        backend: SharedBackend,
        gate: Rc<LocalGate>,
    ) -> Self {
        Self {
            path,
            version: RefCell::default(),
            text: RefCell::default(),
            is_readable: Cell::new(true),
            applied: RefCell::new(settings),
            backend,
            gate,
        }
    }

    /// Reads the file if its metadata say that it may have changed, and applies it if it has. Cheap enough to be called
    /// for each request.
    pub(super) fn reload_if_changed(&self) {
        let path = Path::new(&*self.path);
        let may_have_changed = self
            .version
            .borrow_mut()
            .may_have_changed(path, clock::now());
        if may_have_changed {
            self.reload();
        }
    }

    /// Reads the file, and applies it if it has changed since it was last read.
    pub(super) fn reload(&self) {
        let path = &*self.path;
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                if self.is_readable.replace(false) {
                    log::warn!("could not read {path}: {error}; keeping the previous settings");
                }
                return;
            }
        };
        self.is_readable.set(true);
        if *self.text.borrow() == text {
            return;
        }
        match edge::parse(path, &text) {
            Ok(next) => self.apply(next),
            Err(findings) => log::warn!("{findings}; keeping the previous settings"),
        }
        self.text.replace(text);
    }

    /// Applies settings that the file has now.
    fn apply(&self, next: EdgeSettings) {
        if *self.applied.borrow() == next {
            return;
        }
        log::info!("reload service={} backend={}", next.service, next.backend);
        self.backend
            .set_service(clock::wall_now(), Name::clone(&next.service));
        self.gate.set_address(next.backend);
        self.applied.replace(next);
    }
}

/// Applies changes of the settings file at SIGHUP, and every [`SETTINGS_POLL_MS`] milliseconds, also if its metadata
/// don't show them.
pub(super) async fn follow_settings(reader: Rc<SettingsReader>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(
                "could not catch SIGHUP: {error}; changes of the settings file are not applied"
            );
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("reload requested"),
            () = sleep(Duration::from_millis(SETTINGS_POLL_MS)) => {}
        }
        reader.reload();
    }
}
