//! The service of the backend server beside the agent.

use std::rc::Rc;

use jy_types::endpoint::BackendIncarnation;
use jy_types::name::Name;
use jy_types::time::WallMillis;

use super::LocalBackend;

/// Applies the settings file if it has changed since it was last read.
pub type ReloadFn = Rc<dyn Fn()>;

/// The service that the settings name for the backend server.
#[derive(Debug, Default)]
pub(super) struct ConfiguredService {
    service: Name,
    /// When the settings were first read with it.
    read_at: WallMillis,
    /// The incarnation that had announced itself last before that.
    known: Option<BackendIncarnation>,
}

impl LocalBackend {
    /// Sets the service that the settings name, first read at `read_at`.
    #[must_use]
    pub fn with_service(self, read_at: WallMillis, service: Name) -> Self {
        self.set_service(read_at, service);
        self
    }

    /// Sets the service that the settings name, first read at `read_at`.
    pub fn set_service(&self, read_at: WallMillis, service: Name) {
        let is_same = self.configured.borrow().service == service;
        if is_same {
            return;
        }
        let known = self.read(|state| state.map(|state| state.announced.incarnation.clone()));
        self.configured.replace(ConfiguredService {
            service,
            read_at,
            known,
        });
    }

    /// Returns the service that the settings name.
    #[must_use]
    pub fn configured_service(&self) -> Name {
        Name::clone(&self.configured.borrow().service)
    }

    /// Returns the service of the backend server, of those that `is_known` accepts: the one that it announced if it was
    /// first heard of and started after the settings last named another, and the one that the settings name otherwise. An
    /// announcement of an earlier start may be a late one of a backend server that is gone.
    pub fn service(&self, is_known: impl Fn(&str) -> bool) -> Name {
        let configured = self.configured.borrow();
        let state = self.state.borrow();
        let announced = state.as_ref().map(|state| &state.announced);
        let newer = announced.filter(|announced| {
            announced.incarnation.started_at > configured.read_at.0
                && configured.known.as_ref() != Some(&announced.incarnation)
                && is_known(&announced.service)
        });
        Name::clone(newer.map_or(&configured.service, |announced| &announced.service))
    }
}
